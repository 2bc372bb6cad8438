package burn

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"oleandervane.example"
	"oleandervane.example/operator/check"
)

// Rate is the burn rate in both windows of one alert rule. It is immutable.
type Rate struct {
	Rule   string  `json:"rule"`
	Factor float64 `json:"factor"`
	Long   float64 `json:"long"`
	Short  float64 `json:"short"`
	Firing bool    `json:"firing"`
}

// Point is the burn rate of one minute.
type Point struct {
	At   time.Time `json:"at"`
	Rate float64   `json:"rate"`
}

// KindReport is the burn rates and the error budget of one kind. It is immutable.
type KindReport struct {
	Service      oleandervane.ServiceName `json:"service"`
	Kind         oleandervane.KindName    `json:"kind"`
	Weight       int                      `json:"weight"`
	Availability float64                  `json:"availability"`
	Window       string                   `json:"window"`
	Counts       Counts                   `json:"counts"`
	// BudgetLeft is the part of the error budget of the requests counted in the window that is left; it is negative when
	// overspent. Requests that are missing from the responses may change it.
	BudgetLeft float64 `json:"budget_left"`
	Rates      []Rate  `json:"rates"`
	Minutes    []Point `json:"minutes"`
	// CoincidingEvents are the events shortly before BurnsSince, the last time at which the burn rate rose above 1.
	BurnsSince       time.Time `json:"burns_since,omitzero"`
	CoincidingEvents []Event   `json:"coincides,omitempty"`
}

// ServiceReport is the error budget of a service, with its kinds weighted. It is immutable.
type ServiceReport struct {
	Service    oleandervane.ServiceName `json:"service"`
	BudgetLeft float64                  `json:"budget_left"`
	Kinds      []KindReport             `json:"kinds"`
}

// Report has the burn rates and error budgets of all services. It is immutable.
type Report struct {
	At       time.Time             `json:"at"`
	Revision oleandervane.Revision `json:"revision"`
	EntryVMs int                   `json:"entry_vms"`
	Services []ServiceReport       `json:"services"`
	// Omissions lists requests that the counts leave out, and why.
	Omissions []string `json:"unseen"`
}

// Input has the data for a report.
type Input struct {
	Now           time.Time
	Configuration oleandervane.Configuration
	Responses     []Response
	// Unreachable are the entry VMs that did not respond.
	Unreachable []string
	// Events are events that are not in the responses, such as accepted revisions.
	Events []Event
}

// eventLookback is how long before the start of a high burn rate an event may have caused it: revisions come into force
// within seconds, and shares move for some minutes at the cap.
const eventLookback = 5 * time.Minute

// NewReport returns the report for the given input.
func NewReport(input Input) Report {
	report := Report{At: input.Now.UTC(), Revision: input.Configuration.Revision, EntryVMs: len(input.Responses), Services: []ServiceReport{}}
	collection := &Collection{}
	events := slices.Clone(input.Events)
	for _, response := range input.Responses {
		collection.Add(response.Buckets)
		for _, event := range response.Events {
			events = append(events, Event{event.At, fmt.Sprintf("%s: %s", response.VM, event.Text)})
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	for _, name := range slices.Sorted(maps.Keys(input.Configuration.Services)) {
		service := input.Configuration.Services[name]
		serviceReport := ServiceReport{Service: name, Kinds: []KindReport{}}
		for _, kindName := range slices.Sorted(maps.Keys(service.Objectives)) {
			kind := kindReport(service, kindName, input, collection)
			kind.findCoincidingEvents(events)
			serviceReport.Kinds = append(serviceReport.Kinds, kind)
		}
		serviceReport.BudgetLeft = weightedBudgetLeft(serviceReport.Kinds)
		report.Services = append(report.Services, serviceReport)
	}
	report.Omissions = omissions(input)
	return report
}

// rate returns the burn rate of counts: a rate of 1 uses up the budget exactly at the end of the objective's window.
func rate(counts Counts, availability float64) float64 {
	if counts.Total() == 0 {
		return 0
	}
	return float64(counts.Bad()) / float64(counts.Total()) / (1 - availability)
}

func kindReport(service oleandervane.Service, name oleandervane.KindName, input Input, collection *Collection) KindReport {
	objective := service.Objectives[name]
	counts := collection.Window(service.Name, name, input.Now, objective.Window)
	kind := KindReport{
		Service: service.Name, Kind: name, Weight: service.Kinds[name].Weight, Availability: objective.Availability,
		Window: check.Duration(objective.Window), Counts: counts, BudgetLeft: 1 - rate(counts, objective.Availability),
		Rates: []Rate{}, Minutes: []Point{},
	}
	for _, rule := range input.Configuration.AlertRules {
		long := rate(collection.Window(service.Name, name, input.Now, rule.LongWindow), objective.Availability)
		short := rate(collection.Window(service.Name, name, input.Now, rule.ShortWindow), objective.Availability)
		kind.Rates = append(kind.Rates, Rate{rule.Name, rule.Factor, long, short, long > rule.Factor && short > rule.Factor})
	}
	minutes := collection.minutes(service.Name, name)
	for _, start := range slices.Sorted(maps.Keys(minutes)) {
		kind.Minutes = append(kind.Minutes, Point{time.Unix(start, 0).UTC(), rate(minutes[start], objective.Availability)})
	}
	return kind
}

// findCoincidingEvents finds the start of the last run of minutes with a burn rate above 1, and the events shortly
// before it.
func (kind *KindReport) findCoincidingEvents(events []Event) {
	for index, point := range kind.Minutes {
		if point.Rate > 1 && (index == 0 || kind.Minutes[index-1].Rate <= 1) {
			kind.BurnsSince = point.At
		}
	}
	if kind.BurnsSince.IsZero() {
		return
	}
	for _, event := range events {
		if event.At.After(kind.BurnsSince.Add(-eventLookback)) && event.At.Before(kind.BurnsSince.Add(minuteWidth)) {
			kind.CoincidingEvents = append(kind.CoincidingEvents, event)
		}
	}
}

// weightedBudgetLeft returns the error budget left of several kinds, with each request weighted by its kind.
func weightedBudgetLeft(kinds []KindReport) float64 {
	used, all := 0.0, 0.0
	for _, kind := range kinds {
		requests := float64(kind.Weight) * float64(kind.Counts.Total())
		used += requests * rate(kind.Counts, kind.Availability)
		all += requests
	}
	if all == 0 {
		return 1
	}
	return 1 - used/all
}

func omissions(input Input) []string {
	list := []string{}
	for _, unreachable := range input.Unreachable {
		list = append(list, "no answer from "+unreachable+": its requests are missing")
	}
	longest := time.Duration(0)
	for _, name := range slices.Sorted(maps.Keys(input.Configuration.Services)) {
		service := input.Configuration.Services[name]
		for _, kind := range slices.Sorted(maps.Keys(service.Kinds)) {
			if _, found := service.Objectives[kind]; !found {
				list = append(list, fmt.Sprintf("%s %s has no objective and is not counted", name, kind))
			}
			longest = max(longest, service.Objectives[kind].Window)
		}
	}
	for _, response := range input.Responses {
		if countedFor := input.Now.Sub(response.Since); countedFor < longest {
			list = append(list, fmt.Sprintf("%s has counted for %s only: what earlier incarnations counted is lost unless others hold it, and the longest window is %s",
				response.VM, check.Duration(countedFor.Truncate(time.Minute)), check.Duration(longest)))
		}
		if response.Uncounted > 0 {
			list = append(list, fmt.Sprintf("%s had %d requests without a counter", response.VM, response.Uncounted))
		}
	}
	return list
}

// Firing returns the names of the kinds and alert rules that fire.
func (report Report) Firing() []string {
	var firing []string
	for _, service := range report.Services {
		for _, kind := range service.Kinds {
			for _, rate := range kind.Rates {
				if rate.Firing {
					firing = append(firing, fmt.Sprintf("%s %s: %s", kind.Service, kind.Kind, rate.Rule))
				}
			}
		}
	}
	return firing
}

// String returns the report as text for an operator.
func (report Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "service-level burn at %s, revision %d, from %d entry VMs\n", report.At.Format(time.RFC3339), report.Revision, report.EntryVMs)
	for _, service := range report.Services {
		fmt.Fprintf(&text, "%s: %s of the error budget of these requests left, weighted\n", service.Service, signedPercent(service.BudgetLeft))
		for _, kind := range service.Kinds {
			fmt.Fprintf(&text, "  %s (weight %d, objective %s in %s): %d requests, %d bad (%d late, %d not run, %d unknown), %s of their budget left\n",
				kind.Kind, kind.Weight, objectiveText(kind.Availability), kind.Window, kind.Counts.Total(), kind.Counts.Bad(),
				kind.Counts.Late, kind.Counts.NotRun, kind.Counts.Unknown, signedPercent(kind.BudgetLeft))
			for _, rate := range kind.Rates {
				state := "quiet"
				if rate.Firing {
					state = "FIRING"
				}
				fmt.Fprintf(&text, "    %s: burn rate %.3g long, %.3g short, factor %.3g: %s\n", rate.Rule, rate.Long, rate.Short, rate.Factor, state)
			}
			for _, event := range kind.CoincidingEvents {
				fmt.Fprintf(&text, "    burns since %s; shortly before, at %s: %s\n", kind.BurnsSince.Format(time.RFC3339), event.At.UTC().Format(time.RFC3339), event.Text)
			}
		}
	}
	for _, omission := range report.Omissions {
		text.WriteString("not seen: " + omission + "\n")
	}
	return text.String()
}

func signedPercent(share float64) string {
	if share < 0 {
		return "-" + check.Percent(-share)
	}
	return check.Percent(share)
}

func objectiveText(availability float64) string {
	return fmt.Sprintf("%.6g%%", availability*100)
}
