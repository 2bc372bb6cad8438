package entryvm

import (
	"time"

	"oleandervane.example"
	"oleandervane.example/steering/share"
)

const (
	// highDemandRatio is the ratio of demand to capacity less headroom from which a source region may soon need
	// capacity elsewhere.
	highDemandRatio = 0.8
	// drainLeadTime is how long before the start of a drain the drained region gets grants.
	drainLeadTime = 10 * time.Second
	// grantExtension is how long a grant continues after its source region has stopped needing it. Shares return within
	// the shift cap and need the granted capacity until they are back: at a cap of 0.05 in 10 s, all of a flow takes
	// 200 s.
	grantExtension = 10 * time.Minute
)

// grantFilter leaves out grants to source regions that need no capacity elsewhere. Sending all grants of all regions
// every 2 s would use up the budget for control traffic at 450 VMs, and nearly all regions serve their own callers
// nearly always.
type grantFilter struct {
	drainState share.DrainStateFunc
	lastNeeded map[oleandervane.Flow]time.Time
}

func newGrantFilter(drainState share.DrainStateFunc) *grantFilter {
	return &grantFilter{drainState: drainState, lastNeeded: map[oleandervane.Flow]time.Time{}}
}

// needed returns the grants that their source regions need now or may need soon.
func (grantFilter *grantFilter) needed(now time.Time, configuration *oleandervane.Configuration, grants []oleandervane.Grant, summaries []oleandervane.RegionSummary, lost map[oleandervane.Region]bool) []oleandervane.Grant {
	hasSpareCapacity := flowsWithSpareCapacity(configuration, summaries)
	var needed []oleandervane.Grant
	for _, grant := range grants {
		flow := oleandervane.Flow{Service: grant.Service, Home: grant.From}
		if !hasSpareCapacity[flow] || lost[flow.Home] || grantFilter.isDraining(now, flow) {
			grantFilter.lastNeeded[flow] = now
		}
		last, known := grantFilter.lastNeeded[flow]
		if !known {
			continue
		}
		if now.Sub(last) > grantExtension {
			delete(grantFilter.lastNeeded, flow)
			continue
		}
		needed = append(needed, grant)
	}
	return needed
}

func (grantFilter *grantFilter) isDraining(now time.Time, flow oleandervane.Flow) bool {
	return grantFilter.drainState(now, flow.Home, flow.Service).Progress > 0 ||
		grantFilter.drainState(now.Add(drainLeadTime), flow.Home, flow.Service).Progress > 0
}

// flowsWithSpareCapacity returns the flows whose home region is known to have enough capacity for them.
func flowsWithSpareCapacity(configuration *oleandervane.Configuration, summaries []oleandervane.RegionSummary) map[oleandervane.Flow]bool {
	hasSpareCapacity := map[oleandervane.Flow]bool{}
	for _, summary := range summaries {
		usable := summary.CapacityPerSecond * (1 - configuration.Services[summary.Service].Headroom)
		if summary.DemandPerSecond < highDemandRatio*usable {
			hasSpareCapacity[oleandervane.Flow{Service: summary.Service, Home: summary.Region}] = true
		}
	}
	return hasSpareCapacity
}
