package membership

import (
	"net/netip"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
)

// tableEntry is the record of one VM in a table, with the state of its suspicion.
type tableEntry struct {
	record    Record
	wire      *peer.VMRecord
	changedAt time.Time
	// deadline is the time at which a suspected VM is declared dead; zero if it is not suspected.
	deadline time.Time
}

// regionView is the part of a table for one region.
type regionView struct {
	name      oleandervane.Region
	digest    uint64
	members   map[oleandervane.VMID]*tableEntry
	changedAt time.Time
	heartbeat uint64
	// heartbeatAt is when the heartbeat last advanced, by this VM's clock, excluding the time for which this VM was
	// paused.
	heartbeatAt time.Time
}

// table stores the records of all VMs. It decides precedence and is independent of probes.
type table struct {
	entries   map[oleandervane.VMID]*tableEntry
	regions   map[oleandervane.Region]*regionView
	addresses map[netip.AddrPort]oleandervane.VMID
	suspected map[oleandervane.VMID]*tableEntry
}

func newTable() *table {
	return &table{
		entries:   map[oleandervane.VMID]*tableEntry{},
		regions:   map[oleandervane.Region]*regionView{},
		addresses: map[netip.AddrPort]oleandervane.VMID{},
		suspected: map[oleandervane.VMID]*tableEntry{},
	}
}

func (table *table) region(name oleandervane.Region, now time.Time) *regionView {
	view, found := table.regions[name]
	if !found {
		view = &regionView{name: name, members: map[oleandervane.VMID]*tableEntry{}, heartbeatAt: now, changedAt: now}
		table.regions[name] = view
	}
	return view
}

// mayBeNewer reports whether a message may be newer than the stored record, so that the many older ones need not be
// decoded.
func (table *table) mayBeNewer(message *peer.VMRecord) bool {
	entry, found := table.entries[oleandervane.VMID(message.GetId())]
	if !found {
		return true
	}
	return messageVersion(message).NewerThan(entry.record)
}

// messageVersion returns a record with only the fields that precedence depends on.
func messageVersion(message *peer.VMRecord) Record {
	return Record{
		Version: message.GetVersion(),
		VM: oleandervane.EntryVM{
			Incarnation: oleandervane.Incarnation(message.GetIncarnation()),
			State:       oleandervane.VMState(min(message.GetState(), peer.MaxVMState)),
		},
	}
}

// merge stores a record if it is newer than the existing one and returns the ids whose records changed.
func (table *table) merge(record Record, now time.Time) []oleandervane.VMID {
	entry, found := table.entries[record.VM.ID]
	if !found && record.VM.State == oleandervane.VMDead {
		// An unknown dead VM needs no record. Storing it would make it circulate forever, because VMs remove dead VMs
		// at different times.
		return nil
	}
	if found && !record.NewerThan(entry.record) {
		return nil
	}
	replacedID, taken := table.replacedAtAddress(record)
	if taken && replacedID == record.VM.ID {
		if !found {
			return nil
		}
		record = record.WithState(oleandervane.VMDead)
		taken = false
	}
	changed := []oleandervane.VMID{record.VM.ID}
	table.put(record, now)
	if taken {
		other := table.entries[replacedID]
		table.put(other.record.WithState(oleandervane.VMDead), now)
		changed = append(changed, replacedID)
	}
	return changed
}

// replacedAtAddress returns which of two VMs with the same address was replaced by the other: the one with the smaller
// incarnation.
func (table *table) replacedAtAddress(record Record) (oleandervane.VMID, bool) {
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
	entry := table.entries[vmID]
	if entry != nil {
		old := table.region(entry.record.VM.Region, now)
		old.digest ^= entry.record.digest()
		delete(old.members, vmID)
		if table.addresses[entry.record.VM.PeerAddress] == vmID {
			delete(table.addresses, entry.record.VM.PeerAddress)
		}
	}
	view := table.region(record.VM.Region, now)
	fresh := &tableEntry{record: record, wire: record.Wire(), changedAt: now}
	table.entries[vmID] = fresh
	delete(table.suspected, vmID)
	view.members[vmID] = fresh
	if entry == nil || entry.record.digest() != record.digest() {
		view.changedAt = now
	}
	view.digest ^= record.digest()
	if record.VM.State != oleandervane.VMDead {
		table.addresses[record.VM.PeerAddress] = vmID
	}
}

// startSuspicion starts the suspicion timeout of a VM, unless it is already running.
func (table *table) startSuspicion(entry *tableEntry, deadline time.Time) {
	if entry.deadline.IsZero() {
		entry.deadline = deadline
		table.suspected[entry.record.VM.ID] = entry
	}
}

// clearSuspicion ends the suspicion of a leaving VM, whose record does not change while it is suspected.
func (table *table) clearSuspicion(entry *tableEntry) {
	entry.deadline = time.Time{}
	delete(table.suspected, entry.record.VM.ID)
}

// extendDeadlines extends all deadlines for other VMs after this VM was paused.
func (table *table) extendDeadlines(gap time.Duration) {
	for _, entry := range table.suspected {
		entry.deadline = entry.deadline.Add(gap)
	}
	for _, view := range table.regions {
		view.heartbeatAt = view.heartbeatAt.Add(gap)
	}
}

// removeDead removes dead VMs whose record is older than the limit, and regions without VMs.
func (table *table) removeDead(now time.Time, limit time.Duration) {
	for vmID, entry := range table.entries {
		if entry.record.VM.State != oleandervane.VMDead || now.Sub(entry.changedAt) < limit {
			continue
		}
		delete(table.entries, vmID)
		delete(table.suspected, vmID)
		delete(table.regions[entry.record.VM.Region].members, vmID)
	}
	for name, view := range table.regions {
		if len(view.members) == 0 && now.Sub(view.heartbeatAt) > limit {
			delete(table.regions, name)
		}
	}
}

// mergeHeartbeat stores the heartbeat counter if it is larger than the current one.
func (view *regionView) mergeHeartbeat(heartbeat uint64, now time.Time) {
	if heartbeat > view.heartbeat {
		view.heartbeat = heartbeat
		view.heartbeatAt = now
	}
}

func (view *regionView) versions() []*peer.VMVersion {
	result := make([]*peer.VMVersion, 0, len(view.members))
	for _, entry := range view.members {
		if entry.record.VM.State == oleandervane.VMDead {
			continue
		}
		result = append(result, &peer.VMVersion{
			Id:          entry.wire.Id,
			Incarnation: entry.wire.Incarnation,
			Version:     entry.wire.Version,
			State:       entry.wire.State,
		})
	}
	return result
}
