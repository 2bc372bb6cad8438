package emulation

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oleandervane.example"
)

// window is the length of the time windows of which the worst count in the score.
const window = 2 * time.Second

// account counts requests by outcome and sums their possible and earned benefit.
type account struct {
	requests, served, late, refused, failed int
	possible, earned                        float64
}

func (account *account) share() float64 {
	if account.possible == 0 {
		return 1
	}
	return account.earned / account.possible
}

// tally aggregates the outcomes and latencies of one run.
type tally struct {
	world   *world
	overall account
	kinds   map[oleandervane.KindName]*account
	domains map[oleandervane.FailureDomain]*account
	windows map[int]*account
	latency map[oleandervane.KindName]*hdrhistogram.Histogram

	attempts, retries, cacheMisses, coldOverruns int
}

// maxLatencyMillis is the upper bound of the latency histograms.
const maxLatencyMillis = 60_000

func newTally(world *world) *tally {
	tally := &tally{
		world: world, kinds: map[oleandervane.KindName]*account{}, domains: map[oleandervane.FailureDomain]*account{},
		windows: map[int]*account{}, latency: map[oleandervane.KindName]*hdrhistogram.Histogram{},
	}
	for _, kind := range world.scenario.Kinds {
		tally.kinds[kind.Name] = &account{}
		tally.latency[kind.Name] = hdrhistogram.New(1, maxLatencyMillis, 3)
	}
	for _, domain := range world.scenario.Domains {
		tally.domains[domain.Name] = &account{}
	}
	return tally
}

// addToAccounts counts a request in all its accounts and calls add for each of them.
func (tally *tally) addToAccounts(request *request, add func(account *account)) {
	number := int(request.sentAt.Sub(tally.world.startedAt) / window)
	if tally.windows[number] == nil {
		tally.windows[number] = &account{}
	}
	for _, account := range []*account{&tally.overall, tally.kinds[request.kind.Name], tally.domains[request.domain.Name], tally.windows[number]} {
		account.requests++
		account.possible += request.kind.Benefit
		add(account)
	}
}

func (tally *tally) succeed(request *request, now time.Time) {
	took := now.Sub(request.sentAt)
	late := took > time.Duration(request.kind.Objective)
	// A latency above the bound of the histogram is recorded as the bound.
	_ = tally.latency[request.kind.Name].RecordValue(min(maxLatencyMillis, took.Milliseconds()))
	tally.addToAccounts(request, func(account *account) {
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
	tally.addToAccounts(request, func(account *account) {
		if outcome == refused {
			account.refused++
			return
		}
		account.failed++
	})
}

// Result has the measurements of one run. It is immutable.
type Result struct {
	Scenario string
	Variant  string
	Seed     uint64
	// Score is the sum of the shares below, weighted by the goal of the scenario.
	Score float64
	// Overall, WorstDomain, WorstKind and WorstWindows are shares of the possible benefit; Served is a share of requests.
	Overall, WorstDomain, WorstKind, WorstWindows, Served float64
	Kinds                                                 map[oleandervane.KindName]KindResult
	// Refused, Failed and Late are shares of requests.
	Refused, Failed, Late float64
	Requests              int
	// Attempts counts attempts of VMs at backend servers, CacheMisses those that ran without the object in the cache.
	Attempts, CacheMisses, Retries int
	// ColdOverruns counts the crashes of cold servers that got more requests than they tolerate.
	ColdOverruns int
	// Windows has the share of benefit earned in each time window, for plots.
	Windows []float64
}

// KindResult has the measurements of one kind of request in a run.
type KindResult struct {
	Share                      float64
	MedianLatency, SlowLatency time.Duration
}

// worstWindows is the number of worst windows that count in the score.
const worstWindows = 2

func (tally *tally) result(scenario Scenario, variant Variant, seed uint64) Result {
	result := Result{
		Scenario: scenario.Name, Variant: variant.Name, Seed: seed,
		Overall: tally.overall.share(), WorstDomain: 1, WorstKind: 1, Kinds: map[oleandervane.KindName]KindResult{},
		Requests: tally.overall.requests, Attempts: tally.attempts, CacheMisses: tally.cacheMisses, Retries: tally.retries,
		ColdOverruns: tally.coldOverruns,
	}
	requests := float64(max(1, tally.overall.requests))
	result.Served, result.Late = float64(tally.overall.served)/requests, float64(tally.overall.late)/requests
	result.Refused, result.Failed = float64(tally.overall.refused)/requests, float64(tally.overall.failed)/requests
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
	result.Score = goal.Whole*result.Overall + goal.Domain*result.WorstDomain + goal.Windows*result.WorstWindows +
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
