package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an instance that fails at once, and so is always idle, attracting the traffic of the others.
func TestFastFailureAttractsLittle(t *testing.T) {
	for _, answers := range []bool{true, false} {
		share := func(unguarded bool) float64 {
			region := run(scenario{
				deployment: ledger(5, 6), reportCase: reportCases[0], policy: Owned, load: 0.7, duration: 20 * time.Second, seed: 1,
				unguarded: unguarded,
				change: func(region *simulatedRegion) {
					region.servers[0].answersFast, region.servers[0].failsFast, region.servers[0].liesIdle = answers, !answers, true
				},
			})
			total := 0
			for _, server := range region.servers {
				total += server.started
			}
			return float64(region.servers[0].started) / float64(total)
		}
		fair := 1.0 / 5
		assert.Assert(t, share(false) <= 2*fair, "share %.3f", share(false))
		// Broken attempts lead to ejection; only the guard stops an instance whose fast answers look good.
		assert.Equal(t, share(true) <= 2*fair, !answers, "unguarded share %.3f", share(true))
	}
}
