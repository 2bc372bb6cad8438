// Package peer has the messages that entry VMs exchange, generated from peer.proto, and the limits of what is
// accepted of them.
package peer
