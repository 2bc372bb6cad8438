package forward

import (
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not name.
	tcpUserTimeout = 18
	// unacknowledgedLimit ends a connection whose written bytes the peer's host does not acknowledge. Links of up
	// to 35 ms one way acknowledge within 0.1 s; 2 s leaves room for several lost segments.
	unacknowledgedLimit = 2 * time.Second
	// keepaliveIdle and keepaliveInterval make the host probe a connection that waits for its response, so that a
	// peer that vanished is found in keepaliveIdle + unacknowledgedLimit.
	keepaliveIdle     = 2 * time.Second
	keepaliveInterval = time.Second
	keepaliveCount    = 2
)

func newDialer() *net.Dialer {
	return &net.Dialer{
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepaliveIdle,
			Interval: keepaliveInterval,
			Count:    keepaliveCount,
		},
	}
}

func setUserTimeout(_, _ string, rawConn syscall.RawConn) error {
	var optionErr error
	err := rawConn.Control(func(descriptor uintptr) {
		milliseconds := int(unacknowledgedLimit.Milliseconds())
		optionErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, milliseconds)
	})
	if err != nil {
		return err
	}
	return optionErr
}
