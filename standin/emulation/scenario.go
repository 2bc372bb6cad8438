package emulation

import (
	"maps"
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/entryvm/settingsfile"
)

// Scenario is an installation, its load and what happens to it. It is immutable after LoadScenario.
type Scenario struct {
	Name string `toml:"name"`
	// Length is the time that callers send requests for.
	Length   settingsfile.Duration `toml:"length"`
	Delays   Delays                `toml:"delays"`
	Domains  []Domain              `toml:"failure_domains"`
	Services []Service             `toml:"services"`
	Kinds    []Kind                `toml:"kinds"`
	Wave     Wave                  `toml:"wave"`
	Retries  Retries               `toml:"retries"`
	Goal     Goal                  `toml:"goal"`
	Events   []Event               `toml:"events"`
}

// Delays are one way.
type Delays struct {
	Caller         settingsfile.Duration `toml:"caller"`
	FailureDomains settingsfile.Duration `toml:"failure_domains"`
	Regions        settingsfile.Duration `toml:"regions"`
	// Watch is the longest time until a VM hears of a change in the store.
	Watch settingsfile.Duration `toml:"watch"`
}

// Domain is a failure domain with its entry VMs and callers.
type Domain struct {
	Name    oleandervane.FailureDomain `toml:"name"`
	Region  oleandervane.Region        `toml:"region"`
	VMs     int                        `toml:"vms"`
	Callers int                        `toml:"callers"`
	// Phase shifts the wave of this domain's load, as a part of its period.
	Phase float64 `toml:"phase"`
	// Weight is the domain's part of the load.
	Weight float64 `toml:"weight"`
}

// Service is a service and its backend servers.
type Service struct {
	Name oleandervane.ServiceName `toml:"name"`
	// Servers is the number of backend servers in each failure domain.
	Servers map[oleandervane.FailureDomain]int `toml:"servers"`
	Slots   int                                `toml:"slots"`
	Queue   int                                `toml:"queue"`
	// Remembered is the number of objects that a server is warm for.
	Remembered int `toml:"remembered"`
	// Saved is the part of the work that a server saves on an object that it remembers.
	Saved float64 `toml:"saved"`
	// SlowStart is how long a server is cold; it then takes ColdFactor times as long and tolerates ColdPerSecond.
	SlowStart     settingsfile.Duration `toml:"slow_start"`
	ColdFactor    float64               `toml:"cold_factor"`
	ColdPerSecond float64               `toml:"cold_per_second"`
}

// Kind is a kind of request.
type Kind struct {
	Name      oleandervane.KindName    `toml:"name"`
	Service   oleandervane.ServiceName `toml:"service"`
	Kind      string                   `toml:"kind"`
	PerSecond float64                  `toml:"per_second"`
	// Work is the mean work of a request on a server that does not remember its object, Spread its deviation as a part
	// of it.
	Work      settingsfile.Duration `toml:"work"`
	Spread    float64               `toml:"spread"`
	Objective settingsfile.Duration `toml:"objective"`
	// Patience is how long callers wait, TimeLimit how long the route lets them.
	Patience  settingsfile.Duration `toml:"patience"`
	TimeLimit settingsfile.Duration `toml:"time_limit"`
	Benefit   float64               `toml:"benefit"`
	// LateBenefit is earned by an answer after the objective.
	LateBenefit float64 `toml:"late_benefit"`
	Rank        int     `toml:"rank"`
	// Objects is the number of objects in each region.
	Objects int `toml:"objects"`
	// CallerRetries is how often callers come back.
	CallerRetries int `toml:"caller_retries"`
}

// Wave lets the load swing around its mean.
type Wave struct {
	Swing  float64               `toml:"swing"`
	Period settingsfile.Duration `toml:"period"`
}

// Retries are the retry budget of all VMs together.
type Retries struct {
	Ratio  float64               `toml:"ratio"`
	Base   float64               `toml:"base"`
	Window settingsfile.Duration `toml:"window"`
}

// Goal weighs the parts of the worth of a run.
type Goal struct {
	Whole   float64 `toml:"whole"`
	Domain  float64 `toml:"worst_failure_domain"`
	Windows float64 `toml:"worst_windows"`
	Kind    float64 `toml:"worst_kind"`
	Served  float64 `toml:"served"`
}

// EventKind is what an event does.
type EventKind string

// The kinds of events.
const (
	EventBurst     EventKind = "burst"      // Factor times the load of Domain, or of all
	EventSlow      EventKind = "slow"       // Share of the servers take Factor times as long
	EventFailing   EventKind = "failing"    // Share of the servers fail a part Factor of their requests
	EventCrash     EventKind = "crash"      // Share of the servers are down and come back cold
	EventVMsKilled EventKind = "vms_killed" // Share of the VMs are down
	EventStoreAway EventKind = "store_away" // VMs hear of no change
	EventEvacuate  EventKind = "evacuate"   // Domain is emptied
	EventAbuse     EventKind = "abuse"      // Share of the callers repeat at once, Factor times
)

// Event is something that happens in a run.
type Event struct {
	Kind   EventKind                  `toml:"kind"`
	At     settingsfile.Duration      `toml:"at"`
	For    settingsfile.Duration      `toml:"for"`
	Share  float64                    `toml:"share"`
	Factor float64                    `toml:"factor"`
	Domain oleandervane.FailureDomain `toml:"failure_domain"`
}

// DefaultScenario returns the values that a file leaves out.
func DefaultScenario() Scenario {
	return Scenario{
		Length: settingsfile.Duration(30 * time.Second),
		Delays: Delays{
			Caller: settingsfile.Duration(time.Millisecond), FailureDomains: settingsfile.Duration(time.Millisecond),
			Regions: settingsfile.Duration(12 * time.Millisecond), Watch: settingsfile.Duration(time.Second),
		},
		Wave:    Wave{Period: settingsfile.Duration(36 * time.Second)},
		Retries: Retries{Ratio: 0.2, Window: settingsfile.Duration(10 * time.Second)},
		Goal:    Goal{Whole: 0.35, Domain: 0.3, Windows: 0.14, Kind: 0.07, Served: 0.14},
	}
}

// LoadScenario reads and checks a scenario in a TOML file. All faults of the file are reported at once.
func LoadScenario(path string) (Scenario, error) {
	scenario := DefaultScenario()
	if err := settingsfile.Load(path, &scenario, Scenario.check); err != nil {
		return Scenario{}, err
	}
	return scenario, nil
}

// WithLoad returns a copy whose kinds have factor times the requests.
func (scenario Scenario) WithLoad(factor float64) Scenario {
	scenario.Kinds = slices.Clone(scenario.Kinds)
	for i := range scenario.Kinds {
		scenario.Kinds[i].PerSecond *= factor
	}
	return scenario
}

// WithEvents returns a copy with other events.
func (scenario Scenario) WithEvents(events ...Event) Scenario {
	scenario.Events = events
	return scenario
}

func (scenario Scenario) check(faults *settingsfile.Faults) {
	faults.Check(scenario.Name != "", "name", "is missing")
	faults.Check(scenario.Length > 0, "length", "must be above 0s")
	faults.Check(scenario.Wave.Swing >= 0 && scenario.Wave.Swing <= 1 && scenario.Wave.Period > 0, "wave", "swing must be from 0 to 1 and period above 0s")
	faults.Check(scenario.Retries.Window > 0, "retries.window", "must be above 0s")
	faults.Check(len(scenario.Domains) > 0, "failure_domains", "are missing")
	domains := map[oleandervane.FailureDomain]bool{}
	for _, domain := range scenario.Domains {
		faults.Check(domain.Name != "" && domain.Region != "", "failure_domains", "need a name and a region")
		faults.Check(domain.VMs > 0 && domain.Weight >= 0, "failure_domains."+string(domain.Name), "needs VMs and a weight from 0 on")
		domains[domain.Name] = true
	}
	services := map[oleandervane.ServiceName]bool{}
	for _, service := range scenario.Services {
		services[service.Name] = true
		service.check(domains, faults)
	}
	for _, kind := range scenario.Kinds {
		kind.check(services, faults)
	}
	for _, event := range scenario.Events {
		event.check(domains, faults)
	}
}

func (service Service) check(domains map[oleandervane.FailureDomain]bool, faults *settingsfile.Faults) {
	key := "services." + string(service.Name)
	faults.Check(service.Slots > 0 && service.Queue >= 0 && service.Remembered >= 0, key, "slots must be above 0, queue and remembered from 0 on")
	faults.Check(service.Saved >= 0 && service.Saved < 1, key+".saved", "must be from 0 to 1")
	for domain := range service.Servers {
		faults.Check(domains[domain], key+".servers", "names no failure domain: "+string(domain))
	}
}

var routeKinds = map[string]oleandervane.RouteKind{
	"safe": oleandervane.RouteSafe, "unsafe": oleandervane.RouteUnsafe, "download": oleandervane.RouteDownload,
}

func (kind Kind) check(services map[oleandervane.ServiceName]bool, faults *settingsfile.Faults) {
	key := "kinds." + string(kind.Name)
	_, found := routeKinds[kind.Kind]
	faults.Check(found, key+".kind", "must be one of safe, unsafe, download")
	faults.Check(services[kind.Service], key+".service", "is no service of the scenario")
	faults.Check(kind.PerSecond >= 0 && kind.Work > 0 && kind.Objects > 0, key, "per_second must be from 0 on, work and objects above 0")
	faults.Check(kind.Patience > 0 && kind.TimeLimit > 0 && kind.Objective > 0, key, "patience, time_limit and objective must be above 0s")
}

func (event Event) check(domains map[oleandervane.FailureDomain]bool, faults *settingsfile.Faults) {
	kinds := []EventKind{EventBurst, EventSlow, EventFailing, EventCrash, EventVMsKilled, EventStoreAway, EventEvacuate, EventAbuse}
	faults.Check(slices.Contains(kinds, event.Kind), "events.kind", "is not known: "+string(event.Kind))
	faults.Check(event.For > 0 && event.At >= 0, "events."+string(event.Kind), "for must be above 0s and at from 0s on")
	faults.Check(event.Domain == "" || domains[event.Domain], "events."+string(event.Kind), "names no failure domain: "+string(event.Domain))
}

// table is the route table of the scenario.
func (scenario Scenario) table() *oleandervane.RouteTable {
	table := &oleandervane.RouteTable{Revision: 1, Services: map[oleandervane.ServiceName]oleandervane.RoutedService{}}
	for _, service := range scenario.Services {
		table.Services[service.Name] = oleandervane.RoutedService{
			Name: service.Name, SlowStart: time.Duration(service.SlowStart), ColdPerSecond: service.ColdPerSecond,
		}
	}
	for _, kind := range scenario.Kinds {
		table.Routes = append(table.Routes, oleandervane.Route{
			Name: string(kind.Name), Host: emulatedHost, Prefix: "/" + string(kind.Name) + "/", Kind: routeKinds[kind.Kind],
			Split:       []oleandervane.SplitPart{{Service: kind.Service, Weight: 1}},
			MaxAttempts: maxAttempts, TimeLimit: time.Duration(kind.TimeLimit), Objective: time.Duration(kind.Objective),
			Rank: kind.Rank, Sticky: true,
		})
	}
	return table
}

// sortedDomains returns the failure domains of a service's servers in order.
func (service Service) sortedDomains() []oleandervane.FailureDomain {
	return slices.Sorted(maps.Keys(service.Servers))
}
