package relay

import (
	"slices"
	"sync"

	"oleandervane.example"
)

const (
	// maxChanges and maxLogBytes bound what is kept of former changes for followers. A follower that is further behind reads a
	// full snapshot.
	maxChanges  = 1024
	maxLogBytes = 256 << 10
	// loggedChangeBytes is the memory of a logged change without its key.
	loggedChangeBytes = 40
)

// Contact reports whether the store responded to this VM a moment ago.
type Contact interface {
	InContact() bool
}

// ChangeLog holds a replica of all entries of the store for VMs that read them from this one, and which of them changed lately. It
// keeps no former values: readers need only the newest version of a key.
type ChangeLog struct {
	membership oleandervane.Membership
	contact    Contact

	mutex    sync.Mutex
	revision oleandervane.StoreRevision
	entries  map[string]oleandervane.StoreEntry
	// changes are the latest changes in order and bytes is their memory; since is the revision before the first of them.
	changes []loggedChange
	bytes   int
	since   oleandervane.StoreRevision
}

// NewChangeLog returns an empty change log.
func NewChangeLog(membership oleandervane.Membership, contact Contact) *ChangeLog {
	return &ChangeLog{membership: membership, contact: contact}
}

// HasFollowers reports whether this VM is a delegate that others follow.
func (changeLog *ChangeLog) HasFollowers() bool {
	return rolesOf(changeLog.membership).hasFollowers
}

// StoreRevision returns the revision up to which other VMs can read, and whether this VM was in contact with the store a
// moment ago.
func (changeLog *ChangeLog) StoreRevision() (revision oleandervane.StoreRevision, fresh bool) {
	revision, loaded := changeLog.loaded()
	return revision, loaded && changeLog.contact.InContact()
}

// loggedChange says that a key changed. Its value is in the entries, unless the key was removed.
type loggedChange struct {
	key string
	// version is that of the entry, revision that of the log after the change.
	version  uint64
	revision oleandervane.StoreRevision
}

func (loggedChange loggedChange) bytes() int {
	return loggedChangeBytes + len(loggedChange.key)
}

// Replace sets all entries. The differences to the former ones are logged as changes, so that VMs that are behind need no full
// snapshot after each listing of the store.
func (changeLog *ChangeLog) Replace(entries []oleandervane.StoreEntry, revision oleandervane.StoreRevision) {
	changeLog.mutex.Lock()
	defer changeLog.mutex.Unlock()
	former := changeLog.entries
	changeLog.entries = make(map[string]oleandervane.StoreEntry, len(entries))
	for _, entry := range entries {
		changeLog.entries[entry.Key] = entry
	}
	if former == nil || revision.Era != changeLog.revision.Era || revision.Number <= changeLog.revision.Number {
		changeLog.changes, changeLog.bytes, changeLog.since, changeLog.revision = nil, 0, revision, revision
		return
	}
	for _, entry := range entries {
		if former[entry.Key].Version != entry.Version {
			changeLog.log(loggedChange{key: entry.Key, version: entry.Version, revision: revision})
		}
		delete(former, entry.Key)
	}
	for key := range former {
		changeLog.log(loggedChange{key: key, version: revision.Number, revision: revision})
	}
	changeLog.revision = revision
	changeLog.dropSurplus()
}

// Apply applies changes in order. It does nothing before the first Replace, and clears the log if the changes are of another era.
func (changeLog *ChangeLog) Apply(storeChanges oleandervane.StoreChanges) {
	changeLog.mutex.Lock()
	defer changeLog.mutex.Unlock()
	if changeLog.entries != nil && storeChanges.Revision.Era != changeLog.revision.Era {
		changeLog.clear()
	}
	if changeLog.entries == nil {
		return
	}
	for _, change := range storeChanges.Changes {
		if change.Removed {
			delete(changeLog.entries, change.Entry.Key)
		} else {
			changeLog.entries[change.Entry.Key] = change.Entry
		}
		changeLog.log(loggedChange{key: change.Entry.Key, version: change.Entry.Version, revision: storeChanges.Revision})
	}
	changeLog.revision = storeChanges.Revision
	changeLog.dropSurplus()
}

func (changeLog *ChangeLog) log(change loggedChange) {
	changeLog.changes = append(changeLog.changes, change)
	changeLog.bytes += change.bytes()
}

// dropSurplus drops the oldest changes beyond the bounds. Changes of one revision of the log are dropped together.
func (changeLog *ChangeLog) dropSurplus() {
	dropped := 0
	for dropped < len(changeLog.changes) {
		change := changeLog.changes[dropped]
		if len(changeLog.changes)-dropped <= maxChanges && changeLog.bytes <= maxLogBytes && change.revision.Compare(changeLog.since) > 0 {
			break
		}
		changeLog.since = change.revision
		changeLog.bytes -= change.bytes()
		dropped++
	}
	if dropped > 0 {
		changeLog.changes = slices.Delete(changeLog.changes, 0, dropped)
	}
}

// Clear drops all entries and changes. Other VMs get none until the next Replace.
func (changeLog *ChangeLog) Clear() {
	changeLog.mutex.Lock()
	defer changeLog.mutex.Unlock()
	changeLog.clear()
}

func (changeLog *ChangeLog) clear() {
	changeLog.entries, changeLog.changes, changeLog.bytes = nil, nil, 0
	changeLog.since, changeLog.revision = oleandervane.StoreRevision{}, oleandervane.StoreRevision{}
}

// loaded returns the revision of the log, and false before the first Replace.
func (changeLog *ChangeLog) loaded() (revision oleandervane.StoreRevision, isLoaded bool) {
	changeLog.mutex.Lock()
	defer changeLog.mutex.Unlock()
	return changeLog.revision, changeLog.entries != nil
}

// Read returns the newest change of each key after a revision in order, or all entries if full is true, as they are for a revision of
// another era.
func (changeLog *ChangeLog) Read(after oleandervane.StoreRevision) (changes []oleandervane.StoreChange, full bool, revision oleandervane.StoreRevision) {
	changeLog.mutex.Lock()
	defer changeLog.mutex.Unlock()
	if after.Number == 0 || after.Compare(changeLog.since) < 0 || after.Compare(changeLog.revision) > 0 {
		changes = make([]oleandervane.StoreChange, 0, len(changeLog.entries))
		for _, entry := range changeLog.entries {
			changes = append(changes, oleandervane.StoreChange{Entry: entry})
		}
		return changes, true, changeLog.revision
	}
	seen := map[string]bool{}
	for _, change := range slices.Backward(changeLog.changes) {
		if change.revision.Compare(after) <= 0 {
			break
		}
		if seen[change.key] {
			continue
		}
		seen[change.key] = true
		changes = append(changes, changeLog.newest(change))
	}
	slices.Reverse(changes)
	return changes, false, changeLog.revision
}

// newest returns the newest change of a key, which is the given one. The caller must hold the mutex.
func (changeLog *ChangeLog) newest(change loggedChange) oleandervane.StoreChange {
	entry, found := changeLog.entries[change.key]
	if !found {
		entry = oleandervane.StoreEntry{Key: change.key, Version: change.version}
	}
	return oleandervane.StoreChange{Entry: entry, Removed: !found}
}
