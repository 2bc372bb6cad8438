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
	// slowestMove is the longest time that a region may take to empty before a warning.
	slowestMove = time.Hour
	// probeShare is the part of an instance's slot time that all probes together may use.
	probeShare = 0.01
	// slowestProbe is the longest time between probes of an instance before a warning: load reports that are
	// older than 20 s are outside of what steering is tuned for.
	slowestProbe = 20 * time.Second
)

// Circumstances are what Depth judges a configuration against, beside itself. It is immutable.
type Circumstances struct {
	// Now is the time that drains are judged at; zero leaves out what depends on it.
	Now time.Time
	// InForce is the accepted configuration, if known. Its drains may be under way and are not refused for
	// starting too late, or no change could be published while a drain moves traffic.
	InForce *oleandervane.Configuration
}

// Depth returns what a configuration cannot keep although its structure is sound: capacity against headroom and
// drains, caps against windows, objectives against deadlines, and missing links. The structure must be sound.
func Depth(configuration oleandervane.Configuration, circumstances Circumstances) []Finding {
	depth := &depth{configuration: configuration, Circumstances: circumstances, nearest: nearestDelays(configuration)}
	for _, name := range slices.Sorted(maps.Keys(configuration.Services)) {
		depth.caps(configuration.Services[name])
		depth.probes(configuration.Services[name])
		depth.objectives(configuration.Services[name])
	}
	depth.links()
	depth.alertRules()
	depth.sites()
	depth.drainPairs()
	depth.drainTimes()
	depth.drainCapacity()
	return depth.findings
}

type depth struct {
	findings
	Circumstances
	configuration oleandervane.Configuration
	// nearest is the delay from each region to the nearest other one.
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

func (depth *depth) caps(service oleandervane.Service) {
	key := "services." + string(service.Name)
	if service.FailoverCap < service.ShiftCap {
		depth.refuse(key+".failover_cap",
			fmt.Sprintf("the cap for a lost region (%s) is below shift_cap (%s)", number(service.FailoverCap), number(service.ShiftCap)),
			"raise failover_cap to at least shift_cap")
	}
	takes := time.Duration(Windows(1, service.ShiftCap)) * service.ShiftWindow
	if takes > slowestMove {
		depth.warn(key+".shift_cap",
			fmt.Sprintf("at %s per %s it takes %s to empty a region", Percent(service.ShiftCap), Duration(service.ShiftWindow), Duration(takes)),
			"raise shift_cap or shorten shift_window, or plan drains that early")
	}
	if depth.configuration.LookupLifetime > takes {
		depth.warn("lookup_lifetime",
			fmt.Sprintf("callers keep an answer for %s, longer than the %s in which service %q can leave a region",
				Duration(depth.configuration.LookupLifetime), Duration(takes), service.Name),
			"shorten lookup_lifetime")
	}
}

func (depth *depth) probes(service oleandervane.Service) {
	if service.ProbeCost == 0 {
		return
	}
	period := time.Duration(float64(service.ProbeCost) / (probeShare * float64(service.Slots)))
	if period > slowestProbe {
		depth.warn("services."+string(service.Name)+".probe_cost",
			fmt.Sprintf("probes may use %s of %d slots, so an instance is probed only every %s",
				Percent(probeShare), service.Slots, Duration(period.Round(time.Second))),
			"make the probe cheaper; load seen on requests is used meanwhile")
	}
}

func (depth *depth) objectives(service oleandervane.Service) {
	for _, name := range slices.Sorted(maps.Keys(service.Kinds)) {
		kind := service.Kinds[name]
		key := "services." + string(service.Name)
		if kind.Deadline < service.ServiceTime {
			depth.refuse(key+".kinds."+string(name)+".deadline",
				fmt.Sprintf("the deadline (%s) is shorter than service_time (%s), so every request would time out",
					Duration(kind.Deadline), Duration(service.ServiceTime)),
				"lengthen the deadline")
		}
		objective, found := service.Objectives[name]
		if !found {
			depth.warn(key+".kinds."+string(name), "the kind has no objective, so no burn is reported for it",
				fmt.Sprintf("add [%s.objectives.%s]", key, name))
			continue
		}
		latencyKey := key + ".objectives." + string(name) + ".latency"
		if objective.Latency > kind.Deadline {
			depth.refuse(latencyKey,
				fmt.Sprintf("the latency objective (%s) is longer than the deadline (%s), after which nothing is answered",
					Duration(objective.Latency), Duration(kind.Deadline)),
				"lower the objective to the deadline or lengthen the deadline")
		}
		if objective.Latency < service.ServiceTime {
			depth.refuse(latencyKey,
				fmt.Sprintf("the latency objective (%s) is shorter than service_time (%s) and cannot be met",
					Duration(objective.Latency), Duration(service.ServiceTime)),
				"raise the objective or correct service_time")
			continue
		}
		depth.overflow(latencyKey, service, objective)
	}
}

// overflow warns of an objective that any request served in another region would miss.
func (depth *depth) overflow(key string, service oleandervane.Service, objective oleandervane.Objective) {
	for _, home := range slices.Sorted(maps.Keys(depth.configuration.Regions)) {
		nearest, found := depth.nearest[home]
		if found && service.ServiceTime+2*nearest > objective.Latency {
			depth.warn(key, fmt.Sprintf("requests from %s that overflow to the nearest region take at least %s, over the objective of %s",
				home, Duration(service.ServiceTime+2*nearest), Duration(objective.Latency)),
				"raise the objective, or expect overflow to use error budget")
		}
	}
}

func (depth *depth) links() {
	have := map[[2]oleandervane.Region]oleandervane.Link{}
	for _, link := range depth.configuration.Links {
		have[[2]oleandervane.Region{link.From, link.To}] = link
	}
	regions := slices.Sorted(maps.Keys(depth.configuration.Regions))
	for index, a := range regions {
		for _, b := range regions[index+1:] {
			_, forth := have[[2]oleandervane.Region{a, b}]
			_, back := have[[2]oleandervane.Region{b, a}]
			if forth != back {
				from, to := a, b
				if forth {
					from, to = b, a
				}
				depth.refuse("links."+string(from)+"."+string(to),
					fmt.Sprintf("there is a link from %s to %s but none back", to, from), fmt.Sprintf("add [links.%s.%s]", from, to))
			}
			if !forth && !back {
				depth.warn("links."+string(a)+"."+string(b), fmt.Sprintf("there is no link between %s and %s, so no traffic is steered between them", a, b),
					fmt.Sprintf("add [links.%s.%s] and [links.%s.%s]", a, b, b, a))
			}
		}
	}
}

func (depth *depth) alertRules() {
	for _, rule := range depth.configuration.AlertRules {
		key := "alert_rules." + rule.Name
		for _, serviceName := range slices.Sorted(maps.Keys(depth.configuration.Services)) {
			objectives := depth.configuration.Services[serviceName].Objectives
			for _, kindName := range slices.Sorted(maps.Keys(objectives)) {
				objective := objectives[kindName]
				most := 1 / (1 - objective.Availability)
				if rule.Factor >= most {
					depth.warn(key+".factor",
						fmt.Sprintf("the rule never fires for %s %s: with an availability of %s no burn rate is above %.4g",
							serviceName, kindName, number(objective.Availability), most),
						"lower the factor")
				}
				if rule.LongWindow > objective.Window {
					depth.refuse(key+".long_window",
						fmt.Sprintf("the window (%s) is longer than that of the objective of %s %s (%s)",
							Duration(rule.LongWindow), serviceName, kindName, Duration(objective.Window)),
						"shorten long_window or lengthen the objective's window")
				}
			}
		}
	}
}

func (depth *depth) sites() {
	used := map[oleandervane.Site]bool{}
	for _, block := range depth.configuration.ClientBlocks {
		used[block.Site] = true
	}
	for _, name := range slices.Sorted(maps.Keys(depth.configuration.Regions)) {
		region := depth.configuration.Regions[name]
		for _, site := range slices.Sorted(maps.Keys(region.Sites)) {
			if !used[site] {
				depth.warn("regions."+string(name)+".sites."+string(site), "no client block is assigned to the site",
					"assign blocks under [client_blocks] or remove the site")
			}
		}
	}
}

// pending returns the drains that are not over.
func (depth *depth) pending() []oleandervane.Drain {
	var pending []oleandervane.Drain
	for _, drain := range depth.configuration.Drains {
		if drain.ReturnAt.After(depth.Now) {
			pending = append(pending, drain)
		}
	}
	return pending
}

// drainPairs finds drains that look alike but mean different things.
func (depth *depth) drainPairs() {
	drains := depth.pending()
	for index, a := range drains {
		for _, b := range drains[index+1:] {
			if !sameTarget(a, b) || !a.EmptyFrom.Before(b.ReturnAt) || !b.EmptyFrom.Before(a.ReturnAt) {
				continue
			}
			if a.EmptyFrom.Equal(b.EmptyFrom) && a.ReturnAt.Equal(b.ReturnAt) {
				depth.warn("drains."+b.Name, fmt.Sprintf("this is drain %q under another name", a.Name), "remove one of them")
				continue
			}
			depth.refuse("drains."+b.Name, fmt.Sprintf("drain %q empties the same target at overlapping but different times", a.Name),
				"keep the one that is meant")
		}
	}
}

func sameTarget(a, b oleandervane.Drain) bool {
	return a.Target == b.Target && a.Service == b.Service && a.Region == b.Region &&
		a.FailureDomain == b.FailureDomain && slices.Equal(a.EntryVMs, b.EntryVMs)
}

func (depth *depth) drainTimes() {
	earlier := map[oleandervane.Flow][]DrainPlan{}
	for _, plan := range DrainPlans(depth.configuration) {
		key := "drains." + plan.Drain.Name
		depth.drainStart(key, plan)
		flow := oleandervane.Flow{Service: plan.Service, Home: plan.Home}
		for _, other := range earlier[flow] {
			depth.drainReturn(key, other, plan)
		}
		earlier[flow] = append(earlier[flow], plan)
	}
}

func (depth *depth) drainStart(key string, plan DrainPlan) {
	if depth.Now.After(plan.End) && !depth.Now.IsZero() {
		depth.warnOnce(key, "the drain is over", "remove it")
		return
	}
	if !depth.Now.After(plan.Start) || depth.accepted(plan.Drain) {
		return
	}
	left := Duration(max(0, plan.Drain.EmptyFrom.Sub(depth.Now)).Round(time.Second))
	mend := fmt.Sprintf("set empty_from to %s or later", depth.Now.Add(plan.Takes()).UTC().Format(time.RFC3339))
	if plan.Service == "" {
		depth.refuse(key+".empty_from", fmt.Sprintf("callers keep look-up answers for %s, but only %s are left",
			Duration(plan.Takes()), left), mend)
		return
	}
	depth.refuse(key+".empty_from", fmt.Sprintf("service %q needs %s to move %s of its %s traffic at %s per window, but only %s are left",
		plan.Service, Duration(plan.Takes()), Percent(plan.Share), plan.Home,
		Percent(depth.configuration.Services[plan.Service].ShiftCap), left), mend+", or raise shift_cap")
}

// accepted says whether a drain is in force as it is.
func (depth *depth) accepted(drain oleandervane.Drain) bool {
	return depth.InForce != nil && slices.ContainsFunc(depth.InForce.Drains, func(accepted oleandervane.Drain) bool {
		return accepted.Name == drain.Name && sameTarget(accepted, drain) &&
			accepted.EmptyFrom.Equal(drain.EmptyFrom) && accepted.ReturnAt.Equal(drain.ReturnAt)
	})
}

// drainReturn refuses a drain that has to start while an earlier one of the same flow returns: the cap holds for
// both together, and they pull in opposite directions.
func (depth *depth) drainReturn(key string, earlier, later DrainPlan) {
	if earlier.Service != later.Service || earlier.Home != later.Home || earlier.Drain.Name == later.Drain.Name || later.Service == "" {
		return
	}
	if later.Start.Before(earlier.End) && earlier.Drain.ReturnAt.Before(later.Drain.EmptyFrom) {
		depth.refuse(key+".empty_from", fmt.Sprintf("service %q has to leave %s from %s on, while drain %q returns until %s",
			later.Service, later.Home, later.Start.UTC().Format(time.RFC3339), earlier.Drain.Name, earlier.End.UTC().Format(time.RFC3339)),
			"move one of the drains, or let them overlap fully")
	}
}

func (depth *depth) warnOnce(key, reason, mend string) {
	for _, finding := range depth.findings {
		if finding.Key == key && finding.Reason == reason {
			return
		}
	}
	depth.warn(key, reason, mend)
}

// drainCapacity compares what drains take together with the headroom. Failure domains count as equal, because
// the folder does not name instances.
func (depth *depth) drainCapacity() {
	domains := float64(len(Homes(depth.configuration)))
	ofAll := depth.takings("")
	own := map[oleandervane.ServiceName]bool{}
	for _, drain := range depth.configuration.Drains {
		own[drain.Service] = true
	}
	for _, name := range slices.Sorted(maps.Keys(depth.configuration.Services)) {
		takings := ofAll
		if own[name] {
			takings = depth.takings(name)
		}
		reported := map[string]bool{}
		for _, taking := range takings {
			depth.judgeCapacity(depth.configuration.Services[name], taking.drains, float64(taking.domains)/domains, reported)
		}
	}
}

// taking is what drains that overlap hold empty at one time.
type taking struct {
	drains  []string
	domains int
}

// takings returns what is empty for a service at the start of each drain that concerns it; the empty name stands
// for all services without a drain of their own.
func (depth *depth) takings(service oleandervane.ServiceName) []taking {
	var concerned []oleandervane.Drain
	for _, drain := range depth.pending() {
		if drain.Target != oleandervane.DrainEntryVMs && (drain.Service == "" || drain.Service == service) {
			concerned = append(concerned, drain)
		}
	}
	var takings []taking
	for _, at := range concerned {
		taken := map[oleandervane.FailureDomain]bool{}
		var names []string
		for _, drain := range concerned {
			if at.EmptyFrom.Before(drain.EmptyFrom) || !at.EmptyFrom.Before(drain.ReturnAt) {
				continue
			}
			names = append(names, drain.Name)
			for _, domain := range drained(depth.configuration, drain) {
				taken[domain] = true
			}
		}
		slices.Sort(names)
		takings = append(takings, taking{names, len(taken)})
	}
	return takings
}

func (depth *depth) judgeCapacity(service oleandervane.Service, active []string, gone float64, reported map[string]bool) {
	together := strings.Join(active, ", ")
	if gone <= service.Headroom+1e-9 || reported[together] {
		return
	}
	reported[together] = true
	key := "drains." + active[len(active)-1]
	if gone >= 1 {
		depth.refuse(key, fmt.Sprintf("drains %s together leave service %q no capacity at all", together, service.Name), "move one of them")
		return
	}
	reason := fmt.Sprintf("drains %s take %s of the capacity of service %q, over its headroom of %s: demand above %s of full capacity is shed",
		together, Percent(gone), service.Name, Percent(service.Headroom), Percent((1-gone)*(1-service.Headroom)))
	if len(active) > 1 {
		depth.refuse(key, reason, "move one of them")
		return
	}
	depth.warn(key, reason, "drain less at a time, or at a quiet hour")
}
