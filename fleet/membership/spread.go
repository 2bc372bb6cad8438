package membership

import (
	"cmp"
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
)

// spreadChanges publishes a new view and queues the changed records to be sent. The caller holds the lock.
func (membership *Membership) spreadChanges(changed []oleandervane.VMID, now time.Time) []action {
	if len(changed) == 0 {
		return nil
	}
	for _, vmID := range changed {
		entry := membership.table.entries[vmID]
		membership.updateSends[vmID] = 0
		membership.urgentUpdates[vmID] = true
		if entry.record.VM.State == oleandervane.VMSuspect {
			membership.table.startSuspicion(entry, now.Add(membership.suspicionTimeout(now)))
		}
	}
	return append(membership.rebuildViewAndNotify(), membership.schedulePush()...)
}

func (membership *Membership) schedulePush() []action {
	if membership.pushPending {
		return nil
	}
	membership.pushPending = true
	return []action{func() {
		membership.settings.TimerService.After(pushDelay, func(now time.Time) {
			membership.mutex.Lock()
			actions := membership.pushUrgent(now)
			membership.mutex.Unlock()
			membership.run(actions)
		})
	}}
}

// pushUrgent returns the pushes of all urgent updates: to pushFanOut peers of the region and, from a delegate, to one
// VM of each other region.
func (membership *Membership) pushUrgent(now time.Time) []action {
	membership.pushPending = false
	if len(membership.urgentUpdates) == 0 {
		return nil
	}
	var near, far []*peer.VMRecord
	for _, vmID := range sortedIDs(membership.urgentUpdates) {
		entry := membership.table.entries[vmID]
		if entry == nil {
			continue
		}
		near = append(near, entry.wire)
		if entry.record.VM.State != oleandervane.VMSuspect {
			far = append(far, entry.wire)
		}
	}
	clear(membership.urgentUpdates)
	view := membership.view.Load()
	own := view.Region(membership.self.VM.Region)
	actions := membership.pushTo(membership.sample(own, pushFanOut, ""), near)
	if len(far) == 0 || !membership.isDelegate(own, now) {
		return actions
	}
	for _, name := range view.Regions() {
		if name != membership.self.VM.Region {
			actions = append(actions, membership.pushTo(membership.sample(view.Region(name), 1, ""), far)...)
		}
	}
	return actions
}

func (membership *Membership) pushTo(targets []oleandervane.EntryVM, records []*peer.VMRecord) []action {
	var actions []action
	for _, target := range targets {
		for part := range slices.Chunk(records, peer.MaxUpdates) {
			packet := &peer.Packet{From: membership.self.Wire(), To: string(target.ID), Updates: part}
			actions = append(actions, func() {
				membership.settings.Transport.Push(target.PeerAddress, packet, IndirectTimeout, func(error) {})
			})
		}
	}
	return actions
}

func sortedIDs(set map[oleandervane.VMID]bool) []oleandervane.VMID {
	result := make([]oleandervane.VMID, 0, len(set))
	for vmID := range set {
		result = append(result, vmID)
	}
	slices.Sort(result)
	return result
}

// packet returns a packet for a peer, or a response to its request.
func (membership *Membership) packet(to oleandervane.EntryVM, request *peer.Packet) *peer.Packet {
	membership.mutex.Lock()
	packet := &peer.Packet{From: membership.self.Wire(), To: string(to.ID)}
	packet.Updates = membership.nextUpdates(to)
	packet.Regions = membership.regionStates()
	membership.mutex.Unlock()
	if membership.settings.Piggyback != nil {
		membership.settings.Piggyback.Fill(packet, request, to)
	}
	return packet
}

// nextUpdates returns the updates that were sent least often, preceded by the record of the receiver if it is suspect
// or dead, so that the receiver can refute it.
func (membership *Membership) nextUpdates(to oleandervane.EntryVM) []*peer.VMRecord {
	var result []*peer.VMRecord
	if entry := membership.table.entries[to.ID]; entry != nil && (entry.record.VM.State == oleandervane.VMSuspect || entry.record.VM.State == oleandervane.VMDead) {
		result = append(result, entry.wire)
	}
	waiting := make([]oleandervane.VMID, 0, len(membership.updateSends))
	for vmID := range membership.updateSends {
		waiting = append(waiting, vmID)
	}
	slices.SortFunc(waiting, func(a, b oleandervane.VMID) int {
		return cmp.Or(cmp.Compare(membership.updateSends[a], membership.updateSends[b]), cmp.Compare(a, b))
	})
	for _, vmID := range waiting[:min(len(waiting), updatesPerPacket)] {
		if entry := membership.table.entries[vmID]; entry != nil && vmID != to.ID {
			result = append(result, entry.wire)
		}
		membership.updateSends[vmID]++
		if membership.updateSends[vmID] >= sendsPerUpdate {
			delete(membership.updateSends, vmID)
		}
	}
	return result
}

func (membership *Membership) regionStates() []*peer.RegionState {
	result := make([]*peer.RegionState, 0, len(membership.table.regions))
	for name, view := range membership.table.regions {
		result = append(result, &peer.RegionState{Region: string(name), Digest: view.digest, Heartbeat: view.heartbeat})
	}
	slices.SortFunc(result, func(a, b *peer.RegionState) int { return cmp.Compare(a.Region, b.Region) })
	return result
}

// HandleExchange responds to a probe.
func (membership *Membership) HandleExchange(request *peer.Packet) (*peer.Packet, error) {
	from, err := membership.receive(request)
	if err != nil {
		return nil, err
	}
	return membership.packet(from, request), nil
}

// HandlePush merges urgent updates.
func (membership *Membership) HandlePush(request *peer.Packet) error {
	_, err := membership.receive(request)
	return err
}

// receive merges a packet and returns its sender.
func (membership *Membership) receive(packet *peer.Packet) (oleandervane.EntryVM, error) {
	if err := packet.Check(); err != nil {
		return oleandervane.EntryVM{}, err
	}
	from, err := RecordFromWire(packet.From)
	if err != nil {
		return oleandervane.EntryVM{}, err
	}
	now := membership.settings.TimerService.Now()
	membership.mutex.Lock()
	membership.detectPause(now)
	membership.receivedAt = now
	actions := membership.mergeMessages([]*peer.VMRecord{packet.From}, now)
	actions = append(actions, membership.mergeMessages(packet.Updates, now)...)
	if entry := membership.table.entries[from.VM.ID]; entry != nil && entry.record.VM.State == oleandervane.VMLeaving && entry.record.VM.Incarnation == from.VM.Incarnation {
		membership.table.clearSuspicion(entry)
	}
	for _, region := range packet.Regions {
		name := oleandervane.Region(region.Region)
		if view, found := membership.table.regions[name]; found {
			view.mergeHeartbeat(region.Heartbeat, now)
		}
	}
	membership.mutex.Unlock()
	membership.run(actions)
	if membership.settings.Piggyback != nil {
		membership.settings.Piggyback.Receive(packet, from.VM)
	}
	return from.VM, nil
}

// receiveResponse merges a response and repairs differences that its digests reveal.
func (membership *Membership) receiveResponse(response *peer.Packet) {
	from, err := membership.receive(response)
	if err != nil {
		return
	}
	membership.compareNext(from, response.Regions)
}

// mergeMessages merges records and returns the resulting actions. The caller holds the lock.
func (membership *Membership) mergeMessages(messages []*peer.VMRecord, now time.Time) []action {
	var changed []oleandervane.VMID
	for _, message := range messages {
		if !membership.table.mayBeNewer(message) {
			continue
		}
		record, err := RecordFromWire(message)
		if err != nil {
			continue
		}
		if record.VM.ID == membership.self.VM.ID {
			changed = append(changed, membership.refute(record, now)...)
			continue
		}
		changed = append(changed, membership.table.merge(record, now)...)
	}
	return membership.spreadChanges(changed, now)
}

// refute supersedes a record of this VM that is newer than its own by one with a larger version.
func (membership *Membership) refute(record Record, now time.Time) []oleandervane.VMID {
	if record.VM.Incarnation > membership.self.VM.Incarnation {
		membership.superseded = record.VM.Incarnation
		return nil
	}
	if record.VM.Incarnation < membership.self.VM.Incarnation || !record.NewerThan(membership.self) {
		return nil
	}
	membership.self.Version = record.Version + 1
	return membership.table.merge(membership.self, now)
}
