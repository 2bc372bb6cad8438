// Package transport carries the messages of package gossip between entry VMs over connect-go.
package transport
