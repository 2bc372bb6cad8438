package membership

import (
	"net/netip"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
)

// entry is what a table holds of one VM.
type entry struct {
	record    Record
	wire      *peer.VMRecord
	changedAt time.Time
	// deadline is when a suspected VM is declared dead; zero when there is no suspicion.
	deadline time.Time
}

// regionView is what a table holds of one region.
type regionView struct {
	name      oleandervane.Region
	digest    uint64
	members   map[oleandervane.VMID]*entry
	changedAt time.Time
	heartbeat uint64
	// heardAt is when the heartbeat last advanced, by this VM's clock, less the time that this VM was paused.
	heardAt time.Time
}

// table holds the records of all VMs. It decides precedence and knows nothing of probes.
type table struct {
	entries   map[oleandervane.VMID]*entry
	regions   map[oleandervane.Region]*regionView
	addresses map[netip.AddrPort]oleandervane.VMID
	suspected map[oleandervane.VMID]*entry
}

func newTable() *table {
	return &table{
		entries:   map[oleandervane.VMID]*entry{},
		regions:   map[oleandervane.Region]*regionView{},
		addresses: map[netip.AddrPort]oleandervane.VMID{},
		suspected: map[oleandervane.VMID]*entry{},
	}
}

func (table *table) region(name oleandervane.Region, now time.Time) *regionView {
	view, found := table.regions[name]
	if !found {
		view = &regionView{name: name, members: map[oleandervane.VMID]*entry{}, heardAt: now, changedAt: now}
		table.regions[name] = view
	}
	return view
}

// news says whether a message may be newer than the record held. It spares reading the many that are not.
func (table *table) news(message *peer.VMRecord) bool {
	held, found := table.entries[oleandervane.VMID(message.GetId())]
	if !found {
		return true
	}
	return messageVersion(message).NewerThan(held.record)
}

// messageVersion returns a record with only what precedence depends on.
func messageVersion(message *peer.VMRecord) Record {
	return Record{
		Version: message.GetVersion(),
		VM: oleandervane.EntryVM{
			Incarnation: oleandervane.Incarnation(message.GetIncarnation()),
			State:       oleandervane.VMState(min(message.GetState(), peer.MaxVMState)),
		},
	}
}

// merge takes a record if it is newer than the one held and returns the ids whose records changed.
func (table *table) merge(record Record, now time.Time) []oleandervane.VMID {
	held, found := table.entries[record.VM.ID]
	if !found && record.VM.State == oleandervane.VMDead {
		// A dead VM that is not known here needs no record. Taking it would keep it circulating forever,
		// because VMs forget the dead at different times.
		return nil
	}
	if found && !record.NewerThan(held.record) {
		return nil
	}
	loser, taken := table.addressLoser(record)
	if taken && loser == record.VM.ID {
		if !found {
			return nil
		}
		record = record.WithState(oleandervane.VMDead)
		taken = false
	}
	changed := []oleandervane.VMID{record.VM.ID}
	table.put(record, now)
	if taken {
		other := table.entries[loser]
		table.put(other.record.WithState(oleandervane.VMDead), now)
		changed = append(changed, loser)
	}
	return changed
}

// addressLoser returns which of two VMs that claim the same address was replaced there: the one with the
// smaller incarnation.
func (table *table) addressLoser(record Record) (oleandervane.VMID, bool) {
	if record.VM.State == oleandervane.VMDead {
		return "", false
	}
	holderID, found := table.addresses[record.VM.PeerAddress]
	if !found || holderID == record.VM.ID {
		return "", false
	}
	holder := table.entries[holderID]
	if holder == nil || holder.record.VM.State == oleandervane.VMDead {
		return "", false
	}
	if holder.record.VM.Incarnation < record.VM.Incarnation {
		return holderID, true
	}
	return record.VM.ID, true
}

func (table *table) put(record Record, now time.Time) {
	vmID := record.VM.ID
	held := table.entries[vmID]
	if held != nil {
		old := table.region(held.record.VM.Region, now)
		old.digest ^= held.record.digest()
		delete(old.members, vmID)
		if table.addresses[held.record.VM.PeerAddress] == vmID {
			delete(table.addresses, held.record.VM.PeerAddress)
		}
	}
	view := table.region(record.VM.Region, now)
	fresh := &entry{record: record, wire: record.Wire(), changedAt: now}
	table.entries[vmID] = fresh
	delete(table.suspected, vmID)
	view.members[vmID] = fresh
	if held == nil || held.record.digest() != record.digest() {
		view.changedAt = now
	}
	view.digest ^= record.digest()
	if record.VM.State != oleandervane.VMDead {
		table.addresses[record.VM.PeerAddress] = vmID
	}
}

// suspect starts the suspicion timeout of a VM, unless it runs already.
func (table *table) suspect(held *entry, deadline time.Time) {
	if held.deadline.IsZero() {
		held.deadline = deadline
		table.suspected[held.record.VM.ID] = held
	}
}

// clear ends a suspicion that was never part of the record.
func (table *table) clear(held *entry) {
	held.deadline = time.Time{}
	delete(table.suspected, held.record.VM.ID)
}

// shift moves all times that wait for other VMs later, after this VM was paused.
func (table *table) shift(gap time.Duration) {
	for _, held := range table.suspected {
		held.deadline = held.deadline.Add(gap)
	}
	for _, view := range table.regions {
		view.heardAt = view.heardAt.Add(gap)
	}
}

// forget removes the dead whose record is older than the limit.
func (table *table) forget(now time.Time, limit time.Duration) {
	for vmID, held := range table.entries {
		if held.record.VM.State != oleandervane.VMDead || now.Sub(held.changedAt) < limit {
			continue
		}
		delete(table.entries, vmID)
		delete(table.suspected, vmID)
		delete(table.regions[held.record.VM.Region].members, vmID)
	}
	for name, view := range table.regions {
		if len(view.members) == 0 && now.Sub(view.heardAt) > limit {
			delete(table.regions, name)
		}
	}
}

// merge of heartbeats takes the larger counter.
func (view *regionView) mergeHeartbeat(heartbeat uint64, now time.Time) {
	if heartbeat > view.heartbeat {
		view.heartbeat = heartbeat
		view.heardAt = now
	}
}

func (view *regionView) versions() []*peer.VMVersion {
	result := make([]*peer.VMVersion, 0, len(view.members))
	for _, held := range view.members {
		if held.record.VM.State == oleandervane.VMDead {
			continue
		}
		result = append(result, &peer.VMVersion{
			Id:          held.wire.Id,
			Incarnation: held.wire.Incarnation,
			Version:     held.wire.Version,
			State:       held.wire.State,
		})
	}
	return result
}
