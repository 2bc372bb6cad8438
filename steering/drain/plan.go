package drain

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"oleandervane.example"
	"oleandervane.example/steering/share"
)

const (
	// capUse is the share of the shift cap that a plan uses. Receiving regions allow the next part of the cap when
	// the window of the previous one has passed and they have received the region summary that shows it, which takes
	// 13 to 14 s for a window of 10 s; the rest is margin for other changes during the drain.
	capUse = 0.65
	// Margin is the time between the end of the planned shift and EmptyFrom. It covers measurements and grants that
	// arrive late (20 s and 2 s) and requests in flight.
	Margin = 30 * time.Second
	// reportTime is how long after EmptyFrom the drain state of a part of a region applies. After that, the region's
	// own measurements show that the drained instances are gone.
	reportTime = 15 * time.Second
)

// Plan is an accepted drain. It is immutable.
type Plan struct {
	Drain oleandervane.Drain
	// Parts is the share of the region's capacity that is drained, by service.
	Parts map[oleandervane.ServiceName]float64
	// Start is when traffic begins to leave; ReturnEnd is when all of it may be back.
	Start     time.Time
	ReturnEnd time.Time
}

// Plans are accepted drains, ordered by start.
type Plans []Plan

// DrainState returns the state of the plans in a region for a service.
func (plans Plans) DrainState(now time.Time, region oleandervane.Region, serviceName oleandervane.ServiceName) share.DrainState {
	part, emptied := 0.0, 0.0
	for _, plan := range plans {
		if plan.Drain.Region != region {
			continue
		}
		drained := plan.Parts[serviceName]
		part += drained
		emptied += drained * plan.progress(now, drained)
	}
	if part == 0 {
		return share.DrainState{}
	}
	return share.DrainState{Part: min(1, part), Progress: emptied / part}
}

// progress returns the share of the target that is drained at the given time, in [0, 1].
func (plan Plan) progress(now time.Time, part float64) float64 {
	drain := plan.Drain
	switch {
	case now.Before(plan.Start) || !now.Before(plan.ReturnEnd):
		return 0
	case now.Before(drain.EmptyFrom):
		return fraction(now.Sub(plan.Start), drain.EmptyFrom.Add(-Margin).Sub(plan.Start))
	case now.Before(drain.ReturnAt):
		if part < 1 && now.Sub(drain.EmptyFrom) > reportTime {
			return 0
		}
		return 1
	}
	return 1 - fraction(now.Sub(drain.ReturnAt), plan.ReturnEnd.Sub(drain.ReturnAt))
}

func fraction(passed, total time.Duration) float64 {
	if total <= 0 {
		return 1
	}
	return min(1, float64(passed)/float64(total))
}

// duration returns the time that it takes to shift the parts of all services within their caps.
func duration(configuration *oleandervane.Configuration, parts map[oleandervane.ServiceName]float64) time.Duration {
	longest := time.Duration(0)
	for name, part := range parts {
		service := configuration.Services[name]
		if service.ShiftCap <= 0 {
			return math.MaxInt64 / 4
		}
		windows := part / (service.ShiftCap * capUse)
		longest = max(longest, time.Duration(windows*float64(service.ShiftWindow)))
	}
	return longest.Round(time.Second)
}

// String returns the plan as text for operators.
func (plan Plan) String() string {
	var text strings.Builder
	drain := plan.Drain
	fmt.Fprintf(&text, "drain %s (%s in %s): traffic leaves from %s, empty from %s, returns from %s to %s",
		drain.Name, drain.Target, drain.Region, formatTime(plan.Start), formatTime(drain.EmptyFrom), formatTime(drain.ReturnAt), formatTime(plan.ReturnEnd))
	for _, name := range sortedNames(plan.Parts) {
		fmt.Fprintf(&text, "; %s loses %.0f%% of the region's capacity", name, 100*plan.Parts[name])
	}
	return text.String()
}

func formatTime(moment time.Time) string {
	return moment.UTC().Format(time.RFC3339)
}

func sortedNames(parts map[oleandervane.ServiceName]float64) []oleandervane.ServiceName {
	names := make([]oleandervane.ServiceName, 0, len(parts))
	for name := range parts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func sortPlans(plans Plans) {
	slices.SortStableFunc(plans, func(a, b Plan) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Drain.Name, b.Drain.Name))
	})
}
