package soak

import (
	"net"
	"sync"
	"time"
)

// The modes of a proxy.
const (
	modePass = iota
	// modeDelay holds back the bytes of both directions for a while.
	modeDelay
	// modeReset resets open connections and refuses new ones.
	modeReset
	// modeSilent passes nothing and closes nothing; connections that were open stay silent for good.
	modeSilent
	// modeOneWay passes requests and loses answers.
	modeOneWay
	modeCount
)

// heldBack is the delay of modeDelay.
const heldBack = 150 * time.Millisecond

// proxy forwards connections of entry VMs to one target on the loopback address.
type proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	mode  int
	conns map[*proxied]bool
}

// proxied is one connection through a proxy.
type proxied struct {
	caller, target net.Conn
	// deaf is set for good once the connection was open while the proxy was silent.
	deaf bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := &proxy{listener: listener, target: target, conns: map[*proxied]bool{}}
	go proxy.accept()
	return proxy, nil
}

func (proxy *proxy) address() string {
	return proxy.listener.Addr().String()
}

// set changes the mode; it holds for open connections as well.
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
			conn.deaf = true
		}
	}
}

func reset(conn net.Conn) {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		// With no linger time, Close sends a reset; an error means that the connection is gone already.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (proxy *proxy) accept() {
	for {
		conn, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		go proxy.serve(conn)
	}
}

func (proxy *proxy) current() int {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.mode
}

func (proxy *proxy) serve(caller net.Conn) {
	if proxy.current() == modeReset {
		reset(caller)
		return
	}
	target, err := net.Dial("tcp", proxy.target)
	if err != nil {
		reset(caller)
		return
	}
	conn := &proxied{caller: caller, target: target}
	proxy.mutex.Lock()
	proxy.conns[conn] = true
	conn.deaf = proxy.mode == modeSilent
	proxy.mutex.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { proxy.copy(conn, target, caller, false) })
	copies.Go(func() { proxy.copy(conn, caller, target, true) })
	copies.Wait()
	proxy.mutex.Lock()
	delete(proxy.conns, conn)
	proxy.mutex.Unlock()
}

// copy passes bytes as the mode allows until one side ends.
func (proxy *proxy) copy(conn *proxied, to, from net.Conn, answers bool) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		proxy.mutex.Lock()
		mode, deaf := proxy.mode, conn.deaf
		proxy.mutex.Unlock()
		if deaf || mode == modeOneWay && answers {
			continue
		}
		if mode == modeDelay {
			time.Sleep(heldBack)
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			_ = from.Close()
			return
		}
	}
}

func (proxy *proxy) close() {
	_ = proxy.listener.Close()
	proxy.set(modeReset)
}
