package hosted

import (
	"net/http"
	"net/netip"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
	"oleandervane.example/fleet/exchange"
	"oleandervane.example/fleet/peer"
	"oleandervane.example/fleet/registrywatch"
	"oleandervane.example/fleet/relay"
)

// joinFleet creates the parts that exchange state with other VMs.
func (entryVM *EntryVM) joinFleet(settings Settings) {
	entryVM.noticeSocket = &exchange.Socket{}
	entryVM.notices = exchange.New(exchange.Settings{
		TimerService: entryVM.timerService,
		Membership:   entryVM.roster,
		InFlight:     entryVM.placer,
		Affinity:     entryVM.placer,
		Suspects:     suspectTracker{entryVM.forwarder.Quarantine()},
		Directives:   entryVM.placer,
		ServerEnds:   entryVM.placer,
		Store:        entryVM.changeLog,
		Sender:       entryVM.noticeSocket,
	})
	entryVM.relayClient = relay.NewClient()
	entryVM.follower = relay.NewFollower(relay.Settings{
		TimerService: entryVM.timerService,
		Membership:   entryVM.roster,
		Notices:      entryVM.notices,
		Client:       entryVM.relayClient,
	})
	entryVM.watcher = registrywatch.New(
		entryVM.observedStore,
		relayRoles{ChangeLog: entryVM.changeLog, Follower: entryVM.follower},
		entryVM.timerService,
		storeSink{replica: entryVM.replica, changeLog: entryVM.changeLog, quarantine: entryVM.forwarder.Quarantine()},
		settings.changeLimit(),
	)
	entryVM.observer.storeFailed = entryVM.watcher.Interrupt
}

// relayRoles combines the two roles that a VM can have in a relay: delegate and follower.
type relayRoles struct {
	*relay.ChangeLog
	*relay.Follower
}

// storeSink applies the entries and changes that the watcher reads to the replica of this VM and to the change log for its
// followers. The change log comes second: the roster, which is updated with the replica, determines whether this VM has
// followers. The quarantines that the store has are restored before the VM can send requests.
type storeSink struct {
	*replica
	changeLog  *relay.ChangeLog
	quarantine *forward.Quarantine
}

// Replace replaces all entries.
func (storeSink storeSink) Replace(entries []oleandervane.StoreEntry, revision oleandervane.StoreRevision) {
	for _, entry := range entries {
		restoreQuarantine(storeSink.quarantine, entry)
	}
	storeSink.replica.Replace(entries, revision)
	storeSink.changeLog.Replace(entries, revision)
}

// Apply applies changes in order.
func (storeSink storeSink) Apply(storeChanges oleandervane.StoreChanges) {
	for _, change := range storeChanges.Changes {
		if !change.Removed {
			restoreQuarantine(storeSink.quarantine, change.Entry)
		}
	}
	storeSink.replica.Apply(storeChanges)
	storeSink.changeLog.Apply(storeChanges)
}

// StoreUnavailable keeps the replica in force. Followers get no entries until this VM has listed them again: an older list would show
// them the entries of VMs as they were before an outage.
func (storeSink storeSink) StoreUnavailable(err error) {
	storeSink.replica.StoreUnavailable(err)
	storeSink.changeLog.Clear()
}

// StoreRestored writes the entry of this VM again and lists the store again. A watch that waits may never return a change.
func (entryVM *EntryVM) StoreRestored(era oleandervane.StoreEra) {
	entryVM.observer.set.GetOrCreateCounter("oleandervane_store_restores_total").Inc()
	entryVM.log.WithField("era", era).Warn("the store was restored from a copy; this VM writes its entry and lists the store again")
	entryVM.roster.Restored()
	entryVM.watcher.Interrupt()
}

// startNotices opens the notice socket and starts to send and receive notices.
func (entryVM *EntryVM) startNotices(address netip.AddrPort) (stop func(), err error) {
	if err := entryVM.noticeSocket.Open(address); err != nil {
		return nil, err
	}
	go func() {
		receive := func(notice *peer.Notice) {
			entryVM.guard.run("notice", func() { entryVM.notices.Receive(notice) })
		}
		if err := entryVM.noticeSocket.Receive(receive); err != nil {
			entryVM.log.WithError(err).Error("notices of other VMs are no longer received; loads are known only from reports of servers")
		}
	}()
	cancel := entryVM.notices.Run()
	return func() {
		cancel()
		if err := entryVM.noticeSocket.Close(); err != nil {
			entryVM.log.WithError(err).Warn("notice socket could not be closed")
		}
	}, nil
}

func (entryVM *EntryVM) peerHandler() http.Handler {
	mux := http.NewServeMux()
	path, handler := relay.NewHandler(entryVM.changeLog)
	mux.Handle(path, handler)
	return mux
}
