package entryvm

import (
	"time"

	"oleandervane.example"
	"oleandervane.example/steering/share"
)

const (
	// highDemand of its capacity less headroom is the demand from which a source region may soon need room elsewhere.
	highDemand = 0.8
	// drainLead is how long before the start of a drain its region is granted room.
	drainLead = 10 * time.Second
	// grantHold is how long a grant goes on after its need has ended. Shares return within the cap and need the room
	// until they are back: at a cap of 0.05 in 10 s, all of a flow takes 200 s.
	grantHold = 10 * time.Minute
)

// grantFilter leaves out grants to source regions that need no room. All grants of all regions, each 2 s, would take
// up the budget for control at 450 VMs, and nearly all regions serve their own callers nearly always.
type grantFilter struct {
	drainage   share.DrainStateFunc
	lastNeeded map[oleandervane.Flow]time.Time
}

func newGrantFilter(drainage share.DrainStateFunc) *grantFilter {
	return &grantFilter{drainage: drainage, lastNeeded: map[oleandervane.Flow]time.Time{}}
}

// needed returns the grants that a source region may use now or soon.
func (grantFilter *grantFilter) needed(now time.Time, configuration *oleandervane.Configuration, grants []oleandervane.Grant, summaries []oleandervane.RegionSummary, lost map[oleandervane.Region]bool) []oleandervane.Grant {
	hasRoom := flowsWithRoom(configuration, summaries)
	var needed []oleandervane.Grant
	for _, grant := range grants {
		flow := oleandervane.Flow{Service: grant.Service, Home: grant.From}
		if !hasRoom[flow] || lost[flow.Home] || grantFilter.drains(now, flow) {
			grantFilter.lastNeeded[flow] = now
		}
		last, known := grantFilter.lastNeeded[flow]
		if !known {
			continue
		}
		if now.Sub(last) > grantHold {
			delete(grantFilter.lastNeeded, flow)
			continue
		}
		needed = append(needed, grant)
	}
	return needed
}

func (grantFilter *grantFilter) drains(now time.Time, flow oleandervane.Flow) bool {
	return grantFilter.drainage(now, flow.Home, flow.Service).Progress > 0 ||
		grantFilter.drainage(now.Add(drainLead), flow.Home, flow.Service).Progress > 0
}

// flowsWithRoom returns the flows whose home region is known to have room for them.
func flowsWithRoom(configuration *oleandervane.Configuration, summaries []oleandervane.RegionSummary) map[oleandervane.Flow]bool {
	hasRoom := map[oleandervane.Flow]bool{}
	for _, summary := range summaries {
		usable := summary.CapacityPerSecond * (1 - configuration.Services[summary.Service].Headroom)
		if summary.DemandPerSecond < highDemand*usable {
			hasRoom[oleandervane.Flow{Service: summary.Service, Home: summary.Region}] = true
		}
	}
	return hasRoom
}
