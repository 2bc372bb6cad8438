package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example/timer"
)

// fleetLoad is the load of one service on a fleet in which each VM has its own budget.
type fleetLoad struct {
	vms       int
	allowance Allowance
	// base is the number of retries in a window that the fleet may make in addition to the ratio.
	base float64
	// perSecond is the request rate at each VM.
	perSecond float64
	seconds   int
	// sheds reports whether servers shed requests at the given time since the start.
	sheds func(at time.Duration) bool
}

// simulationStep is the step by which the simulation advances and windows slide.
const simulationStep = 50 * time.Millisecond

// simulate returns the requests and retries of the whole fleet in each step.
func (load fleetLoad) simulate(random *rand.Rand) (requests, retries []int) {
	start := time.Unix(1_000_000, 0)
	manuals := make([]*timer.Manual, load.vms)
	budgets := make([]RetryBudget, load.vms)
	for i := range budgets {
		// The clocks of VMs differ, and so do the times at which their buckets begin.
		manuals[i] = timer.NewManual(start.Add(time.Duration(random.Int64N(int64(time.Second)))))
		budgets[i] = NewRetryBudget(manuals[i], load.allowance)
	}
	steps := load.seconds * int(time.Second/simulationStep)
	requests, retries = make([]int, steps), make([]int, steps)
	for step := range steps {
		at := time.Duration(step) * simulationStep
		for i, budget := range budgets {
			for range poisson(random, load.perSecond*simulationStep.Seconds()) {
				budget.RecordRequest("ledger")
				requests[step]++
				for load.sheds(at) && budget.AcquireRetry("ledger") {
					retries[step]++
				}
			}
			manuals[i].Advance(simulationStep)
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

// maxExcess returns by how many retries the fleet exceeded its limit in the worst window. The limit is based on the
// requests in the window, in the one before it, or in the window half a window earlier, whichever has most.
func (load fleetLoad) maxExcess(requests, retries []int) float64 {
	window := int(load.allowance.Window / simulationStep)
	worst := -load.base
	for from := window; from+window <= len(requests); from++ {
		counted := max(sum(requests[from:from+window]), sum(requests[from-window:from]), sum(requests[from-window/2:from+window/2]))
		excess := float64(sum(retries[from:from+window])) - load.allowance.Ratio*float64(counted) - load.base
		worst = max(worst, excess)
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

// Servers begin to shed requests, once or in turns, while each of 95 VMs has its own budget. Guards against a fleet
// that exceeds its budget in some window of 10 s. With a limit on the retries of the past window, each VM could spend
// its budget twice in 10 s when the oldest bucket expired, and could spend up to its own peak of requests.
func TestFleetRetriesStayWithinBudget(t *testing.T) {
	const base, vms = 230.0, 95
	cases := []struct {
		name  string
		sheds func(at time.Duration) bool
	}{
		{"from some time on", func(at time.Duration) bool { return at > 15*time.Second }},
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
				excess := load.maxExcess(load.simulate(rand.New(rand.NewPCG(20261204, seed))))
				assert.Assert(t, excess <= 0, "seed %d: %.0f retries over the budget", seed, excess)
			}
		})
	}
}

// Guards against a VM that may not retry after a quiet period, that may make too many retries at once after a long one,
// or that may retry more when its clock steps.
func TestRetryBudgetAccruesAndKeepsReserve(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	budget := NewRetryBudget(manual, Allowance{Window: 10 * time.Second, Ratio: 0.2, Base: func() float64 { return 2 }})
	acquireAll := func() (acquired int) {
		for budget.AcquireRetry("ledger") {
			acquired++
		}
		return acquired
	}
	steps := []struct {
		name     string
		requests int
		advance  time.Duration
		retries  int
	}{
		{"half of the base at the start", 0, 0, 1},
		{"a tenth of the requests", 52, 0, 5},
		{"nothing after a second without requests", 0, time.Second, 0},
		{"accrual from requests and time", 62, time.Second, 6},
		{"no more than the reserve after a long time", 0, time.Hour, 1},
	}
	for _, step := range steps {
		manual.Advance(step.advance)
		for range step.requests {
			budget.RecordRequest("ledger")
		}
		assert.Equal(t, acquireAll(), step.retries, step.name)
	}
	for range 61 {
		budget.RecordRequest("ledger")
	}
	assert.Equal(t, acquireAll(), 6)
	budget.ReturnRetry("ledger")
	assert.Equal(t, acquireAll(), 1, "a retry that was not sent")
}
