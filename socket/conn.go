package socket

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// Conn is a connection whose Read never takes a reset for a regular end. Linux returns the error of a reset to the first call that
// meets it. If that is a write, the next read returns io.EOF, and the part of a body that ends with its connection looks whole.
type Conn struct {
	net.Conn
	// mutex is locked during a write.
	mutex      sync.Mutex
	writeError error
}

// NewConn returns a connection that uses conn.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// Write writes to the connection.
func (conn *Conn) Write(buffer []byte) (int, error) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	count, err := conn.Conn.Write(buffer)
	if err != nil && conn.writeError == nil {
		conn.writeError = err
	}
	return count, err
}

// Read reads from the connection. It returns io.EOF only if the peer has ended its side regularly, and the error of a write if that
// ended the connection.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if err != io.EOF || endedRegularly(conn.Conn) {
		return count, err
	}
	// On Linux both directions have ended, so a write in progress, which may have met the reset, returns at once.
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	// A reset after a regular end of the peer's side is EPIPE. All that the peer sent has arrived then.
	if conn.writeError != nil && !errors.Is(conn.writeError, syscall.EPIPE) {
		return count, conn.writeError
	}
	return count, err
}
