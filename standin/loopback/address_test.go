package loopback

import (
	"net"
	"net/netip"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against "address already in use" when a VM starts: an address that was returned twice, a port that the kernel may
// give to an outgoing connection, and a port that is in use for TCP or UDP.
func TestFreeAddress(t *testing.T) {
	// firstOutgoingPort is the first port of outgoing connections on Linux.
	const firstOutgoingPort = 32768
	returned := map[netip.AddrPort]bool{}
	for range 500 {
		address, err := FreeAddress()
		assert.NilError(t, err)
		assert.Assert(t, !returned[address], "%v was returned twice", address)
		returned[address] = true
		assert.Assert(t, address.Addr().IsLoopback(), "%v is not a loopback address", address)
		assert.Assert(t, address.Port() >= firstPort && address.Port() < firstOutgoingPort, "the port of %v is not in [%d, %d)", address, firstPort, firstOutgoingPort)
		listener, err := net.Listen("tcp", address.String())
		assert.NilError(t, err)
		assert.NilError(t, listener.Close())
		conn, err := net.ListenPacket("udp", address.String())
		assert.NilError(t, err)
		assert.NilError(t, conn.Close())
	}
}

// Guards against a port that is in use for only one of TCP and UDP: peers use both on the same port.
func TestPortInUseIsNotFree(t *testing.T) {
	for _, network := range []string{"tcp", "udp"} {
		address, err := FreeAddress()
		assert.NilError(t, err)
		if network == "tcp" {
			listener, err := net.Listen(network, address.String())
			assert.NilError(t, err)
			defer listener.Close()
		} else {
			conn, err := net.ListenPacket(network, address.String())
			assert.NilError(t, err)
			defer conn.Close()
		}
		assert.ErrorContains(t, tryPort(address), "address already in use", network)
	}
}

// Guards against "address already in use" because two soaks or tests on the machine got the same port while neither listened on it.
func TestPortBelongsToOneProcess(t *testing.T) {
	address, err := FreeAddress()
	assert.NilError(t, err)
	_, err = lockPort(address.Port())
	assert.ErrorIs(t, err, syscall.EWOULDBLOCK)
}
