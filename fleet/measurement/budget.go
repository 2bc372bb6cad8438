package measurement

import (
	"time"

	"oleandervane.example"
)

// Constants of the probe budget.
const (
	// ProbeBudgetShare is the share of an instance's slot time that all probes together may take.
	ProbeBudgetShare = 0.01
	// MinProbeInterval is the shortest time between two probes of an instance by one VM.
	MinProbeInterval = time.Second
	// defaultProbeCost and defaultSlots apply to a service that does not configure them. They are conservative.
	defaultProbeCost = 10 * time.Millisecond
	defaultSlots     = 1
	// assignedVMs is the number of VMs of the region that probe an instance.
	assignedVMs = 2
)

// ProbeInterval returns the time between two probes of an instance by one VM.
//
// Views of membership differ, and in the worst case every VM of the region regards itself as assigned. The interval is
// so long that even then all probes together stay within the budget: vms probes in each interval, each of which takes
// probeCost of slot time. vms counts all VMs of the region that may be running, including those regarded as dead.
func ProbeInterval(vms, slots int, probeCost time.Duration) time.Duration {
	if probeCost <= 0 {
		probeCost = defaultProbeCost
	}
	if slots <= 0 {
		slots = defaultSlots
	}
	slotTime := ProbeBudgetShare * float64(slots)
	minimum := time.Duration(float64(max(assignedVMs, vms)) * float64(probeCost) / slotTime)
	return max(MinProbeInterval, minimum)
}

// probeInterval returns the probe interval of a backend server under the configuration in force.
func (measurement *Measurement) probeInterval(backendServer oleandervane.BackendServer, vms int) time.Duration {
	probeCost := time.Duration(0)
	if configuration := measurement.settings.Configuration.Configuration(); configuration != nil {
		probeCost = configuration.Services[backendServer.Service].ProbeCost
	}
	return ProbeInterval(vms, backendServer.Slots, probeCost)
}
