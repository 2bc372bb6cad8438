package relay

import (
	"slices"
	"sync"

	"oleandervane.example"
)

// maxChanges bounds the changes that are kept for followers. A follower that is further behind reads a full snapshot.
const maxChanges = 1024

// Contact reports whether the store responded to this VM a moment ago.
type Contact interface {
	InContact() bool
}

// ChangeLog holds a replica of all entries of the store and the latest changes while other VMs follow this one.
type ChangeLog struct {
	membership oleandervane.Membership
	contact    Contact

	mutex    sync.Mutex
	revision uint64
	entries  map[string]oleandervane.StoreEntry
	// changes are the latest changes in order; since is the revision before the first of them.
	changes []loggedChange
	since   uint64
}

// NewChangeLog returns an empty change log.
func NewChangeLog(membership oleandervane.Membership, contact Contact) *ChangeLog {
	return &ChangeLog{membership: membership, contact: contact}
}

// HasFollowers reports whether this VM is a delegate that others follow.
func (changeLog *ChangeLog) HasFollowers() bool {
	return rolesOf(changeLog.membership).hasFollowers
}

// NeedsSnapshot reports whether other VMs follow this one and the log is still empty. It clears the log if no VM follows
// this one.
func (changeLog *ChangeLog) NeedsSnapshot() bool {
	hasFollowers := changeLog.HasFollowers()
	_, loaded := changeLog.loaded()
	if loaded && !hasFollowers {
		changeLog.Clear()
	}
	return hasFollowers && !loaded
}

// StoreRevision returns the revision up to which followers can read, and whether this VM was in contact with the store a
// moment ago.
func (changeLog *ChangeLog) StoreRevision() (revision uint64, fresh bool) {
	revision, loaded := changeLog.loaded()
	return revision, loaded && changeLog.contact.InContact()
}

// loggedChange is a change with the revision of the log after it.
type loggedChange struct {
	oleandervane.StoreChange
	revision uint64
}

// Replace sets all entries, if other VMs follow this one.
func (changeLog *ChangeLog) Replace(entries []oleandervane.StoreEntry, revision uint64) {
	if !changeLog.HasFollowers() {
		return
	}
	changeLog.mutex.Lock()
	defer changeLog.mutex.Unlock()
	changeLog.entries = make(map[string]oleandervane.StoreEntry, len(entries))
	for _, entry := range entries {
		changeLog.entries[entry.Key] = entry
	}
	changeLog.changes, changeLog.since, changeLog.revision = nil, revision, revision
}

// Apply applies changes in order. It does nothing before the first Replace.
func (changeLog *ChangeLog) Apply(storeChanges oleandervane.StoreChanges) {
	changeLog.mutex.Lock()
	defer changeLog.mutex.Unlock()
	if changeLog.entries == nil {
		return
	}
	for _, change := range storeChanges.Changes {
		if change.Removed {
			delete(changeLog.entries, change.Entry.Key)
		} else {
			changeLog.entries[change.Entry.Key] = change.Entry
		}
		changeLog.changes = append(changeLog.changes, loggedChange{change, storeChanges.Revision})
	}
	changeLog.revision = storeChanges.Revision
	if surplus := len(changeLog.changes) - maxChanges; surplus > 0 {
		// Changes of one revision of the log are dropped together.
		changeLog.since = changeLog.changes[surplus-1].revision
		changeLog.changes = slices.DeleteFunc(changeLog.changes, func(change loggedChange) bool { return change.revision <= changeLog.since })
	}
}

// Clear drops all entries and changes. Followers get none until the next Replace.
func (changeLog *ChangeLog) Clear() {
	changeLog.mutex.Lock()
	defer changeLog.mutex.Unlock()
	changeLog.entries, changeLog.changes, changeLog.since, changeLog.revision = nil, nil, 0, 0
}

// loaded returns the revision of the log, and false before the first Replace.
func (changeLog *ChangeLog) loaded() (revision uint64, isLoaded bool) {
	changeLog.mutex.Lock()
	defer changeLog.mutex.Unlock()
	return changeLog.revision, changeLog.entries != nil
}

// Read returns the changes after a revision in order, or all entries if full is true.
func (changeLog *ChangeLog) Read(after uint64) (changes []oleandervane.StoreChange, full bool, revision uint64) {
	changeLog.mutex.Lock()
	defer changeLog.mutex.Unlock()
	if after == 0 || after < changeLog.since || after > changeLog.revision {
		changes = make([]oleandervane.StoreChange, 0, len(changeLog.entries))
		for _, entry := range changeLog.entries {
			changes = append(changes, oleandervane.StoreChange{Entry: entry})
		}
		return changes, true, changeLog.revision
	}
	for _, change := range changeLog.changes {
		if change.revision > after {
			changes = append(changes, change.StoreChange)
		}
	}
	return changes, false, changeLog.revision
}
