package membership

import (
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
)

// compareTimeout is enough for the transfer of all records of a large region.
const compareTimeout = 2 * time.Second

// compareNext compares the records of one region whose digest differs from the peer's, this VM's own region first.
func (membership *Membership) compareNext(with oleandervane.EntryVM, states []*peer.RegionState) {
	now := membership.settings.TimerService.Now()
	membership.mutex.Lock()
	request := membership.nextComparison(states, now)
	membership.mutex.Unlock()
	if request == nil {
		return
	}
	membership.settings.Transport.Compare(with.PeerAddress, request, compareTimeout, func(response *peer.CompareResponse, err error) {
		membership.handleCompareResponse(with, states, response, err)
	})
}

func (membership *Membership) nextComparison(states []*peer.RegionState, now time.Time) *peer.CompareRequest {
	if membership.comparing || membership.stopped {
		return nil
	}
	joining := now.Sub(membership.startedAt) < joinTime
	var chosen *peer.RegionState
	for _, state := range states {
		view, found := membership.table.regions[oleandervane.Region(state.Region)]
		if (found && view.digest == state.Digest) || (!found && state.Digest == 0) {
			continue
		}
		if found && !joining && now.Sub(view.changedAt) < settleTime {
			continue
		}
		if chosen == nil || oleandervane.Region(state.Region) == membership.self.VM.Region {
			chosen = state
		}
	}
	if chosen == nil {
		return nil
	}
	membership.comparing = true
	request := &peer.CompareRequest{Region: chosen.Region}
	if view, found := membership.table.regions[oleandervane.Region(chosen.Region)]; found {
		request.Versions = view.versions()
	}
	return request
}

// handleCompareResponse merges the response and sends the peer the records that it wants.
func (membership *Membership) handleCompareResponse(with oleandervane.EntryVM, states []*peer.RegionState, response *peer.CompareResponse, err error) {
	now := membership.settings.TimerService.Now()
	membership.mutex.Lock()
	membership.comparing = false
	if err != nil {
		membership.mutex.Unlock()
		return
	}
	joining := now.Sub(membership.startedAt) < joinTime
	actions := membership.mergeCompared(response.Newer, now, joining)
	wanted := membership.wantedRecords(response)
	actions = append(actions, membership.pushTo([]oleandervane.EntryVM{with}, wanted)...)
	membership.mutex.Unlock()
	membership.run(actions)
	if joining && len(response.Newer) > 0 {
		membership.compareNext(with, states)
	}
}

// mergeCompared merges the records of a comparison. A joining VM receives the records of the whole fleet this way and
// does not spread them, because the other VMs already have them.
func (membership *Membership) mergeCompared(messages []*peer.VMRecord, now time.Time, joining bool) []action {
	if !joining {
		return membership.mergeMessages(messages, now)
	}
	var changed []oleandervane.VMID
	for _, message := range messages {
		record, err := RecordFromWire(message)
		if err != nil {
			continue
		}
		if record.VM.ID == membership.self.VM.ID {
			changed = append(changed, membership.refute(record, now)...)
			continue
		}
		for _, vmID := range membership.table.merge(record, now) {
			entry := membership.table.entries[vmID]
			if entry.record.VM.State == oleandervane.VMSuspect {
				membership.table.startSuspicion(entry, now.Add(membership.suspicionTimeout(now)))
			}
		}
	}
	return append(membership.rebuildViewAndNotify(), membership.spreadChanges(changed, now)...)
}

// wantedRecords returns the records that the peer asked for, and those of which it sent an older version.
func (membership *Membership) wantedRecords(response *peer.CompareResponse) []*peer.VMRecord {
	var result []*peer.VMRecord
	for _, vmID := range response.Wanted {
		if entry := membership.table.entries[oleandervane.VMID(vmID)]; entry != nil {
			result = append(result, entry.wire)
		}
	}
	for _, message := range response.Newer {
		record, err := RecordFromWire(message)
		if err != nil {
			continue
		}
		if entry := membership.table.entries[record.VM.ID]; entry != nil && entry.record.NewerThan(record) {
			result = append(result, entry.wire)
		}
	}
	return result
}

// HandleCompare responds with the records of which the caller has an older version or none.
func (membership *Membership) HandleCompare(request *peer.CompareRequest) (*peer.CompareResponse, error) {
	if err := request.Check(); err != nil {
		return nil, err
	}
	now := membership.settings.TimerService.Now()
	membership.mutex.Lock()
	defer membership.mutex.Unlock()
	membership.detectPause(now)
	response := &peer.CompareResponse{}
	known := map[oleandervane.VMID]bool{}
	for _, version := range request.Versions {
		vmID := oleandervane.VMID(version.Id)
		known[vmID] = true
		theirs := messageVersion(&peer.VMRecord{Incarnation: version.Incarnation, Version: version.Version, State: version.State})
		entry := membership.table.entries[vmID]
		switch {
		case entry == nil || theirs.NewerThan(entry.record):
			response.Wanted = append(response.Wanted, version.Id)
		case entry.record.NewerThan(theirs):
			response.Newer = append(response.Newer, entry.wire)
		}
	}
	view, found := membership.table.regions[oleandervane.Region(request.Region)]
	if !found {
		return response, nil
	}
	for vmID, entry := range view.members {
		if !known[vmID] && entry.record.VM.State != oleandervane.VMDead {
			response.Newer = append(response.Newer, entry.wire)
		}
	}
	slices.SortFunc(response.Newer, func(a, b *peer.VMRecord) int { return compareIDs(idOf(a), idOf(b)) })
	return response, nil
}

func idOf(message *peer.VMRecord) oleandervane.EntryVM {
	return oleandervane.EntryVM{ID: oleandervane.VMID(message.Id)}
}
