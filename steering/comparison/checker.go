package comparison

import (
	"fmt"
	"time"

	"oleandervane.example"
)

// Violation describes a second in which an invariant did not hold.
type Violation struct {
	// Rule is the name of the invariant, such as "I1 fleet"; the package comment explains the numbers.
	Rule   string
	Second int
	Detail string
}

// String returns the rule, the second and the details in one line.
func (violation Violation) String() string {
	return fmt.Sprintf("%s at %d s: %s", violation.Rule, violation.Second, violation.Detail)
}

const (
	// maxViolations is how many violations a run records; later ones are dropped.
	maxViolations = 20
	// shareTolerance is the rounding error allowed for a share; rateTolerance is the relative error allowed for a rate.
	shareTolerance = 1e-6
	rateTolerance  = 1e-6
	// demandLagSeconds is how much older than the measurement age the demand that a receiving VM uses may be.
	demandLagSeconds = 3
)

// checker checks the invariants after every second.
type checker struct {
	fleet *Fleet
	// enabled is true only for Grants; the other strategies satisfy none of the invariants.
	enabled bool
	// history has the traffic of the last shift window plus the age of measurements.
	history []*traffic
	// caps has the largest shift cap in force in each second, by service.
	caps [][]float64
}

func newChecker(fleet *Fleet) *checker {
	return &checker{fleet: fleet, enabled: fleet.strategy == Grants}
}

func (checker *checker) addViolation(rule, format string, arguments ...any) {
	violations := &checker.fleet.result.Violations
	if len(*violations) < maxViolations {
		*violations = append(*violations, Violation{Rule: rule, Second: checker.fleet.second - checker.fleet.warmUpSeconds, Detail: fmt.Sprintf(format, arguments...)})
	}
}

func (checker *checker) check(traffic *traffic) {
	checker.history = append(checker.history, traffic)
	checker.caps = append(checker.caps, checker.currentCaps())
	if !checker.enabled {
		return
	}
	for s, name := range checker.fleet.deployment.Services {
		for home := range checker.fleet.regions {
			checker.checkFleetShift(s, home)
		}
		checker.checkAdmitted(traffic, s, name)
		checker.checkGrants(name)
	}
	checker.checkParts()
	for _, vm := range checker.fleet.vms {
		if vm.running() && vm.decider.ready() {
			checker.checkVM(vm)
		}
	}
	checker.trim()
}

// trim drops history that no check needs any more.
func (checker *checker) trim() {
	retained := checker.window(0) + checker.demandAge() + 1
	for _, name := range checker.fleet.deployment.Services {
		retained = max(retained, int(checker.fleet.configuration.Services[name].ShiftWindow/time.Second)+checker.demandAge()+1)
	}
	if len(checker.history) > retained {
		checker.history = checker.history[1:]
		checker.caps = checker.caps[1:]
	}
}

func (checker *checker) demandAge() int {
	return demandLagSeconds + int(time.Duration(checker.fleet.scripted.MeasurementAge)/time.Second)
}

func (checker *checker) window(s int) int {
	name := checker.fleet.deployment.Services[s]
	return int(checker.fleet.configuration.Services[name].ShiftWindow / time.Second)
}

// currentCaps returns the shift cap in force for each service.
func (checker *checker) currentCaps() []float64 {
	anyLost := false
	for _, lost := range checker.fleet.knownLost {
		anyLost = anyLost || lost
	}
	var caps []float64
	for _, name := range checker.fleet.deployment.Services {
		service := checker.fleet.configuration.Services[name]
		if anyLost {
			caps = append(caps, max(service.ShiftCap, service.FailoverCap))
			continue
		}
		caps = append(caps, service.ShiftCap)
	}
	return caps
}

// capWithin returns the largest shift cap of a service that was in force within the given number of seconds.
func (checker *checker) capWithin(s, seconds int) float64 {
	largest := 0.0
	for i := max(0, len(checker.caps)-1-seconds); i < len(checker.caps); i++ {
		largest = max(largest, checker.caps[i][s])
	}
	return largest
}

// checkFleetShift checks I1 for the fleet as a whole: the rate of a flow that regions other than home admit grows by at
// most the shift cap within a window. While demand changes, the current rate is divided by the largest demand that
// receiving VMs may still use, and the earlier rate by the smallest.
func (checker *checker) checkFleetShift(s, home int) {
	last := len(checker.history) - 1
	smallest, largest := checker.demandRange(s, home)
	if smallest <= 0 {
		return
	}
	allowed := checker.capWithin(s, checker.window(s))
	for first := max(0, last-checker.window(s)); first < last; first++ {
		shift := 0.0
		for region := range checker.fleet.regions {
			if region == home {
				continue
			}
			now := checker.history[last].admitted[s][home][region] / largest
			before := checker.history[first].admitted[s][home][region] / smallest
			shift += max(0, now-before)
		}
		if shift > allowed+shareTolerance {
			checker.addViolation("I1 fleet", "%s of %s: share admitted by other regions rose by %.4f within %d s, cap %.4f",
				checker.fleet.deployment.Services[s], checker.fleet.deployment.Regions[home], shift, last-first, allowed)
			return
		}
	}
}

// demandRange returns the smallest and largest demand, actual or reported, that a VM may use.
func (checker *checker) demandRange(s, home int) (smallest, largest float64) {
	for _, earlier := range checker.history {
		demand := earlier.demand[s][home]
		if smallest == 0 || demand < smallest {
			smallest = demand
		}
		largest = max(largest, demand)
	}
	name := checker.fleet.deployment.Services[s]
	flow := oleandervane.Flow{Service: name, Home: checker.fleet.deployment.Regions[home]}
	for _, vm := range checker.fleet.vms {
		if summary, known := vm.summaries[flow]; known && summary.DemandPerSecond > 0 {
			smallest = min(smallest, summary.DemandPerSecond)
			largest = max(largest, summary.DemandPerSecond)
		}
	}
	return smallest, largest
}

// checkAdmitted checks I2 on arrival: a region never serves more than its reported capacity minus headroom.
func (checker *checker) checkAdmitted(traffic *traffic, s int, name oleandervane.ServiceName) {
	headroom := checker.fleet.configuration.Services[name].Headroom
	for region, regionName := range checker.fleet.deployment.Regions {
		admitted := 0.0
		for home := range checker.fleet.regions {
			admitted += traffic.admitted[s][home][region]
		}
		usable := checker.reported(oleandervane.Flow{Service: name, Home: regionName}, region).CapacityPerSecond * (1 - headroom)
		if admitted > usable*(1+rateTolerance)+rateTolerance {
			checker.addViolation("I2 admitted", "%s in %s: %.2f requests/s admitted, usable %.2f", name, regionName, admitted, usable)
		}
	}
}

// checkParts checks that the parts that the VMs of a region own never add up to more than the whole region.
func (checker *checker) checkParts() {
	for region, name := range checker.fleet.deployment.Regions {
		sum := 0.0
		for _, vm := range checker.fleet.vms {
			decider, ok := vm.decider.(*grantDecider)
			if vm.region == region && vm.alive && ok {
				sum += decider.controller.Part()
			}
		}
		if sum > 1+shareTolerance {
			checker.addViolation("I2 parts", "%s: parts sum to %.4f", name, sum)
		}
	}
}

// reported returns the newest summary of a region that any running VM of that region has received.
func (checker *checker) reported(flow oleandervane.Flow, region int) oleandervane.RegionSummary {
	var result oleandervane.RegionSummary
	for _, vm := range checker.fleet.vms {
		if vm.region != region || !vm.running() {
			continue
		}
		if summary, known := vm.summaries[flow]; known && !summary.MeasuredAt.Before(result.MeasuredAt) {
			result = summary
		}
	}
	return result
}

// checkGrants checks I2 for stale measurements: the grants of all VMs of a region fit beside the region's own demand, so
// that the region is not overloaded even if source VMs use all grants at the same time.
func (checker *checker) checkGrants(name oleandervane.ServiceName) {
	headroom := checker.fleet.configuration.Services[name].Headroom
	for region, regionName := range checker.fleet.deployment.Regions {
		granted := 0.0
		for _, vm := range checker.fleet.vms {
			if vm.region != region || !vm.running() {
				continue
			}
			for _, grant := range vm.ownGrants() {
				if grant.Service == name {
					granted += grant.PerSecond
				}
			}
		}
		summary := checker.reported(oleandervane.Flow{Service: name, Home: regionName}, region)
		room := max(0, summary.CapacityPerSecond*(1-headroom)-summary.DemandPerSecond)
		if granted > room*(1+rateTolerance)+rateTolerance {
			checker.addViolation("I2 grants", "%s in %s: %.2f requests/s granted, spare capacity %.2f", name, regionName, granted, room)
		}
	}
}

// checkVM checks the decisions of one VM against the grants and summaries that it has received.
func (checker *checker) checkVM(vm *vm) {
	fleet := checker.fleet
	granted := map[oleandervane.Flow]map[oleandervane.Region]float64{}
	for _, grant := range vm.Grants() {
		flow := oleandervane.Flow{Service: grant.Service, Home: grant.From}
		if granted[flow] == nil {
			granted[flow] = map[oleandervane.Region]float64{}
		}
		if grant.ExpiresAt.After(vm.Now()) {
			granted[flow][grant.To] += grant.PerSecond
		}
	}
	for home, homeName := range fleet.deployment.Regions {
		linkBytes := make([]float64, len(fleet.regions))
		for s, name := range fleet.deployment.Services {
			flow := oleandervane.Flow{Service: name, Home: homeName}
			vector := vm.decider.vector(flow)
			checker.checkVector(vm, s, flow, vector)
			checker.checkRoom(vm, flow, vector, granted[flow])
			demand := vm.summaries[flow].DemandPerSecond
			bytes := demand * float64(fleet.configuration.Services[name].RequestBytes)
			for region, regionName := range fleet.deployment.Regions {
				linkBytes[region] += vector[regionName] * bytes
			}
		}
		for region := range fleet.regions {
			if region != home && linkBytes[region] > float64(fleet.configuration.Links[0].BytesPerSecond)*(0.5+rateTolerance) {
				checker.addViolation("link", "%s sends %.0f bytes/s from %s to %s", vm.entry.ID, linkBytes[region], homeName, fleet.deployment.Regions[region])
			}
		}
	}
}

// checkVector checks I1 at the VM, and that the vector is valid: no negative shares, a sum of at most 1 and no share for
// a lost region.
func (checker *checker) checkVector(vm *vm, s int, flow oleandervane.Flow, vector oleandervane.ShareVector) {
	sum := 0.0
	for region, share := range vector {
		sum += share
		if share < 0 {
			checker.addViolation("vector", "%s: the share of %v for %v is negative", vm.entry.ID, region, flow)
		}
		if share > 0 && checker.fleet.knownLost[region] {
			checker.addViolation("lost region", "%s: lost region %s has a share of %.4f of %v", vm.entry.ID, region, share, flow)
		}
	}
	if sum > 1+shareTolerance {
		checker.addViolation("vector", "%s: shares of %v sum to %.6f", vm.entry.ID, flow, sum)
	}
	window := checker.window(s)
	recent := vm.recentVectors[flow]
	for len(recent) > 0 && recent[0].second < checker.fleet.second-window {
		recent = recent[1:]
	}
	allowed := checker.capWithin(s, window)
	for _, earlier := range recent {
		if shift := vector.ShiftFrom(earlier.vector); shift > allowed+shareTolerance {
			checker.addViolation("I1 VM", "%s: %v shifts by %.4f within %d s, cap %.4f", vm.entry.ID, flow, shift, checker.fleet.second-earlier.second, allowed)
			break
		}
	}
	vm.recentVectors[flow] = append(recent, timedVector{second: checker.fleet.second, vector: vector})
}

// checkRoom checks I2 at the VM: the shares fit the grants and the home capacity that the VM has received.
func (checker *checker) checkRoom(vm *vm, flow oleandervane.Flow, vector oleandervane.ShareVector, granted map[oleandervane.Region]float64) {
	summary, known := vm.summaries[flow]
	if !known || summary.DemandPerSecond <= 0 {
		return
	}
	for region, share := range vector {
		room := granted[region]
		if region == flow.Home {
			room = summary.CapacityPerSecond * (1 - checker.fleet.configuration.Services[flow.Service].Headroom)
		}
		if rate := share * summary.DemandPerSecond; rate > room*(1+rateTolerance)+rateTolerance {
			checker.addViolation("I2 decision", "%s: %v sends %.2f requests/s to %s, limit %.2f", vm.entry.ID, flow, rate, region, room)
		}
	}
}
