package hosted

import (
	"net/netip"
	"sync/atomic"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/exchange"
)

// startExchange opens the socket for notices and begins to send and receive them.
func (entryVM *EntryVM) startExchange(address netip.AddrPort) (stop func(), err error) {
	socket, err := exchange.Listen(address)
	if err != nil {
		return nil, err
	}
	notices := exchange.New(exchange.Settings{
		TimerService: entryVM.timerService,
		Membership:   entryVM.roster,
		InFlight:     entryVM.placer,
		Suspicions:   suspicions{entryVM.forwarder.Quarantine()},
		Store:        entryVM.contact,
		Sender:       socket,
	})
	entryVM.observer.set.NewGauge("oleandervane_notices_dropped", func() float64 { return float64(socket.Dropped()) })
	go func() {
		if err := socket.Receive(notices.Receive); err != nil {
			entryVM.log.WithError(err).Error("notices of other VMs are no longer received; loads are known from servers only")
		}
	}()
	cancel := notices.Run()
	return func() {
		cancel()
		if err := socket.Close(); err != nil {
			entryVM.log.WithError(err).Warn("socket for notices could not be closed")
		}
	}, nil
}

// storeContact tells how far this VM knows the store.
type storeContact struct {
	timerService oleandervane.TimerService
	revision     atomic.Uint64
	// contactAt is when the store last answered.
	contactAt atomic.Pointer[time.Time]
}

// StoreRevision returns the revision up to which this VM knows the store, and whether the store answered a moment ago.
func (contact *storeContact) StoreRevision() (revision uint64, fresh bool) {
	return contact.revision.Load(), false
}
