package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"oleandervane.example"
	"oleandervane.example/figure"
	"oleandervane.example/timer"
)

// reports is a load source whose reports are set by tests.
type reports map[oleandervane.BackendServerID]oleandervane.LoadReport

func (reports reports) LoadReport(id oleandervane.BackendServerID) (oleandervane.LoadReport, bool) {
	report, known := reports[id]
	return report, known
}

// fixture is a chooser in a region with a single entry VM.
type fixture struct {
	manual  *timer.Manual
	reports reports
	chooser *Chooser
}

func newFixture(policy Policy, servers []oleandervane.BackendServer) fixture {
	manual := timer.NewManual(time.Unix(0, 0))
	fixture := fixture{manual: manual, reports: reports{}}
	fixture.chooser = New(Settings{
		Policy: policy, Membership: &fixedMembership{entryVMs: regionFleet(1)}, LoadSource: fixture.reports, TimerService: manual,
	})
	fixture.chooser.Update(servers)
	return fixture
}

// fill reserves all available slots and returns the reservations by instance.
func (fixture fixture) fill() map[oleandervane.BackendServerID][]oleandervane.Reservation {
	result := map[oleandervane.BackendServerID][]oleandervane.Reservation{}
	for {
		reservation, err := fixture.chooser.Choose(testService, nil)
		if err != nil {
			return result
		}
		id := reservation.BackendServer().ID
		result[id] = append(result[id], reservation)
	}
}

func releaseAll(held map[oleandervane.BackendServerID][]oleandervane.Reservation, result oleandervane.AttemptResult) {
	for _, reservations := range held {
		for _, reservation := range reservations {
			reservation.Release(result)
		}
	}
}

var allPolicies = []Policy{Owned, Random, RoundRobin, LeastLoaded, TwoChoices}

// Guards against attempts at a leaving instance, whichever signal arrives first, and against an older signal that
// overrides a newer one.
func TestLeavingInstanceGetsNoAttempts(t *testing.T) {
	const leaving, other = "instance-00", "instance-01"
	for _, policy := range allPolicies {
		servers := regionServers(2, 3)
		check := func(signal string, change func(fixture fixture)) {
			fixture := newFixture(policy, servers)
			fixture.manual.Advance(time.Second)
			change(fixture)
			held := fixture.fill()
			assert.Equal(t, len(held[leaving]), 0, "%s, %s", policy, signal)
			assert.Assert(t, len(held[other]) > 0, "%s, %s", policy, signal)
			releaseAll(held, oleandervane.AttemptAnswered)
			// A report that was already under way does not override the signal.
			fixture.reports[leaving] = oleandervane.LoadReport{BackendServer: leaving, MeasuredAt: fixture.manual.Now().Add(maxClockSkew / 2)}
			fixture.manual.Advance(maxClockSkew)
			assert.Equal(t, len(fixture.fill()[leaving]), 0, "%s, %s", policy, signal)
		}
		now := time.Unix(1, 0)
		check("list", func(fixture fixture) {
			fixture.chooser.Update([]oleandervane.BackendServer{servers[0].WithLeaving(true), servers[1]})
		})
		check("report", func(fixture fixture) {
			fixture.reports[leaving] = oleandervane.LoadReport{BackendServer: leaving, Leaving: true, MeasuredAt: now}
		})
		check("response", func(fixture fixture) {
			fixture.chooser.Observe(testService, oleandervane.LoadReport{BackendServer: leaving, Leaving: true, MeasuredAt: now})
		})
		check("late list", func(fixture fixture) {
			fixture.chooser.Observe(testService, oleandervane.LoadReport{BackendServer: leaving, Leaving: true, MeasuredAt: now})
			fixture.chooser.Update(servers)
		})
	}
}

// Guards against attempts that still go to a leaving instance long after its first leaving signal. Measures the time
// from that signal to the last new attempt under load.
func TestFigureLeaving(t *testing.T) {
	var last, signal time.Time
	run(scenario{
		deployment: ledger(5, 6), reportCase: reportCases[1], policy: Owned, load: 0.85, duration: 20 * time.Second, seed: 3,
		change: func(region *simulatedRegion) {
			region.manual.After(10*time.Second, func(now time.Time) { region.servers[0].leaving, signal = true, now })
			started := 0
			region.manual.Every(time.Millisecond, func(now time.Time) {
				if region.servers[0].started > started {
					last = now
				}
				started = region.servers[0].started
			})
		},
	})
	// Reports lag by 5 s here. The VMs that use the instance see the signal in responses, and no other VM may start to
	// use the instance.
	seconds := last.Sub(signal).Seconds()
	figure.Require(t, figure.Figure{Name: "balance_leaving_last_attempt", Value: seconds, Unit: "s", Bound: 3})
}

// Guards against full load on an instance that is new, cold, or back after a gap.
func TestColdStartRampsUp(t *testing.T) {
	const id = oleandervane.BackendServerID("instance-01")
	servers := regionServers(2, 10)
	for name, change := range map[string]func(fixture fixture){
		"new": func(fixture fixture) { fixture.chooser.Update(servers) },
		"cold": func(fixture fixture) {
			fixture.chooser.Update(servers)
			fixture.manual.Advance(time.Minute)
			fixture.chooser.Observe(testService, oleandervane.LoadReport{BackendServer: id, Cold: true, MeasuredAt: fixture.manual.Now()})
		},
		"returned": func(fixture fixture) {
			fixture.chooser.Update(servers)
			fixture.manual.Advance(time.Minute)
			fixture.chooser.Update(servers[:1])
			fixture.manual.Advance(returnGap)
			fixture.chooser.Update(servers)
		},
	} {
		fixture := newFixture(Owned, servers[:1])
		fixture.manual.Advance(returnGap)
		change(fixture)
		for passed := time.Duration(0); passed <= rampDuration; passed += rampDuration / 5 {
			held := fixture.fill()
			assert.Equal(t, len(held[id]), max(1, int(10*passed/rampDuration)), "%s after %s", name, passed)
			releaseAll(held, oleandervane.AttemptCancelled)
			fixture.manual.Advance(rampDuration / 5)
		}
	}
	// The last report before reports stop marks the instance as cold. The mark must not apply forever.
	stopped := newFixture(Owned, servers)
	stopped.reports[id] = oleandervane.LoadReport{BackendServer: id, Cold: true, MeasuredAt: stopped.manual.Now()}
	for range 12 {
		releaseAll(stopped.fill(), oleandervane.AttemptCancelled)
		stopped.manual.Advance(rampDuration / 10)
	}
	assert.Equal(t, len(stopped.fill()[id]), 10)
	// A short absence from the list neither restarts the ramp of an instance nor drops its attempts.
	fixture := newFixture(Owned, servers)
	held := fixture.fill()
	fixture.chooser.Update(servers[:1])
	fixture.manual.Advance(returnGap / 2)
	fixture.chooser.Update(servers)
	assert.Equal(t, len(fixture.fill()), 0)
	releaseAll(held, oleandervane.AttemptAnswered)
	assert.Equal(t, len(fixture.fill()[id]), 10)
}

// Guards against attempts at failing instances, a constant delay between trials, and ejection of so many instances that
// the others cannot handle the load.
func TestEjection(t *testing.T) {
	for _, policy := range allPolicies {
		fixture := newFixture(policy, regionServers(4, 3))
		broken := oleandervane.BackendServerID("instance-02")
		failing := func(oleandervane.BackendServerID) bool { return true }
		attempts := func() (counts map[oleandervane.BackendServerID]int) {
			counts = map[oleandervane.BackendServerID]int{}
			for id, reservations := range fixture.fill() {
				counts[id] = len(reservations)
				result := oleandervane.AttemptAnswered
				if failing(id) {
					result = oleandervane.AttemptBroken
				}
				for _, reservation := range reservations {
					reservation.Release(result)
				}
			}
			return counts
		}
		failing = func(id oleandervane.BackendServerID) bool { return id == broken }
		var trials []time.Duration
		for range 3600 {
			if attempts()[broken] > 0 {
				trials = append(trials, fixture.manual.Now().Sub(time.Unix(0, 0)))
			}
			fixture.manual.Advance(100 * time.Millisecond)
		}
		assert.Assert(t, len(trials) >= 8 && len(trials) <= 16, "%s: %v", policy, trials)
		for index := 3; index < 7; index++ {
			grown := float64(trials[index]-trials[index-1]) / float64(trials[index-1]-trials[index-2])
			assert.Assert(t, grown > 1.5 && grown < 2.5, "%s: %v", policy, trials)
		}
		failing = func(oleandervane.BackendServerID) bool { return true }
		for range 100 {
			attempts()
			assert.Assert(t, len(attempts()) >= 2, "%s", policy)
			fixture.manual.Advance(10 * time.Millisecond)
		}
	}
}

// Guards against refusing all requests when the only instance that is not leaving is ejected.
func TestEjectedInstanceIsTriedAsLastResort(t *testing.T) {
	servers := regionServers(2, 3)
	fixture := newFixture(Owned, servers)
	for range 2 {
		for id, reservations := range fixture.fill() {
			result := oleandervane.AttemptAnswered
			if id == servers[0].ID {
				result = oleandervane.AttemptBroken
			}
			releaseAll(map[oleandervane.BackendServerID][]oleandervane.Reservation{id: reservations}, result)
		}
	}
	assert.Equal(t, len(fixture.fill()[servers[0].ID]), 0)
	fixture.chooser.Update([]oleandervane.BackendServer{servers[0], servers[1].WithLeaving(true)})
	assert.Assert(t, len(fixture.fill()[servers[0].ID]) > 0)
}

// Guards against the VMs together opening more connections to an instance than it allows, while each sees only a part
// of the VMs.
func TestConnectionsStayBelowLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 200).Draw(t, "vms")
		maxConnections := rapid.IntRange(1, 1000).Draw(t, "connections")
		total := 0
		for rank := range vms {
			seen := vms
			switch {
			case maxConnections < max(assumedRegionVMs, viewMargin*vms):
			case vms <= assumedRegionVMs:
				seen = rapid.IntRange(1, vms).Draw(t, "seen")
			default:
				seen = rapid.IntRange((vms+1)/viewMargin, vms).Draw(t, "seen")
			}
			total += connectionLimit(maxConnections, seen, rank)
		}
		assert.Assert(t, total <= maxConnections, "all VMs together may open %d connections", total)
	})
	for _, test := range []struct {
		name       string
		vms, limit int
	}{{"20_vms", 7, 650}, {"450_vms", 41, 650}} {
		total := 0
		for rank := range test.vms {
			limit := connectionLimit(test.limit, test.vms, rank)
			// Each of 41 VMs owns about 4 of 16 times 9 slots, possibly all at one instance, and may borrow one more.
			assert.Assert(t, limit > 4+borrowLimit)
			total += limit
		}
		figure.Require(t, figure.Figure{Name: "balance_connections_" + test.name, Value: float64(total), Unit: "connections", Bound: float64(test.limit)})
	}
}

// Guards against slots without an owner or with two owners, against uneven numbers of slots, and against many slots
// that change their owner when one VM leaves.
func TestOwnership(t *testing.T) {
	const vms = 41
	owners := func(entryVMs []oleandervane.EntryVM) map[string]oleandervane.VMID {
		result := map[string]oleandervane.VMID{}
		for self, entryVM := range entryVMs {
			chooser := New(Settings{
				Membership: &fixedMembership{entryVMs: entryVMs, self: self}, LoadSource: reports{}, TimerService: timer.NewManual(time.Unix(0, 0)),
			})
			chooser.Update(regionServers(16, 9))
			count := 0
			for _, instance := range (*chooser.groups.Load())[testService].instances {
				for _, number := range instance.ownedSlots {
					name := fmt.Sprintf("%s/%d", instance.server.ID, number)
					assert.Equal(t, result[name], oleandervane.VMID(""))
					result[name] = entryVM.ID
					count++
				}
			}
			assert.Assert(t, count >= 16*9/len(entryVMs) && count <= 16*9/len(entryVMs)+1)
		}
		assert.Equal(t, len(result), 16*9)
		return result
	}
	entryVMs := regionFleet(vms)
	before, after := owners(entryVMs), owners(append(entryVMs[:20:20], entryVMs[21:]...))
	moved := 0
	for name, owner := range before {
		if after[name] != owner {
			moved++
		}
	}
	// Growing quotas move more than the slots of the VM that left. Round-robin assignment would move nearly all slots.
	t.Logf("moved %d of %d slots", moved, 16*9)
	assert.Assert(t, moved <= 16*9/4)
}

// Guards against a reservation that frees its slot twice.
func TestReleaseOnce(t *testing.T) {
	fixture := newFixture(Owned, regionServers(1, 2))
	held := fixture.fill()["instance-00"]
	assert.Equal(t, len(held), 2)
	held[0].Release(oleandervane.AttemptAnswered)
	held[0].Release(oleandervane.AttemptBroken)
	assert.Equal(t, len(fixture.fill()["instance-00"]), 1)
	_, err := fixture.chooser.Choose(testService, nil)
	assert.ErrorIs(t, err, oleandervane.ErrNoBackendServer)
	_, err = fixture.chooser.Choose("unknown", nil)
	assert.ErrorIs(t, err, oleandervane.ErrNoBackendServer)
}
