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

// Times and counts of the failure detector. With them a VM that stops is dead in its region after at most
// 2 s (longest gap between two probes of a VM) + DirectTimeout + IndirectTimeout + SuspicionTimeout +
// 2 ticks = 4.7 s.
const (
	// TickPeriod is how often deadlines are looked at.
	TickPeriod = 250 * time.Millisecond
	// ProbePeriod is how often a VM probes a peer of its region.
	ProbePeriod = time.Second
	// DirectTimeout and IndirectTimeout fit a round trip between the regions that are farthest apart.
	DirectTimeout   = 300 * time.Millisecond
	IndirectTimeout = 400 * time.Millisecond
	// SuspicionTimeout is how long a VM has to refute. It covers short pauses and several lost messages.
	SuspicionTimeout = 1500 * time.Millisecond
	// PauseThreshold is the gap between two ticks from which on this VM takes itself for paused.
	PauseThreshold = time.Second
	// recoveryTime is how long after a pause this VM doubles the time that others have to refute.
	recoveryTime = 10 * time.Second
	// isolationTime is how long a VM that heard from nobody at all blames itself and suspects no one.
	isolationTime = 2 * time.Second
	// SilenceSuspect and SilenceDead are the times without a heartbeat after which all VMs of another region
	// are taken as suspect and as dead.
	SilenceSuspect = 20 * time.Second
	SilenceDead    = 30 * time.Second
	// deadKept is how long the dead are remembered and tried again.
	deadKept = 2 * time.Hour
	// deadTryRounds is the number of probe rounds for each attempt to reach a dead VM again.
	deadTryRounds = 5
	helperCount   = 3
	// delegateCount is how many VMs of a region talk to other regions in an epoch.
	delegateCount = 3
	delegateTopic = "delegate"
	// pushFanOut is the number of peers that urgent news goes to.
	pushFanOut = 4
	pushDelay  = 40 * time.Millisecond
	// updatesPerPacket and sendsPerUpdate bound what rides on probes.
	updatesPerPacket = 8
	sendsPerUpdate   = 6
	// settleTime is how long after a change of a region differences are left to pushes before they are repaired.
	settleTime = 2 * time.Second
	// joinTime is how long after the start differences are repaired at once.
	joinTime = 10 * time.Second
)

// Transport carries messages to peers. It returns at once and calls done later, never from within the call;
// messages must not be changed after they were handed over.
type Transport interface {
	Exchange(to netip.AddrPort, packet *peer.Packet, timeout time.Duration, done func(*peer.Packet, error))
	Push(to netip.AddrPort, packet *peer.Packet, timeout time.Duration, done func(error))
	IndirectProbe(to netip.AddrPort, request *peer.IndirectProbeRequest, timeout time.Duration, done func(*peer.IndirectProbeResponse, error))
	Compare(to netip.AddrPort, request *peer.CompareRequest, timeout time.Duration, done func(*peer.CompareResponse, error))
}

// Piggyback adds its own parts to packets and reads those of others. It is called without locks of this package.
type Piggyback interface {
	// Fill adds parts to a packet for a peer; for a response, request is the packet that is answered.
	Fill(packet, request *peer.Packet, to oleandervane.EntryVM)
	// Receive reads the parts of a packet.
	Receive(packet *peer.Packet, from oleandervane.EntryVM)
}

// Settings are what a Membership needs. All fields but Piggyback, Seeds and Changed are required.
type Settings struct {
	Self         oleandervane.EntryVM
	TimerService oleandervane.TimerService
	Transport    Transport
	Random       *rand.Rand
	Piggyback    Piggyback
	// Seeds are addresses to join through, from the VM's settings.
	Seeds []netip.AddrPort
	// Changed is called after the set of VMs or a state changed; it must not block.
	Changed func()
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

	startedAt time.Time
	lastPulse time.Time
	probedAt  time.Time
	wokeAt    time.Time
	heardAt   time.Time
	rounds    int
	// candidates are addresses that the platform list or the settings name.
	candidates []netip.AddrPort

	rumors      map[oleandervane.VMID]int
	urgent      map[oleandervane.VMID]bool
	pushPending bool
	comparing   bool
	nextRegion  int
	silence     map[oleandervane.Region]oleandervane.VMState
}

var _ oleandervane.Membership = (*Membership)(nil)

// New returns a Membership that knows only itself and the seeds. Call Start to begin probing.
func New(settings Settings) *Membership {
	now := settings.TimerService.Now()
	membership := &Membership{
		settings:   settings,
		table:      newTable(),
		self:       Record{VM: settings.Self.WithState(oleandervane.VMAlive), Version: 1},
		startedAt:  now,
		lastPulse:  now,
		heardAt:    now,
		candidates: slices.Clone(settings.Seeds),
		rumors:     map[oleandervane.VMID]int{},
		urgent:     map[oleandervane.VMID]bool{},
		silence:    map[oleandervane.Region]oleandervane.VMState{},
	}
	membership.table.merge(membership.self, now)
	membership.rebuild()
	return membership
}

// Start begins probing. The first probe goes out at once, to a seed.
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

// Stop ends probing without telling anybody. Call Leave first and, at the end, Depart.
func (membership *Membership) Stop() {
	membership.mutex.Lock()
	defer membership.mutex.Unlock()
	membership.stopped = true
	for _, cancel := range membership.cancels {
		cancel()
	}
}

// Leave tells peers that this VM takes no new work. Later calls have no effect.
func (membership *Membership) Leave() {
	membership.announce(oleandervane.VMLeaving)
}

// Depart tells peers that this VM is gone, so that they need not find out by probes.
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
	outgoing := membership.afterChange(changed, now)
	if vmState == oleandervane.VMDead {
		// The caller stops next, so the news cannot wait for the push delay.
		outgoing = append(outgoing, membership.takeUrgent(now)...)
	}
	membership.mutex.Unlock()
	membership.run(outgoing)
}

// Superseded returns the incarnation of a later run of this VM's id, if a peer knows of one. The process
// should exit: peers ignore what it says of itself.
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

// AddCandidates names addresses at which VMs may be found, such as those of the platform list. The list lags:
// it adds places to look, and never changes the state of a VM.
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

// notePause moves deadlines when this VM itself did not run for a while. What timed out meanwhile says nothing
// about other VMs.
func (membership *Membership) notePause(now time.Time) {
	gap := now.Sub(membership.lastPulse)
	if gap > PauseThreshold {
		membership.table.shift(gap)
		membership.wokeAt = now
		membership.heardAt = now
	}
	membership.lastPulse = now
}

func (membership *Membership) tick(now time.Time) {
	membership.mutex.Lock()
	if membership.stopped {
		membership.mutex.Unlock()
		return
	}
	membership.notePause(now)
	actions := membership.expire(now)
	if now.Sub(membership.probedAt) >= ProbePeriod {
		membership.probedAt = now
		actions = append(actions, membership.round(now)...)
	}
	membership.mutex.Unlock()
	membership.run(actions)
}

// expire declares dead whose suspicion timeout has passed.
func (membership *Membership) expire(now time.Time) []action {
	var changed []oleandervane.VMID
	for _, held := range membership.table.suspected {
		if now.Before(held.deadline) {
			continue
		}
		changed = append(changed, held.record.VM.ID)
	}
	slices.Sort(changed)
	for _, vmID := range changed {
		membership.table.merge(membership.table.entries[vmID].record.WithState(oleandervane.VMDead), now)
	}
	return membership.afterChange(changed, now)
}

// round does what is due once a second.
func (membership *Membership) round(now time.Time) []action {
	membership.rounds++
	var actions []action
	if membership.updateSilence(now) {
		actions = append(actions, membership.rebuildAndTell()...)
	}
	if membership.rounds%60 == 0 {
		membership.table.forget(now, deadKept)
	}
	view := membership.view.Load()
	own := view.Region(membership.self.VM.Region)
	if target, found := ringSuccessor(membership.self.VM.ID, own, now); found {
		actions = append(actions, membership.probe(target, now))
	}
	if len(view.EntryVMs) == 1 || membership.rounds%deadTryRounds == 0 {
		actions = append(actions, membership.tryCandidate(view)...)
		actions = append(actions, membership.tryDead()...)
	}
	if membership.delegate(own, now) {
		ownRegion := membership.table.region(membership.self.VM.Region, now)
		ownRegion.mergeHeartbeat(ownRegion.heartbeat+1, now)
		actions = append(actions, membership.contactRegion()...)
	}
	return actions
}

func (membership *Membership) delegate(own []oleandervane.EntryVM, now time.Time) bool {
	return Rank(membership.self.VM.ID, own, delegateTopic, Epoch(now)) < delegateCount
}

// ringSuccessor returns the VM to probe in the current round. In each round the VMs of a region stand in a
// random order, the same on all VMs that agree on time and members, so that each VM is probed by exactly one peer.
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

// tryCandidate contacts an address of the settings or the platform list at which no live VM is known.
func (membership *Membership) tryCandidate(view *View) []action {
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

// tryDead contacts a dead VM of this region: it may have been cut off, and nobody else would tell it.
func (membership *Membership) tryDead() []action {
	var dead []oleandervane.EntryVM
	for _, held := range membership.table.region(membership.self.VM.Region, membership.lastPulse).members {
		if held.record.VM.State == oleandervane.VMDead && held.record.VM.ID != membership.self.VM.ID {
			dead = append(dead, held.record.VM)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	slices.SortFunc(dead, compareIDs)
	target := dead[membership.settings.Random.IntN(len(dead))]
	return []action{membership.contact(target.PeerAddress, target)}
}

// contactRegion exchanges with a random VM of the next other region, whatever state the region is in.
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
	target, found := membership.randomOf(view)
	if !found {
		return nil
	}
	return []action{membership.contact(target.PeerAddress, target)}
}

// randomOf returns a VM of another region, at first one that its region does not call dead.
func (membership *Membership) randomOf(view *regionView) (oleandervane.EntryVM, bool) {
	var alive, all []oleandervane.EntryVM
	for _, held := range view.members {
		all = append(all, held.record.VM)
		if held.record.VM.State != oleandervane.VMDead {
			alive = append(alive, held.record.VM)
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

// contact exchanges with a VM without drawing conclusions when it does not answer.
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
