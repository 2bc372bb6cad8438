// Package peer has the messages that entry VMs exchange, generated from the .proto files of this folder, and the limits
// that received messages must respect.
package peer
