// Package socket opens connections that notice a peer or a path that has gone silent.
package socket

import (
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not name.
	tcpUserTimeout = 18
	// UnacknowledgedLimit ends a connection whose written bytes the peer's host does not acknowledge. Links of up
	// to 35 ms one way acknowledge within 0.1 s; 2 s leaves room for several lost segments.
	UnacknowledgedLimit = 2 * time.Second
	// openLimit bounds the opening of a connection: a lost first packet is sent again after 1 s.
	openLimit = 1500 * time.Millisecond
	// KeepaliveIdle and keepaliveInterval make the host probe a connection that waits for its response, so that a
	// peer that vanished is found in KeepaliveIdle + UnacknowledgedLimit.
	KeepaliveIdle     = time.Second
	keepaliveInterval = time.Second
	keepaliveCount    = 2
)

// NewDialer returns a dialer whose connections fail within a few seconds once the peer or the path is silent.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: openLimit,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     KeepaliveIdle,
			Interval: keepaliveInterval,
			Count:    keepaliveCount,
		},
	}
}

func setUserTimeout(_, _ string, rawConn syscall.RawConn) error {
	var optionErr error
	err := rawConn.Control(func(descriptor uintptr) {
		milliseconds := int(UnacknowledgedLimit.Milliseconds())
		optionErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, milliseconds)
	})
	if err != nil {
		return err
	}
	return optionErr
}
