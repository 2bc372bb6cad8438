package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example/figure"
)

// Guards against an instance that fails immediately, and is therefore always idle, attracting the traffic of the other
// instances.
func TestFastFailureDoesNotAttractTraffic(t *testing.T) {
	for _, answers := range []bool{true, false} {
		share := func(unguarded bool) float64 {
			region := run(scenario{
				deployment: ledger(5, 6), reportCase: reportCases[0], policy: Owned, load: 0.7, duration: 20 * time.Second, seed: 1,
				unguarded: unguarded,
				change: func(region *simulatedRegion) {
					region.servers[0].answersFast, region.servers[0].failsFast, region.servers[0].reportsIdle = answers, !answers, true
				},
			})
			total := 0
			for _, server := range region.servers {
				total += server.started
			}
			return float64(region.servers[0].started) / float64(total)
		}
		fair := 1.0 / 5
		assert.Assert(t, share(false) <= 2*fair, "the instance that ends attempts immediately got a share of %.3f", share(false))
		// Broken attempts lead to ejection. An instance that responds too fast is not ejected, because its responses
		// count as success; only the guard limits its share.
		assert.Equal(t, share(true) <= 2*fair, !answers, "without the guard, the instance that ends attempts immediately got a share of %.3f", share(true))
	}
}

// Guards against an instance that works but reports no load attracting the traffic of the other instances.
func TestUnderstatedLoadDoesNotAttractTraffic(t *testing.T) {
	region := run(scenario{
		deployment: ledger(5, 6), reportCase: reportCases[0], policy: Owned, load: 0.7, duration: 20 * time.Second, seed: 2,
		change: func(region *simulatedRegion) { region.servers[0].reportsIdle = true },
	})
	total := 0
	for _, server := range region.servers {
		total += server.started
	}
	assert.Assert(t, float64(region.servers[0].started) <= 2.0/5*float64(total), "the instance that reports no load got %d of %d attempts", region.servers[0].started, total)
}

// Guards against more shed attempts than the retry budget of 10%, also with misleading load reports.
func TestFigureShedRate(t *testing.T) {
	for _, deployment := range []deployment{ledger(5, 6), ledger(5, 6).withoutQueue(), pronostico(6, 6), pronostico(6, 6).withoutQueue()} {
		for _, load := range []float64{0.7, 0.85} {
			worst := 0.0
			for _, reportCase := range reportCases {
				outcome := run(scenario{deployment: deployment, reportCase: reportCase, policy: Owned, load: load, duration: 10 * time.Second, seed: 1}).outcome
				worst = max(worst, outcome.shedRate())
			}
			name := fmt.Sprintf("balance_shed_rate_%s_%.0f", deployment.name, 100*load)
			figure.Require(t, figure.Figure{Name: name, Value: worst, Unit: "share", Bound: 0.1})
		}
	}
}

// Guards against an admission limit that differs from the number of slots that a VM can use, and against a wrong limit
// of connections.
func TestUsableSlots(t *testing.T) {
	servers := regionServers(3, 4)
	servers[2] = servers[2].WithLeaving(true)
	fixture := newFixture(Owned, servers)
	assert.Equal(t, fixture.chooser.UsableSlots(testService), 2*4+borrowLimit)
	assert.Equal(t, fixture.chooser.ConnectionLimit(servers[0]), 650/assumedRegionVMs)
	assert.Equal(t, fixture.chooser.UsableSlots("unknown"), 0)
}
