package check

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"oleandervane.example"
)

const (
	// maxMoveDuration is the longest time for emptying a region that gives no warning.
	maxMoveDuration = time.Hour
	// probeShare is the share of an instance's slot time that all probes together may use.
	probeShare = 0.01
	// maxProbePeriod is the longest time between probes of an instance that gives no warning: steering is not designed
	// for load reports that are older than 20 s.
	maxProbePeriod = 20 * time.Second
)

// Conditions are the time and the accepted configuration that Feasibility uses besides the configuration itself. They
// are immutable.
type Conditions struct {
	// Now is the time at which drains are checked; zero skips the checks that depend on it.
	Now time.Time
	// InForce is the accepted configuration, if known. Its drains may be under way and are not rejected for starting too
	// late; otherwise no change could be published while a drain moves traffic.
	InForce *oleandervane.Configuration
}

// Feasibility returns findings about a structurally valid configuration that cannot work as intended: capacity against
// headroom and drains, caps against windows, objectives against deadlines, and missing links. Structure must have returned
// no findings.
func Feasibility(configuration oleandervane.Configuration, conditions Conditions) []Finding {
	feasibility := &feasibility{configuration: configuration, Conditions: conditions, nearest: nearestDelays(configuration)}
	for _, name := range slices.Sorted(maps.Keys(configuration.Services)) {
		feasibility.caps(configuration.Services[name])
		feasibility.probes(configuration.Services[name])
		feasibility.objectives(configuration.Services[name])
	}
	feasibility.links()
	feasibility.alertRules()
	feasibility.sites()
	feasibility.conflictingDrains()
	feasibility.drainTimes()
	feasibility.drainCapacity()
	return feasibility.findings
}

type feasibility struct {
	findings
	Conditions
	configuration oleandervane.Configuration
	// nearest is the delay from each region to the nearest other region.
	nearest map[oleandervane.Region]time.Duration
}

func nearestDelays(configuration oleandervane.Configuration) map[oleandervane.Region]time.Duration {
	nearest := map[oleandervane.Region]time.Duration{}
	for _, link := range configuration.Links {
		if delay, found := nearest[link.From]; !found || link.Delay < delay {
			nearest[link.From] = link.Delay
		}
	}
	return nearest
}

func (feasibility *feasibility) caps(service oleandervane.Service) {
	key := "services." + string(service.Name)
	if service.FailoverCap < service.ShiftCap {
		feasibility.addError(key+".failover_cap",
			fmt.Sprintf("the cap for a lost region (%s) is below shift_cap (%s)", number(service.FailoverCap), number(service.ShiftCap)),
			"raise failover_cap to at least shift_cap")
	}
	moveDuration := time.Duration(ShiftWindowCount(1, service.ShiftCap)) * service.ShiftWindow
	if moveDuration > maxMoveDuration {
		feasibility.addWarning(key+".shift_cap",
			fmt.Sprintf("at %s per %s it takes %s to empty a region", Percent(service.ShiftCap), Duration(service.ShiftWindow), Duration(moveDuration)),
			"raise shift_cap or shorten shift_window, or plan drains that early")
	}
	if feasibility.configuration.LookupLifetime > moveDuration {
		feasibility.addWarning("lookup_lifetime",
			fmt.Sprintf("callers keep an answer for %s, longer than the %s in which service %q can leave a region",
				Duration(feasibility.configuration.LookupLifetime), Duration(moveDuration), service.Name),
			"shorten lookup_lifetime")
	}
}

func (feasibility *feasibility) probes(service oleandervane.Service) {
	if service.ProbeCost == 0 {
		return
	}
	period := time.Duration(float64(service.ProbeCost) / (probeShare * float64(service.Slots)))
	if period > maxProbePeriod {
		feasibility.addWarning("services."+string(service.Name)+".probe_cost",
			fmt.Sprintf("probes may use %s of %d slots, so an instance is probed only every %s",
				Percent(probeShare), service.Slots, Duration(period.Round(time.Second))),
			"make the probe cheaper; load seen on requests is used meanwhile")
	}
}

func (feasibility *feasibility) objectives(service oleandervane.Service) {
	for _, name := range slices.Sorted(maps.Keys(service.Kinds)) {
		kind := service.Kinds[name]
		key := "services." + string(service.Name)
		if kind.Deadline < service.ServiceTime {
			feasibility.addError(key+".kinds."+string(name)+".deadline",
				fmt.Sprintf("the deadline (%s) is shorter than service_time (%s), so every request would time out",
					Duration(kind.Deadline), Duration(service.ServiceTime)),
				"lengthen the deadline")
		}
		objective, found := service.Objectives[name]
		if !found {
			feasibility.addWarning(key+".kinds."+string(name), "the kind has no objective, so no burn is reported for it",
				fmt.Sprintf("add [%s.objectives.%s]", key, name))
			continue
		}
		latencyKey := key + ".objectives." + string(name) + ".latency"
		if objective.Latency > kind.Deadline {
			feasibility.addError(latencyKey,
				fmt.Sprintf("the latency objective (%s) is longer than the deadline (%s), after which nothing is answered",
					Duration(objective.Latency), Duration(kind.Deadline)),
				"lower the objective to the deadline or lengthen the deadline")
		}
		if objective.Latency < service.ServiceTime {
			feasibility.addError(latencyKey,
				fmt.Sprintf("the latency objective (%s) is shorter than service_time (%s) and cannot be met",
					Duration(objective.Latency), Duration(service.ServiceTime)),
				"raise the objective or correct service_time")
			continue
		}
		feasibility.overflow(latencyKey, service, objective)
	}
}

// overflow warns of an objective that every request served in another region would miss.
func (feasibility *feasibility) overflow(key string, service oleandervane.Service, objective oleandervane.Objective) {
	for _, home := range slices.Sorted(maps.Keys(feasibility.configuration.Regions)) {
		nearest, found := feasibility.nearest[home]
		if found && service.ServiceTime+2*nearest > objective.Latency {
			feasibility.addWarning(key, fmt.Sprintf("requests from %s that overflow to the nearest region take at least %s, over the objective of %s",
				home, Duration(service.ServiceTime+2*nearest), Duration(objective.Latency)),
				"raise the objective, or expect overflow to use error budget")
		}
	}
}

func (feasibility *feasibility) links() {
	existing := map[[2]oleandervane.Region]oleandervane.Link{}
	for _, link := range feasibility.configuration.Links {
		existing[[2]oleandervane.Region{link.From, link.To}] = link
	}
	regions := slices.Sorted(maps.Keys(feasibility.configuration.Regions))
	for index, a := range regions {
		for _, b := range regions[index+1:] {
			_, forth := existing[[2]oleandervane.Region{a, b}]
			_, back := existing[[2]oleandervane.Region{b, a}]
			if forth != back {
				from, to := a, b
				if forth {
					from, to = b, a
				}
				feasibility.addError("links."+string(from)+"."+string(to),
					fmt.Sprintf("there is a link from %s to %s but none back", to, from), fmt.Sprintf("add [links.%s.%s]", from, to))
			}
			if !forth && !back {
				feasibility.addWarning("links."+string(a)+"."+string(b), fmt.Sprintf("there is no link between %s and %s, so no traffic is steered between them", a, b),
					fmt.Sprintf("add [links.%s.%s] and [links.%s.%s]", a, b, b, a))
			}
		}
	}
}

func (feasibility *feasibility) alertRules() {
	for _, rule := range feasibility.configuration.AlertRules {
		key := "alert_rules." + rule.Name
		for _, serviceName := range slices.Sorted(maps.Keys(feasibility.configuration.Services)) {
			objectives := feasibility.configuration.Services[serviceName].Objectives
			for _, kindName := range slices.Sorted(maps.Keys(objectives)) {
				objective := objectives[kindName]
				maxRate := 1 / (1 - objective.Availability)
				if rule.Factor >= maxRate {
					feasibility.addWarning(key+".factor",
						fmt.Sprintf("the rule never fires for %s %s: with an availability of %s no burn rate is above %.4g",
							serviceName, kindName, number(objective.Availability), maxRate),
						"lower the factor")
				}
				if rule.LongWindow > objective.Window {
					feasibility.addError(key+".long_window",
						fmt.Sprintf("the window (%s) is longer than that of the objective of %s %s (%s)",
							Duration(rule.LongWindow), serviceName, kindName, Duration(objective.Window)),
						"shorten long_window or lengthen the objective's window")
				}
			}
		}
	}
}

func (feasibility *feasibility) sites() {
	used := map[oleandervane.Site]bool{}
	for _, block := range feasibility.configuration.ClientBlocks {
		used[block.Site] = true
	}
	for _, name := range slices.Sorted(maps.Keys(feasibility.configuration.Regions)) {
		region := feasibility.configuration.Regions[name]
		for _, site := range slices.Sorted(maps.Keys(region.Sites)) {
			if !used[site] {
				feasibility.addWarning("regions."+string(name)+".sites."+string(site), "no client block is assigned to the site",
					"assign blocks under [client_blocks] or remove the site")
			}
		}
	}
}

// pending returns the drains that have not ended.
func (feasibility *feasibility) pending() []oleandervane.Drain {
	var pending []oleandervane.Drain
	for _, drain := range feasibility.configuration.Drains {
		if drain.ReturnAt.After(feasibility.Now) {
			pending = append(pending, drain)
		}
	}
	return pending
}

// conflictingDrains finds drains of the same target that overlap: duplicates, and drains with different times.
func (feasibility *feasibility) conflictingDrains() {
	drains := feasibility.pending()
	for index, a := range drains {
		for _, b := range drains[index+1:] {
			if !sameTarget(a, b) || !a.EmptyFrom.Before(b.ReturnAt) || !b.EmptyFrom.Before(a.ReturnAt) {
				continue
			}
			if a.EmptyFrom.Equal(b.EmptyFrom) && a.ReturnAt.Equal(b.ReturnAt) {
				feasibility.addWarning("drains."+b.Name, fmt.Sprintf("this is drain %q under another name", a.Name), "remove one of them")
				continue
			}
			feasibility.addError("drains."+b.Name, fmt.Sprintf("drain %q empties the same target at overlapping but different times", a.Name),
				"keep the one that is meant")
		}
	}
}

func sameTarget(a, b oleandervane.Drain) bool {
	return a.Target == b.Target && a.Service == b.Service && a.Region == b.Region &&
		a.FailureDomain == b.FailureDomain && slices.Equal(a.EntryVMs, b.EntryVMs)
}

func (feasibility *feasibility) drainTimes() {
	earlier := map[oleandervane.Flow][]DrainPlan{}
	for _, plan := range DrainPlans(feasibility.configuration) {
		key := "drains." + plan.Drain.Name
		feasibility.drainStart(key, plan)
		flow := oleandervane.Flow{Service: plan.Service, Home: plan.Home}
		for _, other := range earlier[flow] {
			feasibility.drainReturn(key, other, plan)
		}
		earlier[flow] = append(earlier[flow], plan)
	}
}

func (feasibility *feasibility) drainStart(key string, plan DrainPlan) {
	if feasibility.Now.After(plan.End) && !feasibility.Now.IsZero() {
		feasibility.addWarningOnce(key, "the drain is over", "remove it")
		return
	}
	if !feasibility.Now.After(plan.Start) || feasibility.accepted(plan.Drain) {
		return
	}
	left := Duration(max(0, plan.Drain.EmptyFrom.Sub(feasibility.Now)).Round(time.Second))
	fix := fmt.Sprintf("set empty_from to %s or later", feasibility.Now.Add(plan.MoveDuration()).UTC().Format(time.RFC3339))
	if plan.Service == "" {
		feasibility.addError(key+".empty_from", fmt.Sprintf("callers keep look-up answers for %s, but only %s are left",
			Duration(plan.MoveDuration()), left), fix)
		return
	}
	feasibility.addError(key+".empty_from", fmt.Sprintf("service %q needs %s to move %s of its %s traffic at %s per window, but only %s are left",
		plan.Service, Duration(plan.MoveDuration()), Percent(plan.Share), plan.Home,
		Percent(feasibility.configuration.Services[plan.Service].ShiftCap), left), fix+", or raise shift_cap")
}

// accepted reports whether the configuration in force has the same drain.
func (feasibility *feasibility) accepted(drain oleandervane.Drain) bool {
	return feasibility.InForce != nil && slices.ContainsFunc(feasibility.InForce.Drains, func(accepted oleandervane.Drain) bool {
		return accepted.Name == drain.Name && sameTarget(accepted, drain) &&
			accepted.EmptyFrom.Equal(drain.EmptyFrom) && accepted.ReturnAt.Equal(drain.ReturnAt)
	})
}

// drainReturn rejects a drain that has to start while an earlier drain of the same flow returns: the cap applies to
// both together, and they move traffic in opposite directions.
func (feasibility *feasibility) drainReturn(key string, earlier, later DrainPlan) {
	if earlier.Service != later.Service || earlier.Home != later.Home || earlier.Drain.Name == later.Drain.Name || later.Service == "" {
		return
	}
	if later.Start.Before(earlier.End) && earlier.Drain.ReturnAt.Before(later.Drain.EmptyFrom) {
		feasibility.addError(key+".empty_from", fmt.Sprintf("service %q has to leave %s from %s on, while drain %q returns until %s",
			later.Service, later.Home, later.Start.UTC().Format(time.RFC3339), earlier.Drain.Name, earlier.End.UTC().Format(time.RFC3339)),
			"move one of the drains, or let them overlap fully")
	}
}

func (feasibility *feasibility) addWarningOnce(key, reason, fix string) {
	for _, finding := range feasibility.findings {
		if finding.Key == key && finding.Reason == reason {
			return
		}
	}
	feasibility.addWarning(key, reason, fix)
}

// drainCapacity compares the capacity that overlapping drains remove with the headroom. Failure domains count as equal,
// because the folder does not list instances.
func (feasibility *feasibility) drainCapacity() {
	domains := float64(len(DomainRegions(feasibility.configuration)))
	overlapsOfAll := feasibility.overlaps("")
	hasOwnDrain := map[oleandervane.ServiceName]bool{}
	for _, drain := range feasibility.configuration.Drains {
		hasOwnDrain[drain.Service] = true
	}
	for _, name := range slices.Sorted(maps.Keys(feasibility.configuration.Services)) {
		overlaps := overlapsOfAll
		if hasOwnDrain[name] {
			overlaps = feasibility.overlaps(name)
		}
		reported := map[string]bool{}
		for _, overlap := range overlaps {
			feasibility.checkCapacity(feasibility.configuration.Services[name], overlap.drains, float64(overlap.domains)/domains, reported)
		}
	}
}

// overlap is a set of drains in effect at one time and the number of failure domains that they empty.
type overlap struct {
	drains  []string
	domains int
}

// overlaps returns the drains in effect for a service at the start of each drain that applies to it; the empty name
// stands for all services without a drain of their own.
func (feasibility *feasibility) overlaps(service oleandervane.ServiceName) []overlap {
	var concerned []oleandervane.Drain
	for _, drain := range feasibility.pending() {
		if drain.Target != oleandervane.DrainEntryVMs && (drain.Service == "" || drain.Service == service) {
			concerned = append(concerned, drain)
		}
	}
	var overlaps []overlap
	for _, at := range concerned {
		emptyDomains := map[oleandervane.FailureDomain]bool{}
		var names []string
		for _, drain := range concerned {
			if at.EmptyFrom.Before(drain.EmptyFrom) || !at.EmptyFrom.Before(drain.ReturnAt) {
				continue
			}
			names = append(names, drain.Name)
			for _, domain := range drainedDomains(feasibility.configuration, drain) {
				emptyDomains[domain] = true
			}
		}
		slices.Sort(names)
		overlaps = append(overlaps, overlap{names, len(emptyDomains)})
	}
	return overlaps
}

func (feasibility *feasibility) checkCapacity(service oleandervane.Service, active []string, drainedShare float64, reported map[string]bool) {
	drainNames := strings.Join(active, ", ")
	if drainedShare <= service.Headroom+1e-9 || reported[drainNames] {
		return
	}
	reported[drainNames] = true
	key := "drains." + active[len(active)-1]
	if drainedShare >= 1 {
		feasibility.addError(key, fmt.Sprintf("drains %s together leave service %q no capacity at all", drainNames, service.Name), "move one of them")
		return
	}
	reason := fmt.Sprintf("drains %s take %s of the capacity of service %q, over its headroom of %s: demand above %s of full capacity is shed",
		drainNames, Percent(drainedShare), service.Name, Percent(service.Headroom), Percent((1-drainedShare)*(1-service.Headroom)))
	if len(active) > 1 {
		feasibility.addError(key, reason, "move one of them")
		return
	}
	feasibility.addWarning(key, reason, "drain less at a time, or at a quiet hour")
}
