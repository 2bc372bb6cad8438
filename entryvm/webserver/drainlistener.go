package webserver

import (
	"net"
	"sync"
)

// DrainListener is a listener that can stop taking connections before its server is shut down. The server of the standard
// library drops requests that it reads during the shutdown without an answer; those on connections that were accepted just
// before it are read and answered in the time between.
type DrainListener struct {
	net.Listener
	draining  chan struct{}
	closed    chan struct{}
	drainOnce sync.Once
	closeOnce sync.Once
}

// NewDrainListener returns a listener on an address.
func NewDrainListener(address string) (*DrainListener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &DrainListener{Listener: listener, draining: make(chan struct{}), closed: make(chan struct{})}, nil
}

// Accept returns the next connection. While the listener drains, it waits until it is closed.
func (drainListener *DrainListener) Accept() (net.Conn, error) {
	conn, err := drainListener.Listener.Accept()
	if err == nil {
		return conn, nil
	}
	select {
	case <-drainListener.draining:
		<-drainListener.closed
	default:
	}
	return nil, err
}

// Drain refuses further connections. Those that are open stay open.
func (drainListener *DrainListener) Drain() error {
	var err error
	drainListener.drainOnce.Do(func() {
		close(drainListener.draining)
		err = drainListener.Listener.Close()
	})
	return err
}

// Close ends Accept.
func (drainListener *DrainListener) Close() error {
	err := drainListener.Drain()
	drainListener.closeOnce.Do(func() { close(drainListener.closed) })
	return err
}
