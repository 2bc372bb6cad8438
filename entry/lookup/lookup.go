package lookup

import (
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"

	"oleandervane.example"
)

// Lookup answers which entry VMs a caller should use. Decisions read one immutable snapshot without locks; the
// Publish methods replace it. All methods may be called from any goroutine.
type Lookup struct {
	snapshot atomic.Pointer[snapshot]

	mutex         sync.Mutex
	table         *Table
	configuration *oleandervane.Configuration
	entryVMs      []oleandervane.EntryVM
	self          oleandervane.EntryVM
	partitions    map[oleandervane.Region]*Partition
}

// New returns a Lookup that serves on the given VM and knows no table yet: until one is published, every caller
// belongs to the region of this VM.
func New(self oleandervane.EntryVM) *Lookup {
	lookup := &Lookup{self: self}
	lookup.publish()
	return lookup
}

// PublishTable puts a table of client blocks into force. The client blocks of the configuration are not read, so that
// the configuration that Lookup holds may have none.
func (lookup *Lookup) PublishTable(table *Table) {
	lookup.mutex.Lock()
	defer lookup.mutex.Unlock()
	lookup.table = table
	lookup.publish()
}

// PublishConfiguration puts the regions, sites and links of a configuration into force.
func (lookup *Lookup) PublishConfiguration(configuration oleandervane.Configuration) {
	lookup.mutex.Lock()
	defer lookup.mutex.Unlock()
	configuration.ClientBlocks = nil
	lookup.configuration = &configuration
	lookup.publish()
}

// PublishEntryVMs puts a membership snapshot into force.
func (lookup *Lookup) PublishEntryVMs(entryVMs []oleandervane.EntryVM) {
	lookup.mutex.Lock()
	defer lookup.mutex.Unlock()
	lookup.entryVMs = entryVMs
	lookup.publish()
}

// PublishShares moves the callers of a home region between entry regions by shares. It fails with ErrInvalidShares
// and then changes nothing.
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

// Decide writes the entry VMs that a caller at the address should use to entryVMs, best first, at most MaxEntryVMs.
// It does not allocate.
func (lookup *Lookup) Decide(address netip.Addr, entryVMs []oleandervane.EntryVM) Decision {
	return lookup.snapshot.Load().decide(address, entryVMs)
}

func (lookup *Lookup) publish() {
	lookup.snapshot.Store(newSnapshot(lookup.table, lookup.configuration, lookup.entryVMs, lookup.self, lookup.partitions))
}
