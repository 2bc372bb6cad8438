package comparison

import (
	"math"
	"time"

	"oleandervane.example"
)

const (
	// coldSlowdown is how much longer a request holds a slot while caches are cold.
	coldSlowdown = 1.5
	// worstLoad bounds the load that Erlang's formula is used with; beyond it the wait is unbounded.
	worstLoad = 0.999
	// overloadWait is the wait in a region that is loaded beyond its capacity: callers give up after that.
	overloadWait = 2.0
)

// waitPoints are the parts of waiting requests, with the share of them at each point.
var waitPoints = []struct{ below, weight float64 }{{0.25, 0.5}, {0.65, 0.3}, {0.9, 0.15}, {0.975, 0.045}, {0.995, 0.005}}

// addLatency adds the latencies of what a region serves of a service.
func (result *Result) addLatency(traffic *traffic, s, region int, load float64) {
	fleet := result.fleet
	name := fleet.deployment.Services[s]
	service := fleet.configuration.Services[name]
	seconds := service.ServiceTime.Seconds()
	cold := result.coldRate(traffic, s, region)
	busy := (load + cold*(coldSlowdown-1)) / traffic.capacity[s][region]
	slots := max(1, int(math.Round(traffic.capacity[s][region]*seconds)))
	waiting := erlangC(slots, min(busy, worstLoad))
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
		for _, point := range waitPoints {
			wait := -math.Log(1-point.below) * seconds / (float64(slots) * max(1-worstLoad, 1-busy))
			if busy >= 1 {
				wait = overloadWait
			}
			result.addSample(base+min(wait, overloadWait), rate*waiting*point.weight, objective)
		}
	}
}

func (result *Result) addSample(seconds, weight float64, objective time.Duration) {
	if weight > 0 {
		result.latency = append(result.latency, weighted{seconds: seconds, weight: weight, missed: seconds > objective.Seconds()})
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

// coldRate returns what a region serves of flows that it began to receive less than coldTime ago.
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
	earlier := result.past[max(0, len(result.past)-1-coldTime)]
	for home := range fleet.regions {
		if home != region {
			cold += max(0, traffic.admitted[s][home][region]-earlier.admitted[s][home][region])
		}
	}
	return cold
}

// erlangC returns the share of requests that wait in a queue of the given slots and load.
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
