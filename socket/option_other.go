//go:build !linux

package socket

import (
	"net"
	"syscall"
)

// Entry VMs run on Linux. The client library also runs elsewhere, without the options of Linux.

func setUserTimeout(string, string, syscall.RawConn) error { return nil }

func endedRegularly(net.Conn) bool { return false }
