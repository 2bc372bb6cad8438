package socket

import (
	"net"
	"syscall"
)

const (
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not define.
	tcpUserTimeout = 18
	// tcpCloseWait is the state of a connection whose peer has ended its side regularly.
	tcpCloseWait = 8
	// tcpStateMask selects the state, which is the first byte of tcp_info, from a little-endian number.
	tcpStateMask = 0xff
)

func setUserTimeout(_, _ string, rawConn syscall.RawConn) error {
	var optionErr error
	err := rawConn.Control(func(descriptor uintptr) {
		milliseconds := int(UnacknowledgedTimeout.Milliseconds())
		optionErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, milliseconds)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// endedRegularly reports whether the peer has ended its side of a TCP connection and has not reset the connection since.
func endedRegularly(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	info, infoErr := 0, error(nil)
	err = rawConn.Control(func(descriptor uintptr) {
		info, infoErr = syscall.GetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	})
	return err == nil && infoErr == nil && info&tcpStateMask == tcpCloseWait
}
