package relay

import (
	"slices"
	"sync"

	"oleandervane.example"
)

// keptChanges bounds the changes that are kept for followers; one that is further behind reads all entries.
const keptChanges = 1024

// Contact says whether the store answered this VM a moment ago.
type Contact interface {
	InContact() bool
}

// Board keeps all entries of the store and the last changes while other VMs follow this one.
type Board struct {
	membership oleandervane.Membership
	contact    Contact

	mutex    sync.Mutex
	revision uint64
	entries  map[string]oleandervane.StoreEntry
	// changes are the last ones in order; since is the revision before the first.
	changes []revisedChange
	since   uint64
}

// NewBoard returns an empty board.
func NewBoard(membership oleandervane.Membership, contact Contact) *Board {
	return &Board{membership: membership, contact: contact}
}

// Followed says whether this VM is a delegate that others follow.
func (board *Board) Followed() bool {
	return rolesOf(board.membership).followed
}

// NeedsAll says that other VMs follow this one and the board is empty. A board that nobody follows is emptied.
func (board *Board) NeedsAll() bool {
	followed := board.Followed()
	_, known := board.known()
	if known && !followed {
		board.clear()
	}
	return followed && !known
}

// StoreRevision returns how far followers can read, and whether this VM was in contact with the store a moment ago.
func (board *Board) StoreRevision() (revision uint64, fresh bool) {
	revision, known := board.known()
	return revision, known && board.contact.InContact()
}

// revisedChange is a change with the revision up to which it brought the board.
type revisedChange struct {
	oleandervane.StoreChange
	revision uint64
}

// Replace takes over all entries, if others follow this VM.
func (board *Board) Replace(entries []oleandervane.StoreEntry, revision uint64) {
	if !board.Followed() {
		return
	}
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.entries = make(map[string]oleandervane.StoreEntry, len(entries))
	for _, entry := range entries {
		board.entries[entry.Key] = entry
	}
	board.changes, board.since, board.revision = nil, revision, revision
}

// Apply takes over changes in order. It does nothing before the first Replace.
func (board *Board) Apply(storeChanges oleandervane.StoreChanges) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if board.entries == nil {
		return
	}
	for _, change := range storeChanges.Changes {
		if change.Removed {
			delete(board.entries, change.Entry.Key)
		} else {
			board.entries[change.Entry.Key] = change.Entry
		}
		board.changes = append(board.changes, revisedChange{change, storeChanges.Revision})
	}
	board.revision = storeChanges.Revision
	if surplus := len(board.changes) - keptChanges; surplus > 0 {
		// Changes of one revision of the board stay together.
		board.since = board.changes[surplus-1].revision
		board.changes = slices.DeleteFunc(board.changes, func(change revisedChange) bool { return change.revision <= board.since })
	}
}

// clear forgets everything.
func (board *Board) clear() {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.entries, board.changes, board.since, board.revision = nil, nil, 0, 0
}

// known returns the revision of the board, and false before the first Replace.
func (board *Board) known() (revision uint64, known bool) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	return board.revision, board.entries != nil
}

// Read returns what has changed since a revision: changes in order, or all entries if whole is set.
func (board *Board) Read(after uint64) (changes []oleandervane.StoreChange, whole bool, revision uint64) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if after == 0 || after < board.since || after > board.revision {
		changes = make([]oleandervane.StoreChange, 0, len(board.entries))
		for _, entry := range board.entries {
			changes = append(changes, oleandervane.StoreChange{Entry: entry})
		}
		return changes, true, board.revision
	}
	for _, change := range board.changes {
		if change.revision > after {
			changes = append(changes, change.StoreChange)
		}
	}
	return changes, false, board.revision
}
