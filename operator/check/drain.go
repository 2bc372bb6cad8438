package check

import (
	"maps"
	"math"
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/steering/drain"
)

// DrainPlan is when and how far a drain moves the flows of one service. It is immutable.
type DrainPlan struct {
	Drain   oleandervane.Drain
	Service oleandervane.ServiceName
	// Home is the region whose flow moves.
	Home oleandervane.Region
	// Share is how much of the flow moves, with the failure domains of a region taken as equal.
	Share float64
	// Start is the latest start of the move away; End is the end of the return.
	Start time.Time
	End   time.Time
}

// Takes is how long the move takes each way.
func (drainPlan DrainPlan) Takes() time.Duration {
	return drainPlan.Drain.EmptyFrom.Sub(drainPlan.Start)
}

// Windows returns how many shift windows it takes to move a share of a flow at a cap per window.
func Windows(share, shiftCap float64) int {
	if share <= 0 || shiftCap <= 0 {
		return 0
	}
	// The tolerance keeps a share that is a whole multiple of the cap from taking one window more.
	return int(math.Ceil(share/shiftCap - 1e-9))
}

// DrainPlans returns the plans of all drains, ordered by start, then name, service and home. A drain of entry VMs moves
// no flow to another region and has one plan without a service, which takes the look-up lifetime.
func DrainPlans(configuration oleandervane.Configuration) []DrainPlan {
	var plans []DrainPlan
	homes := Homes(configuration)
	for _, drain := range configuration.Drains {
		if drain.Target == oleandervane.DrainEntryVMs {
			plans = append(plans, DrainPlan{
				Drain: drain, Start: drain.EmptyFrom.Add(-configuration.LookupLifetime), End: drain.ReturnAt,
			})
			continue
		}
		home, share := drain.Region, 1.0
		if drain.FailureDomain != "" {
			home = homes[drain.FailureDomain]
			share = 1 / float64(max(1, len(configuration.Regions[home].FailureDomains)))
		}
		start, end, known := planned(configuration, drain)
		for _, name := range slices.Sorted(maps.Keys(configuration.Services)) {
			if drain.Service != "" && drain.Service != name {
				continue
			}
			plan := drainPlan(drain, configuration.Services[name], home, share)
			if known {
				plan.Start, plan.End = start, end
			}
			plans = append(plans, plan)
		}
	}
	slices.SortStableFunc(plans, func(a, b DrainPlan) int { return a.Start.Compare(b.Start) })
	return plans
}

// planned returns the start and the end of a drain as entry VMs plan it, or false for one that they refuse.
func planned(configuration oleandervane.Configuration, planned oleandervane.Drain) (start, end time.Time, ok bool) {
	alone := configuration.WithDrains([]oleandervane.Drain{planned})
	plans, _ := drain.New(&alone, drain.Measurements{}, time.Time{})
	if len(plans) == 0 {
		return time.Time{}, time.Time{}, false
	}
	return plans[0].Start, plans[0].ReturnEnd, true
}

// drainPlan returns the plan of a drain at the cap itself, for drains that entry VMs refuse.
func drainPlan(drain oleandervane.Drain, service oleandervane.Service, home oleandervane.Region, share float64) DrainPlan {
	takes := time.Duration(Windows(share, service.ShiftCap)) * service.ShiftWindow
	return DrainPlan{
		Drain: drain, Service: service.Name, Home: home, Share: share,
		Start: drain.EmptyFrom.Add(-takes), End: drain.ReturnAt.Add(takes),
	}
}

// Homes returns the region of each failure domain.
func Homes(configuration oleandervane.Configuration) map[oleandervane.FailureDomain]oleandervane.Region {
	homes := map[oleandervane.FailureDomain]oleandervane.Region{}
	for name, region := range configuration.Regions {
		for _, domain := range region.FailureDomains {
			homes[domain] = name
		}
	}
	return homes
}

// drained returns the failure domains that a plan empties.
func drained(configuration oleandervane.Configuration, drain oleandervane.Drain) []oleandervane.FailureDomain {
	if drain.FailureDomain != "" {
		return []oleandervane.FailureDomain{drain.FailureDomain}
	}
	return configuration.Regions[drain.Region].FailureDomains
}
