// Package socket opens connections that detect a peer or a network path that no longer responds, and tells a reset from the regular end
// of a connection.
package socket

import (
	"net"
	"time"
)

const (
	// UnacknowledgedTimeout is the time after which a connection is closed if the peer's host has not acknowledged
	// written bytes. Links of up to 35 ms one way acknowledge within 0.1 s; 2 s leaves room for several lost segments.
	UnacknowledgedTimeout = 2 * time.Second
	// connectTimeout bounds the opening of a connection: a lost first packet is sent again after 1 s.
	connectTimeout = 1500 * time.Millisecond
	// KeepaliveIdle and keepaliveInterval make the host probe a connection that waits for its response, so that a peer
	// that has vanished is detected within KeepaliveIdle + UnacknowledgedTimeout.
	KeepaliveIdle     = time.Second
	keepaliveInterval = time.Second
	keepaliveCount    = 2
)

// NewDialer returns a dialer whose connections fail within a few seconds after the peer or the path stops responding.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: connectTimeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     KeepaliveIdle,
			Interval: keepaliveInterval,
			Count:    keepaliveCount,
		},
	}
}
