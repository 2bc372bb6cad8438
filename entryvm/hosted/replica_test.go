package hosted

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/fleet/registrywatch"
	"oleandervane.example/fleet/relay"
	"oleandervane.example/fleet/roster"
	"oleandervane.example/platform/catalog"
	"oleandervane.example/standin/storestandin"
	"oleandervane.example/timer"
)

const serverEntry = `{"service":"ledger","address":"10.0.0.1:80","zone":"kigali-a","concurrency_limit":3,"state":"ready"}`

func newTestReplica(manual *timer.Manual) *replica {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	self := oleandervane.EntryVM{ID: "vm-1", CallerAddress: netip.MustParseAddrPort("127.0.0.1:1")}
	roster := roster.New(self, storestandin.New(manual), manual, &observer{}, func() bool { return false })
	reader := catalog.New(map[oleandervane.FailureDomain]oleandervane.Region{"kigali-a": "kigali"})
	return newReplica(reader, roster, manual, logrus.NewEntry(logger), func(oleandervane.Registry) {})
}

func written(key string) oleandervane.StoreChange {
	return oleandervane.StoreChange{Entry: oleandervane.StoreEntry{Key: key, Value: []byte(serverEntry)}}
}

func removed(key string) oleandervane.StoreChange {
	return oleandervane.StoreChange{Entry: oleandervane.StoreEntry{Key: key}, Removed: true}
}

func (replica *replica) hasServer(id oleandervane.BackendServerID) bool {
	_, found := replica.registry.Load().BackendServers[id]
	return found
}

// All entries lapse during an outage of the store. Guards against a VM that has no backend servers when the store is back,
// and against one that keeps those that do not come back.
func TestLapsedEntriesAreKeptUntilTheirOwnersReturn(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	replica := newTestReplica(manual)
	replica.Apply(oleandervane.StoreChanges{Changes: []oleandervane.StoreChange{written("servers/back"), written("servers/gone")}})
	replica.StoreUnavailable(oleandervane.ErrStoreUnavailable)
	replica.StoreRecovered(5 * time.Second)
	replica.Replace(nil, oleandervane.StoreRevision{Number: 9})
	assert.Assert(t, replica.hasServer("back") && replica.hasServer("gone"))
	manual.Advance(time.Second)
	replica.Apply(oleandervane.StoreChanges{Changes: []oleandervane.StoreChange{written("servers/back")}})
	manual.Advance(registrywatch.RemovalDelay)
	assert.Assert(t, replica.hasServer("back"))
	assert.Assert(t, !replica.hasServer("gone"))
}

const vmEntry = `{"incarnation":1,"caller_address":"10.0.0.2:1","peer_address":"10.0.0.2:2"}`

func listed(key, value string, version uint64) oleandervane.StoreEntry {
	return oleandervane.StoreEntry{Key: key, Value: []byte(value), Version: version}
}

// A server is missing in the first list after calls to the store failed. Guards against a VM that was cut off and sends to a server
// that left meanwhile, and against one that loses its servers after an outage of the store in which entries lapsed.
func TestRemovalsDuringACutApplyWithTheFirstList(t *testing.T) {
	for name, testCase := range map[string]struct {
		first, second []oleandervane.StoreEntry
		kept          bool
	}{
		"cut":                         {first: []oleandervane.StoreEntry{listed("servers/b", serverEntry, 7), listed("vms/vm-1", vmEntry, 9), listed("vms/vm-2", vmEntry, 5)}},
		"outage, VMs are back":        {first: []oleandervane.StoreEntry{listed("vms/vm-1", vmEntry, 8), listed("vms/vm-2", vmEntry, 9)}, kept: true},
		"outage, VMs are not back":    {kept: true},
		"own entry only":              {first: []oleandervane.StoreEntry{listed("vms/vm-1", vmEntry, 4)}, kept: true},
		"servers that did not lapse":  {first: []oleandervane.StoreEntry{listed("servers/b", serverEntry, 7)}, kept: true},
		"outage, two lists afterward": {first: []oleandervane.StoreEntry{listed("vms/vm-2", vmEntry, 9)}, second: []oleandervane.StoreEntry{listed("vms/vm-2", vmEntry, 9)}, kept: true},
	} {
		replica := newTestReplica(timer.NewManual(time.Unix(1000, 0)))
		replica.Replace([]oleandervane.StoreEntry{listed("servers/a", serverEntry, 6), listed("servers/b", serverEntry, 7), listed("vms/vm-1", vmEntry, 4), listed("vms/vm-2", vmEntry, 5)}, oleandervane.StoreRevision{Number: 7})
		replica.StoreUnavailable(oleandervane.ErrStoreUnavailable)
		replica.StoreRecovered(12 * time.Second)
		replica.Replace(testCase.first, oleandervane.StoreRevision{Number: 9})
		if testCase.second != nil {
			replica.Replace(testCase.second, oleandervane.StoreRevision{Number: 9})
		}
		assert.Equal(t, replica.hasServer("a"), testCase.kept, name)
		replica.Apply(oleandervane.StoreChanges{Changes: []oleandervane.StoreChange{removed("servers/b")}, Revision: oleandervane.StoreRevision{Number: 10}})
		assert.Equal(t, replica.hasServer("b"), testCase.kept, name)
	}
}

// The VM loses the store for a moment after it was restored. Guards against a list after this cut that ends the deferral of removals which
// began with the restore, before servers have written their entries again.
func TestCutAfterARestoreRemovesNothing(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	replica := newTestReplica(manual)
	vm := listed("vms/vm-2", vmEntry, 5)
	replica.Replace([]oleandervane.StoreEntry{listed("servers/a", serverEntry, 6), vm}, inEra(1, 7))
	replica.Replace([]oleandervane.StoreEntry{vm}, inEra(2, 5))
	manual.Advance(1300 * time.Millisecond)
	replica.StoreRecovered(time.Second)
	replica.Replace([]oleandervane.StoreEntry{vm}, inEra(2, 6))
	assert.Assert(t, replica.hasServer("a"))
	manual.Advance(registrywatch.RemovalDelay)
	assert.Assert(t, !replica.hasServer("a"))
}

// The store is away, for all VMs, soon after it was restored, and servers lapse meanwhile. The other VM has written its entry again and got
// the version that it had before the restore. Guards against a VM that takes this for a sign that only it was cut off, and loses the servers.
func TestVersionOfAFormerEraShowsNoCut(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	replica := newTestReplica(manual)
	server, vm := listed("servers/a", serverEntry, 4), listed("vms/vm-2", vmEntry, 6)
	replica.Replace([]oleandervane.StoreEntry{server, vm}, inEra(1, 7))
	replica.Replace([]oleandervane.StoreEntry{server}, inEra(2, 5))
	manual.Advance(2 * time.Second)
	replica.StoreRecovered(1800 * time.Millisecond)
	replica.Replace([]oleandervane.StoreEntry{vm}, inEra(2, 6))
	manual.Advance(registrywatch.RemovalDelay - time.Millisecond)
	assert.Assert(t, replica.hasServer("a"))
	manual.Advance(time.Millisecond)
	assert.Assert(t, !replica.hasServer("a"))
}

// contact is a relay.Contact that is always in contact.
type contact struct{}

func (contact) InContact() bool { return true }

// Guards against followers that read a list from before an outage and take it for one from after it.
func TestDelegateHasNoEntriesUntilItListsThemAfterAnOutage(t *testing.T) {
	replica := newTestReplica(timer.NewManual(time.Unix(1000, 0)))
	storeSink := storeSink{replica: replica, changeLog: relay.NewChangeLog(replica.roster, contact{})}
	entries := []oleandervane.StoreEntry{listed("vms/vm-2", vmEntry, 5), listed("vms/vm-4", vmEntry, 6)}
	storeSink.Replace(entries, oleandervane.StoreRevision{Number: 6})
	_, fresh := storeSink.changeLog.StoreRevision()
	assert.Assert(t, fresh)
	storeSink.StoreUnavailable(oleandervane.ErrStoreUnavailable)
	_, fresh = storeSink.changeLog.StoreRevision()
	assert.Assert(t, !fresh)
	storeSink.Replace(entries, oleandervane.StoreRevision{Number: 9})
	revision, fresh := storeSink.changeLog.StoreRevision()
	assert.Assert(t, fresh && revision.Number == 9)
}

// Guards against a server that still gets requests after it has left while the store was available.
func TestRemovalAppliesImmediatelyWhileTheStoreIsAvailable(t *testing.T) {
	replica := newTestReplica(timer.NewManual(time.Unix(1000, 0)))
	replica.Apply(oleandervane.StoreChanges{Changes: []oleandervane.StoreChange{written("servers/a"), written("servers/b")}})
	replica.Apply(oleandervane.StoreChanges{Changes: []oleandervane.StoreChange{removed("servers/a")}})
	assert.Assert(t, !replica.hasServer("a") && replica.hasServer("b"))
	replica.Replace(nil, oleandervane.StoreRevision{Number: 9})
	assert.Assert(t, !replica.hasServer("b"))
}

// runningClock is a manual timer service whose time also passes between two calls.
type runningClock struct {
	*timer.Manual
	offset time.Duration
}

func (runningClock *runningClock) Now() time.Time {
	runningClock.offset += time.Millisecond
	return runningClock.Manual.Now().Add(runningClock.offset)
}

// Guards against a VM that never sends to cold and limited servers, because the registry was published a moment before the roster had
// settled and nothing changed afterwards.
func TestRegistryIsPublishedAfterTheRosterHasSettled(t *testing.T) {
	clock := &runningClock{Manual: timer.NewManual(time.Unix(1000, 0))}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	self := oleandervane.EntryVM{ID: "vm-1", CallerAddress: netip.MustParseAddrPort("127.0.0.1:1")}
	own := roster.New(self, storestandin.New(clock), clock, &observer{}, func() bool { return false })
	reader := catalog.New(map[oleandervane.FailureDomain]oleandervane.Region{"kigali-a": "kigali"})
	settled := false
	replica := newReplica(reader, own, clock, logrus.NewEntry(logger), func(oleandervane.Registry) { settled = own.Settled() })
	clock.offset = -time.Second
	replica.Apply(oleandervane.StoreChanges{Changes: []oleandervane.StoreChange{written("servers/i-1")}})
	assert.Assert(t, !settled)
	// The timer fires although this clock has not reached the end of the time.
	clock.offset = -2 * time.Second
	clock.Advance(roster.SettleTime)
	assert.Assert(t, !settled)
	clock.offset = 0
	clock.Advance(time.Second)
	assert.Assert(t, settled)
}
