package hosted

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
	"oleandervane.example/fleet/exchange"
	"oleandervane.example/fleet/peer"
	"oleandervane.example/fleet/ratelimit"
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
	entryVM.rateLimiter = ratelimit.New(ratelimit.Settings{
		TimerService:  entryVM.timerService,
		Membership:    entryVM.roster,
		Settled:       entryVM.roster.Settled,
		HeardCapacity: entryVM.notices.HeardCapacity,
		Sender:        entryVM.notices,
		Observer:      entryVM.observer,
		Window:        time.Duration(settings.RateLimits.Window),
		Overage:       settings.RateLimits.Overage,
		Slack:         settings.RateLimits.Slack,
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
			entryVM.guard.run("notice", func() { entryVM.receive(notice) })
		}
		if err := entryVM.noticeSocket.Receive(receive); err != nil {
			entryVM.log.WithError(err).Error("notices of other VMs are no longer received; loads are known only from reports of servers")
		}
	}()
	cancelNotices, cancelLimiter := entryVM.notices.Run(), entryVM.rateLimiter.Run()
	return func() {
		cancelNotices()
		cancelLimiter()
		if err := entryVM.noticeSocket.Close(); err != nil {
			entryVM.log.WithError(err).Warn("notice socket could not be closed")
		}
	}, nil
}

// receive processes a datagram of another VM: a notice, or a message about rate limits.
func (entryVM *EntryVM) receive(notice *peer.Notice) {
	if tokens := notice.GetTokens(); tokens != nil {
		entryVM.rateLimiter.Receive(oleandervane.VMID(notice.GetVm()), oleandervane.Incarnation(notice.GetIncarnation()), tokens)
		return
	}
	entryVM.notices.Receive(notice)
}

const (
	// askedVMs is the number of VMs that a VM asks at its start. One may have died, and one may have just started too.
	askedVMs = 3
	// askTimeout bounds a call to another VM, which responds from memory.
	askTimeout = 500 * time.Millisecond
)

// askForEnds asks other VMs which servers have ended lately. The others send notices to this VM only when they have read its entry.
func (entryVM *EntryVM) askForEnds() {
	others := entryVM.roster.EntryVMs()
	self, _ := slices.BinarySearchFunc(others, entryVM.roster.Self().ID, func(vm oleandervane.EntryVM, id oleandervane.VMID) int {
		return cmp.Compare(vm.ID, id)
	})
	// Each VM asks those that follow it in the list, so that many that start at once ask different ones.
	others = slices.DeleteFunc(slices.Concat(others[self:], others[:self]), func(vm oleandervane.EntryVM) bool { return vm.ID == entryVM.roster.Self().ID })
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, vm := range others[:min(len(others), askedVMs)] {
		calls.Go(func() {
			serverEnds, err := entryVM.relayClient.ServerEnds(ctx, vm)
			if err != nil {
				entryVM.log.WithError(err).WithField("other_vm", vm.ID).Info("another VM did not say which servers have ended")
				return
			}
			entryVM.placer.MergeServerEnds(serverEnds)
		})
	}
	calls.Wait()
}

func (entryVM *EntryVM) peerHandler() http.Handler {
	mux := http.NewServeMux()
	path, handler := relay.NewHandler(entryVM.changeLog, entryVM.placer)
	mux.Handle(path, handler)
	return mux
}
