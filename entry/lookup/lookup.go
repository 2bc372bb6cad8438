package lookup

import (
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"

	"oleandervane.example"
)

// Lookup decides which entry VMs a caller should use. Decisions read an immutable snapshot without locks, and the
// Publish methods replace the snapshot. Lookup is safe for concurrent use.
type Lookup struct {
	snapshot atomic.Pointer[snapshot]

	mutex         sync.Mutex
	table         *Table
	configuration *oleandervane.Configuration
	entryVMs      []oleandervane.EntryVM
	self          oleandervane.EntryVM
	partitions    map[oleandervane.Region]*Partition
}

// New returns a Lookup for the given VM, without a table. Until a table is published, the home region of every caller
// is the region of this VM.
func New(self oleandervane.EntryVM) *Lookup {
	lookup := &Lookup{self: self}
	lookup.publish()
	return lookup
}

// PublishTable applies a table of client blocks. The client blocks of the configuration are not used, so the
// configuration of a Lookup needs none.
func (lookup *Lookup) PublishTable(table *Table) {
	lookup.mutex.Lock()
	defer lookup.mutex.Unlock()
	lookup.table = table
	lookup.publish()
}

// PublishConfiguration applies the regions, sites and links of a configuration.
func (lookup *Lookup) PublishConfiguration(configuration oleandervane.Configuration) {
	lookup.mutex.Lock()
	defer lookup.mutex.Unlock()
	configuration.ClientBlocks = nil
	lookup.configuration = &configuration
	lookup.publish()
}

// PublishEntryVMs applies a membership snapshot.
func (lookup *Lookup) PublishEntryVMs(entryVMs []oleandervane.EntryVM) {
	lookup.mutex.Lock()
	defer lookup.mutex.Unlock()
	lookup.entryVMs = entryVMs
	lookup.publish()
}

// PublishShares divides the callers of a home region among entry regions by the given shares. It fails with
// ErrInvalidShares and then changes nothing.
func (lookup *Lookup) PublishShares(home oleandervane.Region, shares oleandervane.ShareVector) error {
	lookup.mutex.Lock()
	defer lookup.mutex.Unlock()
	partition := lookup.partitions[home]
	if partition == nil {
		partition = NewPartition(home)
	}
	partition, err := partition.With(shares)
	if err != nil {
		return err
	}
	lookup.partitions = maps.Clone(lookup.partitions)
	if lookup.partitions == nil {
		lookup.partitions = map[oleandervane.Region]*Partition{}
	}
	lookup.partitions[home] = partition
	lookup.publish()
	return nil
}

// Decide fills entryVMs with the entry VMs that a caller at the address should use, best first and at most MaxEntryVMs.
// It does not allocate.
func (lookup *Lookup) Decide(address netip.Addr, entryVMs []oleandervane.EntryVM) Decision {
	return lookup.snapshot.Load().decide(address, entryVMs)
}

func (lookup *Lookup) publish() {
	lookup.snapshot.Store(newSnapshot(lookup.table, lookup.configuration, lookup.entryVMs, lookup.self, lookup.partitions))
}
