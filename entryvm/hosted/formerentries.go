package hosted

import (
	"hash/maphash"
	"slices"
	"strings"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/roster"
)

const (
	// formerLifetime is how long an entry that was replaced or removed is remembered for the case that the store is restored from a
	// copy that has it. Copies are some seconds old.
	formerLifetime = time.Minute
	// maxFormerPerKey and maxFormerKeys bound the memory. Entries of servers change a few times a minute.
	maxFormerPerKey = 8
	maxFormerKeys   = 4096
)

// formerEntries remembers which entries of the store were replaced or removed, so that a restored store, which has some of them again,
// takes back no drain, end or evacuation that this VM knew. An entry that was written again after the restore is another one, because
// its version differs, or its value.
type formerEntries struct {
	seed    maphash.Seed
	current map[string]entryMark
	former  map[string][]formerEntry
}

// entryMark identifies an entry within an era.
type entryMark struct {
	version, hash uint64
}

type formerEntry struct {
	entryMark
	era   oleandervane.StoreEra
	endAt time.Time
}

func newFormerEntries() *formerEntries {
	return &formerEntries{seed: maphash.MakeSeed(), current: map[string]entryMark{}, former: map[string][]formerEntry{}}
}

func (formerEntries *formerEntries) mark(entry oleandervane.StoreEntry) entryMark {
	return entryMark{version: entry.Version, hash: maphash.Bytes(formerEntries.seed, entry.Value)}
}

// record records changes of an era.
func (formerEntries *formerEntries) record(changes []oleandervane.StoreChange, era oleandervane.StoreEra, now time.Time) {
	for _, change := range changes {
		key := change.Entry.Key
		next := formerEntries.mark(change.Entry)
		if replaced, found := formerEntries.current[key]; found && (change.Removed || replaced != next) {
			formerEntries.add(key, formerEntry{entryMark: replaced, era: era, endAt: now.Add(formerLifetime)})
		}
		if change.Removed {
			delete(formerEntries.current, key)
		} else {
			formerEntries.current[key] = next
		}
	}
	if len(formerEntries.former) > maxFormerKeys {
		formerEntries.evict(era, now)
	}
}

func (formerEntries *formerEntries) add(key string, former formerEntry) {
	known := append(formerEntries.former[key], former)
	formerEntries.former[key] = known[max(0, len(known)-maxFormerPerKey):]
}

// evict evicts what is too old for a copy. Entries of former eras stay while there is room, because the store may still have them.
func (formerEntries *formerEntries) evict(era oleandervane.StoreEra, now time.Time) {
	for key, known := range formerEntries.former {
		known = slices.DeleteFunc(known, func(former formerEntry) bool { return former.era == era && now.After(former.endAt) })
		if len(known) == 0 || len(formerEntries.former) > 2*maxFormerKeys {
			delete(formerEntries.former, key)
			continue
		}
		formerEntries.former[key] = known
	}
}

// isFormer reports whether an entry in a list of an era was replaced or removed in a former era. It is false for entries of VMs: each run
// writes the same value again and may get a version that was issued before; a VM that is gone is dropped with its lease.
func (formerEntries *formerEntries) isFormer(entry oleandervane.StoreEntry, era oleandervane.StoreEra) bool {
	if strings.HasPrefix(entry.Key, roster.KeyPrefix) {
		return false
	}
	mark := formerEntries.mark(entry)
	return slices.ContainsFunc(formerEntries.former[entry.Key], func(former formerEntry) bool {
		return former.era < era && former.entryMark == mark
	})
}
