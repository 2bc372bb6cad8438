package forward

import (
	"context"
	"errors"
	"net/netip"
	"syscall"
	"time"

	"oleandervane.example"
)

// ProbeConnection opens a connection to a backend server and calls done with the result. A request uses the connection afterwards.
func (forwarder *Forwarder) ProbeConnection(address netip.AddrPort, done func(oleandervane.ConnectionState)) {
	go func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		defer forwarder.timerService.After(forwarder.settings.ConnectTimeout, func(time.Time) { cancel() })()
		connection, _, err := forwarder.pool.acquire(ctx, address, true)
		switch {
		case err == nil:
			forwarder.pool.release(connection)
			done(oleandervane.ConnectionAccepted)
		case errors.Is(err, syscall.ECONNREFUSED):
			done(oleandervane.ConnectionRefused)
		default:
			done(oleandervane.ConnectionUnknown)
		}
	}()
}
