package comparison

import (
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

// ErrUnknownDeployment is returned for the name of a deployment that this package does not define.
var ErrUnknownDeployment = eris.New("unknown deployment")

// Deployment is a configuration with the instance counts, request mix and delays that a simulation needs. It is
// immutable.
type Deployment struct {
	Configuration *oleandervane.Configuration
	Regions       []oleandervane.Region
	Services      []oleandervane.ServiceName
	// Instances has the number of instances of a service in each region, in the order of Regions.
	Instances map[oleandervane.ServiceName][]int
	// Mix has each kind's share of a service's requests.
	Mix         map[oleandervane.ServiceName]map[oleandervane.KindName]float64
	ClientDelay time.Duration
	EntryVMs    int
}

// linkBytesPerSecond is 4 Gbit/s.
const linkBytesPerSecond = 500_000_000

// serviceProfile has the parameters of one service of a deployment.
type serviceProfile struct {
	name        oleandervane.ServiceName
	slots       int
	serviceTime time.Duration
	headroom    float64
	bytes       int64
	kinds       []kindProfile
	instances   []int
}

type kindProfile struct {
	name       oleandervane.KindName
	weight     int
	idempotent bool
	mixShare   float64
	deadline   time.Duration
}

// NewDeployment returns the deployment with the given name: "association" or "jubilar" (docs/design.md section 1.4).
// It fails with ErrUnknownDeployment, wrapped.
func NewDeployment(name string) (Deployment, error) {
	switch name {
	case "association":
		return newDeployment([]oleandervane.Region{"huye", "kigali", "musanze"}, 12*time.Millisecond, time.Millisecond, []serviceProfile{
			{
				name: "ledger", slots: 3, serviceTime: 40 * time.Millisecond, headroom: 0.2, bytes: 8 << 10,
				kinds: []kindProfile{
					{name: "lookup", weight: 5, idempotent: true, mixShare: 0.7, deadline: 2 * time.Second},
					{name: "filing", weight: 9, mixShare: 0.3, deadline: 5 * time.Second},
				},
				instances: []int{5, 6, 5},
			},
			{
				name: "reports", slots: 3, serviceTime: 300 * time.Millisecond, headroom: 0.2, bytes: 2 << 20,
				kinds:     []kindProfile{{name: "download", weight: 2, idempotent: true, mixShare: 1, deadline: 10 * time.Second}},
				instances: []int{4, 4, 4},
			},
		}), nil
	case "jubilar":
		return newDeployment([]oleandervane.Region{"centro", "norte", "occidente"}, 35*time.Millisecond, 8*time.Millisecond, []serviceProfile{
			{
				name: "pronostico", slots: 9, serviceTime: 60 * time.Millisecond, headroom: 0.1, bytes: 16 << 10,
				kinds: []kindProfile{
					{name: "lookup", weight: 5, idempotent: true, mixShare: 0.8, deadline: 2 * time.Second},
					{name: "correction", weight: 9, mixShare: 0.2, deadline: 5 * time.Second},
				},
				instances: []int{6, 6, 6},
			},
			{
				name: "archivo", slots: 9, serviceTime: 500 * time.Millisecond, headroom: 0.1, bytes: 1 << 20,
				kinds:     []kindProfile{{name: "projection", weight: 2, idempotent: true, mixShare: 1, deadline: 20 * time.Second}},
				instances: []int{4, 4, 4},
			},
		}), nil
	}
	return Deployment{}, eris.Wrapf(ErrUnknownDeployment, "looking up deployment %q", name)
}

func newDeployment(regions []oleandervane.Region, delay, clientDelay time.Duration, services []serviceProfile) Deployment {
	deployment := Deployment{
		Configuration: &oleandervane.Configuration{
			Regions:        map[oleandervane.Region]oleandervane.RegionSettings{},
			Services:       map[oleandervane.ServiceName]oleandervane.Service{},
			LookupLifetime: 10 * time.Second,
		},
		Regions:     regions,
		Instances:   map[oleandervane.ServiceName][]int{},
		Mix:         map[oleandervane.ServiceName]map[oleandervane.KindName]float64{},
		ClientDelay: clientDelay,
		EntryVMs:    18,
	}
	deployment.addRegions(delay)
	for _, service := range services {
		deployment.addService(service)
	}
	return deployment
}

func (deployment *Deployment) addRegions(delay time.Duration) {
	configuration := deployment.Configuration
	for _, from := range deployment.Regions {
		configuration.Regions[from] = oleandervane.RegionSettings{
			Name:           from,
			FailureDomains: []oleandervane.FailureDomain{domain(from, 0), domain(from, 1)},
		}
		for _, to := range deployment.Regions {
			if from != to {
				configuration.Links = append(configuration.Links, oleandervane.Link{From: from, To: to, Delay: delay, BytesPerSecond: linkBytesPerSecond})
			}
		}
	}
}

// domain returns the name of a failure domain of a region.
func domain(region oleandervane.Region, number int) oleandervane.FailureDomain {
	return oleandervane.FailureDomain(string(region) + string(rune('a'+number)))
}

func (deployment *Deployment) addService(profile serviceProfile) {
	service := oleandervane.Service{
		Name: profile.name, Slots: profile.slots, ServiceTime: profile.serviceTime, Headroom: profile.headroom,
		ShiftCap: 0.05, FailoverCap: 0.5, ShiftWindow: 10 * time.Second, RequestBytes: profile.bytes,
		Kinds:      map[oleandervane.KindName]oleandervane.Kind{},
		Objectives: map[oleandervane.KindName]oleandervane.Objective{},
	}
	mix := map[oleandervane.KindName]float64{}
	for _, kind := range profile.kinds {
		service.Kinds[kind.name] = oleandervane.Kind{Name: kind.name, Idempotent: kind.idempotent, Weight: kind.weight, Deadline: kind.deadline}
		service.Objectives[kind.name] = oleandervane.Objective{Availability: 0.999, Latency: kind.deadline / 2, Window: 30 * 24 * time.Hour}
		mix[kind.name] = kind.mixShare
	}
	deployment.Configuration.Services[profile.name] = service
	deployment.Services = append(deployment.Services, profile.name)
	deployment.Instances[profile.name] = profile.instances
	deployment.Mix[profile.name] = mix
}

// retainService removes all services but the named one. It changes nothing if the name is empty or unknown.
func (deployment *Deployment) retainService(name oleandervane.ServiceName) {
	service, known := deployment.Configuration.Services[name]
	if !known {
		return
	}
	deployment.Configuration.Services = map[oleandervane.ServiceName]oleandervane.Service{name: service}
	deployment.Services = []oleandervane.ServiceName{name}
}

// capacity returns the requests per second of a service that a region serves without faults.
func (deployment Deployment) capacity(name oleandervane.ServiceName, region int) float64 {
	service := deployment.Configuration.Services[name]
	return float64(deployment.Instances[name][region]*service.Slots) / service.ServiceTime.Seconds()
}
