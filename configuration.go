package oleandervane

import (
	"maps"
	"net/netip"
	"time"
)

// Revision is the number of an accepted configuration. It only increases.
type Revision uint64

// ServiceName names a service, such as "ledger".
type ServiceName string

// KindName names a kind of request of a service, such as "filing".
type KindName string

// Kind describes a kind of request. It is immutable.
type Kind struct {
	Name       KindName
	Idempotent bool
	// Weight orders kinds when requests are shed: those of a smaller weight are shed first.
	Weight   int
	Deadline time.Duration
}

// Objective is a service-level objective of one kind of request. It is immutable.
type Objective struct {
	// Availability is the target share of requests answered within Latency, for example 0.999.
	Availability float64
	Latency      time.Duration
	Window       time.Duration
}

// Service describes a service and how it may be steered. It is immutable.
type Service struct {
	Name       ServiceName
	Kinds      map[KindName]Kind
	Objectives map[KindName]Objective
	// Slots and MaxConnections are per instance.
	Slots          int
	MaxConnections int
	// ServiceTime is the expected time that a request occupies a slot; the capacity of an instance in requests
	// per second is Slots / ServiceTime.
	ServiceTime time.Duration
	ProbeCost   time.Duration
	// Headroom is the share of capacity, in [0, 1), that steering leaves free in each region.
	Headroom float64
	// ShiftCap is the largest share of the service's traffic, in (0, 1], that may change its serving
	// region within ShiftWindow.
	ShiftCap float64
	// FailoverCap replaces ShiftCap for traffic of a lost region.
	FailoverCap float64
	ShiftWindow time.Duration
	// RequestBytes is the expected size of a request and its response on a link.
	RequestBytes int64
}

// Link describes the connection of a pair of regions, each way. It is immutable.
type Link struct {
	From           Region
	To             Region
	Delay          time.Duration
	BytesPerSecond int64
}

// DrainTarget is the kind of target that a drain empties.
type DrainTarget string

// The targets of drains.
const (
	DrainBackendGroup  DrainTarget = "backend_group"
	DrainFailureDomain DrainTarget = "failure_domain"
	DrainRegion        DrainTarget = "region"
	DrainEntryVMs      DrainTarget = "entry_vms"
)

// Drain is a planned drain: the target is empty from EmptyFrom until ReturnAt. It is immutable.
type Drain struct {
	Name          string
	Target        DrainTarget
	Service       ServiceName
	Region        Region
	FailureDomain FailureDomain
	EntryVMs      []VMID
	EmptyFrom     time.Time
	ReturnAt      time.Time
}

// RegionSettings describes a region. It is immutable.
type RegionSettings struct {
	Name           Region
	FailureDomains []FailureDomain
	Sites          map[Site]FailureDomain
}

// ClientBlock assigns a block of client addresses to a site.
type ClientBlock struct {
	Prefix netip.Prefix
	Site   Site
}

// AlertRule fires when the burn rate of a service's error budget passes Factor in both windows.
type AlertRule struct {
	Name        string
	LongWindow  time.Duration
	ShortWindow time.Duration
	Factor      float64
}

// Configuration is one accepted revision of the configuration that operators publish. It is immutable: the maps
// and slices must not be changed after construction.
type Configuration struct {
	Revision     Revision
	Regions      map[Region]RegionSettings
	Services     map[ServiceName]Service
	Links        []Link
	Drains       []Drain
	AlertRules   []AlertRule
	ClientBlocks []ClientBlock
	// LookupLifetime is how long callers may cache a look-up response.
	LookupLifetime time.Duration
}

// WithRevision returns a copy with the given revision.
func (configuration Configuration) WithRevision(revision Revision) Configuration {
	configuration.Revision = revision
	return configuration
}

// WithService returns a copy with the given service, which replaces any service of the same name.
func (configuration Configuration) WithService(service Service) Configuration {
	services := maps.Clone(configuration.Services)
	if services == nil {
		services = map[ServiceName]Service{}
	}
	services[service.Name] = service
	configuration.Services = services
	return configuration
}

// WithDrains returns a copy in which the given drains replace all others.
func (configuration Configuration) WithDrains(drains []Drain) Configuration {
	configuration.Drains = drains
	return configuration
}

// Kind returns the named kind of the named service, and whether both exist.
func (configuration Configuration) Kind(serviceName ServiceName, kindName KindName) (Kind, bool) {
	service, found := configuration.Services[serviceName]
	if !found {
		return Kind{}, false
	}
	kind, found := service.Kinds[kindName]
	return kind, found
}

// Delay returns the one-way delay between two regions, zero for a region and itself, and whether a link is known.
func (configuration Configuration) Delay(from, to Region) (time.Duration, bool) {
	if from == to {
		return 0, true
	}
	for _, link := range configuration.Links {
		if link.From == from && link.To == to {
			return link.Delay, true
		}
	}
	return 0, false
}
