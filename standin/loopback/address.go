package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
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
	// returnedPorts has the ports that were returned before, with their locks. They are not returned again, because a port looks free
	// until its process listens on it, and while that process restarts.
	returnedPorts = map[uint16]*os.File{}
)

// FreeAddress returns a loopback address whose port is free for TCP and UDP and was not returned to this process before. The
// port is chosen at random, and no other process on the machine that uses this function gets it until this one ends.
func FreeAddress() (netip.AddrPort, error) {
	mutex.Lock()
	defer mutex.Unlock()
	err := errors.New("all ports that were tried had been returned before")
	for range maxPortAttempts {
		port := uint16(firstPort + rand.IntN(portCount))
		if returnedPorts[port] != nil {
			continue
		}
		var lock *os.File
		if lock, err = lockPort(port); err != nil {
			continue
		}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		if err = tryPort(address); err == nil {
			returnedPorts[port] = lock
			return address, nil
		}
		_ = lock.Close()
	}
	return netip.AddrPort{}, fmt.Errorf("no free port after %d attempts: %w", maxPortAttempts, err)
}

// lockPort locks a port for this process. The lock ends with the process, or when the file is closed.
func lockPort(port uint16) (*os.File, error) {
	folder := filepath.Join(os.TempDir(), "oleandervane-ports")
	if err := os.MkdirAll(folder, 0o777); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(filepath.Join(folder, strconv.Itoa(int(port))), os.O_CREATE|os.O_RDWR, 0o666)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("port %d belongs to another process: %w", port, err)
	}
	return file, nil
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
