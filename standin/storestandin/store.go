// Package storestandin stands in for the platform's key-value service: in memory, in process or over HTTP,
// with fault switches that are set while it runs.
package storestandin

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	storeclient "oleandervane.example/platform/store"
)

// Faults are the switches of a store stand-in. The zero value is a healthy store.
type Faults struct {
	// Down makes every call fail, waiting watches included.
	Down bool `json:"down"`
	// Delay holds back every answer.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is how many writes will take effect although their callers get no answer.
	LoseAnswers int `json:"lose_answers"`
	// LoseRequests is how many writes will be lost before they take effect.
	LoseRequests int `json:"lose_requests"`
	// SkipChanges is how many changes will not wake the watches that wait for them.
	SkipChanges int `json:"skip_changes"`
	// StallWatches keeps watches from answering.
	StallWatches bool `json:"stall_watches"`
}

// Content is what a store stand-in held at one time. It is immutable.
type Content struct {
	entries map[string]oleandervane.StoreEntry
	version uint64
}

// Store is an oleandervane.Store in memory. It is safe for concurrent use.
type Store struct {
	timerService oleandervane.TimerService
	callCounter  storeclient.CallCounter

	mutex   sync.Mutex
	faults  Faults
	entries map[string]oleandervane.StoreEntry
	version uint64
	leases  map[string]oleandervane.Lease
	token   uint64
	changed chan struct{}
	waiting int
}

// New returns an empty healthy store.
func New(timerService oleandervane.TimerService) *Store {
	return &Store{
		timerService: timerService,
		entries:      map[string]oleandervane.StoreEntry{},
		leases:       map[string]oleandervane.Lease{},
		changed:      make(chan struct{}),
	}
}

// Calls returns the number of calls received by kind.
func (store *Store) Calls() storeclient.Calls {
	return store.callCounter.Calls()
}

// Waiting returns how many watches wait now.
func (store *Store) Waiting() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.waiting
}

// Faults returns the switches in force; counts are what is left of them.
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

// LapseLeases ends all leases at the store, as when their holders were paused past the end. Holders are not told.
func (store *Store) LapseLeases() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	clear(store.leases)
}

// Content returns what the store holds now.
func (store *Store) Content() Content {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return Content{entries: maps.Clone(store.entries), version: store.version}
}

// RollBack brings back older content. Versions go back as well and are given again to later writes.
func (store *Store) RollBack(content Content) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.entries = maps.Clone(content.entries)
	store.version = content.version
	store.wake()
}

// Get returns the entry of a key.
func (store *Store) Get(ctx context.Context, key string) (oleandervane.StoreEntry, error) {
	store.callCounter.Get.Add(1)
	if err := store.reach(ctx); err != nil {
		return oleandervane.StoreEntry{}, eris.Wrapf(err, "get key %q", key)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.entry(key), nil
}

// CompareAndSwap writes value if the key's version is the given one.
func (store *Store) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (oleandervane.StoreEntry, error) {
	store.callCounter.CompareAndSwap.Add(1)
	if err := store.reach(ctx); err != nil {
		return oleandervane.StoreEntry{}, eris.Wrapf(err, "write key %q", key)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.faults.LoseRequests > 0 {
		store.faults.LoseRequests--
		return oleandervane.StoreEntry{}, eris.Wrapf(oleandervane.ErrStoreUnavailable, "write key %q: request lost", key)
	}
	entry, err := store.swap(key, version, value)
	if err == nil && store.faults.LoseAnswers > 0 {
		store.faults.LoseAnswers--
		return oleandervane.StoreEntry{}, eris.Wrapf(oleandervane.ErrStoreUnavailable, "write key %q: answer lost", key)
	}
	return entry, eris.Wrapf(err, "write key %q at version %d", key, version)
}

// Watch waits until the key's version differs from the given one, or ctx ends.
func (store *Store) Watch(ctx context.Context, key string, version uint64) (oleandervane.StoreEntry, error) {
	store.callCounter.Watch.Add(1)
	if err := store.reach(ctx); err != nil {
		return oleandervane.StoreEntry{}, eris.Wrapf(err, "watch key %q", key)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.waiting++
	defer func() { store.waiting-- }()
	for {
		if store.faults.Down {
			return oleandervane.StoreEntry{}, eris.Wrapf(oleandervane.ErrStoreUnavailable, "watch key %q", key)
		}
		entry := store.entry(key)
		if entry.Version != version && !store.faults.StallWatches {
			return entry, nil
		}
		if err := store.wait(ctx); err != nil {
			return oleandervane.StoreEntry{}, eris.Wrapf(err, "watch key %q", key)
		}
	}
}

// AcquireLease takes or renews a lease for the holder.
func (store *Store) AcquireLease(ctx context.Context, name, holder string, duration time.Duration) (oleandervane.Lease, error) {
	store.callCounter.AcquireLease.Add(1)
	if err := store.reach(ctx); err != nil {
		return oleandervane.Lease{}, eris.Wrapf(err, "acquire lease %q", name)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	now := store.timerService.Now()
	lease, found := store.leases[name]
	live := found && now.Before(lease.ExpiresAt)
	if live && lease.Holder != holder {
		return oleandervane.Lease{}, eris.Wrapf(oleandervane.ErrLeaseHeld, "acquire lease %q", name)
	}
	if !live {
		store.token++
		lease = oleandervane.Lease{Name: name, Holder: holder, Token: store.token}
	}
	lease.ExpiresAt = now.Add(duration)
	store.leases[name] = lease
	return lease, nil
}

// ReleaseLease gives a lease up. It fails with ErrLeaseHeld when another holder has it by now.
func (store *Store) ReleaseLease(ctx context.Context, lease oleandervane.Lease) error {
	store.callCounter.ReleaseLease.Add(1)
	if err := store.reach(ctx); err != nil {
		return eris.Wrapf(err, "release lease %q", lease.Name)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	held, found := store.leases[lease.Name]
	if !found || !store.timerService.Now().Before(held.ExpiresAt) {
		return nil
	}
	if held.Token != lease.Token {
		return eris.Wrapf(oleandervane.ErrLeaseHeld, "release lease %q", lease.Name)
	}
	delete(store.leases, lease.Name)
	return nil
}

// reach applies the faults that meet a call on its way.
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

// entry returns a copy, so that callers cannot change what is stored.
func (store *Store) entry(key string) oleandervane.StoreEntry {
	entry, found := store.entries[key]
	if !found {
		return oleandervane.StoreEntry{Key: key}
	}
	entry.Value = append([]byte(nil), entry.Value...)
	return entry
}

func (store *Store) swap(key string, version uint64, value []byte) (oleandervane.StoreEntry, error) {
	if len(value) > storeclient.MaxValueBytes {
		return oleandervane.StoreEntry{}, oleandervane.ErrValueTooLarge
	}
	if store.entries[key].Version != version {
		return oleandervane.StoreEntry{}, oleandervane.ErrVersionConflict
	}
	store.version++
	store.entries[key] = oleandervane.StoreEntry{Key: key, Value: append([]byte(nil), value...), Version: store.version}
	if store.faults.SkipChanges > 0 {
		store.faults.SkipChanges--
		return store.entry(key), nil
	}
	store.wake()
	return store.entry(key), nil
}

// wake makes waiting watches look again. The mutex is held.
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
