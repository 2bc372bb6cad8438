package registrywatch_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"oleandervane.example"
	"oleandervane.example/fleet/registrywatch"
	"oleandervane.example/standin/storestandin"
	"oleandervane.example/timer"
)

// sink records the calls of the watcher.
type sink struct {
	mutex      sync.Mutex
	values     map[string]string
	replaced   int
	applied    int
	outages    int
	recoveries int
}

func (sink *sink) Replace(entries []oleandervane.StoreEntry, _ oleandervane.StoreRevision) {
	sink.mutex.Lock()
	defer sink.mutex.Unlock()
	sink.replaced++
	sink.values = map[string]string{}
	for _, entry := range entries {
		sink.values[entry.Key] = string(entry.Value)
	}
}

func (sink *sink) Apply(storeChanges oleandervane.StoreChanges) {
	sink.mutex.Lock()
	defer sink.mutex.Unlock()
	sink.applied++
	for _, change := range storeChanges.Changes {
		if change.Removed {
			delete(sink.values, change.Entry.Key)
			continue
		}
		sink.values[change.Entry.Key] = string(change.Entry.Value)
	}
}

func (sink *sink) StoreUnavailable(error) {
	sink.mutex.Lock()
	defer sink.mutex.Unlock()
	sink.outages++
}

func (sink *sink) StoreRecovered(time.Duration) {
	sink.mutex.Lock()
	defer sink.mutex.Unlock()
	sink.recoveries++
}

func (sink *sink) SourceChanged(bool) {}

func (sink *sink) CaughtUp(oleandervane.StoreRevision, bool) {}

func (sink *sink) has(key, value string) func(poll.LogT) poll.Result {
	return func(poll.LogT) poll.Result {
		sink.mutex.Lock()
		defer sink.mutex.Unlock()
		if got, found := sink.values[key]; found && got == value {
			return poll.Success()
		}
		return poll.Continue("%s is %q, not %q", key, sink.values[key], value)
	}
}

func (sink *sink) counts() (replaced, outages, recoveries int) {
	sink.mutex.Lock()
	defer sink.mutex.Unlock()
	return sink.replaced, sink.outages, sink.recoveries
}

func start(t *testing.T) (*storestandin.Store, *sink) {
	t.Helper()
	store := storestandin.New(timer.System{})
	return store, startOn(t, store)
}

func startOn(t *testing.T, store *storestandin.Store) *sink {
	t.Helper()
	sink, _ := watcherOn(t, store)
	return sink
}

func watcherOn(t *testing.T, store *storestandin.Store) (*sink, *registrywatch.Watcher) {
	t.Helper()
	sink := &sink{}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	watcher := registrywatch.New(store, registrywatch.NoRelay{}, timer.System{}, sink, 40*time.Millisecond)
	go watcher.Run(ctx)
	return sink, watcher
}

// Guards against a VM that does not learn of a server that starts just after another one, and against a call for each change of a long
// series.
func TestSecondChangeArrivesSoon(t *testing.T) {
	store, sink := storestandin.New(timer.System{}), &sink{}
	go registrywatch.New(store, registrywatch.NoRelay{}, timer.System{}, sink, 2*time.Second).Run(t.Context())
	poll.WaitOn(t, waiting(store, 1))
	write(t, store, "a", "1")
	poll.WaitOn(t, sink.has("a", "1"), poll.WithDelay(time.Millisecond))
	write(t, store, "b", "1")
	poll.WaitOn(t, sink.has("b", "1"), poll.WithDelay(time.Millisecond), poll.WithTimeout(400*time.Millisecond))
	for number := range 40 {
		write(t, store, "c", string(rune('a'+number)))
		time.Sleep(50 * time.Millisecond)
	}
	sink.mutex.Lock()
	defer sink.mutex.Unlock()
	assert.Assert(t, sink.applied <= 8, "%d calls returned changes", sink.applied)
}

func write(t *testing.T, store *storestandin.Store, key, value string) {
	t.Helper()
	_, err := store.Commit(context.Background(), oleandervane.StoreTransaction{Writes: []oleandervane.StoreWrite{{Key: key, Value: []byte(value)}}})
	assert.NilError(t, err)
}

func waiting(store *storestandin.Store, want int) func(poll.LogT) poll.Result {
	return func(poll.LogT) poll.Result {
		if store.Waiting() == want {
			return poll.Success()
		}
		return poll.Continue("%d watches wait, not %d", store.Waiting(), want)
	}
}

// cutStore cuts each watch at once, with or without an error.
type cutStore struct {
	oleandervane.PrefixStore
	err          error
	lists, calls atomic.Int64
}

func (cutStore *cutStore) List(context.Context, string) ([]oleandervane.StoreEntry, oleandervane.StoreRevision, error) {
	cutStore.lists.Add(1)
	return nil, oleandervane.StoreRevision{Number: 1}, nil
}

func (cutStore *cutStore) WatchPrefix(context.Context, string, oleandervane.StoreRevision, time.Duration) (oleandervane.StoreChanges, error) {
	cutStore.calls.Add(1)
	return oleandervane.StoreChanges{Revision: oleandervane.StoreRevision{Number: 1}}, cutStore.err
}

// Guards against a VM that calls a store which cuts its watches again and again without a pause.
func TestCutWatchesAreRepeatedWithPauses(t *testing.T) {
	for _, err := range []error{nil, oleandervane.ErrHistoryGone, oleandervane.ErrStoreUnavailable} {
		store := &cutStore{err: err}
		go registrywatch.New(store, registrywatch.NoRelay{}, timer.System{}, &sink{}, 2*time.Second).Run(t.Context())
		time.Sleep(3 * time.Second)
		calls := store.lists.Load() + store.calls.Load()
		assert.Assert(t, calls <= 16, "%d calls in 3 s, %v", calls, err)
	}
}

// Guards against a VM that misses a change.
func TestChangesArrive(t *testing.T) {
	store, sink := start(t)
	write(t, store, "a", "1")
	poll.WaitOn(t, sink.has("a", "1"))
	write(t, store, "a", "2")
	poll.WaitOn(t, sink.has("a", "2"))
}

// Watches of the store receive nothing while changes are made; then the store cuts them and drops its history. Guards
// against a VM that continues to watch without the changes in between: all VMs of a region missed an evacuation for six
// seconds because of this.
func TestCutWatchListsAgain(t *testing.T) {
	store, sink := start(t)
	write(t, store, "a", "1")
	poll.WaitOn(t, sink.has("a", "1"))
	poll.WaitOn(t, waiting(store, 1))
	store.SetFaults(storestandin.Faults{StallWatches: true})
	write(t, store, "a", "2")
	store.SetFaults(storestandin.Faults{CutWatches: true})
	poll.WaitOn(t, waiting(store, 0))
	store.SetFaults(storestandin.Faults{StallWatches: true})
	store.DropHistory()
	poll.WaitOn(t, sink.has("a", "2"))
	replaced, _, _ := sink.counts()
	assert.Assert(t, replaced >= 2)
}

// Guards against an outage that is not reported, and against one after which the VM receives no changes.
func TestOutageIsReportedAndEnds(t *testing.T) {
	store, sink := start(t)
	write(t, store, "a", "1")
	poll.WaitOn(t, sink.has("a", "1"))
	store.SetFaults(storestandin.Faults{Down: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, outages, _ := sink.counts(); outages == 1 {
			return poll.Success()
		}
		return poll.Continue("the outage is not reported")
	})
	store.SetFaults(storestandin.Faults{})
	write(t, store, "a", "2")
	poll.WaitOn(t, sink.has("a", "2"))
	_, outages, recoveries := sink.counts()
	assert.Equal(t, outages, 1)
	assert.Equal(t, recoveries, 1)
}

// A VM lists the store while watches receive nothing, a second before the store drops its history. Guards against a VM that
// keeps waiting on such a watch: twenty VMs that had just started missed a configuration for five seconds because of this.
func TestWatchThatReceivesNothingIsDetected(t *testing.T) {
	store := storestandin.New(timer.System{})
	store.SetFaults(storestandin.Faults{DeafWatches: true})
	write(t, store, "a", "1")
	sink := startOn(t, store)
	poll.WaitOn(t, sink.has("a", "1"))
	poll.WaitOn(t, waiting(store, 1))
	write(t, store, "a", "2")
	store.DropHistory()
	store.SetFaults(storestandin.Faults{})
	poll.WaitOn(t, sink.has("a", "2"), poll.WithTimeout(5*time.Second))
}

// The store goes silent while a watch waits and never responds to it. Guards against a VM that misses later changes: a
// VM missed a configuration for five seconds after the store was available again.
func TestInterruptedWatchListsAgain(t *testing.T) {
	store := storestandin.New(timer.System{})
	write(t, store, "a", "1")
	sink, watcher := watcherOn(t, store)
	poll.WaitOn(t, sink.has("a", "1"))
	poll.WaitOn(t, waiting(store, 1))
	store.SetFaults(storestandin.Faults{StallWatches: true})
	write(t, store, "a", "2")
	watcher.Interrupt()
	poll.WaitOn(t, sink.has("a", "2"), poll.WithTimeout(time.Second))
}
