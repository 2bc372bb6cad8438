package membership

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
)

// Constants of the failure detector. With them, a VM that stops is declared dead in its region after at most 2 s
// (longest gap between two probes of a VM) + DirectTimeout + IndirectTimeout + SuspicionTimeout + 2 ticks = 4.7 s.
const (
	// TickPeriod is the period at which deadlines are checked.
	TickPeriod = 250 * time.Millisecond
	// ProbePeriod is the period at which a VM probes a peer of its region.
	ProbePeriod = time.Second
	// DirectTimeout and IndirectTimeout are long enough for a round trip between the regions that are farthest apart.
	DirectTimeout   = 300 * time.Millisecond
	IndirectTimeout = 400 * time.Millisecond
	// SuspicionTimeout is how long a suspected VM has to refute. It covers short pauses and several lost messages.
	SuspicionTimeout = 1500 * time.Millisecond
	// PauseThreshold is the gap between two ticks above which this VM concludes that it was paused itself.
	PauseThreshold = time.Second
	// recoveryTime is how long after a pause this VM doubles the suspicion timeout of other VMs.
	recoveryTime = 10 * time.Second
	// isolationTime is the time without any received message after which a VM regards itself as isolated and suspects
	// no other VM.
	isolationTime = 2 * time.Second
	// HeartbeatSuspectTimeout and HeartbeatDeadTimeout are the times without a heartbeat after which all VMs of another
	// region are regarded as suspect and as dead.
	HeartbeatSuspectTimeout = 20 * time.Second
	HeartbeatDeadTimeout    = 30 * time.Second
	// deadRetention is how long the records of dead VMs are retained and their addresses retried.
	deadRetention = 2 * time.Hour
	// deadRetryRounds is the number of probe rounds between attempts to reach a dead VM again.
	deadRetryRounds = 5
	helperCount     = 3
	// delegateCount is the number of VMs of a region that contact other regions in an epoch.
	delegateCount = 3
	delegateTopic = "delegate"
	// pushFanOut is the number of peers to which urgent updates are pushed.
	pushFanOut = 4
	pushDelay  = 40 * time.Millisecond
	// updatesPerPacket and sendsPerUpdate bound the updates that probes carry.
	updatesPerPacket = 8
	sendsPerUpdate   = 6
	// settleTime is how long after a change in a region pushes may still remove the differences between views of it; only
	// then does a comparison repair them.
	settleTime = 2 * time.Second
	// joinTime is how long after the start differences are repaired at once, without settleTime.
	joinTime = 10 * time.Second
)

// Transport sends messages to peers. Calls return at once and call done later, never from within the call; messages
// must not be changed after they were passed.
type Transport interface {
	Exchange(to netip.AddrPort, packet *peer.Packet, timeout time.Duration, done func(*peer.Packet, error))
	Push(to netip.AddrPort, packet *peer.Packet, timeout time.Duration, done func(error))
	IndirectProbe(to netip.AddrPort, request *peer.IndirectProbeRequest, timeout time.Duration, done func(*peer.IndirectProbeResponse, error))
	Compare(to netip.AddrPort, request *peer.CompareRequest, timeout time.Duration, done func(*peer.CompareResponse, error))
}

// Piggyback adds data to packets and processes the data in received ones. It is called without locks of this package.
type Piggyback interface {
	// Fill adds data to a packet for a peer. For a response, request is the packet that it responds to; otherwise it is
	// nil.
	Fill(packet, request *peer.Packet, to oleandervane.EntryVM)
	// Receive processes the data in a packet.
	Receive(packet *peer.Packet, from oleandervane.EntryVM)
}

// Settings configure a Membership. All fields but Piggyback, Seeds and VMsChanged are required.
type Settings struct {
	Self         oleandervane.EntryVM
	TimerService oleandervane.TimerService
	Transport    Transport
	Random       *rand.Rand
	Piggyback    Piggyback
	// Seeds are the addresses to join through, from the VM's settings.
	Seeds []netip.AddrPort
	// VMsChanged is called after the set of VMs or a state changed; it must not block.
	VMsChanged func()
}

// Membership implements oleandervane.Membership.
type Membership struct {
	settings Settings
	view     atomic.Pointer[View]

	mutex      sync.Mutex
	table      *table
	self       Record
	superseded oleandervane.Incarnation
	stopped    bool
	cancels    []func()

	startedAt    time.Time
	lastActiveAt time.Time
	probedAt     time.Time
	resumedAt    time.Time
	receivedAt   time.Time
	roundCount   int
	// candidates are the addresses in the platform list and the settings.
	candidates []netip.AddrPort

	updateSends     map[oleandervane.VMID]int
	urgentUpdates   map[oleandervane.VMID]bool
	pushPending     bool
	comparing       bool
	nextRegion      int
	heartbeatStates map[oleandervane.Region]oleandervane.VMState
}

var _ oleandervane.Membership = (*Membership)(nil)

// New returns a Membership that has only this VM and the seeds. Call Start to begin probing.
func New(settings Settings) *Membership {
	now := settings.TimerService.Now()
	membership := &Membership{
		settings:        settings,
		table:           newTable(),
		self:            Record{VM: settings.Self.WithState(oleandervane.VMAlive), Version: 1},
		startedAt:       now,
		lastActiveAt:    now,
		receivedAt:      now,
		candidates:      slices.Clone(settings.Seeds),
		updateSends:     map[oleandervane.VMID]int{},
		urgentUpdates:   map[oleandervane.VMID]bool{},
		heartbeatStates: map[oleandervane.Region]oleandervane.VMState{},
	}
	membership.table.merge(membership.self, now)
	membership.rebuildView()
	return membership
}

// Start begins probing. The first message is sent at once, to a seed.
func (membership *Membership) Start() {
	timerService := membership.settings.TimerService
	membership.mutex.Lock()
	defer membership.mutex.Unlock()
	phase := time.Duration(membership.settings.Random.Int64N(int64(TickPeriod)))
	cancelPhase := timerService.After(phase, func(now time.Time) {
		cancel := timerService.Every(TickPeriod, membership.tick)
		membership.mutex.Lock()
		if membership.stopped {
			defer cancel()
		}
		membership.cancels = append(membership.cancels, cancel)
		membership.mutex.Unlock()
		membership.tick(now)
	})
	membership.cancels = append(membership.cancels, cancelPhase)
}

// Stop ends probing without an announcement. Call Leave first and, at the end, Depart.
func (membership *Membership) Stop() {
	membership.mutex.Lock()
	defer membership.mutex.Unlock()
	membership.stopped = true
	for _, cancel := range membership.cancels {
		cancel()
	}
}

// Leave announces to peers that this VM accepts no new work. Later calls have no effect.
func (membership *Membership) Leave() {
	membership.announce(oleandervane.VMLeaving)
}

// Depart announces to peers that this VM is gone, so that they do not have to detect it by probes.
func (membership *Membership) Depart() {
	membership.announce(oleandervane.VMDead)
}

func (membership *Membership) announce(vmState oleandervane.VMState) {
	now := membership.settings.TimerService.Now()
	membership.mutex.Lock()
	if membership.self.VM.State >= vmState {
		membership.mutex.Unlock()
		return
	}
	membership.self = membership.self.WithState(vmState)
	membership.self.Version++
	changed := membership.table.merge(membership.self, now)
	outgoing := membership.spreadChanges(changed, now)
	if vmState == oleandervane.VMDead {
		// The caller stops next, so the update cannot wait for the push delay.
		outgoing = append(outgoing, membership.pushUrgent(now)...)
	}
	membership.mutex.Unlock()
	membership.run(outgoing)
}

// Superseded returns the incarnation of a later run with this VM's id, if a peer has reported one. The process should
// then exit, because peers ignore its records.
func (membership *Membership) Superseded() (oleandervane.Incarnation, bool) {
	membership.mutex.Lock()
	defer membership.mutex.Unlock()
	return membership.superseded, membership.superseded != 0
}

// EntryVMs returns all known VMs that are not dead, ordered by id. The slice must not be changed.
func (membership *Membership) EntryVMs() []oleandervane.EntryVM {
	return membership.view.Load().EntryVMs
}

// Self returns this VM.
func (membership *Membership) Self() oleandervane.EntryVM {
	return membership.view.Load().Self
}

// View returns the current view.
func (membership *Membership) View() *View {
	return membership.view.Load()
}

// AddCandidates sets the addresses at which VMs may be found, such as those of the platform list. The list lags: it
// only adds addresses to contact, and never changes the state of a VM.
func (membership *Membership) AddCandidates(addresses []netip.AddrPort) {
	membership.mutex.Lock()
	defer membership.mutex.Unlock()
	membership.candidates = append(slices.Clone(membership.settings.Seeds), addresses...)
}

// action is a call that is made after the lock is released.
type action func()

func (membership *Membership) run(actions []action) {
	for _, action := range actions {
		action()
	}
}

// detectPause extends deadlines if this VM itself did not run for a while. Timeouts that passed meanwhile are no
// evidence about other VMs.
func (membership *Membership) detectPause(now time.Time) {
	gap := now.Sub(membership.lastActiveAt)
	if gap > PauseThreshold {
		membership.table.extendDeadlines(gap)
		membership.resumedAt = now
		membership.receivedAt = now
	}
	membership.lastActiveAt = now
}

func (membership *Membership) tick(now time.Time) {
	membership.mutex.Lock()
	if membership.stopped {
		membership.mutex.Unlock()
		return
	}
	membership.detectPause(now)
	actions := membership.expireSuspicions(now)
	if now.Sub(membership.probedAt) >= ProbePeriod {
		membership.probedAt = now
		actions = append(actions, membership.probeRound(now)...)
	}
	membership.mutex.Unlock()
	membership.run(actions)
}

// expireSuspicions declares the VMs dead whose suspicion timeout has passed.
func (membership *Membership) expireSuspicions(now time.Time) []action {
	var changed []oleandervane.VMID
	for _, entry := range membership.table.suspected {
		if now.Before(entry.deadline) {
			continue
		}
		changed = append(changed, entry.record.VM.ID)
	}
	slices.Sort(changed)
	for _, vmID := range changed {
		membership.table.merge(membership.table.entries[vmID].record.WithState(oleandervane.VMDead), now)
	}
	return membership.spreadChanges(changed, now)
}

// probeRound runs the work that is due once a second.
func (membership *Membership) probeRound(now time.Time) []action {
	membership.roundCount++
	var actions []action
	if membership.updateHeartbeatStates(now) {
		actions = append(actions, membership.rebuildViewAndNotify()...)
	}
	if membership.roundCount%60 == 0 {
		membership.table.removeDead(now, deadRetention)
	}
	view := membership.view.Load()
	own := view.Region(membership.self.VM.Region)
	if target, found := ringSuccessor(membership.self.VM.ID, own, now); found {
		actions = append(actions, membership.probe(target, now))
	}
	if len(view.EntryVMs) == 1 || membership.roundCount%deadRetryRounds == 0 {
		actions = append(actions, membership.contactCandidates(view)...)
		actions = append(actions, membership.contactDead()...)
	}
	if membership.isDelegate(own, now) {
		ownRegion := membership.table.region(membership.self.VM.Region, now)
		ownRegion.mergeHeartbeat(ownRegion.heartbeat+1, now)
		actions = append(actions, membership.contactRegion()...)
	}
	return actions
}

func (membership *Membership) isDelegate(own []oleandervane.EntryVM, now time.Time) bool {
	return Rank(membership.self.VM.ID, own, delegateTopic, Epoch(now)) < delegateCount
}

// ringSuccessor returns the VM to probe in the current round. In each round the VMs of a region form a ring in a random
// order, which is the same on all VMs that agree on time and members, so that each VM is probed by exactly one peer.
func ringSuccessor(self oleandervane.VMID, vms []oleandervane.EntryVM, now time.Time) (oleandervane.EntryVM, bool) {
	round := uint64(now.UnixNano() / int64(ProbePeriod))
	own := Weight(self, "probe", round)
	var first, next oleandervane.EntryVM
	var firstWeight, nextWeight uint64
	found, foundNext := false, false
	for _, vm := range vms {
		if vm.ID == self {
			continue
		}
		weight := Weight(vm.ID, "probe", round)
		if !found || weight < firstWeight {
			first, firstWeight, found = vm, weight, true
		}
		if weight > own && (!foundNext || weight < nextWeight) {
			next, nextWeight, foundNext = vm, weight, true
		}
	}
	if foundNext {
		return next, true
	}
	return first, found
}

// contactCandidates contacts an address from the settings or the platform list at which no live VM is known; up to
// helperCount addresses if this VM knows no other VM.
func (membership *Membership) contactCandidates(view *View) []action {
	var unknown []netip.AddrPort
	for _, address := range membership.candidates {
		if _, found := membership.table.addresses[address]; !found {
			unknown = append(unknown, address)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	count := 1
	if len(view.EntryVMs) == 1 {
		count = min(helperCount, len(unknown))
	}
	var actions []action
	for range count {
		address := unknown[membership.settings.Random.IntN(len(unknown))]
		actions = append(actions, membership.contact(address, oleandervane.EntryVM{PeerAddress: address}))
	}
	return actions
}

// contactDead contacts a dead VM of this region: it may have been cut off, and no other VM would inform it.
func (membership *Membership) contactDead() []action {
	var dead []oleandervane.EntryVM
	for _, entry := range membership.table.region(membership.self.VM.Region, membership.lastActiveAt).members {
		if entry.record.VM.State == oleandervane.VMDead && entry.record.VM.ID != membership.self.VM.ID {
			dead = append(dead, entry.record.VM)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	slices.SortFunc(dead, compareIDs)
	target := dead[membership.settings.Random.IntN(len(dead))]
	return []action{membership.contact(target.PeerAddress, target)}
}

// contactRegion exchanges packets with a random VM of the next other region, whatever state that region is in.
func (membership *Membership) contactRegion() []action {
	var names []oleandervane.Region
	for name := range membership.table.regions {
		if name != membership.self.VM.Region {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	membership.nextRegion++
	view := membership.table.regions[names[membership.nextRegion%len(names)]]
	target, found := membership.randomVM(view)
	if !found {
		return nil
	}
	return []action{membership.contact(target.PeerAddress, target)}
}

// randomVM returns a random VM of another region, preferably one that its own region does not regard as dead.
func (membership *Membership) randomVM(view *regionView) (oleandervane.EntryVM, bool) {
	var alive, all []oleandervane.EntryVM
	for _, entry := range view.members {
		all = append(all, entry.record.VM)
		if entry.record.VM.State != oleandervane.VMDead {
			alive = append(alive, entry.record.VM)
		}
	}
	if len(alive) > 0 {
		all = alive
	}
	if len(all) == 0 {
		return oleandervane.EntryVM{}, false
	}
	slices.SortFunc(all, compareIDs)
	return all[membership.settings.Random.IntN(len(all))], true
}

// contact exchanges packets with a VM; a missing response has no consequences.
func (membership *Membership) contact(address netip.AddrPort, target oleandervane.EntryVM) action {
	return func() {
		membership.settings.Transport.Exchange(address, membership.packet(target, nil), IndirectTimeout, func(response *peer.Packet, err error) {
			if err == nil {
				membership.receiveResponse(response)
			}
		})
	}
}

func compareIDs(a, b oleandervane.EntryVM) int { return cmp.Compare(a.ID, b.ID) }

// SelfRecord returns this VM's own record.
func (membership *Membership) SelfRecord() Record {
	membership.mutex.Lock()
	defer membership.mutex.Unlock()
	return membership.self
}
