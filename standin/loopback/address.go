package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

const (
	// firstPort and portCount define a port range below that of outgoing connections, so that a port is still free when the
	// process that it was found for listens on it, and when that process restarts.
	firstPort = 16384
	portCount = 16000
	// maxPortAttempts limits the search for a free port.
	maxPortAttempts = 1000
)

var (
	mutex sync.Mutex
	// returnedPorts has the ports that were returned before. They are not returned again, because a port looks free until its
	// process listens on it, and while that process restarts.
	returnedPorts = map[uint16]bool{}
)

// FreeAddress returns a loopback address whose port is free for TCP and UDP and was not returned to this process before. The
// port is chosen at random, so that concurrent processes on the machine rarely collide.
func FreeAddress() (netip.AddrPort, error) {
	mutex.Lock()
	defer mutex.Unlock()
	err := errors.New("all ports that were tried had been returned before")
	for range maxPortAttempts {
		port := uint16(firstPort + rand.IntN(portCount))
		if returnedPorts[port] {
			continue
		}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		if err = tryPort(address); err == nil {
			returnedPorts[port] = true
			return address, nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("no free port after %d attempts: %w", maxPortAttempts, err)
}

func tryPort(address netip.AddrPort) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	defer listener.Close()
	conn, err := net.ListenPacket("udp", address.String())
	if err != nil {
		return err
	}
	return conn.Close()
}
