package hosted

import (
	"hash/maphash"
	"slices"
	"time"

	"oleandervane.example"
)

const (
	// formerLimit is how long after a restore of the store former entries are ignored. A server that is alive writes its entry again
	// within two seconds; that of one that is gone lapses after three of its intervals of 1.5 s.
	formerLimit = 10 * time.Second
	// formerLifetime is how long an entry that was replaced or removed is remembered for the case that the store is restored from a
	// copy that has it. Copies are some seconds old.
	formerLifetime = time.Minute
	// maxFormerPerKey and maxFormerKeys bound the memory. Entries of servers change a few times a minute.
	maxFormerPerKey = 8
	maxFormerKeys   = 4096
)

// formerEntries remembers which entries of backend servers were replaced or removed, so that a restored store, which has some of them
// again, takes back no drain or end that this VM knew. An entry that was written after the restore may have the same version and value
// as a former one. Therefore former entries are ignored for formerLimit only, and those of other kinds are not remembered: an evacuation
// always has the same value, and to obey one that had ended until the operator ends it again costs less than to ignore a new one.
type formerEntries struct {
	reader  oleandervane.RegistryReader
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

func newFormerEntries(reader oleandervane.RegistryReader) *formerEntries {
	return &formerEntries{reader: reader, seed: maphash.MakeSeed(), current: map[string]entryMark{}, former: map[string][]formerEntry{}}
}

func (formerEntries *formerEntries) mark(entry oleandervane.StoreEntry) entryMark {
	return entryMark{version: entry.Version, hash: maphash.Bytes(formerEntries.seed, entry.Value)}
}

// record records changes of an era.
func (formerEntries *formerEntries) record(changes []oleandervane.StoreChange, era oleandervane.StoreEra, now time.Time) {
	for _, change := range changes {
		key := change.Entry.Key
		if !formerEntries.reader.IsBackendServer(key) {
			continue
		}
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

// isFormer reports whether the entry of a backend server in a list of an era was replaced or removed in a former era.
func (formerEntries *formerEntries) isFormer(entry oleandervane.StoreEntry, era oleandervane.StoreEra) bool {
	mark := formerEntries.mark(entry)
	return slices.ContainsFunc(formerEntries.former[entry.Key], func(former formerEntry) bool {
		return former.era < era && former.entryMark == mark
	})
}
