package webserver

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// emptyTime is how long no connection must have come before a listener that drains is closed.
	emptyTime = time.Millisecond
	// drainLimit bounds the time until then, while callers come all the time.
	drainLimit = 100 * time.Millisecond
)

// DrainListener is a listener that can stop taking connections before its server is shut down. The server of the standard
// library drops requests that it reads during the shutdown without an answer; those on connections that were accepted just
// before it are read and answered in the time between.
type DrainListener struct {
	net.Listener
	// drainedBy is when the listener is closed at the latest; nil while it does not drain.
	drainedBy atomic.Pointer[time.Time]
	accepted  atomic.Int64
	closed    chan struct{}
	closeOnce sync.Once
}

// NewDrainListener returns a listener on an address.
func NewDrainListener(address string) (*DrainListener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &DrainListener{Listener: listener, closed: make(chan struct{})}, nil
}

// Accept returns the next connection. While the listener drains, it returns those that wait to be accepted, and then waits
// until the listener is closed.
func (drainListener *DrainListener) Accept() (net.Conn, error) {
	conn, err := drainListener.acceptDue()
	if err == nil {
		drainListener.accepted.Add(1)
		return conn, nil
	}
	if drainListener.drainedBy.Load() != nil {
		// Closed here, at once after the queue was empty: the system resets connections that come between.
		_ = drainListener.Listener.Close()
		<-drainListener.closed
	}
	return nil, err
}

// acceptDue returns the next connection, and while the listener drains only one that comes in a moment.
func (drainListener *DrainListener) acceptDue() (net.Conn, error) {
	if drainedBy := drainListener.drainedBy.Load(); drainedBy != nil {
		if now := time.Now(); now.Before(*drainedBy) {
			if err := drainListener.setDeadline(now.Add(emptyTime)); err != nil {
				return nil, err
			}
		}
	}
	return drainListener.Listener.Accept()
}

func (drainListener *DrainListener) setDeadline(deadline time.Time) error {
	if tcpListener, limits := drainListener.Listener.(*net.TCPListener); limits {
		return tcpListener.SetDeadline(deadline)
	}
	return nil
}

// Accepted returns the number of connections that were accepted.
func (drainListener *DrainListener) Accepted() int64 {
	return drainListener.accepted.Load()
}

// Drain refuses further connections as soon as none waits to be accepted, at the latest after a limit. Those that are open
// stay open.
func (drainListener *DrainListener) Drain() error {
	now := time.Now()
	drainedBy := now.Add(drainLimit)
	if !drainListener.drainedBy.CompareAndSwap(nil, &drainedBy) {
		return nil
	}
	return drainListener.setDeadline(now.Add(emptyTime))
}

// Close ends Accept.
func (drainListener *DrainListener) Close() error {
	err := drainListener.Listener.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	drainListener.closeOnce.Do(func() { close(drainListener.closed) })
	return err
}
