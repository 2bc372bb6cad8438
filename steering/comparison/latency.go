package comparison

import (
	"math"
	"time"

	"oleandervane.example"
)

const (
	// coldSlowdown is the factor by which cold caches extend the time that a request occupies a slot.
	coldSlowdown = 1.5
	// maxErlangLoad limits the load that is passed to Erlang's formula; above it the wait is unbounded.
	maxErlangLoad = 0.999
	// overloadWaitSeconds is the wait in a region that is loaded above its capacity: callers give up after that time.
	overloadWaitSeconds = 2.0
)

// waitQuantiles are points of the distribution of waiting times among waiting requests, each with the share of these
// requests that it represents.
var waitQuantiles = []struct{ below, weight float64 }{{0.25, 0.5}, {0.65, 0.3}, {0.9, 0.15}, {0.975, 0.045}, {0.995, 0.005}}

// addLatency adds latency samples for the requests of a service that a region serves.
func (result *Result) addLatency(traffic *traffic, s, region int, load float64) {
	fleet := result.fleet
	name := fleet.deployment.Services[s]
	service := fleet.configuration.Services[name]
	seconds := service.ServiceTime.Seconds()
	cold := result.coldRate(traffic, s, region)
	busy := (load + cold*(coldSlowdown-1)) / traffic.capacity[s][region]
	slots := max(1, int(math.Round(traffic.capacity[s][region]*seconds)))
	waiting := erlangC(slots, min(busy, maxErlangLoad))
	objective := objectiveOf(service)
	for home := range fleet.regions {
		rate := traffic.admitted[s][home][region]
		if rate <= 0 {
			continue
		}
		delay, _ := fleet.configuration.Delay(fleet.deployment.Regions[home], fleet.deployment.Regions[region])
		base := 2*(fleet.deployment.ClientDelay+delay).Seconds() + seconds
		coldPart := 0.0
		if load > 0 {
			coldPart = min(1, cold/load)
		}
		result.addSample(base, rate*(1-waiting)*(1-coldPart), objective)
		result.addSample(base+seconds*(coldSlowdown-1), rate*(1-waiting)*coldPart, objective)
		for _, point := range waitQuantiles {
			wait := -math.Log(1-point.below) * seconds / (float64(slots) * max(1-maxErlangLoad, 1-busy))
			if busy >= 1 {
				wait = overloadWaitSeconds
			}
			result.addSample(base+min(wait, overloadWaitSeconds), rate*waiting*point.weight, objective)
		}
	}
}

func (result *Result) addSample(seconds, weight float64, objective time.Duration) {
	if weight > 0 {
		result.latencies = append(result.latencies, latencySample{seconds: seconds, weight: weight, missed: seconds > objective.Seconds()})
	}
}

// objectiveOf returns the strictest latency objective of a service.
func objectiveOf(service oleandervane.Service) time.Duration {
	strictest := time.Duration(math.MaxInt64)
	for _, objective := range service.Objectives {
		strictest = min(strictest, objective.Latency)
	}
	return strictest
}

// coldRate returns the rate of requests in a region that meet cold caches: all of them after the region's recovery,
// otherwise those of flows that the region began to receive less than coldCacheSeconds ago.
func (result *Result) coldRate(traffic *traffic, s, region int) float64 {
	fleet := result.fleet
	if traffic.second < fleet.regions[region].factors[fleet.deployment.Services[s]].coldUntil {
		cold := 0.0
		for home := range fleet.regions {
			cold += traffic.admitted[s][home][region]
		}
		return cold
	}
	cold := 0.0
	earlier := result.history[max(0, len(result.history)-1-coldCacheSeconds)]
	for home := range fleet.regions {
		if home != region {
			cold += max(0, traffic.admitted[s][home][region]-earlier.admitted[s][home][region])
		}
	}
	return cold
}

// erlangC returns the share of requests that wait in a queue with the given slots and load.
func erlangC(slots int, load float64) float64 {
	if load <= 0 {
		return 0
	}
	offered := load * float64(slots)
	blocked := 1.0
	for i := 1; i <= slots; i++ {
		blocked = offered * blocked / (float64(i) + offered*blocked)
	}
	return blocked / (1 - load*(1-blocked))
}
