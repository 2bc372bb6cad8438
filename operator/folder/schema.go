package folder

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"oleandervane.example/operator/check"
)

// Setting describes one key of the folder, for the settings page and messages to operators.
type Setting struct {
	// Path has names in angle brackets, such as "services.<service>.slots".
	Path     string
	Type     string
	Required bool
	Default  string
	Range    string
	Help     string
	Example  string
}

type setting struct {
	path     string
	kind     valueKind
	required bool
	// fallback is the default value as an operator would write it.
	fallback string
	limits   fmt.Stringer
	help     string
	sample   string
	apply    func(draft *draft, names []string, value any)
}

func (setting *setting) name() string {
	return setting.path[strings.LastIndexByte(setting.path, '.')+1:]
}

func (setting *setting) example() string {
	name := setting.name()
	if strings.HasPrefix(name, "<") {
		name = "kigali-1"
	}
	return name + " = " + setting.sample
}

// node is a node in the tree of keys.
type node struct {
	children map[string]*node
	wildcard *node
	setting  *setting
	// entity is set if the node is a single entity, whose required keys must all be given.
	entity bool
}

var schema = buildSchema()

func buildSchema() *node {
	root := &node{}
	for index := range settings {
		at := root
		for _, part := range strings.Split(settings[index].path, ".") {
			at = at.child(part)
		}
		at.setting = &settings[index]
	}
	root.markEntities()
	return root
}

func (at *node) child(part string) *node {
	if strings.HasPrefix(part, "<") {
		if at.wildcard == nil {
			at.wildcard = &node{}
		}
		return at.wildcard
	}
	if at.children == nil {
		at.children = map[string]*node{}
	}
	if at.children[part] == nil {
		at.children[part] = &node{}
	}
	return at.children[part]
}

// markEntities sets entity on the wildcard nodes that have a setting as a direct child.
func (at *node) markEntities() {
	for _, child := range at.children {
		child.markEntities()
	}
	if at.wildcard == nil {
		return
	}
	at.wildcard.markEntities()
	for _, child := range at.wildcard.children {
		if child.setting != nil {
			at.wildcard.entity = true
		}
	}
}

// required returns the required settings of an entity, ordered by name.
func (at *node) required() []*setting {
	var required []*setting
	for _, name := range slices.Sorted(maps.Keys(at.children)) {
		if setting := at.children[name].setting; setting != nil && setting.required {
			required = append(required, setting)
		}
	}
	return required
}

// suggestion returns the known key that is most similar to an unknown key, or all known keys.
func (at *node) suggestion(part string) string {
	names := slices.Sorted(maps.Keys(at.children))
	best, bestDistance := "", 3
	for _, name := range names {
		if distance := editDistance(part, name); distance < bestDistance {
			best, bestDistance = name, distance
		}
	}
	if best != "" {
		return fmt.Sprintf("%q may be meant", best)
	}
	return "known keys here: " + strings.Join(names, ", ")
}

// editDistance returns the number of letters to insert, remove or replace between two words. It returns 3, which counts as
// too different, if the lengths differ by more than 2 or the first word is longer than 64.
func editDistance(a, b string) int {
	if len(a) > 64 || len(a)-len(b) > 2 || len(b)-len(a) > 2 {
		return 3
	}
	row := make([]int, len(b)+1)
	for index := range row {
		row[index] = index
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

// Settings returns every key of the folder, ordered by path.
func Settings() []Setting {
	var described []Setting
	for index := range settings {
		setting := &settings[index]
		limits := ""
		if setting.limits != nil {
			limits = setting.limits.String()
		}
		described = append(described, Setting{
			Path: setting.path, Type: setting.kind.String(), Required: setting.required, Default: setting.fallback,
			Range: limits, Help: setting.help, Example: setting.example(),
		})
	}
	slices.SortFunc(described, func(a, b Setting) int { return strings.Compare(a.Path, b.Path) })
	return described
}

// rangeText is the range of a setting in words.
type rangeText string

func (rangeText rangeText) String() string { return string(rangeText) }

const existingNames = rangeText("existing names")

var settings = []setting{
	{path: "overrides", kind: kindStrings, sample: `["10-base.toml"]`, help: "earlier files whose keys this file may replace with another value"},
	{
		path: "lookup_lifetime", kind: kindDuration, fallback: "30s", limits: check.LookupLifetimeSpan, sample: `"30s"`,
		help: "how long callers keep a look-up answer", apply: applyLookupLifetime,
	},

	{
		path: "regions.<region>.failure_domains", kind: kindStrings, required: true, sample: `["kigali-a", "kigali-b"]`,
		help: "the region's failure domains; a name is used once", apply: applyFailureDomains,
	},
	{
		path: "regions.<region>.sites.<site>", kind: kindString, limits: existingNames, sample: `"kigali-a"`,
		help: "the failure domain that a site is in", apply: applySite,
	},

	{
		path: "services.<service>.slots", kind: kindInteger, required: true, limits: check.SlotsLimits, sample: "3",
		help: "requests that one instance runs at a time", apply: applySlots,
	},
	{
		path: "services.<service>.max_connections", kind: kindInteger, required: true, limits: check.MaxConnectionsLimits, sample: "650",
		help: "connections to one instance from all entry VMs together", apply: applyMaxConnections,
	},
	{
		path: "services.<service>.service_time", kind: kindDuration, required: true, limits: check.ServiceTimeSpan, sample: `"20ms"`,
		help: "expected time that a request holds a slot; slots / service_time is the capacity of an instance", apply: applyServiceTime,
	},
	{
		path: "services.<service>.probe_cost", kind: kindDuration, fallback: "0s", limits: check.ProbeCostSpan, sample: `"6ms"`,
		help: "slot time of one load probe; probes use at most 1% of the slots", apply: applyProbeCost,
	},
	{
		path: "services.<service>.headroom", kind: kindFloat, required: true, limits: check.HeadroomLimits, sample: "0.3",
		help: "share of each region's capacity that steering leaves free", apply: applyHeadroom,
	},
	{
		path: "services.<service>.shift_cap", kind: kindFloat, fallback: "0.05", limits: check.ShiftCapLimits, sample: "0.05",
		help: "largest share of a flow that may change its serving region within shift_window", apply: applyShiftCap,
	},
	{
		path: "services.<service>.failover_cap", kind: kindFloat, fallback: "0.25", limits: check.ShiftCapLimits, sample: "0.25",
		help: "takes the place of shift_cap for traffic of a region that is lost", apply: applyFailoverCap,
	},
	{
		path: "services.<service>.shift_window", kind: kindDuration, fallback: "10s", limits: check.ShiftWindowSpan, sample: `"10s"`,
		help: "the window in which shift_cap holds", apply: applyShiftWindow,
	},
	{
		path: "services.<service>.request_bytes", kind: kindInteger, fallback: "16384", limits: check.RequestBytesLimits, sample: "16384",
		help: "expected bytes of a request and its answer on a link", apply: applyRequestBytes,
	},

	{
		path: "services.<service>.kinds.<kind>.idempotent", kind: kindBoolean, required: true, sample: "false",
		help: "whether a request may run more than once without harm", apply: applyIdempotent,
	},
	{
		path: "services.<service>.kinds.<kind>.weight", kind: kindInteger, required: true, limits: check.WeightLimits, sample: "100",
		help: "rank when work is shed, larger is kept longer; also the weight in the burn report", apply: applyWeight,
	},
	{
		path: "services.<service>.kinds.<kind>.deadline", kind: kindDuration, required: true, limits: check.DeadlineSpan, sample: `"2s"`,
		help: "time after which a request is given up", apply: applyDeadline,
	},

	{
		path: "services.<service>.objectives.<kind>.availability", kind: kindFloat, required: true, limits: check.AvailabilityLimits, sample: "0.999",
		help: "target share of requests answered within latency", apply: applyAvailability,
	},
	{
		path: "services.<service>.objectives.<kind>.latency", kind: kindDuration, required: true, limits: check.LatencySpan, sample: `"500ms"`,
		help: "time within which an answer counts as good", apply: applyLatency,
	},
	{
		path: "services.<service>.objectives.<kind>.window", kind: kindDuration, fallback: "30d", limits: check.ObjectiveWindowSpan, sample: `"30d"`,
		help: "period that the error budget is for", apply: applyWindow,
	},

	{
		path: "links.<region>.<region>.delay", kind: kindDuration, required: true, limits: check.DelaySpan, sample: `"12ms"`,
		help: "one-way delay from the first region to the second", apply: applyDelay,
	},
	{
		path: "links.<region>.<region>.bytes_per_second", kind: kindInteger, required: true, limits: check.BytesPerSecondLimits, sample: "500000000",
		help: "room of the link from the first region to the second, for all traffic", apply: applyBytesPerSecond,
	},

	{
		path: "drains.<drain>.target", kind: kindString, required: true, sample: `"failure_domain"`,
		limits: rangeText(`"backend_group", "failure_domain", "region" or "entry_vms"`),
		help:   "what the drain empties", apply: applyDrainTarget,
	},
	{
		path: "drains.<drain>.service", kind: kindString, limits: existingNames, sample: `"ledger"`,
		help: "the service of a backend_group", apply: applyDrainService,
	},
	{
		path: "drains.<drain>.region", kind: kindString, limits: existingNames, sample: `"huye"`,
		help: "the region of a region drain", apply: applyDrainRegion,
	},
	{
		path: "drains.<drain>.failure_domain", kind: kindString, limits: existingNames, sample: `"huye-a"`,
		help: "the failure domain of a backend_group or failure_domain drain", apply: applyDrainFailureDomain,
	},
	{
		path: "drains.<drain>.entry_vms", kind: kindStrings, sample: `["entry-1"]`,
		help: "the ids of the entry VMs of an entry_vms drain", apply: applyDrainEntryVMs,
	},
	{
		path: "drains.<drain>.empty_from", kind: kindTime, required: true, sample: "2027-01-10T01:00:00Z",
		help: "time from which the target is empty; the move starts earlier, as the cap needs", apply: applyEmptyFrom,
	},
	{
		path: "drains.<drain>.return_at", kind: kindTime, required: true, sample: "2027-01-10T03:00:00Z",
		help: "time from which traffic returns, as gently", apply: applyReturnAt,
	},

	{
		path: "alert_rules.<rule>.long_window", kind: kindDuration, required: true, limits: check.AlertWindowSpan, sample: `"1h"`,
		help: "window over which the burn rate must pass factor", apply: applyLongWindow,
	},
	{
		path: "alert_rules.<rule>.short_window", kind: kindDuration, required: true, limits: check.AlertWindowSpan, sample: `"5m"`,
		help: "shorter window that must pass factor as well, so that the alert ends soon after the cause", apply: applyShortWindow,
	},
	{
		path: "alert_rules.<rule>.factor", kind: kindFloat, required: true, limits: check.FactorLimits, sample: "14.4",
		help: "burn rate above which the rule fires; 1 uses up the budget exactly at the end of the objective's window", apply: applyFactor,
	},

	{
		path: "client_blocks.<site>", kind: kindBlocks, sample: `["41.186.0.0/16", "2c0f:eb68::/32"]`,
		help: "blocks of caller addresses that belong to the site; each block counts as a key of its own, the longest match wins",
	},
}
