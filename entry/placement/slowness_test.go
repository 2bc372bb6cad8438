package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/timer"
)

// slowedServers are servers of which a seventh is slowed by its machine at any moment; others are slowed every 600 ms.
type slowedServers struct {
	random   *rand.Rand
	slowness map[oleandervane.BackendServerID]float64
}

func (slowedServers *slowedServers) change() {
	for i := range 24 {
		slowness := 1.0
		if slowedServers.random.Float64() < 0.15 {
			slowness = 2.5
		}
		slowedServers.slowness[serverID(i)] = slowness
	}
}

func serverID(i int) oleandervane.BackendServerID {
	return oleandervane.BackendServerID(fmt.Sprintf("i-%d", i))
}

// state is the response with which a server returns its state.
func (slowedServers *slowedServers) state(id oleandervane.BackendServerID) oleandervane.ResponseMetadata {
	return oleandervane.ResponseMetadata{
		LoadKnown: true, Load: oleandervane.ReportedLoad{Running: 1, Slots: 3, Slowness: slowedServers.slowness[id]},
	}
}

// place places one request and returns the server to which it is sent. Without reads, no state is read before.
func (slowedServers *slowedServers) place(t *testing.T, placer *Placer, object string, reads bool) *reservation {
	t.Helper()
	chooser := placer.Chooser(requestFor(object))
	for {
		chosen, err := chooser.Choose(nil)
		assert.NilError(t, err)
		reservation := chosen.(*reservation)
		if !reads || reservation.StatePath() == "" || reservation.ObserveState(slowedServers.state(reservation.server.ID)) {
			return reservation
		}
		reservation.Release(oleandervane.AttemptCancelled)
	}
}

// A hundred VMs send requests for 40 objects to 24 servers that share machines. Guards against requests that are sent to a server while
// its machine is slow although another server knows the object, and against VMs that all choose the same server because its state is
// the best.
func TestRequestsAvoidServersOnSlowMachines(t *testing.T) {
	for _, reads := range []bool{false, true} {
		manual := timer.NewManual(time.Unix(1000, 0))
		slowed := &slowedServers{random: rand.New(rand.NewPCG(1, 2)), slowness: map[oleandervane.BackendServerID]float64{}}
		slowed.change()
		var servers []oleandervane.RegisteredServer
		for i := range 24 {
			servers = append(servers, registered(serverID(i), "kigali-a"))
		}
		registry := registryOf(servers...)
		service := registry.Table.Services["ledger"]
		service.HealthPath = "/health"
		registry.Table.Services["ledger"] = service
		placers := fleet(manual, 100)
		for _, placer := range placers {
			placer.Update(registry)
		}
		slow, total, perServer := 0, 0, map[oleandervane.BackendServerID]int{}
		for step := range 3000 {
			if step%30 == 0 {
				slowed.change()
			}
			placer := placers[slowed.random.IntN(len(placers))]
			reservation := slowed.place(t, placer, fmt.Sprintf("object-%d", slowed.random.IntN(40)), reads)
			reservation.ObserveResponse(slowed.state(reservation.server.ID))
			reservation.Release(oleandervane.AttemptAnswered)
			for _, other := range placers {
				other.MergeAffinity([]uint32{affinityMark(reservation.score)})
			}
			if step >= 1000 {
				total++
				perServer[reservation.server.ID]++
				if slowed.slowness[reservation.server.ID] > 1 {
					slow++
				}
			}
			manual.Advance(20 * time.Millisecond)
		}
		if reads {
			// Both servers that know an object are slow at the same time for 0.15 x 0.15 of the requests, and VMs that do not
			// know yet that servers have slow machines do not read states.
			assert.Assert(t, slow*20 <= total, "%d of %d requests ran on a slow machine", slow, total)
		} else {
			assert.Assert(t, slow*10 >= total, "%d of %d requests ran on a slow machine; the test shows nothing", slow, total)
		}
		for id, count := range perServer {
			assert.Assert(t, count*6 <= total, "%s got %d of %d requests", id, count, total)
		}
	}
}

// Guards against states that are read, at a price, from services whose servers share no machines.
func TestStatesAreReadOnlyWhereMachinesAreSlow(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	placer := fleet(manual, 1)[0]
	registry := registryOf(registered("i-1", "kigali-a"))
	service := registry.Table.Services["ledger"]
	service.HealthPath = "/health"
	registry.Table.Services["ledger"] = service
	placer.Update(registry)
	respond := func(slowness float64) {
		chosen, err := placer.Chooser(requestFor("x")).Choose(nil)
		assert.NilError(t, err)
		chosen.(*reservation).ObserveResponse(oleandervane.ResponseMetadata{
			LoadKnown: true, Load: oleandervane.ReportedLoad{Running: 1, Slots: 3, Slowness: slowness},
		})
		chosen.Release(oleandervane.AttemptAnswered)
		manual.Advance(time.Second)
	}
	path := func() string {
		chosen, err := placer.Chooser(requestFor("x")).Choose(nil)
		assert.NilError(t, err)
		defer chosen.Release(oleandervane.AttemptCancelled)
		return chosen.(*reservation).StatePath()
	}
	respond(0)
	assert.Equal(t, path(), "")
	respond(1)
	assert.Equal(t, path(), "")
	respond(2.5)
	assert.Equal(t, path(), "/health")
	manual.Advance(slownessPeriod)
	assert.Equal(t, path(), "")
}
