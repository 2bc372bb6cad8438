package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/timer"
)

func loadOf(placer *Placer, id oleandervane.BackendServerID, now time.Time) float64 {
	for _, server := range placer.view.Load().byHash {
		if server.ID == id {
			return server.candidate(0, placer.peerScale(), now).Load
		}
	}
	return -1
}

// Two VMs send requests to the same server before it responds to any. Guards against a VM that considers the server
// idle because it has not received a response from the server itself.
func TestLoadIncludesRequestsOfOtherVMs(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	placers := fleet(manual, 2)
	for _, placer := range placers {
		placer.Update(registryOf(registered("a", "kigali-a")))
	}
	for range 3 {
		_, err := placers[0].Chooser(requestFor("x")).Choose(nil)
		assert.NilError(t, err)
	}
	placers[1].ReplaceInFlight("vm vm-0", 1, placers[0].InFlight())
	assert.Equal(t, loadOf(placers[1], "a", manual.Now()), 3.0)
	placers[1].ReplaceInFlight("vm vm-0", 1, nil)
	assert.Equal(t, loadOf(placers[1], "a", manual.Now()), 0.0)
}

// Guards against counts that are lost or counted twice when the registry changes or a server restarts, and against
// counts of a VM that died.
func TestPeerCountsSurviveUpdatesAndExpireWithTheirSource(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	placer := fleet(manual, 2)[0]
	first := registered("a", "kigali-a")
	placer.Update(registryOf(first))
	counts := []oleandervane.ServerCount{{Server: uint32(memberHash("a")), Count: 4}, {Server: uint32(memberHash("b")), Count: 2}}
	placer.ReplaceInFlight("vm vm-1", 1, counts)
	restarted := first
	restarted.StartedAt = 7
	placer.Update(registryOf(restarted, registered("b", "kigali-b")))
	assert.Equal(t, loadOf(placer, "a", manual.Now()), 4.0)
	assert.Equal(t, loadOf(placer, "b", manual.Now()), 2.0)
	placer.ReplaceInFlight("vm vm-1", 1, counts)
	assert.Equal(t, loadOf(placer, "a", manual.Now()), 4.0)
	manual.Advance(countsLifetime + time.Millisecond)
	placer.InFlight()
	assert.Equal(t, loadOf(placer, "a", manual.Now()), 0.0)
	assert.Equal(t, placer.peerScale(), 0.0)
}

// Guards against extrapolating from too few VMs, and against leaving out the missing VMs when most report counts.
func TestPeerCountsAreScaledToAllVMs(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	placer := fleet(manual, 9)[0]
	placer.Update(registryOf(registered("a", "kigali-a")))
	counts := []oleandervane.ServerCount{{Server: uint32(memberHash("a")), Count: 4}}
	placer.ReplaceInFlight("failure_domain kigali-a", 3, counts)
	assert.Equal(t, loadOf(placer, "a", manual.Now()), 0.0)
	placer.ReplaceInFlight("failure_domain kigali-a", 4, counts)
	assert.Equal(t, loadOf(placer, "a", manual.Now()), 8.0)
}
