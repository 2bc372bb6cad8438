package emulation

import (
	"maps"
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/entryvm/settingsfile"
)

// Scenario is an installation, its load and the events of a run. It is immutable after LoadScenario.
type Scenario struct {
	Name string `toml:"name"`
	// Length is the time during which callers send requests.
	Length   settingsfile.Duration `toml:"length"`
	Delays   Delays                `toml:"delays"`
	Domains  []Domain              `toml:"failure_domains"`
	Services []Service             `toml:"services"`
	Kinds    []Kind                `toml:"kinds"`
	Wave     Wave                  `toml:"wave"`
	Retries  Retries               `toml:"retries"`
	Goal     ScoreWeights          `toml:"goal"`
	Events   []Event               `toml:"events"`
}

// Delays are one-way network delays and the delay of store updates.
type Delays struct {
	Caller         settingsfile.Duration `toml:"caller"`
	FailureDomains settingsfile.Duration `toml:"failure_domains"`
	Regions        settingsfile.Duration `toml:"regions"`
	// Watch is the longest time until a VM applies a change of the store.
	Watch settingsfile.Duration `toml:"watch"`
}

// Domain is a failure domain with its entry VMs and callers.
type Domain struct {
	Name    oleandervane.FailureDomain `toml:"name"`
	Region  oleandervane.Region        `toml:"region"`
	VMs     int                        `toml:"vms"`
	Callers int                        `toml:"callers"`
	// Phase shifts the load wave of this domain, as a fraction of the wave's period.
	Phase float64 `toml:"phase"`
	// Weight is the weight of the domain in the split of the load.
	Weight float64 `toml:"weight"`
}

// Service is a service and its backend servers.
type Service struct {
	Name oleandervane.ServiceName `toml:"name"`
	// Servers is the number of backend servers in each failure domain.
	Servers map[oleandervane.FailureDomain]int `toml:"servers"`
	Slots   int                                `toml:"slots"`
	Queue   int                                `toml:"queue"`
	// CachedObjects is the number of objects that a server has in its cache.
	CachedObjects int `toml:"remembered"`
	// CacheSaving is the fraction of the run time that a server saves on an object in its cache.
	CacheSaving float64 `toml:"saved"`
	// SlowStart is the time for which a server is cold after a start. Requests then take ColdFactor times as long, and
	// the server tolerates ColdPerSecond requests per second.
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
	// RunTime is the mean run time of a request at a server without the object in its cache, and Spread its standard
	// deviation as a fraction of the mean.
	RunTime   settingsfile.Duration `toml:"work"`
	Spread    float64               `toml:"spread"`
	Objective settingsfile.Duration `toml:"objective"`
	// Timeout is that of the callers, TimeLimit that of the route.
	Timeout   settingsfile.Duration `toml:"patience"`
	TimeLimit settingsfile.Duration `toml:"time_limit"`
	Benefit   float64               `toml:"benefit"`
	// LateBenefit is the benefit of a response later than the objective.
	LateBenefit float64 `toml:"late_benefit"`
	Rank        int     `toml:"rank"`
	// Objects is the number of objects in each region.
	Objects int `toml:"objects"`
	// CallerRetries is the number of retries of a caller.
	CallerRetries int `toml:"caller_retries"`
}

// Wave makes the load oscillate around its mean. Swing is the amplitude as a fraction of the mean.
type Wave struct {
	Swing  float64               `toml:"swing"`
	Period settingsfile.Duration `toml:"period"`
}

// Retries is the total retry budget of all VMs.
type Retries struct {
	Ratio  float64               `toml:"ratio"`
	Base   float64               `toml:"base"`
	Window settingsfile.Duration `toml:"window"`
}

// ScoreWeights are the weights of the parts of the score of a run.
type ScoreWeights struct {
	Whole   float64 `toml:"whole"`
	Domain  float64 `toml:"worst_failure_domain"`
	Windows float64 `toml:"worst_windows"`
	Kind    float64 `toml:"worst_kind"`
	Served  float64 `toml:"served"`
}

// EventKind is the kind of an event.
type EventKind string

// The kinds of events.
const (
	EventBurst            EventKind = "burst"      // the load of Domain, or of all domains, is multiplied by Factor
	EventSlow             EventKind = "slow"       // a Share of the servers takes Factor times as long
	EventFailing          EventKind = "failing"    // a Share of the servers fails the fraction Factor of its requests
	EventCrash            EventKind = "crash"      // a Share of the servers is down and restarts cold
	EventVMsKilled        EventKind = "vms_killed" // a Share of the VMs is down
	EventStoreUnavailable EventKind = "store_away" // VMs get no changes from the store
	EventEvacuate         EventKind = "evacuate"   // Domain is evacuated
	EventAbuse            EventKind = "abuse"      // a Share of the requests is retried after minRetryDelay, up to 1+Factor times
	EventLimited          EventKind = "limited"    // a Share of the servers states a limit of Factor requests a second and sheds what exceeds it
	EventLeaving          EventKind = "leaving"    // a Share of the servers says that it leaves, and is down from leavingTime on
	EventRefusing         EventKind = "refusing"   // a Share of the servers refuses all requests and says until when
)

// Event is a fault or another change in a run, from At on for the time For.
type Event struct {
	Kind   EventKind                  `toml:"kind"`
	At     settingsfile.Duration      `toml:"at"`
	For    settingsfile.Duration      `toml:"for"`
	Share  float64                    `toml:"share"`
	Factor float64                    `toml:"factor"`
	Domain oleandervane.FailureDomain `toml:"failure_domain"`
}

// DefaultScenario returns a scenario with the defaults of the values that a file may omit.
func DefaultScenario() Scenario {
	return Scenario{
		Length: settingsfile.Duration(30 * time.Second),
		Delays: Delays{
			Caller: settingsfile.Duration(time.Millisecond), FailureDomains: settingsfile.Duration(time.Millisecond),
			Regions: settingsfile.Duration(12 * time.Millisecond), Watch: settingsfile.Duration(time.Second),
		},
		Wave:    Wave{Period: settingsfile.Duration(36 * time.Second)},
		Retries: Retries{Ratio: 0.2, Window: settingsfile.Duration(10 * time.Second)},
		Goal:    ScoreWeights{Whole: 0.35, Domain: 0.3, Windows: 0.14, Kind: 0.07, Served: 0.14},
	}
}

// LoadScenario reads a scenario from a TOML file and validates it. The error lists all faults of the file.
func LoadScenario(path string) (Scenario, error) {
	scenario := DefaultScenario()
	if err := settingsfile.Load(path, &scenario, Scenario.check); err != nil {
		return Scenario{}, err
	}
	return scenario, nil
}

// WithLoad returns a copy with the request rate of each kind multiplied by factor.
func (scenario Scenario) WithLoad(factor float64) Scenario {
	scenario.Kinds = slices.Clone(scenario.Kinds)
	for i := range scenario.Kinds {
		scenario.Kinds[i].PerSecond *= factor
	}
	return scenario
}

// WithEvents returns a copy with its events replaced.
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
	faults.Check(service.Slots > 0 && service.Queue >= 0 && service.CachedObjects >= 0, key, "slots must be above 0, queue and remembered from 0 on")
	faults.Check(service.CacheSaving >= 0 && service.CacheSaving < 1, key+".saved", "must be from 0 to 1")
	for domain := range service.Servers {
		faults.Check(domains[domain], key+".servers", "unknown failure domain: "+string(domain))
	}
}

var routeKinds = map[string]oleandervane.RouteKind{
	"safe": oleandervane.RouteSafe, "unsafe": oleandervane.RouteUnsafe, "download": oleandervane.RouteDownload,
}

func (kind Kind) check(services map[oleandervane.ServiceName]bool, faults *settingsfile.Faults) {
	key := "kinds." + string(kind.Name)
	_, found := routeKinds[kind.Kind]
	faults.Check(found, key+".kind", "must be one of safe, unsafe, download")
	faults.Check(services[kind.Service], key+".service", "is not a service of the scenario")
	faults.Check(kind.PerSecond >= 0 && kind.RunTime > 0 && kind.Objects > 0, key, "per_second must be from 0 on, work and objects above 0")
	faults.Check(kind.Timeout > 0 && kind.TimeLimit > 0 && kind.Objective > 0, key, "patience, time_limit and objective must be above 0s")
}

func (event Event) check(domains map[oleandervane.FailureDomain]bool, faults *settingsfile.Faults) {
	kinds := []EventKind{EventBurst, EventSlow, EventFailing, EventCrash, EventVMsKilled, EventStoreUnavailable, EventEvacuate, EventAbuse, EventLimited, EventLeaving, EventRefusing}
	faults.Check(slices.Contains(kinds, event.Kind), "events.kind", "unknown kind of event: "+string(event.Kind))
	faults.Check(event.For > 0 && event.At >= 0, "events."+string(event.Kind), "for must be above 0s and at from 0s on")
	faults.Check(event.Domain == "" || domains[event.Domain], "events."+string(event.Kind), "unknown failure domain: "+string(event.Domain))
}

// table returns the route table of the scenario.
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

// sortedDomains returns the failure domains of a service's servers in ascending order.
func (service Service) sortedDomains() []oleandervane.FailureDomain {
	return slices.Sorted(maps.Keys(service.Servers))
}
