package folder

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oleandervane.example"
)

// draft is a configuration in the making.
type draft struct {
	lookupLifetime time.Duration
	regions        map[string]*oleandervane.RegionSettings
	services       map[string]*oleandervane.Service
	kinds          map[[2]string]*oleandervane.Kind
	objectives     map[[2]string]*oleandervane.Objective
	links          map[[2]string]*oleandervane.Link
	drains         map[string]*oleandervane.Drain
	alertRules     map[string]*oleandervane.AlertRule
}

// The values of keys that are left out; the settings table has them as operators write them.
const (
	defaultLookupLifetime  = 30 * time.Second
	defaultShiftCap        = 0.05
	defaultFailoverCap     = 0.25
	defaultShiftWindow     = 10 * time.Second
	defaultRequestBytes    = 16384
	defaultObjectiveWindow = 30 * 24 * time.Hour
)

func newDraft() *draft {
	return &draft{
		lookupLifetime: defaultLookupLifetime,
		regions:        map[string]*oleandervane.RegionSettings{},
		services:       map[string]*oleandervane.Service{},
		kinds:          map[[2]string]*oleandervane.Kind{},
		objectives:     map[[2]string]*oleandervane.Objective{},
		links:          map[[2]string]*oleandervane.Link{},
		drains:         map[string]*oleandervane.Drain{},
		alertRules:     map[string]*oleandervane.AlertRule{},
	}
}

// of returns the thing of a key and makes it on first use.
func of[Key comparable, Thing any](things map[Key]*Thing, key Key, first Thing) *Thing {
	if things[key] == nil {
		things[key] = &first
	}
	return things[key]
}

func (draft *draft) region(names []string) *oleandervane.RegionSettings {
	return of(draft.regions, names[0], oleandervane.RegionSettings{
		Name: oleandervane.Region(names[0]), Sites: map[oleandervane.Site]oleandervane.FailureDomain{},
	})
}

func (draft *draft) service(names []string) *oleandervane.Service {
	return of(draft.services, names[0], oleandervane.Service{
		Name: oleandervane.ServiceName(names[0]), ShiftCap: defaultShiftCap, FailoverCap: defaultFailoverCap,
		ShiftWindow: defaultShiftWindow, RequestBytes: defaultRequestBytes,
		Kinds:      map[oleandervane.KindName]oleandervane.Kind{},
		Objectives: map[oleandervane.KindName]oleandervane.Objective{},
	})
}

func (draft *draft) kind(names []string) *oleandervane.Kind {
	draft.service(names)
	return of(draft.kinds, [2]string{names[0], names[1]}, oleandervane.Kind{Name: oleandervane.KindName(names[1])})
}

func (draft *draft) objective(names []string) *oleandervane.Objective {
	draft.service(names)
	return of(draft.objectives, [2]string{names[0], names[1]}, oleandervane.Objective{Window: defaultObjectiveWindow})
}

func (draft *draft) link(names []string) *oleandervane.Link {
	return of(draft.links, [2]string{names[0], names[1]}, oleandervane.Link{
		From: oleandervane.Region(names[0]), To: oleandervane.Region(names[1]),
	})
}

func (draft *draft) drain(names []string) *oleandervane.Drain {
	return of(draft.drains, names[0], oleandervane.Drain{Name: names[0]})
}

func (draft *draft) alertRule(names []string) *oleandervane.AlertRule {
	return of(draft.alertRules, names[0], oleandervane.AlertRule{Name: names[0]})
}

// touches makes the named thing at each node of the schema.
var touches = map[*node]func(draft *draft, names []string){
	schema.children["regions"].named:                               func(draft *draft, names []string) { draft.region(names) },
	schema.children["services"].named:                              func(draft *draft, names []string) { draft.service(names) },
	schema.children["services"].named.children["kinds"].named:      func(draft *draft, names []string) { draft.kind(names) },
	schema.children["services"].named.children["objectives"].named: func(draft *draft, names []string) { draft.objective(names) },
	schema.children["links"].named.named:                           func(draft *draft, names []string) { draft.link(names) },
	schema.children["drains"].named:                                func(draft *draft, names []string) { draft.drain(names) },
	schema.children["alert_rules"].named:                           func(draft *draft, names []string) { draft.alertRule(names) },
}

// touch makes a named thing that a file mentions, even without a key of its own.
func (draft *draft) touch(at *node, names []string) {
	touches[at](draft, names)
}

// configuration returns the result, with lists ordered by name.
func (draft *draft) configuration() oleandervane.Configuration {
	configuration := oleandervane.Configuration{
		Regions:        map[oleandervane.Region]oleandervane.RegionSettings{},
		Services:       map[oleandervane.ServiceName]oleandervane.Service{},
		Links:          values(draft.links),
		Drains:         values(draft.drains),
		AlertRules:     values(draft.alertRules),
		LookupLifetime: draft.lookupLifetime,
	}
	for key, kind := range draft.kinds {
		draft.services[key[0]].Kinds[kind.Name] = *kind
	}
	for key, objective := range draft.objectives {
		draft.services[key[0]].Objectives[oleandervane.KindName(key[1])] = *objective
	}
	for _, region := range draft.regions {
		configuration.Regions[region.Name] = *region
	}
	for _, service := range draft.services {
		configuration.Services[service.Name] = *service
	}
	slices.SortFunc(configuration.Links, func(a, b oleandervane.Link) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	slices.SortFunc(configuration.Drains, func(a, b oleandervane.Drain) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(configuration.AlertRules, func(a, b oleandervane.AlertRule) int { return cmp.Compare(a.Name, b.Name) })
	return configuration
}

func values[Key comparable, Thing any](things map[Key]*Thing) []Thing {
	var list []Thing
	for thing := range maps.Values(things) {
		list = append(list, *thing)
	}
	return list
}
