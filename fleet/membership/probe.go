package membership

import (
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
)

// probe exchanges packets with a VM of this region and probes it through helpers if it does not respond.
func (membership *Membership) probe(target oleandervane.EntryVM, startedAt time.Time) action {
	return func() {
		membership.settings.Transport.Exchange(target.PeerAddress, membership.packet(target, nil), DirectTimeout, func(response *peer.Packet, err error) {
			if err != nil {
				membership.probeIndirectly(target, startedAt)
				return
			}
			membership.receiveResponse(response)
			if response.From.GetId() != string(target.ID) {
				// Another VM responds at the address. Its record takes precedence if its incarnation is larger.
				membership.probeIndirectly(target, startedAt)
			}
		})
	}
}

// indirectProbe collects the responses of helpers.
type indirectProbe struct {
	target    oleandervane.EntryVM
	started   time.Time
	pending   int
	responses int
	helpers   int
	reached   bool
}

func (membership *Membership) probeIndirectly(target oleandervane.EntryVM, startedAt time.Time) {
	now := membership.settings.TimerService.Now()
	membership.mutex.Lock()
	membership.detectPause(now)
	if membership.stopped || membership.resumedAt.After(startedAt) {
		membership.mutex.Unlock()
		return
	}
	helpers := membership.chooseHelpers(target)
	indirect := &indirectProbe{target: target, started: startedAt, pending: len(helpers), helpers: len(helpers)}
	var actions []action
	if len(helpers) == 0 {
		actions = membership.concludeProbe(indirect, now)
	}
	membership.mutex.Unlock()
	membership.run(actions)
	request := &peer.IndirectProbeRequest{Target: Record{VM: target}.Wire()}
	for _, helper := range helpers {
		membership.settings.Transport.IndirectProbe(helper.PeerAddress, request, IndirectTimeout, func(response *peer.IndirectProbeResponse, err error) {
			membership.handleHelperResponse(indirect, response, err)
		})
	}
}

// chooseHelpers returns 2 VMs of this region and 1 of another, so that a part of a region does not suspect a VM that
// other regions can still reach.
func (membership *Membership) chooseHelpers(target oleandervane.EntryVM) []oleandervane.EntryVM {
	view := membership.view.Load()
	own := view.Region(membership.self.VM.Region)
	var foreign []oleandervane.EntryVM
	for _, vm := range view.EntryVMs {
		if vm.Region != membership.self.VM.Region {
			foreign = append(foreign, vm)
		}
	}
	helpers := membership.sample(own, helperCount-min(1, len(foreign)), target.ID)
	return append(helpers, membership.sample(foreign, helperCount-len(helpers), target.ID)...)
}

// sample returns up to count random VMs, without this VM and the excluded one.
func (membership *Membership) sample(vms []oleandervane.EntryVM, count int, excluded oleandervane.VMID) []oleandervane.EntryVM {
	if len(vms) == 0 {
		return nil
	}
	var result []oleandervane.EntryVM
	start := membership.settings.Random.IntN(len(vms))
	// A prime stride visits each VM exactly once, unless the number of VMs is a multiple of it.
	stride := 1
	if len(vms)%31 != 0 {
		stride = 31
	}
	for index := 0; index < len(vms) && len(result) < count; index++ {
		vm := vms[(start+index*stride)%len(vms)]
		if vm.ID != membership.self.VM.ID && vm.ID != excluded {
			result = append(result, vm)
		}
	}
	return result
}

func (membership *Membership) handleHelperResponse(indirect *indirectProbe, response *peer.IndirectProbeResponse, err error) {
	now := membership.settings.TimerService.Now()
	membership.mutex.Lock()
	membership.detectPause(now)
	var actions []action
	if err == nil {
		indirect.responses++
		if response.Reached && response.Target.GetId() == string(indirect.target.ID) {
			indirect.reached = true
			actions = membership.mergeMessages([]*peer.VMRecord{response.Target}, now)
		}
	}
	indirect.pending--
	if indirect.pending == 0 {
		actions = append(actions, membership.concludeProbe(indirect, now)...)
	}
	membership.mutex.Unlock()
	membership.run(actions)
}

// concludeProbe suspects a VM that neither this VM nor its helpers reached.
func (membership *Membership) concludeProbe(indirect *indirectProbe, now time.Time) []action {
	entry := membership.table.entries[indirect.target.ID]
	if entry == nil || entry.record.VM.Incarnation != indirect.target.Incarnation || entry.record.VM.State == oleandervane.VMDead {
		return nil
	}
	if indirect.reached {
		if entry.record.VM.State == oleandervane.VMLeaving {
			membership.table.clearSuspicion(entry)
		}
		return nil
	}
	if membership.stopped || membership.resumedAt.After(indirect.started) {
		return nil
	}
	isolated := indirect.responses == 0 && now.Sub(membership.receivedAt) > isolationTime
	if isolated && indirect.helpers > 0 {
		return nil
	}
	if entry.record.VM.State == oleandervane.VMAlive {
		membership.table.merge(entry.record.WithState(oleandervane.VMSuspect), now)
		return membership.spreadChanges([]oleandervane.VMID{indirect.target.ID}, now)
	}
	// A leaving VM remains in its state while it is suspected: it must not appear to accept work again.
	membership.table.startSuspicion(entry, now.Add(membership.suspicionTimeout(now)))
	return nil
}

func (membership *Membership) suspicionTimeout(now time.Time) time.Duration {
	if !membership.resumedAt.IsZero() && now.Sub(membership.resumedAt) < recoveryTime {
		return 2 * SuspicionTimeout
	}
	return SuspicionTimeout
}

// HandleIndirectProbe probes the target for a peer and calls respond once.
func (membership *Membership) HandleIndirectProbe(request *peer.IndirectProbeRequest, respond func(*peer.IndirectProbeResponse)) {
	target, err := RecordFromWire(request.GetTarget())
	if err != nil {
		respond(&peer.IndirectProbeResponse{})
		return
	}
	// The helper has to respond before the timeout of the requesting VM.
	timeout := IndirectTimeout * 3 / 4
	membership.settings.Transport.Exchange(target.VM.PeerAddress, membership.packet(target.VM, nil), timeout, func(response *peer.Packet, err error) {
		if err != nil {
			respond(&peer.IndirectProbeResponse{})
			return
		}
		membership.receiveResponse(response)
		respond(&peer.IndirectProbeResponse{Reached: true, Target: response.From})
	})
}
