package drain

import (
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

// Reasons for refusing a drain. They are wrapped with the measurements.
var (
	ErrUnknownTarget = eris.New("the target of the drain is not configured")
	ErrTimes         = eris.New("the drain returns before it is empty")
	ErrTooLate       = eris.New("the drain cannot be finished in time within the shift cap")
	ErrNoRoom        = eris.New("the other regions have no room for the drained traffic")
	ErrLinkFull      = eris.New("the links have no room for the drained traffic")
	ErrOverlap       = eris.New("the drain shifts the same flow at the same time as another")
)

// Measurements are the measured state that plans are checked against. They are immutable.
type Measurements struct {
	Summaries []oleandervane.RegionSummary
	// FailureDomainPart returns the share of a region's capacity for a service that a failure domain has. If it is
	// nil, failure domains have equal shares.
	FailureDomainPart func(serviceName oleandervane.ServiceName, failureDomain oleandervane.FailureDomain) float64
	// EntryVMs is the number of entry VMs in each region; a drain of entry VMs removes their parts of capacity.
	EntryVMs map[oleandervane.Region]int
}

// Refusal is a drain that was refused, with the reason.
type Refusal struct {
	Drain  oleandervane.Drain
	Reason error
}

// linkUse is the share of a link that drained traffic may use, as in package share.
const linkUse = 0.5

// New plans the drains of a configuration in the given order. Refused drains do not count in the check of later ones.
func New(configuration *oleandervane.Configuration, measurements Measurements, now time.Time) (Plans, []Refusal) {
	var plans Plans
	var refusals []Refusal
	for _, drain := range configuration.Drains {
		plan, err := newPlan(configuration, measurements, drain)
		if err == nil {
			err = check(configuration, measurements, plans, plan, now)
		}
		if err != nil {
			refusals = append(refusals, Refusal{Drain: drain, Reason: eris.Wrapf(err, "planning drain %s", drain.Name)})
			continue
		}
		plans = append(plans, plan)
	}
	sortPlans(plans)
	return plans, refusals
}

func newPlan(configuration *oleandervane.Configuration, measurements Measurements, drain oleandervane.Drain) (Plan, error) {
	if !drain.ReturnAt.After(drain.EmptyFrom) {
		return Plan{}, ErrTimes
	}
	if drain.Region == "" {
		drain.Region = regionOf(configuration, drain.FailureDomain)
	}
	region, known := configuration.Regions[drain.Region]
	if !known {
		return Plan{}, eris.Wrapf(ErrUnknownTarget, "region %q", drain.Region)
	}
	parts, err := parts(configuration, measurements, region, drain)
	if err != nil {
		return Plan{}, err
	}
	shift := duration(configuration, parts)
	if drain.Target == oleandervane.DrainEntryVMs {
		shift = max(shift, configuration.LookupLifetime)
	}
	return Plan{
		Drain:     drain,
		Parts:     parts,
		Start:     drain.EmptyFrom.Add(-Margin - shift),
		ReturnEnd: drain.ReturnAt.Add(shift),
	}, nil
}

// regionOf returns the region of a failure domain; a drain may name the failure domain alone.
func regionOf(configuration *oleandervane.Configuration, failureDomain oleandervane.FailureDomain) oleandervane.Region {
	for name, region := range configuration.Regions {
		if slices.Contains(region.FailureDomains, failureDomain) {
			return name
		}
	}
	return ""
}

// parts returns the share of the region's capacity that the drain removes, by service.
func parts(configuration *oleandervane.Configuration, measurements Measurements, region oleandervane.RegionSettings, drain oleandervane.Drain) (map[oleandervane.ServiceName]float64, error) {
	result := map[oleandervane.ServiceName]float64{}
	switch drain.Target {
	case oleandervane.DrainRegion:
		for name := range configuration.Services {
			result[name] = 1
		}
	case oleandervane.DrainFailureDomain:
		for name := range configuration.Services {
			part, err := measurements.failureDomainPart(region, name, drain.FailureDomain)
			if err != nil {
				return nil, err
			}
			result[name] = part
		}
	case oleandervane.DrainBackendGroup:
		if _, known := configuration.Services[drain.Service]; !known {
			return nil, eris.Wrapf(ErrUnknownTarget, "service %q", drain.Service)
		}
		part, err := measurements.failureDomainPart(region, drain.Service, drain.FailureDomain)
		if err != nil {
			return nil, err
		}
		result[drain.Service] = part
	case oleandervane.DrainEntryVMs:
		running := measurements.EntryVMs[drain.Region]
		if running == 0 || len(drain.EntryVMs) == 0 {
			return nil, eris.Wrapf(ErrUnknownTarget, "entry VMs of %s", drain.Region)
		}
		for name := range configuration.Services {
			result[name] = min(1, float64(len(drain.EntryVMs))/float64(running))
		}
	default:
		return nil, eris.Wrapf(ErrUnknownTarget, "target %q", drain.Target)
	}
	return result, nil
}

func (measurements Measurements) failureDomainPart(region oleandervane.RegionSettings, name oleandervane.ServiceName, failureDomain oleandervane.FailureDomain) (float64, error) {
	for _, known := range region.FailureDomains {
		if known != failureDomain {
			continue
		}
		if measurements.FailureDomainPart != nil {
			return min(1, max(0, measurements.FailureDomainPart(name, failureDomain))), nil
		}
		return 1 / float64(len(region.FailureDomains)), nil
	}
	return 0, eris.Wrapf(ErrUnknownTarget, "failure domain %q of region %s", failureDomain, region.Name)
}

// check returns the reason why a plan cannot be carried out together with those accepted before.
func check(configuration *oleandervane.Configuration, measurements Measurements, plans Plans, plan Plan, now time.Time) error {
	if plan.Start.Before(now) {
		return eris.Wrapf(ErrTooLate, "it takes %s, so the earliest time to be empty is %s",
			plan.Drain.EmptyFrom.Sub(plan.Start), formatTime(now.Add(plan.Drain.EmptyFrom.Sub(plan.Start))))
	}
	together := Plans{plan}
	for _, other := range plans {
		if !other.Start.Before(plan.ReturnEnd) || !plan.Start.Before(other.ReturnEnd) {
			continue
		}
		together = append(together, other)
		if shiftsTogether(plan, other) {
			return eris.Wrapf(ErrOverlap, "with drain %s", other.Drain.Name)
		}
	}
	for _, name := range sortedNames(plan.Parts) {
		if err := checkRoom(configuration, measurements, together, name); err != nil {
			return err
		}
	}
	return checkLinks(configuration, measurements, together, plan.Drain.Region)
}

// shiftsTogether reports whether two plans shift the same flow at the same time, away or back.
func shiftsTogether(a, b Plan) bool {
	if a.Drain.Region != b.Drain.Region {
		return false
	}
	sameService := false
	for name, part := range a.Parts {
		sameService = sameService || part > 0 && b.Parts[name] > 0
	}
	return sameService && shiftTimesOverlap(a, b)
}

func shiftTimesOverlap(a, b Plan) bool {
	for _, first := range a.shiftTimes() {
		for _, second := range b.shiftTimes() {
			if first[0].Before(second[1]) && second[0].Before(first[1]) {
				return true
			}
		}
	}
	return false
}

// shiftTimes returns the periods in which the plan shifts traffic, as pairs of begin and end.
func (plan Plan) shiftTimes() [][2]time.Time {
	return [][2]time.Time{{plan.Start, plan.Drain.EmptyFrom}, {plan.Drain.ReturnAt, plan.ReturnEnd}}
}

// checkRoom compares the demand for a service with the capacity less headroom that overlapping plans leave, as if the
// targets of all of them were empty at the same time.
func checkRoom(configuration *oleandervane.Configuration, measurements Measurements, together Plans, name oleandervane.ServiceName) error {
	headroom := configuration.Services[name].Headroom
	usable, demand := 0.0, 0.0
	for _, summary := range measurements.Summaries {
		if summary.Service != name {
			continue
		}
		left := 1.0
		for _, plan := range together {
			if plan.Drain.Region == summary.Region {
				left -= plan.Parts[name]
			}
		}
		usable += summary.CapacityPerSecond * (1 - headroom) * max(0, left)
		demand += summary.DemandPerSecond
	}
	if demand > usable {
		return eris.Wrapf(ErrNoRoom, "%s needs %.0f requests/s and %.0f are left%s", name, demand, usable, otherNames(together))
	}
	return nil
}

func otherNames(together Plans) string {
	if len(together) == 1 {
		return ""
	}
	names := ""
	for _, plan := range together[1:] {
		names += " " + plan.Drain.Name
	}
	return fmt.Sprintf(" together with%s", names)
}

// checkLinks compares the traffic of a region's own callers to other regions with the capacity of its outgoing links.
func checkLinks(configuration *oleandervane.Configuration, measurements Measurements, together Plans, region oleandervane.Region) error {
	needed, capacity := 0.0, 0.0
	for _, summary := range measurements.Summaries {
		if summary.Region != region {
			continue
		}
		service := configuration.Services[summary.Service]
		left := 1.0
		for _, plan := range together {
			if plan.Drain.Region == region {
				left -= plan.Parts[summary.Service]
			}
		}
		moved := summary.DemandPerSecond - summary.CapacityPerSecond*(1-service.Headroom)*max(0, left)
		needed += max(0, moved) * float64(service.RequestBytes)
	}
	for _, link := range configuration.Links {
		if link.From == region {
			capacity += float64(link.BytesPerSecond) * linkUse
		}
	}
	if needed > capacity {
		return eris.Wrapf(ErrLinkFull, "links from %s: %.0f bytes/s are needed and %.0f are free", region, needed, capacity)
	}
	return nil
}
