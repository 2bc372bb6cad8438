package comparison

import (
	"math"
	"slices"
	"time"

	"oleandervane.example"
)

// Result has the measurements of a run. Times count from second 0 of the case.
type Result struct {
	Case       Case
	Strategy   Strategy
	Violations []Violation
	// SteadyAfter is the time from the first event until shares stay settled, no region is overloaded and no more is
	// shed than at the end; negative if that state is never reached.
	SteadyAfter time.Duration
	// PeakOverload is the largest excess of a region's load over its capacity minus headroom, as a share of the latter.
	PeakOverload float64
	// LeastHeadroom is the 1st percentile, over time, regions and services, of the free share of capacity.
	LeastHeadroom float64
	// MedianLatency and P99Latency are the 50th and 99th percentile over all served requests.
	MedianLatency, P99Latency time.Duration
	// Shed is the share of each kind's requests that were not served.
	Shed map[oleandervane.KindName]float64
	// LargestShift is the largest share of a flow that moved to other regions within a shift window.
	LargestShift float64
	// Overshoot is the largest excess of a region's share over its settled share, relative to the change.
	Overshoot float64
	// DrainedAfter is the time from the start of the first drain until its region serves nothing of its flows; 0 without
	// a drain, negative if the region was never drained.
	DrainedAfter time.Duration
	// MissedObjective is the share of requests that took longer than their latency objective.
	MissedObjective float64
	// Series has the traffic of every second after the warm-up, for plots.
	Series []Sample

	fleet      *Fleet
	history    []*traffic
	freeShares []float64
	latencies  []latencySample
	shed       map[oleandervane.KindName]float64
	demand     map[oleandervane.KindName]float64
	overload   []float64
}

// Sample is the traffic of one second, as shares.
type Sample struct {
	Second int
	// Shares has for each flow the share that each region served.
	Shares map[oleandervane.Flow]oleandervane.ShareVector
	// Load has the load of each region and service as a share of capacity; the key's Home is the serving region.
	Load map[oleandervane.Flow]float64
	// Shed is the share of total demand that was not served.
	Shed float64
}

type latencySample struct {
	seconds, weight float64
	missed          bool
}

func newResult(fleet *Fleet) *Result {
	return &Result{
		Case: fleet.scripted, Strategy: fleet.strategy, fleet: fleet,
		Shed: map[oleandervane.KindName]float64{},
		shed: map[oleandervane.KindName]float64{}, demand: map[oleandervane.KindName]float64{},
	}
}

// add records the measurements of one second; seconds of the warm-up are ignored.
func (result *Result) add(traffic *traffic) {
	if traffic.second <= result.fleet.warmUpSeconds {
		return
	}
	fleet := result.fleet
	result.history = append(result.history, traffic)
	sample := Sample{
		Second: traffic.second - result.fleet.warmUpSeconds,
		Shares: map[oleandervane.Flow]oleandervane.ShareVector{},
		Load:   map[oleandervane.Flow]float64{},
	}
	overload, shed, demand := 0.0, 0.0, 0.0
	for s, name := range fleet.deployment.Services {
		for region, regionName := range fleet.deployment.Regions {
			flow := oleandervane.Flow{Service: name, Home: regionName}
			overload = max(overload, result.addLoad(traffic, sample, s, region, flow))
			sample.Shares[flow] = result.shares(traffic, s, region)
			result.addShed(traffic, s, region, name)
			shed += traffic.shed[s][region]
			demand += traffic.demand[s][region]
		}
	}
	sample.Shed = shed / demand
	result.overload = append(result.overload, overload)
	result.PeakOverload = max(result.PeakOverload, overload)
	result.Series = append(result.Series, sample)
	result.addShift()
}

// addLoad records the load of a service in a region and returns its overload.
func (result *Result) addLoad(traffic *traffic, sample Sample, s, region int, flow oleandervane.Flow) float64 {
	fleet := result.fleet
	load := 0.0
	for home := range fleet.regions {
		load += traffic.admitted[s][home][region]
	}
	capacity := traffic.capacity[s][region]
	if capacity <= 0 {
		return 0
	}
	sample.Load[flow] = load / capacity
	result.freeShares = append(result.freeShares, max(0, 1-load/capacity))
	result.addLatency(traffic, s, region, load)
	service := fleet.configuration.Services[flow.Service]
	usable := fleet.checker.reported(flow, region).CapacityPerSecond * (1 - service.Headroom)
	if usable <= 0 || load <= usable*(1+rateTolerance) {
		return 0
	}
	return load/usable - 1
}

func (result *Result) shares(traffic *traffic, s, home int) oleandervane.ShareVector {
	vector := oleandervane.ShareVector{}
	for region, name := range result.fleet.deployment.Regions {
		if demand := traffic.demand[s][home]; demand > 0 {
			vector[name] = traffic.admitted[s][home][region] / demand
		}
	}
	return vector
}

// addShed attributes shed requests to the kinds of a service, lowest weight first.
func (result *Result) addShed(traffic *traffic, s, home int, name oleandervane.ServiceName) {
	service := result.fleet.configuration.Services[name]
	mix := result.fleet.deployment.Mix[name]
	kinds := make([]oleandervane.KindName, 0, len(mix))
	for kind := range mix {
		kinds = append(kinds, kind)
	}
	slices.SortFunc(kinds, func(a, b oleandervane.KindName) int { return service.Kinds[a].Weight - service.Kinds[b].Weight })
	remaining := traffic.shed[s][home]
	for _, kind := range kinds {
		demand := traffic.demand[s][home] * mix[kind]
		lost := min(remaining, demand)
		remaining -= lost
		result.demand[kind] += demand
		result.shed[kind] += lost
	}
}

// addShift records the largest shift to regions other than home within a window that ends in the last second.
func (result *Result) addShift() {
	fleet := result.fleet
	last := len(result.history) - 1
	for s := range fleet.deployment.Services {
		for home := range fleet.regions {
			for first := max(0, last-fleet.checker.window(s)); first < last; first++ {
				shift := 0.0
				for region := range fleet.regions {
					if region != home {
						shift += max(0, admittedShare(result.history[last], s, home, region)-admittedShare(result.history[first], s, home, region))
					}
				}
				result.LargestShift = max(result.LargestShift, shift)
			}
		}
	}
}

func admittedShare(traffic *traffic, s, home, region int) float64 {
	if traffic.demand[s][home] <= 0 {
		return 0
	}
	return traffic.admitted[s][home][region] / traffic.demand[s][home]
}

// close computes the results that need the whole run.
func (result *Result) close() {
	slices.Sort(result.freeShares)
	if len(result.freeShares) > 0 {
		result.LeastHeadroom = result.freeShares[len(result.freeShares)/100]
	}
	result.MedianLatency, result.P99Latency = result.percentile(0.5), result.percentile(0.99)
	for kind, demand := range result.demand {
		result.Shed[kind] = result.shed[kind] / demand
	}
	result.SteadyAfter = result.steadyAfter()
	result.Overshoot = result.overshoot()
	result.DrainedAfter = result.drainedAfter()
	missed, total := 0.0, 0.0
	for _, sample := range result.latencies {
		total += sample.weight
		if sample.missed {
			missed += sample.weight
		}
	}
	if total > 0 {
		result.MissedObjective = missed / total
	}
	result.history, result.freeShares, result.latencies = nil, nil, nil
}

func (result *Result) percentile(fraction float64) time.Duration {
	slices.SortFunc(result.latencies, func(a, b latencySample) int {
		switch {
		case a.seconds < b.seconds:
			return -1
		case a.seconds > b.seconds:
			return 1
		}
		return 0
	})
	total := 0.0
	for _, sample := range result.latencies {
		total += sample.weight
	}
	sum := 0.0
	for _, sample := range result.latencies {
		sum += sample.weight
		if sum >= fraction*total {
			return time.Duration(sample.seconds * float64(time.Second))
		}
	}
	return 0
}

// settledShareTolerance is how far a share may be from its final value to count as settled; settledShedTolerance is the
// same for the share of demand that is shed.
const (
	settledShareTolerance = 0.01
	settledShedTolerance  = 0.005
)

// firstEvent returns the second of the first event, and false if the case has no events.
func (result *Result) firstEvent() (int, bool) {
	if len(result.Case.Events) == 0 {
		return 0, false
	}
	return int(time.Duration(result.Case.Events[0].At) / time.Second), true
}

func (result *Result) steadyAfter() time.Duration {
	first, found := result.firstEvent()
	if !found || len(result.Series) == 0 {
		return 0
	}
	end := len(result.Series) - 1
	steady := end + 1
	for i := end; i >= 0 && result.settled(i, end); i-- {
		steady = i
	}
	// A run whose last quarter is not settled has no steady state.
	if steady > end-(end-first)/4 {
		return -1
	}
	return time.Duration(max(0, result.Series[steady].Second-first)) * time.Second
}

func (result *Result) settled(i, end int) bool {
	if result.overload[i] > 0 || math.Abs(result.Series[i].Shed-result.Series[end].Shed) > settledShedTolerance {
		return false
	}
	for flow, vector := range result.Series[end].Shares {
		for region, share := range vector {
			if math.Abs(result.Series[i].Shares[flow][region]-share) > settledShareTolerance {
				return false
			}
		}
	}
	return true
}

// overshoot compares the largest share of regions other than home after the first event with the settled share.
func (result *Result) overshoot() float64 {
	first, found := result.firstEvent()
	if !found || len(result.Series) == 0 {
		return 0
	}
	end := result.Series[len(result.Series)-1]
	largest := 0.0
	for flow, vector := range end.Shares {
		for region, settled := range vector {
			before := result.Series[max(0, first-1)].Shares[flow][region]
			change := settled - before
			if region == flow.Home || math.Abs(change) < 5*settledShareTolerance {
				continue
			}
			for _, sample := range result.Series[first:] {
				past := (sample.Shares[flow][region] - settled) / change
				largest = max(largest, past)
			}
		}
	}
	return largest
}

func (result *Result) drainedAfter() time.Duration {
	if len(result.fleet.plans) == 0 {
		return 0
	}
	plan := result.fleet.plans[0]
	begin := int(plan.Start.Sub(epoch)/time.Second) - result.fleet.warmUpSeconds
	for _, sample := range result.Series {
		if sample.Second < begin {
			continue
		}
		used := 0.0
		for name := range plan.Parts {
			flow := oleandervane.Flow{Service: name, Home: plan.Drain.Region}
			used += sample.Load[flow]
		}
		if used < drainedLoadThreshold {
			return time.Duration(sample.Second-begin) * time.Second
		}
	}
	return -1
}

// drainedLoadThreshold is the load, as a share of capacity, below which a region counts as drained.
const drainedLoadThreshold = 1e-3
