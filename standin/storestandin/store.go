// Package storestandin is an in-memory stand-in for the platform's key-value service. It is used in process or over
// HTTP and has fault switches that can be changed while it runs.
package storestandin

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	storeclient "oleandervane.example/platform/store"
)

// Faults are the switches of a store stand-in. The zero value is a healthy store.
type Faults struct {
	// Down makes every call fail, including watches that are waiting.
	Down bool `json:"down"`
	// Delay is the latency added to every call.
	Delay time.Duration `json:"delay"`
	// LoseResponses is the number of further writes that take effect but whose callers get an error instead of a response.
	LoseResponses int `json:"lose_answers"`
	// LoseRequests is the number of further writes that are lost before they take effect.
	LoseRequests int `json:"lose_requests"`
	// SkipChanges is the number of further transactions that do not wake the watches waiting for them.
	SkipChanges int `json:"skip_changes"`
	// StallWatches keeps watches from returning changes.
	StallWatches bool `json:"stall_watches"`
	// DeafWatches makes watches that start while it is set return no changes until their wait is over.
	DeafWatches bool `json:"deaf_watches"`
	// CutWatches makes watches fail, those that are waiting included.
	CutWatches bool `json:"cut_watches"`
}

// Content is a copy of the entries, the leases and the revision of a store stand-in. It is immutable.
type Content struct {
	entries     map[string]entry
	revision    uint64
	leases      map[uint64]lease
	lastLeaseID uint64
}

// WithEntry returns a copy that also has an entry, which was written at a revision.
func (content Content) WithEntry(key string, value []byte, revision uint64) Content {
	content.entries = maps.Clone(content.entries)
	content.entries[key] = entry{value: slices.Clone(value), revision: revision}
	content.revision = max(content.revision, revision)
	return content
}

// entry is the value of a key, the revision of its last change and the lease that it is bound to, 0 for none.
type entry struct {
	value    []byte
	revision uint64
	lease    uint64
}

// change is a write or removal of one key in the history.
type change struct {
	key     string
	entry   entry
	removed bool
}

type lease struct {
	duration  time.Duration
	expiresAt time.Time
}

// Store is an in-memory implementation of the platform's store. It is safe for concurrent use.
type Store struct {
	timerService oleandervane.TimerService
	callCounter  storeclient.CallCounter

	mutex    sync.Mutex
	faults   Faults
	entries  map[string]entry
	revision uint64
	// history has all changes after the revision droppedUpTo, oldest first.
	history     []change
	droppedUpTo uint64
	leases      map[uint64]lease
	lastLeaseID uint64
	// era counts restores.
	era     oleandervane.StoreEra
	changed chan struct{}
	waiting int
}

// New returns an empty healthy store.
func New(timerService oleandervane.TimerService) *Store {
	return &Store{
		timerService: timerService,
		entries:      map[string]entry{},
		leases:       map[uint64]lease{},
		changed:      make(chan struct{}),
	}
}

// Calls returns the number of received calls of each kind.
func (store *Store) Calls() storeclient.Calls {
	return store.callCounter.Calls()
}

// Waiting returns the number of watches that are waiting.
func (store *Store) Waiting() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.waiting
}

// Faults returns the current switches; counts are the remaining ones.
func (store *Store) Faults() Faults {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.faults
}

// SetFaults sets all switches.
func (store *Store) SetFaults(faults Faults) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.faults = faults
	store.wake()
}

// LapseLeases ends all leases and removes their keys, as when they expire while the store is down. Lease holders are
// not notified.
func (store *Store) LapseLeases() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for id := range maps.Clone(store.leases) {
		store.endLease(id)
	}
}

// Revoke removes all keys with the prefix; their leases stay valid.
func (store *Store) Revoke(prefix string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for _, key := range store.keys(prefix) {
		store.remove(key)
	}
	store.wake()
}

// DropHistory drops the history, so that watches from earlier revisions fail with ErrHistoryGone.
func (store *Store) DropHistory() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.history, store.droppedUpTo = nil, store.revision
}

// Content returns a snapshot of the store.
func (store *Store) Content() Content {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return Content{entries: maps.Clone(store.entries), revision: store.revision, leases: maps.Clone(store.leases), lastLeaseID: store.lastLeaseID}
}

// RollBack restores an earlier snapshot. The revision is reset as well, so later writes reuse revision numbers.
func (store *Store) RollBack(content Content) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.entries = maps.Clone(content.entries)
	store.revision = content.revision
	store.history, store.droppedUpTo = nil, store.revision
	store.wake()
}

// Restore restores a copy and begins a new era. Everything that was written since the copy is gone, leases as well; revisions and
// numbers of leases are issued again. Leases in the copy run for their whole duration from now. Watches that wait are interrupted.
func (store *Store) Restore(content Content) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.entries, store.revision = maps.Clone(content.entries), content.revision
	store.history, store.droppedUpTo = nil, store.revision
	store.leases, store.lastLeaseID = maps.Clone(content.leases), content.lastLeaseID
	for id, current := range store.leases {
		current.expiresAt = store.timerService.Now().Add(current.duration)
		store.leases[id] = current
	}
	store.era++
	store.wake()
}

// Era returns the number of restores.
func (store *Store) Era() oleandervane.StoreEra {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.era
}

// currentRevision must be called with the mutex locked.
func (store *Store) currentRevision() oleandervane.StoreRevision {
	return oleandervane.StoreRevision{Era: store.era, Number: store.revision}
}

// Get returns the entry of a key. An absent key has version 0 and is no error.
func (store *Store) Get(ctx context.Context, key string) (oleandervane.StoreEntry, error) {
	store.callCounter.Get.Add(1)
	if err := store.applyCallFaults(ctx); err != nil {
		return oleandervane.StoreEntry{}, eris.Wrapf(err, "get key %q", key)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expireLeases()
	return store.entry(key), nil
}

// List returns the entries of all keys with the prefix and the store's revision.
func (store *Store) List(ctx context.Context, prefix string) ([]oleandervane.StoreEntry, oleandervane.StoreRevision, error) {
	store.callCounter.List.Add(1)
	if err := store.applyCallFaults(ctx); err != nil {
		return nil, oleandervane.StoreRevision{}, eris.Wrapf(err, "list keys with prefix %q", prefix)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expireLeases()
	var entries []oleandervane.StoreEntry
	for _, key := range store.keys(prefix) {
		entries = append(entries, store.entry(key))
	}
	return entries, store.currentRevision(), nil
}

// CompareAndSwap writes value if the key has the given version.
func (store *Store) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (oleandervane.StoreEntry, error) {
	revision, err := store.Commit(ctx, oleandervane.StoreTransaction{
		Conditions: map[string]uint64{key: version},
		Writes:     []oleandervane.StoreWrite{{Key: key, Value: value}},
	})
	if err != nil {
		return oleandervane.StoreEntry{}, err
	}
	return oleandervane.StoreEntry{Key: key, Value: slices.Clone(value), Version: revision}, nil
}

// Commit writes a transaction and returns its revision.
func (store *Store) Commit(ctx context.Context, storeTransaction oleandervane.StoreTransaction) (uint64, error) {
	store.callCounter.Commit.Add(1)
	if err := store.applyCallFaults(ctx); err != nil {
		return 0, eris.Wrap(err, "commit")
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expireLeases()
	if store.faults.LoseRequests > 0 {
		store.faults.LoseRequests--
		return 0, eris.Wrap(oleandervane.ErrStoreUnavailable, "commit: request lost")
	}
	if err := store.validate(storeTransaction); err != nil {
		return 0, eris.Wrap(err, "commit")
	}
	store.apply(storeTransaction)
	if store.faults.LoseResponses > 0 {
		store.faults.LoseResponses--
		return 0, eris.Wrap(oleandervane.ErrStoreUnavailable, "commit: response lost")
	}
	return store.revision, nil
}

// Watch waits until the key's version differs from the given one, or ctx ends.
func (store *Store) Watch(ctx context.Context, key string, version uint64) (oleandervane.StoreEntry, error) {
	store.callCounter.Watch.Add(1)
	var found oleandervane.StoreEntry
	err := store.waitFor(ctx, func() (bool, error) {
		found = store.entry(key)
		return found.Version != version, nil
	})
	return found, eris.Wrapf(err, "watch key %q after version %d", key, version)
}

// WatchPrefix waits up to the duration wait for changes of keys with the prefix after a revision.
func (store *Store) WatchPrefix(ctx context.Context, prefix string, after oleandervane.StoreRevision, wait time.Duration) (oleandervane.StoreChanges, error) {
	store.callCounter.Watch.Add(1)
	timed, cancel := context.WithCancel(ctx)
	defer cancel()
	if wait > 0 {
		defer store.timerService.After(wait, func(time.Time) { cancel() })()
	}
	changes := oleandervane.StoreChanges{Revision: after}
	err := store.waitFor(timed, func() (bool, error) {
		if after.Era != store.era || after.Number < store.droppedUpTo || after.Number > store.revision {
			return false, oleandervane.ErrHistoryGone
		}
		changes = store.changesAfter(prefix, after.Number)
		return len(changes.Changes) > 0 || wait <= 0, nil
	})
	if errors.Is(err, oleandervane.ErrStoreUnavailable) && timed.Err() != nil && ctx.Err() == nil {
		return changes, nil
	}
	return changes, eris.Wrapf(err, "watch prefix %q after revision %v", prefix, after)
}

// GrantLease creates a lease that expires after the duration unless it is renewed.
func (store *Store) GrantLease(ctx context.Context, duration time.Duration) (oleandervane.LeaseID, error) {
	store.callCounter.GrantLease.Add(1)
	if err := store.applyCallFaults(ctx); err != nil {
		return oleandervane.LeaseID{}, eris.Wrap(err, "grant a lease")
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.lastLeaseID++
	store.leases[store.lastLeaseID] = lease{duration: duration, expiresAt: store.timerService.Now().Add(duration)}
	return oleandervane.LeaseID{Era: store.era, Number: store.lastLeaseID}, nil
}

// RenewLease extends a lease by its duration. It fails with ErrLeaseGone when the lease has ended.
func (store *Store) RenewLease(ctx context.Context, id oleandervane.LeaseID) error {
	store.callCounter.RenewLease.Add(1)
	return store.updateLease(ctx, id, func(current lease) {
		current.expiresAt = store.timerService.Now().Add(current.duration)
		store.leases[id.Number] = current
	})
}

// EndLease ends a lease and removes its keys.
func (store *Store) EndLease(ctx context.Context, id oleandervane.LeaseID) error {
	store.callCounter.EndLease.Add(1)
	return store.updateLease(ctx, id, func(lease) { store.endLease(id.Number) })
}

func (store *Store) updateLease(ctx context.Context, id oleandervane.LeaseID, update func(current lease)) error {
	if err := store.applyCallFaults(ctx); err != nil {
		return eris.Wrapf(err, "lease %v", id)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expireLeases()
	current, found := store.leases[id.Number]
	if !found || id.Era != store.era {
		return eris.Wrapf(oleandervane.ErrLeaseGone, "lease %v", id)
	}
	update(current)
	return nil
}
