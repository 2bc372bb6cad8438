package measurement

import (
	"time"

	"oleandervane.example"
)

// Constants of the probe budget.
const (
	// BudgetShare is the share of an instance's slot time that all probes together may take.
	BudgetShare = 0.01
	// ShortestInterval is the time between two probes of an instance by one VM when the budget allows it.
	ShortestInterval = time.Second
	// defaultProbeCost and defaultSlots stand in for a service that states none. They are on the careful side.
	defaultProbeCost = 10 * time.Millisecond
	defaultSlots     = 1
	// assigned is how many VMs of the region probe an instance.
	assigned = 2
)

// Interval returns the time between two probes of an instance by one VM.
//
// Views of membership differ, and in the worst case every VM of the region takes itself for assigned. The interval
// is so long that even then all probes together stay within the budget: vms probes in each interval, of which each
// takes probeCost of slot time. vms counts all VMs of the region that may run, also those taken for dead.
func Interval(vms, slots int, probeCost time.Duration) time.Duration {
	if probeCost <= 0 {
		probeCost = defaultProbeCost
	}
	if slots <= 0 {
		slots = defaultSlots
	}
	slotTime := BudgetShare * float64(slots)
	least := time.Duration(float64(max(assigned, vms)) * float64(probeCost) / slotTime)
	return max(ShortestInterval, least)
}

// interval returns the interval for a backend server under the configuration in force.
func (measurement *Measurement) interval(backendServer oleandervane.BackendServer, vms int) time.Duration {
	probeCost := time.Duration(0)
	if configuration := measurement.settings.Configuration.Configuration(); configuration != nil {
		probeCost = configuration.Services[backendServer.Service].ProbeCost
	}
	return Interval(vms, backendServer.Slots, probeCost)
}
