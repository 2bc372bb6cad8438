package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example/timer"
)

// fleetLoad is one service's load on a fleet whose VMs each have a budget of their own.
type fleetLoad struct {
	vms       int
	allowance Allowance
	// base is the number of retries in a window that the fleet may make beyond the ratio.
	base float64
	// perSecond is the rate of requests at each VM.
	perSecond float64
	seconds   int
	// sheds says whether servers shed requests at a time.
	sheds func(at time.Duration) bool
}

// fleetTick is the step in which the load is played and windows slide.
const fleetTick = 50 * time.Millisecond

// play returns the requests and retries of the whole fleet in each tick.
func (load fleetLoad) play(random *rand.Rand) (requests, retries []int) {
	start := time.Unix(1_000_000, 0)
	manuals := make([]*timer.Manual, load.vms)
	budgets := make([]RetryBudget, load.vms)
	for i := range budgets {
		// The clocks of VMs differ, and with them where their buckets begin.
		manuals[i] = timer.NewManual(start.Add(time.Duration(random.Int64N(int64(time.Second)))))
		budgets[i] = NewRetryBudget(manuals[i], load.allowance)
	}
	ticks := load.seconds * int(time.Second/fleetTick)
	requests, retries = make([]int, ticks), make([]int, ticks)
	for tick := range ticks {
		at := time.Duration(tick) * fleetTick
		for i, budget := range budgets {
			for range poisson(random, load.perSecond*fleetTick.Seconds()) {
				budget.RecordRequest("ledger")
				requests[tick]++
				for load.sheds(at) && budget.AcquireRetry("ledger") {
					retries[tick]++
				}
			}
			manuals[i].Advance(fleetTick)
		}
	}
	return requests, retries
}

func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for sum := random.ExpFloat64(); sum < mean; sum += random.ExpFloat64() {
		count++
	}
	return count
}

// mostOver returns by how many retries the fleet passed its limit in the worst window; requests count in the window or in
// the one before it, whichever has more.
func (load fleetLoad) mostOver(requests, retries []int) float64 {
	window := int(load.allowance.Window / fleetTick)
	worst := -load.base
	for from := window; from+window <= len(requests); from++ {
		counted := max(sum(requests[from:from+window]), sum(requests[from-window:from]), sum(requests[from-window/2:from+window/2]))
		over := float64(sum(retries[from:from+window])) - load.allowance.Ratio*float64(counted) - load.base
		worst = max(worst, over)
	}
	return worst
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// Replays servers that begin to shed, once or by turns, while 95 VMs each have a budget of their own. Guards against a
// fleet that passes its budget in some window of 10 s: a limit on the retries since a window ago let each VM spend its
// budget twice in 10 s when the oldest bucket left, and up to its own peak of requests.
func TestRetriesOfAFleetStayInItsBudget(t *testing.T) {
	const base, vms = 230.0, 95
	cases := []struct {
		name  string
		sheds func(at time.Duration) bool
	}{
		{"from one moment on", func(at time.Duration) bool { return at > 15*time.Second }},
		{"two pulses 9.3 s apart", func(at time.Duration) bool {
			since := at - 15*time.Second
			return since > 0 && since%(9300*time.Millisecond) < 700*time.Millisecond
		}},
		{"pulses of 3 s", func(at time.Duration) bool { return at > 12*time.Second && at%(7*time.Second) < 3*time.Second }},
		{"always", func(time.Duration) bool { return true }},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			load := fleetLoad{
				vms: vms, base: base, perSecond: 13, seconds: 50, sheds: testCase.sheds,
				allowance: Allowance{Window: 10 * time.Second, Ratio: 0.2, Base: func() float64 { return 0.6 * base / vms }},
			}
			for seed := range uint64(4) {
				over := load.mostOver(load.play(rand.New(rand.NewPCG(20261204, seed))))
				assert.Assert(t, over <= 0, "seed %d: %.0f retries beyond the budget", seed, over)
			}
		})
	}
}

// Guards against a VM that may retry nothing after a quiet time, all at once after a long one, or more when its clock steps.
func TestRetryBudgetEarnsAndKeepsAReserve(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	budget := NewRetryBudget(manual, Allowance{Window: 10 * time.Second, Ratio: 0.2, Base: func() float64 { return 2 }})
	take := func() (taken int) {
		for budget.AcquireRetry("ledger") {
			taken++
		}
		return taken
	}
	steps := []struct {
		name     string
		requests int
		advance  time.Duration
		retries  int
	}{
		{"half of the base at the start", 0, 0, 1},
		{"a tenth of the requests", 52, 0, 5},
		{"nothing for a moment without requests", 0, time.Second, 0},
		{"earnings of requests and time", 62, time.Second, 6},
		{"no more than the reserve after a long time", 0, time.Hour, 1},
	}
	for _, step := range steps {
		manual.Advance(step.advance)
		for range step.requests {
			budget.RecordRequest("ledger")
		}
		assert.Equal(t, take(), step.retries, step.name)
	}
	for range 61 {
		budget.RecordRequest("ledger")
	}
	assert.Equal(t, take(), 6)
	budget.ReturnRetry("ledger")
	assert.Equal(t, take(), 1, "a retry that was not sent")
}
