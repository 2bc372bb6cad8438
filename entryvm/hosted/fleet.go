package hosted

import (
	"net/http"
	"net/netip"

	"oleandervane.example"
	"oleandervane.example/fleet/exchange"
	"oleandervane.example/fleet/peer"
	"oleandervane.example/fleet/registrywatch"
	"oleandervane.example/fleet/relay"
)

// joinFleet makes the parts by which this VM tells other VMs what it knows and learns from them.
func (entryVM *EntryVM) joinFleet(settings Settings) {
	entryVM.noticeSocket = &exchange.Socket{}
	entryVM.notices = exchange.New(exchange.Settings{
		TimerService: entryVM.timerService,
		Membership:   entryVM.roster,
		InFlight:     entryVM.placer,
		Affinity:     entryVM.placer,
		Suspects:     suspicions{entryVM.forwarder.Quarantine()},
		Store:        entryVM.board,
		Sender:       entryVM.noticeSocket,
	})
	entryVM.relayClient = relay.NewClient()
	follower := relay.NewFollower(relay.Settings{
		TimerService: entryVM.timerService,
		Membership:   entryVM.roster,
		Notices:      entryVM.notices,
		Caller:       entryVM.relayClient,
	})
	entryVM.watcher = registrywatch.New(
		entryVM.contact,
		relayRoles{Board: entryVM.board, Follower: follower},
		entryVM.timerService,
		passedOn{beliefs: entryVM.beliefs, board: entryVM.board},
		settings.changeLimit(),
	)
	entryVM.observer.storeFailed = entryVM.watcher.Interrupt
}

// relayRoles are both roles that a VM may have.
type relayRoles struct {
	*relay.Board
	*relay.Follower
}

// passedOn takes over what the watcher learns, for this VM and for those that follow it. The board comes second: the
// roster says whether this VM is followed.
type passedOn struct {
	*beliefs
	board *relay.Board
}

// Replace takes over all entries.
func (passedOn passedOn) Replace(entries []oleandervane.StoreEntry, revision uint64) {
	passedOn.beliefs.Replace(entries, revision)
	passedOn.board.Replace(entries, revision)
}

// Apply takes over changes in order.
func (passedOn passedOn) Apply(storeChanges oleandervane.StoreChanges) {
	passedOn.beliefs.Apply(storeChanges)
	passedOn.board.Apply(storeChanges)
}

// startNotices opens the socket for notices and begins to send and receive them.
func (entryVM *EntryVM) startNotices(address netip.AddrPort) (stop func(), err error) {
	if err := entryVM.noticeSocket.Open(address); err != nil {
		return nil, err
	}
	go func() {
		receive := func(notice *peer.Notice) {
			entryVM.guard.run("notice", func() { entryVM.notices.Receive(notice) })
		}
		if err := entryVM.noticeSocket.Receive(receive); err != nil {
			entryVM.log.WithError(err).Error("notices of other VMs are no longer received; loads are known from servers only")
		}
	}()
	cancel := entryVM.notices.Run()
	return func() {
		cancel()
		if err := entryVM.noticeSocket.Close(); err != nil {
			entryVM.log.WithError(err).Warn("socket for notices could not be closed")
		}
	}, nil
}

func (entryVM *EntryVM) peerHandler() http.Handler {
	mux := http.NewServeMux()
	path, handler := relay.NewHandler(entryVM.board)
	mux.Handle(path, handler)
	return mux
}
