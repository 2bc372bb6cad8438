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

// The functions of this file are called with the mutex held, unless they say otherwise.

// reach applies the faults that meet a call on its way. The mutex is not held.
func (store *Store) reach(ctx context.Context) error {
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

// waitFor waits until found returns true or an error, the store fails, or ctx ends. The mutex is not held.
func (store *Store) waitFor(ctx context.Context, found func() (bool, error)) error {
	if err := store.reach(ctx); err != nil {
		return err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.waiting++
	defer func() { store.waiting-- }()
	deaf := store.faults.DeafWatches
	for {
		if store.faults.Down || store.faults.CutWatches {
			return eris.Wrap(oleandervane.ErrStoreUnavailable, "the watch is cut")
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

// entry returns a copy, so that callers cannot change what is stored.
func (store *Store) entry(key string) oleandervane.StoreEntry {
	stored := store.entries[key]
	return oleandervane.StoreEntry{Key: key, Value: slices.Clone(stored.value), Version: stored.revision}
}

// keys returns the keys with the prefix in order.
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

func (store *Store) check(storeTransaction oleandervane.StoreTransaction) error {
	for _, storeWrite := range storeTransaction.Writes {
		if len(storeWrite.Value) > storeclient.MaxValueBytes {
			return oleandervane.ErrValueTooLarge
		}
		if _, found := store.leases[storeWrite.Lease]; storeWrite.Lease != 0 && !found {
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

// write applies a transaction under one revision.
func (store *Store) write(storeTransaction oleandervane.StoreTransaction) {
	store.revision++
	for _, storeWrite := range storeTransaction.Writes {
		written := entry{value: slices.Clone(storeWrite.Value), revision: store.revision, lease: storeWrite.Lease}
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

// expire ends the leases that have run out.
func (store *Store) expire() {
	now := store.timerService.Now()
	for id, held := range maps.Clone(store.leases) {
		if !now.Before(held.expiresAt) {
			store.endLease(id)
		}
	}
}

func (store *Store) endLease(id oleandervane.LeaseID) {
	delete(store.leases, id)
	for _, key := range store.keys("") {
		if store.entries[key].lease == id {
			store.remove(key)
		}
	}
	store.wake()
}

func (store *Store) changesAfter(prefix string, after uint64) oleandervane.StoreChanges {
	changes := oleandervane.StoreChanges{Revision: store.revision}
	for _, past := range store.history {
		if past.entry.revision > after && strings.HasPrefix(past.key, prefix) {
			changes.Changes = append(changes.Changes, oleandervane.StoreChange{
				Entry:   oleandervane.StoreEntry{Key: past.key, Value: past.entry.value, Version: past.entry.revision},
				Removed: past.removed,
			})
		}
	}
	return changes
}

// wake makes waiting watches look again.
func (store *Store) wake() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// wait gives up the mutex until the next wake or the end of ctx.
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
