package check

import (
	"maps"
	"math"
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/steering/drain"
)

// DrainPlan is the schedule by which a drain moves the flow of one service. It is immutable.
type DrainPlan struct {
	Drain   oleandervane.Drain
	Service oleandervane.ServiceName
	// Home is the region whose flow moves.
	Home oleandervane.Region
	// Share is the share of the flow that moves; the failure domains of a region count as equal.
	Share float64
	// Start is the latest time at which traffic must start to move away; End is when all of it has returned.
	Start time.Time
	End   time.Time
}

// MoveDuration returns how long traffic takes to move away, and to return.
func (drainPlan DrainPlan) MoveDuration() time.Duration {
	return drainPlan.Drain.EmptyFrom.Sub(drainPlan.Start)
}

// ShiftWindowCount returns the number of shift windows for moving a share of a flow with a cap per window.
func ShiftWindowCount(share, shiftCap float64) int {
	if share <= 0 || shiftCap <= 0 {
		return 0
	}
	// Without the tolerance, rounding could add a window for a share that is a whole multiple of the cap.
	return int(math.Ceil(share/shiftCap - 1e-9))
}

// DrainPlans returns the plans of all drains, ordered by start, then name, service and home. A drain of entry VMs moves
// no flow to another region and has one plan without a service, which starts the look-up lifetime before EmptyFrom.
func DrainPlans(configuration oleandervane.Configuration) []DrainPlan {
	var plans []DrainPlan
	homes := DomainRegions(configuration)
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

// planned returns the start and the end of a drain as entry VMs plan it, or false for a drain that they refuse.
func planned(configuration oleandervane.Configuration, planned oleandervane.Drain) (start, end time.Time, ok bool) {
	alone := configuration.WithDrains([]oleandervane.Drain{planned})
	plans, _ := drain.New(&alone, drain.Measurements{}, time.Time{})
	if len(plans) == 0 {
		return time.Time{}, time.Time{}, false
	}
	return plans[0].Start, plans[0].ReturnEnd, true
}

// drainPlan returns the plan of a drain that moves traffic at exactly the cap, for drains that entry VMs refuse.
func drainPlan(drain oleandervane.Drain, service oleandervane.Service, home oleandervane.Region, share float64) DrainPlan {
	moveDuration := time.Duration(ShiftWindowCount(share, service.ShiftCap)) * service.ShiftWindow
	return DrainPlan{
		Drain: drain, Service: service.Name, Home: home, Share: share,
		Start: drain.EmptyFrom.Add(-moveDuration), End: drain.ReturnAt.Add(moveDuration),
	}
}

// DomainRegions returns the region of each failure domain.
func DomainRegions(configuration oleandervane.Configuration) map[oleandervane.FailureDomain]oleandervane.Region {
	homes := map[oleandervane.FailureDomain]oleandervane.Region{}
	for name, region := range configuration.Regions {
		for _, domain := range region.FailureDomains {
			homes[domain] = name
		}
	}
	return homes
}

// drainedDomains returns the failure domains that a drain empties.
func drainedDomains(configuration oleandervane.Configuration, drain oleandervane.Drain) []oleandervane.FailureDomain {
	if drain.FailureDomain != "" {
		return []oleandervane.FailureDomain{drain.FailureDomain}
	}
	return configuration.Regions[drain.Region].FailureDomains
}
