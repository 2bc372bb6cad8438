package storestandin

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	storeclient "oleandervane.example/platform/store"
)

// The functions of this file must be called with the mutex locked, unless their comment says otherwise.

// applyCallFaults applies the delay and the unavailability of the fault switches to a call. The mutex must not be locked.
func (store *Store) applyCallFaults(ctx context.Context) error {
	faults := store.Faults()
	if faults.Delay > 0 {
		due := make(chan struct{})
		defer store.timerService.After(faults.Delay, func(time.Time) { close(due) })()
		select {
		case <-due:
		case <-ctx.Done():
			return eris.Wrapf(oleandervane.ErrStoreUnavailable, "%v", ctx.Err())
		}
	}
	if ctx.Err() != nil {
		return eris.Wrapf(oleandervane.ErrStoreUnavailable, "%v", ctx.Err())
	}
	if faults.Down {
		return eris.Wrap(oleandervane.ErrStoreUnavailable, "down")
	}
	return nil
}

// waitFor waits until found returns true or an error, a fault switch breaks the watch, or ctx ends. The mutex must not be
// locked.
func (store *Store) waitFor(ctx context.Context, found func() (bool, error)) error {
	if err := store.applyCallFaults(ctx); err != nil {
		return err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.waiting++
	defer func() { store.waiting-- }()
	deaf, era := store.faults.DeafWatches, store.era
	for {
		if store.faults.Down || store.faults.CutWatches || store.era != era {
			return eris.Wrap(oleandervane.ErrStoreUnavailable, "watch interrupted")
		}
		if !store.faults.StallWatches && !deaf {
			if done, err := found(); done || err != nil {
				return err
			}
		}
		if err := store.wait(ctx); err != nil {
			return err
		}
	}
}

// entry returns a copy of an entry, so that callers cannot modify the stored value.
func (store *Store) entry(key string) oleandervane.StoreEntry {
	stored := store.entries[key]
	return oleandervane.StoreEntry{Key: key, Value: slices.Clone(stored.value), Version: stored.revision}
}

// keys returns the keys with the prefix in ascending order.
func (store *Store) keys(prefix string) []string {
	var keys []string
	for key := range store.entries {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (store *Store) validate(storeTransaction oleandervane.StoreTransaction) error {
	for _, storeWrite := range storeTransaction.Writes {
		if len(storeWrite.Value) > storeclient.MaxValueBytes {
			return oleandervane.ErrValueTooLarge
		}
		if _, found := store.leases[storeWrite.Lease.Number]; storeWrite.Lease.Number != 0 && (!found || storeWrite.Lease.Era != store.era) {
			return oleandervane.ErrLeaseGone
		}
	}
	for key, version := range storeTransaction.Conditions {
		if store.entries[key].revision != version {
			return oleandervane.ErrVersionConflict
		}
	}
	return nil
}

// apply applies a transaction; all its changes get the same new revision.
func (store *Store) apply(storeTransaction oleandervane.StoreTransaction) {
	store.revision++
	for _, storeWrite := range storeTransaction.Writes {
		written := entry{value: slices.Clone(storeWrite.Value), revision: store.revision, lease: storeWrite.Lease.Number}
		store.entries[storeWrite.Key] = written
		store.history = append(store.history, change{key: storeWrite.Key, entry: written})
	}
	for _, key := range storeTransaction.Removals {
		if _, found := store.entries[key]; found {
			delete(store.entries, key)
			store.history = append(store.history, change{key: key, entry: entry{revision: store.revision}, removed: true})
		}
	}
	if store.faults.SkipChanges > 0 {
		store.faults.SkipChanges--
		return
	}
	store.wake()
}

func (store *Store) remove(key string) {
	store.revision++
	delete(store.entries, key)
	store.history = append(store.history, change{key: key, entry: entry{revision: store.revision}, removed: true})
}

// expireLeases ends the leases whose duration has passed.
func (store *Store) expireLeases() {
	now := store.timerService.Now()
	for id, current := range maps.Clone(store.leases) {
		if !now.Before(current.expiresAt) {
			store.endLease(id)
		}
	}
}

func (store *Store) endLease(id uint64) {
	delete(store.leases, id)
	for _, key := range store.keys("") {
		if store.entries[key].lease == id {
			store.remove(key)
		}
	}
	store.wake()
}

func (store *Store) changesAfter(prefix string, after uint64) oleandervane.StoreChanges {
	changes := oleandervane.StoreChanges{Revision: store.currentRevision()}
	for _, recorded := range store.history {
		if recorded.entry.revision > after && strings.HasPrefix(recorded.key, prefix) {
			changes.Changes = append(changes.Changes, oleandervane.StoreChange{
				Entry:   oleandervane.StoreEntry{Key: recorded.key, Value: recorded.entry.value, Version: recorded.entry.revision},
				Removed: recorded.removed,
			})
		}
	}
	return changes
}

// wake makes all waiting watches check their condition again.
func (store *Store) wake() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// wait unlocks the mutex until the next wake or the end of ctx, and locks it again before it returns.
func (store *Store) wait(ctx context.Context) error {
	changed := store.changed
	store.mutex.Unlock()
	defer store.mutex.Lock()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return eris.Wrapf(oleandervane.ErrStoreUnavailable, "%v", ctx.Err())
	}
}
