package emulation

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oleandervane.example"
)

// window is the time over which the worst moments of a run are judged.
const window = 2 * time.Second

// account adds up what requests were worth and what they earned.
type account struct {
	requests, served, late, refused, failed int
	owed, earned                            float64
}

func (account *account) share() float64 {
	if account.owed == 0 {
		return 1
	}
	return account.earned / account.owed
}

// tally counts what callers got in one run.
type tally struct {
	world   *world
	whole   account
	kinds   map[oleandervane.KindName]*account
	domains map[oleandervane.FailureDomain]*account
	windows map[int]*account
	latency map[oleandervane.KindName]*hdrhistogram.Histogram

	attempts, retries, learned, coldOverruns int
}

// longestLatency bounds the histograms of latency, in milliseconds.
const longestLatency = 60_000

func newTally(world *world) *tally {
	tally := &tally{
		world: world, kinds: map[oleandervane.KindName]*account{}, domains: map[oleandervane.FailureDomain]*account{},
		windows: map[int]*account{}, latency: map[oleandervane.KindName]*hdrhistogram.Histogram{},
	}
	for _, kind := range world.scenario.Kinds {
		tally.kinds[kind.Name] = &account{}
		tally.latency[kind.Name] = hdrhistogram.New(1, longestLatency, 3)
	}
	for _, domain := range world.scenario.Domains {
		tally.domains[domain.Name] = &account{}
	}
	return tally
}

// each calls add for all accounts that a request counts in.
func (tally *tally) each(request *request, add func(account *account)) {
	number := int(request.sentAt.Sub(tally.world.startedAt) / window)
	if tally.windows[number] == nil {
		tally.windows[number] = &account{}
	}
	for _, account := range []*account{&tally.whole, tally.kinds[request.kind.Name], tally.domains[request.domain.Name], tally.windows[number]} {
		account.requests++
		account.owed += request.kind.Benefit
		add(account)
	}
}

func (tally *tally) succeed(request *request, now time.Time) {
	took := now.Sub(request.sentAt)
	late := took > time.Duration(request.kind.Objective)
	// A value above the bound of the histogram counts as the bound.
	_ = tally.latency[request.kind.Name].RecordValue(min(longestLatency, took.Milliseconds()))
	tally.each(request, func(account *account) {
		account.served++
		if late {
			account.late++
			account.earned += request.kind.LateBenefit
			return
		}
		account.earned += request.kind.Benefit
	})
}

func (tally *tally) fail(request *request, outcome outcome) {
	tally.each(request, func(account *account) {
		if outcome == refused {
			account.refused++
			return
		}
		account.failed++
	})
}

// Result is what a run measured. It is immutable.
type Result struct {
	Scenario string
	Variant  string
	Seed     uint64
	// Worth weighs the shares of benefit by the goal of the scenario.
	Worth float64
	// Whole, WorstDomain, WorstKind and WorstWindows are shares of the benefit owed; Served is a share of requests.
	Whole, WorstDomain, WorstKind, WorstWindows, Served float64
	Kinds                                               map[oleandervane.KindName]KindResult
	// Refused, Failed and Late are shares of requests.
	Refused, Failed, Late float64
	Requests              int
	// Attempts are requests that reached backend servers, Learned those of objects that the server did not remember.
	Attempts, Learned, Retries int
	// ColdOverruns counts cold servers that got more requests than they bear.
	ColdOverruns int
	// Windows has the share of benefit earned in each window, for plots.
	Windows []float64
}

// KindResult is what a run measured of one kind of request.
type KindResult struct {
	Share                      float64
	MedianLatency, SlowLatency time.Duration
}

// worstWindows is the number of windows that count as the worst moments.
const worstWindows = 2

func (tally *tally) result(scenario Scenario, variant Variant, seed uint64) Result {
	result := Result{
		Scenario: scenario.Name, Variant: variant.Name, Seed: seed,
		Whole: tally.whole.share(), WorstDomain: 1, WorstKind: 1, Kinds: map[oleandervane.KindName]KindResult{},
		Requests: tally.whole.requests, Attempts: tally.attempts, Learned: tally.learned, Retries: tally.retries,
		ColdOverruns: tally.coldOverruns,
	}
	requests := float64(max(1, tally.whole.requests))
	result.Served, result.Late = float64(tally.whole.served)/requests, float64(tally.whole.late)/requests
	result.Refused, result.Failed = float64(tally.whole.refused)/requests, float64(tally.whole.failed)/requests
	for _, account := range tally.domains {
		result.WorstDomain = min(result.WorstDomain, account.share())
	}
	for name, account := range tally.kinds {
		result.WorstKind = min(result.WorstKind, account.share())
		latency := tally.latency[name]
		result.Kinds[name] = KindResult{
			Share:         account.share(),
			MedianLatency: time.Duration(latency.ValueAtQuantile(50)) * time.Millisecond,
			SlowLatency:   time.Duration(latency.ValueAtQuantile(99)) * time.Millisecond,
		}
	}
	for _, number := range slices.Sorted(maps.Keys(tally.windows)) {
		result.Windows = append(result.Windows, tally.windows[number].share())
	}
	result.WorstWindows = mean(slices.Sorted(slices.Values(result.Windows))[:min(worstWindows, len(result.Windows))])
	goal := scenario.Goal
	result.Worth = goal.Whole*result.Whole + goal.Domain*result.WorstDomain + goal.Windows*result.WorstWindows +
		goal.Kind*result.WorstKind + goal.Served*result.Served
	return result
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
