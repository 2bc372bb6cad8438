package webserver

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// acceptIdleTime is how long a listener that drains must have no new connection before it is closed.
	acceptIdleTime = time.Millisecond
	// drainLimit bounds the time until a listener that drains is closed while new connections keep arriving.
	drainLimit = 100 * time.Millisecond
)

// DrainListener is a listener that can stop accepting connections before its server is shut down. The server of the
// standard library drops requests that it reads during the shutdown without a response. With a drain before the
// shutdown, requests on connections that were accepted just before the drain are still read and answered.
type DrainListener struct {
	net.Listener
	// drainDeadline is when the listener is closed at the latest; nil while it does not drain.
	drainDeadline atomic.Pointer[time.Time]
	accepted      atomic.Int64
	closed        chan struct{}
	closeOnce     sync.Once
}

// NewDrainListener returns a listener on an address.
func NewDrainListener(address string) (*DrainListener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &DrainListener{Listener: listener, closed: make(chan struct{})}, nil
}

// Accept returns the next connection. While the listener drains, Accept returns the connections that are queued in the
// kernel, and then blocks until the listener is closed.
func (drainListener *DrainListener) Accept() (net.Conn, error) {
	conn, err := drainListener.acceptQueued()
	if err == nil {
		drainListener.accepted.Add(1)
		return conn, nil
	}
	if drainListener.drainDeadline.Load() != nil {
		// The listener is closed here, at once after the queue was empty, because the system resets connections that
		// arrive in between.
		_ = drainListener.Listener.Close()
		<-drainListener.closed
	}
	return nil, err
}

// acceptQueued returns the next connection. While the listener drains, it waits for at most acceptIdleTime.
func (drainListener *DrainListener) acceptQueued() (net.Conn, error) {
	if drainDeadline := drainListener.drainDeadline.Load(); drainDeadline != nil {
		if now := time.Now(); now.Before(*drainDeadline) {
			if err := drainListener.setDeadline(now.Add(acceptIdleTime)); err != nil {
				return nil, err
			}
		}
	}
	return drainListener.Listener.Accept()
}

func (drainListener *DrainListener) setDeadline(deadline time.Time) error {
	if tcpListener, isTCP := drainListener.Listener.(*net.TCPListener); isTCP {
		return tcpListener.SetDeadline(deadline)
	}
	return nil
}

// Accepted returns the number of accepted connections.
func (drainListener *DrainListener) Accepted() int64 {
	return drainListener.accepted.Load()
}

// Drain makes the listener refuse further connections as soon as none is queued, at the latest after drainLimit.
// Accepted connections stay open.
func (drainListener *DrainListener) Drain() error {
	now := time.Now()
	drainDeadline := now.Add(drainLimit)
	if !drainListener.drainDeadline.CompareAndSwap(nil, &drainDeadline) {
		return nil
	}
	return drainListener.setDeadline(now.Add(acceptIdleTime))
}

// Close closes the listener and unblocks Accept. It returns no error if the listener is already closed.
func (drainListener *DrainListener) Close() error {
	err := drainListener.Listener.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	drainListener.closeOnce.Do(func() { close(drainListener.closed) })
	return err
}
