package forward

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"syscall"
	"time"

	"oleandervane.example"
)

// defaultProbeTimeout bounds probes if no connect timeout is set.
const defaultProbeTimeout = 500 * time.Millisecond

// ProbeConnection opens a connection to a backend server. A request uses the connection afterwards.
func (forwarder *Forwarder) ProbeConnection(address netip.AddrPort) oleandervane.ConnectionState {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timeout := cmp.Or(forwarder.settings.ConnectTimeout, defaultProbeTimeout)
	defer forwarder.timerService.After(timeout, func(time.Time) { cancel() })()
	connection, _, err := forwarder.pool.acquire(ctx, address, true)
	switch {
	case err == nil:
		forwarder.pool.release(connection)
		return oleandervane.ConnectionAccepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return oleandervane.ConnectionRefused
	}
	return oleandervane.ConnectionUnknown
}
