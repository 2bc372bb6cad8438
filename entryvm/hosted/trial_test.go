package hosted

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
	"oleandervane.example/standin/serverstandin"
	"oleandervane.example/timer"
)

// shiftedClock is the system's clock, moved ahead by an offset that the test increases.
type shiftedClock struct {
	timer.System
	offset atomic.Int64
}

func (shiftedClock *shiftedClock) Now() time.Time {
	return shiftedClock.System.Now().Add(time.Duration(shiftedClock.offset.Load()))
}

// noticeTime is more than the time in which all VMs of a failure domain hear of a crash.
const noticeTime = time.Second

// trialFleet has VMs and servers that end when they run the request.
type trialFleet struct {
	fixtures []*fixture
	servers  *serverstandin.Servers
	clock    *shiftedClock
	sends    int
}

// newTrialFleet starts VMs at a store that has the entries.
func newTrialFleet(t *testing.T, vms int, entries ...oleandervane.StoreEntry) *trialFleet {
	fleet := &trialFleet{clock: &shiftedClock{}}
	first := newFixtureAt(t, fleet.clock, newBackend(t))
	_, err := first.store.Commit(t.Context(), oleandervane.StoreTransaction{Removals: []string{"servers/i-0"}})
	assert.NilError(t, err)
	for _, entry := range entries {
		first.write(t, entry.Key, string(entry.Value))
	}
	fleet.servers = serverstandin.New(first.store, serverstandin.Settings{Crash: serverstandin.CrashReset})
	t.Cleanup(fleet.servers.Close)
	for i := range 8 {
		assert.NilError(t, fleet.servers.Start(fmt.Sprintf("i-%d", i+1), "ledger"))
	}
	fleet.fixtures = append(fleet.fixtures, first)
	for i := range vms - 1 {
		fleet.fixtures = append(fleet.fixtures, startAnother(t, *first, oleandervane.VMID(fmt.Sprintf("vm-%d", i+2))))
	}
	t.Cleanup(func() { fleet.logOnFailure(t) })
	for _, fixture := range fleet.fixtures {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			status, _, _ := fixture.send(t, http.MethodGet, "/lohu/harmless", "ready")
			if status != http.StatusOK || len(fixture.entryVM.roster.EntryVMs()) < vms || len(entries) == 0 && !fixture.entryVM.roster.Settled() {
				return poll.Continue("status %d", status)
			}
			return poll.Success()
		})
	}
	return fleet
}

// logOnFailure logs what VMs logged after a failure.
func (trialFleet *trialFleet) logOnFailure(t *testing.T) {
	if !t.Failed() {
		return
	}
	for _, fixture := range trialFleet.fixtures {
		for line := range strings.Lines(fixture.log.text()) {
			t.Log(fixture.settings.ID, strings.TrimSpace(line))
		}
	}
}

// quarantine sends the request until it is refused.
func (trialFleet *trialFleet) quarantine(t *testing.T) {
	for range 2 {
		trialFleet.sendAtOnce(t, trialFleet.fixtures[0])
	}
	assert.Equal(t, trialFleet.servers.Ended(), 2)
	time.Sleep(noticeTime)
}

// sendAtOnce sends the request to VMs at the same time, and returns when all have responded.
func (trialFleet *trialFleet) sendAtOnce(t *testing.T, fixtures ...*fixture) {
	var wait sync.WaitGroup
	for _, fixture := range fixtures {
		trialFleet.sends++
		id := fmt.Sprint("deadly-", trialFleet.sends)
		wait.Go(func() {
			status, _, header := fixture.send(t, http.MethodPost, "/pufi/deadly", id)
			t.Logf("%s at %s: status %d, reason %q", id, fixture.settings.ID, status, header.Get(oleandervane.HeaderReason))
		})
	}
	wait.Wait()
}

func (trialFleet *trialFleet) advance(duration time.Duration) {
	trialFleet.clock.offset.Add(int64(duration))
	time.Sleep(noticeTime)
}

// Guards against quarantines that end at all VMs at the same time, after which each VM that gets the request crashes a server.
func TestCrashingRequestIsTriedByOneVMAfterItsQuarantine(t *testing.T) {
	trialFleet := newTrialFleet(t, 4)
	trialFleet.quarantine(t)
	trialFleet.sendAtOnce(t, trialFleet.fixtures...)
	assert.Equal(t, trialFleet.servers.Ended(), 2)
	for trial := range 2 {
		trialFleet.advance(forward.DefaultQuarantinePeriod << trial)
		// The store has its own clock, by which the lease of the last trial has not ended.
		trialFleet.fixtures[0].store.Revoke(trialPrefix)
		trialFleet.sendAtOnce(t, trialFleet.fixtures...)
		time.Sleep(noticeTime)
		trialFleet.sendAtOnce(t, trialFleet.fixtures...)
		assert.Equal(t, trialFleet.servers.Ended(), 3+trial, "after trial %d", trial+1)
	}
}

// Guards against VMs that have all started again and send, each of them, a request that was refused before.
func TestCrashingRequestIsRememberedAfterAllVMsStartAgain(t *testing.T) {
	former := newTrialFleet(t, 1)
	former.quarantine(t)
	entries, _, err := former.fixtures[0].store.List(t.Context(), quarantinePrefix)
	assert.NilError(t, err)
	trialFleet := newTrialFleet(t, 4, entries...)
	trialFleet.sendAtOnce(t, trialFleet.fixtures...)
	for range 3 {
		trialFleet.advance(3 * time.Second)
		trialFleet.sendAtOnce(t, trialFleet.fixtures...)
	}
	assert.Equal(t, trialFleet.servers.Ended(), 1)
}
