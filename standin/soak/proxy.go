package soak

import (
	"net"
	"sync"
	"time"
)

// The modes of a proxy.
const (
	modePass = iota
	// modeDelay delays the bytes in both directions by proxyDelay.
	modeDelay
	// modeReset resets open and new connections.
	modeReset
	// modeSilent forwards no bytes. Connections that are open in this mode stay silent in later modes.
	modeSilent
	// modeDropResponses forwards requests and drops responses.
	modeDropResponses
	modeCount
)

// proxyDelay is the delay per read in modeDelay.
const proxyDelay = 150 * time.Millisecond

// proxy forwards connections of entry VMs to one target on the loopback address.
type proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	mode  int
	conns map[*connection]bool
}

// connection is a connection through a proxy.
type connection struct {
	caller, target net.Conn
	// silenced is set, and never cleared, if the connection was open while the proxy was in modeSilent.
	silenced bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := &proxy{listener: listener, target: target, conns: map[*connection]bool{}}
	go proxy.accept(listener)
	return proxy, nil
}

// restart ends the target as callers see it: open connections are reset and new ones refused until the downtime has passed.
func (proxy *proxy) restart(downtime time.Duration) error {
	address := proxy.address()
	proxy.mutex.Lock()
	listener := proxy.listener
	proxy.mutex.Unlock()
	_ = listener.Close()
	proxy.set(modeReset)
	time.Sleep(downtime)
	proxy.set(modePass)
	next, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.listener = next
	go proxy.accept(next)
	return nil
}

func (proxy *proxy) address() string {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.listener.Addr().String()
}

// set changes the mode, for open connections as well.
func (proxy *proxy) set(mode int) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.mode = mode
	for conn := range proxy.conns {
		switch mode {
		case modeReset:
			reset(conn.caller)
			reset(conn.target)
		case modeSilent:
			conn.silenced = true
		}
	}
}

func reset(conn net.Conn) {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		// With a linger time of 0, Close sends a reset. An error means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (proxy *proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go proxy.serve(conn)
	}
}

func (proxy *proxy) currentMode() int {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.mode
}

func (proxy *proxy) serve(caller net.Conn) {
	if proxy.currentMode() == modeReset {
		reset(caller)
		return
	}
	target, err := net.Dial("tcp", proxy.target)
	if err != nil {
		reset(caller)
		return
	}
	conn := &connection{caller: caller, target: target}
	proxy.mutex.Lock()
	proxy.conns[conn] = true
	conn.silenced = proxy.mode == modeSilent
	proxy.mutex.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { proxy.copy(conn, target, caller, false) })
	copies.Go(func() { proxy.copy(conn, caller, target, true) })
	copies.Wait()
	proxy.mutex.Lock()
	delete(proxy.conns, conn)
	proxy.mutex.Unlock()
}

// copy forwards bytes in one direction, as the mode requires, until one side closes.
func (proxy *proxy) copy(conn *connection, to, from net.Conn, responses bool) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		proxy.mutex.Lock()
		mode, silenced := proxy.mode, conn.silenced
		proxy.mutex.Unlock()
		if silenced || mode == modeDropResponses && responses {
			continue
		}
		if mode == modeDelay {
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			_ = from.Close()
			return
		}
	}
}

func (proxy *proxy) close() {
	proxy.mutex.Lock()
	listener := proxy.listener
	proxy.mutex.Unlock()
	_ = listener.Close()
	proxy.set(modeReset)
}
