package webserver

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
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
	// pending are connections that were queued when the listener was about to close. Only Accept uses it.
	pending   []net.Conn
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

// Accept returns the next connection. While the listener drains, Accept returns the connections that are queued in the
// kernel, and then blocks until the listener is closed.
func (drainListener *DrainListener) Accept() (net.Conn, error) {
	conn, err := drainListener.acceptNext()
	if err == nil {
		drainListener.accepted.Add(1)
	}
	return conn, err
}

func (drainListener *DrainListener) acceptNext() (net.Conn, error) {
	if len(drainListener.pending) == 0 {
		conn, err := drainListener.acceptQueued()
		if err == nil || drainListener.drainDeadline.Load() == nil {
			return conn, err
		}
		// On a busy machine this goroutine runs late after its deadline, and connections are queued again meanwhile. The listener is
		// closed only immediately after the queue was empty, because the system resets connections that it still has then.
		drainListener.pending = drainListener.acceptPending()
		if len(drainListener.pending) == 0 {
			_ = drainListener.Listener.Close()
			<-drainListener.closed
			return nil, err
		}
	}
	conn := drainListener.pending[0]
	drainListener.pending = drainListener.pending[1:]
	return conn, nil
}

// acceptPending accepts all queued connections without waiting.
func (drainListener *DrainListener) acceptPending() []net.Conn {
	tcpListener, isTCP := drainListener.Listener.(*net.TCPListener)
	if !isTCP {
		return nil
	}
	rawConn, err := tcpListener.SyscallConn()
	if err != nil {
		return nil
	}
	var pending []net.Conn
	// An error means that the listener is closed already.
	_ = rawConn.Control(func(listener uintptr) {
		for {
			descriptor, _, err := syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR) {
				continue
			}
			if err != nil {
				return
			}
			file := os.NewFile(uintptr(descriptor), "connection")
			conn, err := net.FileConn(file)
			_ = file.Close()
			if err == nil {
				pending = append(pending, conn)
			}
		}
	})
	return pending
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
