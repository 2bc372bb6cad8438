package folder

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oleandervane.example"
)

// draft is a configuration that is being built from keys.
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

// Values of keys that are left out; the settings table has the same values as operators write them.
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

// getOrCreate returns the entity with a key and creates it on first use.
func getOrCreate[Key comparable, Entity any](entities map[Key]*Entity, key Key, initial Entity) *Entity {
	if entities[key] == nil {
		entities[key] = &initial
	}
	return entities[key]
}

func (draft *draft) region(names []string) *oleandervane.RegionSettings {
	return getOrCreate(draft.regions, names[0], oleandervane.RegionSettings{
		Name: oleandervane.Region(names[0]), Sites: map[oleandervane.Site]oleandervane.FailureDomain{},
	})
}

func (draft *draft) service(names []string) *oleandervane.Service {
	return getOrCreate(draft.services, names[0], oleandervane.Service{
		Name: oleandervane.ServiceName(names[0]), ShiftCap: defaultShiftCap, FailoverCap: defaultFailoverCap,
		ShiftWindow: defaultShiftWindow, RequestBytes: defaultRequestBytes,
		Kinds:      map[oleandervane.KindName]oleandervane.Kind{},
		Objectives: map[oleandervane.KindName]oleandervane.Objective{},
	})
}

func (draft *draft) kind(names []string) *oleandervane.Kind {
	draft.service(names)
	return getOrCreate(draft.kinds, [2]string{names[0], names[1]}, oleandervane.Kind{Name: oleandervane.KindName(names[1])})
}

func (draft *draft) objective(names []string) *oleandervane.Objective {
	draft.service(names)
	return getOrCreate(draft.objectives, [2]string{names[0], names[1]}, oleandervane.Objective{Window: defaultObjectiveWindow})
}

func (draft *draft) link(names []string) *oleandervane.Link {
	return getOrCreate(draft.links, [2]string{names[0], names[1]}, oleandervane.Link{
		From: oleandervane.Region(names[0]), To: oleandervane.Region(names[1]),
	})
}

func (draft *draft) drain(names []string) *oleandervane.Drain {
	return getOrCreate(draft.drains, names[0], oleandervane.Drain{Name: names[0]})
}

func (draft *draft) alertRule(names []string) *oleandervane.AlertRule {
	return getOrCreate(draft.alertRules, names[0], oleandervane.AlertRule{Name: names[0]})
}

// entityCreators has, for each node of the schema with an entity, the function that creates the entity.
var entityCreators = map[*node]func(draft *draft, names []string){
	schema.children["regions"].wildcard:                                  func(draft *draft, names []string) { draft.region(names) },
	schema.children["services"].wildcard:                                 func(draft *draft, names []string) { draft.service(names) },
	schema.children["services"].wildcard.children["kinds"].wildcard:      func(draft *draft, names []string) { draft.kind(names) },
	schema.children["services"].wildcard.children["objectives"].wildcard: func(draft *draft, names []string) { draft.objective(names) },
	schema.children["links"].wildcard.wildcard:                           func(draft *draft, names []string) { draft.link(names) },
	schema.children["drains"].wildcard:                                   func(draft *draft, names []string) { draft.drain(names) },
	schema.children["alert_rules"].wildcard:                              func(draft *draft, names []string) { draft.alertRule(names) },
}

// createEntity creates an entity that a file names, even without any key.
func (draft *draft) createEntity(at *node, names []string) {
	entityCreators[at](draft, names)
}

// configuration returns the configuration, with lists ordered by name.
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

func values[Key comparable, Entity any](entities map[Key]*Entity) []Entity {
	var list []Entity
	for entity := range maps.Values(entities) {
		list = append(list, *entity)
	}
	return list
}
