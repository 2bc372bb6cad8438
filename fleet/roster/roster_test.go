package roster_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"oleandervane.example"
	"oleandervane.example/fleet/roster"
	"oleandervane.example/standin/storestandin"
	"oleandervane.example/timer"
)

type noopObserver struct{}

func (noopObserver) Registered(oleandervane.LeaseID) {}
func (noopObserver) RegistrationFailed(error)        {}

func vm(id string, domain oleandervane.FailureDomain, region oleandervane.Region) oleandervane.EntryVM {
	return oleandervane.EntryVM{
		ID: oleandervane.VMID(id), Incarnation: 1, Region: region, FailureDomain: domain,
		CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"), PeerAddress: netip.MustParseAddrPort("127.0.0.1:2"), Capacity: 100,
	}
}

func listed(store *storestandin.Store, id string) func(poll.LogT) poll.Result {
	return func(poll.LogT) poll.Result {
		entry, err := store.Get(context.Background(), roster.KeyPrefix+id)
		if err == nil && entry.Version > 0 {
			return poll.Success()
		}
		return poll.Continue("%s is not listed: %v", id, err)
	}
}

func run(t *testing.T, store *storestandin.Store) *roster.Roster {
	t.Helper()
	own := roster.New(vm("vm-1", "kigali-a", "kigali"), store, timer.System{}, noopObserver{}, func() bool { return false })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go own.Run(ctx)
	poll.WaitOn(t, listed(store, "vm-1"))
	return own
}

// Guards against a VM that takes the first listing after a loss of power of all VMs, which has only its own entry, for the whole fleet.
func TestRosterSettlesAfterTheFirstListing(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	own := roster.New(vm("vm-1", "kigali-a", "kigali"), storestandin.New(manual), manual, noopObserver{}, func() bool { return false })
	manual.Advance(time.Minute)
	assert.Assert(t, !own.Settled(), "nothing has been listed")
	assert.NilError(t, own.Apply(nil))
	manual.Advance(roster.SettleTime - time.Millisecond)
	assert.Assert(t, !own.Settled())
	manual.Advance(time.Millisecond)
	assert.Assert(t, own.Settled())
}

// Guards against a VM that stays unlisted after its entry was revoked, which its renewals do not detect, or its lease lapsed.
func TestEntryIsRegisteredAgain(t *testing.T) {
	t.Run("revoked", func(t *testing.T) {
		store := storestandin.New(timer.System{})
		own := run(t, store)
		store.Revoke(roster.KeyPrefix)
		removal := oleandervane.StoreChange{Entry: oleandervane.StoreEntry{Key: roster.KeyPrefix + "vm-1"}, Removed: true}
		assert.NilError(t, own.Apply([]oleandervane.StoreChange{removal}))
		poll.WaitOn(t, listed(store, "vm-1"))
	})
	t.Run("revoked, the next write fails", func(t *testing.T) {
		store := storestandin.New(timer.System{})
		own := run(t, store)
		store.Revoke(roster.KeyPrefix)
		store.SetFaults(storestandin.Faults{Down: true})
		removal := oleandervane.StoreChange{Entry: oleandervane.StoreEntry{Key: roster.KeyPrefix + "vm-1"}, Removed: true}
		assert.NilError(t, own.Apply([]oleandervane.StoreChange{removal}))
		time.Sleep(50 * time.Millisecond)
		store.SetFaults(storestandin.Faults{})
		poll.WaitOn(t, listed(store, "vm-1"))
	})
	t.Run("lapsed", func(t *testing.T) {
		store := storestandin.New(timer.System{})
		run(t, store)
		store.LapseLeases()
		poll.WaitOn(t, listed(store, "vm-1"))
	})
	t.Run("store unavailable at the start", func(t *testing.T) {
		store := storestandin.New(timer.System{})
		store.SetFaults(storestandin.Faults{Down: true})
		own := roster.New(vm("vm-1", "kigali-a", "kigali"), store, timer.System{}, noopObserver{}, func() bool { return false })
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go own.Run(ctx)
		time.Sleep(50 * time.Millisecond)
		store.SetFaults(storestandin.Faults{})
		poll.WaitOn(t, listed(store, "vm-1"))
	})
}

// Guards against callers that are sent to a leaving VM.
func TestLeave(t *testing.T) {
	store := storestandin.New(timer.System{})
	own := run(t, store)
	assert.Equal(t, len(own.EntryVMs()), 1)
	assert.NilError(t, own.Leave(context.Background()))
	assert.Equal(t, len(own.EntryVMs()), 0)
	entry, err := store.Get(context.Background(), roster.KeyPrefix+"vm-1")
	assert.NilError(t, err)
	assert.Equal(t, entry.Version, uint64(0))
}

// Guards against an unreadable entry that hides the others.
func TestUnreadableEntry(t *testing.T) {
	own := roster.New(vm("vm-1", "kigali-a", "kigali"), storestandin.New(timer.System{}), timer.System{}, noopObserver{}, func() bool { return false })
	err := own.Apply([]oleandervane.StoreChange{
		{Entry: oleandervane.StoreEntry{Key: "vms/odd", Value: []byte("{")}},
		{Entry: oleandervane.StoreEntry{Key: "vms/vm-2", Value: []byte(`{"incarnation":1,"region":"huye","failure_domain":"huye-a","caller_address":"10.0.0.1:1","peer_address":"10.0.0.1:2"}`)}},
		{Entry: oleandervane.StoreEntry{Key: "servers/x", Value: []byte("{")}},
	})
	assert.ErrorIs(t, err, roster.ErrUnreadable)
	assert.Equal(t, len(own.EntryVMs()), 2)
}

// Guards against callers that get distant VMs although near ones exist, and against callers that get none.
func TestNearest(t *testing.T) {
	vms := []oleandervane.EntryVM{
		vm("a1", "kigali-a", "kigali"), vm("a2", "kigali-a", "kigali"), vm("b1", "kigali-b", "kigali"), vm("c1", "huye-a", "huye"),
	}
	cases := []struct {
		region oleandervane.Region
		domain oleandervane.FailureDomain
		want   string
	}{
		{"kigali", "kigali-a", "[a1 a2]"},
		{"kigali", "kigali-b", "[a1 a2 b1]"},
		{"huye", "huye-a", "[c1]"},
	}
	for _, nearestCase := range cases {
		assert.Equal(t, names(roster.Nearest(vms, roster.Caller{Region: nearestCase.region, FailureDomain: nearestCase.domain, Name: "x"})), nearestCase.want)
	}
	assert.Equal(t, len(roster.Nearest(vms, roster.Caller{Region: "musanze", FailureDomain: "musanze-a", Name: "x"})), 3)
}

func names(vms []oleandervane.EntryVM) string {
	var ids []string
	for _, vm := range vms {
		ids = append(ids, string(vm.ID))
	}
	return fmt.Sprint(ids)
}

// The capacities of the VMs differ. Guards against small VMs that callers get as often as large ones, and against callers
// that get other VMs although the listed VMs stay the same.
func TestNearestByCapacity(t *testing.T) {
	var vms []oleandervane.EntryVM
	for i := range 10 {
		named := vm(fmt.Sprintf("vm-%d", i), "kigali-a", "kigali")
		if i >= 5 {
			named.Capacity = 700
		}
		vms = append(vms, named)
	}
	small, all := 0, 0
	for i := range 1000 {
		caller := roster.Caller{Region: "kigali", FailureDomain: "kigali-a", Name: fmt.Sprint(i)}
		chosen := roster.Nearest(vms, caller)
		assert.Equal(t, names(roster.Nearest(vms, caller)), names(chosen))
		for _, named := range chosen {
			all++
			if named.Capacity == 100 {
				small++
			}
		}
	}
	assert.Assert(t, float64(small)/float64(all) < 0.25, "%d of %d", small, all)
}
