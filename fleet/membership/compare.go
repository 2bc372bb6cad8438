package membership

import (
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
)

// compareTimeout covers the transfer of all records of a large region.
const compareTimeout = 2 * time.Second

// compareNext compares one region whose digest differs from the peer's, this VM's own region first.
func (membership *Membership) compareNext(with oleandervane.EntryVM, states []*peer.RegionState) {
	now := membership.settings.TimerService.Now()
	membership.mutex.Lock()
	request := membership.nextComparison(states, now)
	membership.mutex.Unlock()
	if request == nil {
		return
	}
	membership.settings.Transport.Compare(with.PeerAddress, request, compareTimeout, func(response *peer.CompareResponse, err error) {
		membership.compared(with, states, response, err)
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

// compared merges the response and sends the peer what it wants.
func (membership *Membership) compared(with oleandervane.EntryVM, states []*peer.RegionState, response *peer.CompareResponse, err error) {
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

// mergeCompared merges repaired records. A VM that joins learns of the whole fleet this way, which is no news
// to others, so it does not spread them.
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
			held := membership.table.entries[vmID]
			if held.record.VM.State == oleandervane.VMSuspect {
				membership.table.suspect(held, now.Add(membership.suspicionTimeout(now)))
			}
		}
	}
	return append(membership.rebuildAndTell(), membership.afterChange(changed, now)...)
}

// wantedRecords returns the records that the peer asked for, and those of which it sent an older version.
func (membership *Membership) wantedRecords(response *peer.CompareResponse) []*peer.VMRecord {
	var result []*peer.VMRecord
	for _, vmID := range response.Wanted {
		if held := membership.table.entries[oleandervane.VMID(vmID)]; held != nil {
			result = append(result, held.wire)
		}
	}
	for _, message := range response.Newer {
		record, err := RecordFromWire(message)
		if err != nil {
			continue
		}
		if held := membership.table.entries[record.VM.ID]; held != nil && held.record.NewerThan(record) {
			result = append(result, held.wire)
		}
	}
	return result
}

// HandleCompare answers with the records of which the caller has an older version or none.
func (membership *Membership) HandleCompare(request *peer.CompareRequest) (*peer.CompareResponse, error) {
	if err := request.Check(); err != nil {
		return nil, err
	}
	now := membership.settings.TimerService.Now()
	membership.mutex.Lock()
	defer membership.mutex.Unlock()
	membership.notePause(now)
	response := &peer.CompareResponse{}
	known := map[oleandervane.VMID]bool{}
	for _, version := range request.Versions {
		vmID := oleandervane.VMID(version.Id)
		known[vmID] = true
		theirs := messageVersion(&peer.VMRecord{Incarnation: version.Incarnation, Version: version.Version, State: version.State})
		held := membership.table.entries[vmID]
		switch {
		case held == nil || theirs.NewerThan(held.record):
			response.Wanted = append(response.Wanted, version.Id)
		case held.record.NewerThan(theirs):
			response.Newer = append(response.Newer, held.wire)
		}
	}
	view, found := membership.table.regions[oleandervane.Region(request.Region)]
	if !found {
		return response, nil
	}
	for vmID, held := range view.members {
		if !known[vmID] && held.record.VM.State != oleandervane.VMDead {
			response.Newer = append(response.Newer, held.wire)
		}
	}
	slices.SortFunc(response.Newer, func(a, b *peer.VMRecord) int { return compareIDs(idOf(a), idOf(b)) })
	return response, nil
}

func idOf(message *peer.VMRecord) oleandervane.EntryVM {
	return oleandervane.EntryVM{ID: oleandervane.VMID(message.Id)}
}
