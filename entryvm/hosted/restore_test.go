package hosted

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/fleet/registrywatch"
	"oleandervane.example/fleet/relay"
	"oleandervane.example/fleet/roster"
	"oleandervane.example/platform/catalog"
	"oleandervane.example/platform/store"
	"oleandervane.example/standin/storestandin"
	"oleandervane.example/timer"
)

const vmsKey = "vms/vm-2"

func inEra(era oleandervane.StoreEra, number uint64) oleandervane.StoreRevision {
	return oleandervane.StoreRevision{Era: era, Number: number}
}

// The store comes back from a copy of revision 10. Guards against a VM that takes back what it knew: the drain and the end of a server,
// the beginning of an evacuation, a newer configuration; against one that ignores an evacuation of the copy, which may be a new one, or
// its end, which the operator writes again; against one that loses servers and VMs that lapsed with the copy; and against one that never
// believes the store again.
func TestRestoredStoreTakesNothingBack(t *testing.T) {
	draining := strings.Replace(serverEntry, `"ready"`, `"draining"`, 1)
	newRun := strings.Replace(serverEntry, `"10.0.0.1:80"`, `"10.0.0.9:80"`, 1)
	config := `{"version":"r1","resources":[]}`
	copied := []oleandervane.StoreEntry{
		listed("servers/drained", serverEntry, 3), listed("servers/ended", serverEntry, 4), listed("servers/replaced", serverEntry, 5),
		listed("op/evacuate/ended", "{}", 6), listed("op/config", config, 7), listed("vms/vm-9", vmEntry, 8),
	}
	for _, rewritten := range []bool{false, true} {
		manual := timer.NewManual(time.Unix(1000, 0))
		replica := newTestReplica(manual)
		replica.Replace(copied, inEra(1, 10))
		manual.Advance(roster.SettleTime)
		replica.Apply(oleandervane.StoreChanges{Revision: inEra(1, 17), Changes: []oleandervane.StoreChange{
			{Entry: listed("servers/drained", draining, 11)},
			{Entry: listed("servers/ended", "", 12), Removed: true},
			{Entry: listed("servers/new", serverEntry, 13)},
			{Entry: listed(vmsKey, vmEntry, 14)},
			{Entry: listed("op/evacuate/begun", "{}", 15)},
			{Entry: listed("op/evacuate/ended", "", 16), Removed: true},
			{Entry: listed("op/config", strings.Replace(config, "r1", "r2", 1), 17)},
			{Entry: listed("servers/replaced", newRun, 17)},
			{Entry: listed("vms/vm-9", "", 17), Removed: true},
		}})
		check := func(state string, kept, evacuated bool) {
			t.Helper()
			registry := replica.registry.Load()
			assert.Assert(t, registry.BackendServers["drained"].Leaving, state)
			assert.Equal(t, registry.BackendServers["replaced"].Address, netip.MustParseAddrPort("10.0.0.9:80"), state)
			assert.Assert(t, !replica.hasServer("ended"), state)
			assert.Equal(t, registry.Evacuated["ended"], evacuated, state)
			assert.Equal(t, registry.Table.Revision, oleandervane.Revision(2), state)
			assert.Equal(t, replica.hasServer("new") && registry.Evacuated["begun"] && replica.listsVM("vm-2"), kept, state)
		}
		check("before", true, false)
		assert.Assert(t, !replica.listsVM("vm-9"))
		replica.Replace(copied, inEra(2, 10))
		assert.Assert(t, replica.listsVM("vm-9"), "a VM writes the same value again, and may get the same version")
		check("restored", true, true)
		manual.Advance(time.Second)
		if rewritten {
			// The numbers of revisions are issued again.
			replica.Apply(oleandervane.StoreChanges{Revision: inEra(2, 14), Changes: []oleandervane.StoreChange{
				{Entry: listed("servers/new", serverEntry, 11)},
				{Entry: listed(vmsKey, vmEntry, 12)},
				{Entry: listed("op/evacuate/begun", "{}", 13)},
				{Entry: listed("op/evacuate/ended", "", 14), Removed: true},
			}})
			copied = slices.DeleteFunc(slices.Clone(copied), func(entry oleandervane.StoreEntry) bool { return entry.Key == "op/evacuate/ended" })
		}
		replica.Replace(append(copied, replica.listedAgain(rewritten)...), inEra(2, 14))
		check("listed again", true, true)
		manual.Advance(registrywatch.RemovalDelay)
		check("after the delay", rewritten, !rewritten)
		replica.Apply(oleandervane.StoreChanges{Revision: inEra(2, 16), Changes: []oleandervane.StoreChange{
			{Entry: listed("servers/drained", serverEntry, 15)}, {Entry: listed("servers/ended", serverEntry, 16)},
		}})
		assert.Assert(t, !replica.registry.Load().BackendServers["drained"].Leaving && replica.hasServer("ended"))
	}
}

func (replica *replica) listsVM(id oleandervane.VMID) bool {
	return slices.ContainsFunc(replica.roster.EntryVMs(), func(vm oleandervane.EntryVM) bool { return vm.ID == id })
}

// listedAgain returns the entries that their owners have written again.
func (*replica) listedAgain(rewritten bool) []oleandervane.StoreEntry {
	if !rewritten {
		return nil
	}
	return []oleandervane.StoreEntry{listed("servers/new", serverEntry, 11), listed(vmsKey, vmEntry, 12), listed("op/evacuate/begun", "{}", 13)}
}

// Guards against an evacuation or a server that a VM ignores for good because the restored store has given its entry the version of a
// former one, and against one that is undone, or that stays in force, because the store has lost the latest change.
func TestOrdersOfARestoredStoreAreFollowed(t *testing.T) {
	text, err := os.ReadFile("testdata/restored-store.toml")
	assert.NilError(t, err)
	var cases struct {
		Cases []struct {
			Name  string   `toml:"name"`
			Steps []string `toml:"steps"`
		} `toml:"case"`
	}
	assert.NilError(t, toml.Unmarshal(text, &cases))
	for _, testCase := range cases.Cases {
		t.Run(testCase.Name, func(t *testing.T) {
			manual := timer.NewManual(time.Unix(1000, 0))
			script := &restoreScript{store: storestandin.New(manual), manual: manual, vm: newReadingVM(manual), follower: newReadingVM(manual)}
			script.run(t, `write op/config {"version":"r1","resources":[]}`, "first configuration")
			for number, step := range testCase.Steps {
				script.run(t, step, "step "+strconv.Itoa(number+1)+": "+step)
			}
		})
	}
}

// readingVM is a VM that has read the store up to a revision.
type readingVM struct {
	storeSink
	revision oleandervane.StoreRevision
}

func newReadingVM(manual *timer.Manual) *readingVM {
	replica := newTestReplica(manual)
	return &readingVM{storeSink: storeSink{replica: replica, changeLog: relay.NewChangeLog(replica.roster, contact{})}}
}

// read reads what is new in the store, as the watcher does.
func (readingVM *readingVM) read(t *testing.T, store oleandervane.PrefixStore) {
	t.Helper()
	storeChanges, err := store.WatchPrefix(t.Context(), "", readingVM.revision, 0)
	if err == nil && readingVM.revision.Number > 0 {
		readingVM.Apply(storeChanges)
		readingVM.revision = storeChanges.Revision
		return
	}
	entries, revision, err := store.List(t.Context(), "")
	assert.NilError(t, err)
	readingVM.Replace(entries, revision)
	readingVM.revision = revision
}

// follow reads what is new at another VM, as a follower does.
func (readingVM *readingVM) follow(other *readingVM) {
	changes, full, revision := other.changeLog.Read(readingVM.revision)
	storeChanges := oleandervane.StoreChanges{Changes: changes, Revision: revision}
	readingVM.revision = revision
	if !full {
		readingVM.Apply(storeChanges)
		return
	}
	var entries []oleandervane.StoreEntry
	for _, change := range changes {
		entries = append(entries, change.Entry)
	}
	readingVM.Replace(entries, revision)
}

// state returns the state of a failure domain or backend server.
func (readingVM *readingVM) state(key string) string {
	registry := readingVM.replica.registry.Load()
	domain, isEvacuation := strings.CutPrefix(key, "op/evacuate/")
	server, found := registry.BackendServers[oleandervane.BackendServerID(strings.TrimPrefix(key, "servers/"))]
	switch {
	case isEvacuation && registry.Evacuated[oleandervane.FailureDomain(domain)]:
		return "evacuated"
	case isEvacuation || !found:
		return "absent"
	case server.Leaving:
		return "leaving"
	}
	return "ready"
}

// restoreScript is a store and two VMs, one of which follows the other.
type restoreScript struct {
	store        *storestandin.Store
	copied       storestandin.Content
	manual       *timer.Manual
	vm, follower *readingVM
}

func (restoreScript *restoreScript) run(t *testing.T, step, description string) {
	t.Helper()
	command, arguments, _ := strings.Cut(step, " ")
	key, argument, _ := strings.Cut(arguments, " ")
	switch command {
	case "write":
		if strings.HasPrefix(key, "servers/") {
			argument = strings.Replace(serverEntry, `"ready"`, strconv.Quote(argument), 1)
		}
		restoreScript.commit(t, oleandervane.StoreTransaction{Writes: []oleandervane.StoreWrite{{Key: key, Value: []byte(argument)}}})
	case "remove":
		restoreScript.commit(t, oleandervane.StoreTransaction{Removals: []string{key}})
	case "copy":
		restoreScript.copied = restoreScript.store.Content()
	case "restore":
		restoreScript.store.Restore(restoreScript.copied)
	case "forget_history":
		restoreScript.store.DropHistory()
	case "read":
		restoreScript.vm.read(t, restoreScript.store)
		restoreScript.follower.follow(restoreScript.vm)
	case "wait":
		duration, err := time.ParseDuration(key)
		assert.NilError(t, err, description)
		restoreScript.manual.Advance(duration)
	case "expect":
		assert.Equal(t, restoreScript.vm.state(key), argument, description)
		assert.Equal(t, restoreScript.follower.state(key), argument, "follower, "+description)
	default:
		t.Fatalf("unknown command, %s", description)
	}
}

func (restoreScript *restoreScript) commit(t *testing.T, storeTransaction oleandervane.StoreTransaction) {
	t.Helper()
	_, err := restoreScript.store.Commit(t.Context(), storeTransaction)
	assert.NilError(t, err)
}

// The store is restored twice within a second in an installation of 300 VMs, 20 of which watch it; the others list it once after each
// restore, as followers do that find no delegate in the new era. Guards against calls beyond its limits, and against a VM that stays
// unlisted.
func TestRestoreKeepsWithinTheCallsOfTheStore(t *testing.T) {
	const vms, watching, writesPerSecond, readsPerSecond = 300, 20, 1200, 6000
	standin := storestandin.New(timer.System{})
	server := httptest.NewServer(standin.Handler())
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	copied := standin.Content()
	var rosters []*roster.Roster
	var registrations atomic.Int64
	log := logrus.NewEntry(logrus.New())
	log.Logger.SetLevel(logrus.PanicLevel)
	for number := range vms {
		client := store.NewClient(server.URL, timer.System{})
		defer client.CloseIdleConnections()
		vm := oleandervane.EntryVM{
			ID: oleandervane.VMID("vm-" + string(rune('a'+number/26)) + string(rune('a'+number%26))), FailureDomain: "kigali-a",
			CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"), PeerAddress: netip.MustParseAddrPort("127.0.0.1:2"),
		}
		own := roster.New(vm, client, timer.System{}, registrationCounter{&registrations}, func() bool { return false })
		go own.Run(ctx)
		if number >= watching {
			client.ObserveRestores(restoreFunc(func() {
				own.Restored()
				go func() { _, _, _ = client.List(ctx, "") }()
			}))
			continue
		}
		replica := newReplica(catalog.New(nil), own, timer.System{}, log, func(oleandervane.Registry) {})
		sink := storeSink{replica: replica, changeLog: relay.NewChangeLog(own, contact{})}
		watcher := registrywatch.New(client, registrywatch.NoRelay{}, timer.System{}, sink, 3*time.Second)
		client.ObserveRestores(restoreFunc(func() {
			own.Restored()
			watcher.Interrupt()
		}))
		go watcher.Run(ctx)
		rosters = append(rosters, own)
	}
	// allList reports whether each watching VM lists at least so many VMs.
	allList := func(count int) bool {
		for _, own := range rosters {
			if len(own.EntryVMs()) < count {
				return false
			}
		}
		return true
	}
	await(t, func() bool { return allList(vms) })
	before, registered := standin.Calls(), registrations.Load()
	standin.Restore(copied)
	time.Sleep(600 * time.Millisecond)
	standin.Restore(copied)
	worst := store.Calls{}
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); {
		time.Sleep(time.Second)
		calls := standin.Calls()
		second := calls.Since(before)
		before = calls
		writes, reads := second.GrantLease+second.Commit+second.EndLease, second.List+second.Watch+second.Get
		assert.Assert(t, writes <= writesPerSecond && reads <= readsPerSecond, "%+v in a second", second)
		worst.Commit, worst.List = max(worst.Commit, writes), max(worst.List, reads)
	}
	t.Logf("at most %d writes and %d reads in a second", worst.Commit, worst.List)
	assert.Assert(t, registrations.Load() >= registered+vms)
	await(t, func() bool { return allList(vms) })
}

type registrationCounter struct{ count *atomic.Int64 }

func (counter registrationCounter) Registered(oleandervane.LeaseID) { counter.count.Add(1) }
func (registrationCounter) RegistrationFailed(error)                {}

type restoreFunc func()

func (restoreFunc restoreFunc) StoreRestored(oleandervane.StoreEra) { restoreFunc() }

func await(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !done(); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "not done after 30 s")
	}
}
