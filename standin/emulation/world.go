package emulation

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"oleandervane.example"
	"oleandervane.example/entry/route"
	"oleandervane.example/timer"
)

const (
	// settleTime is the time for which a run continues after the last request was sent.
	settleTime = 20 * time.Second
	// coldCrashDowntime is the downtime of a server that got too many requests while it was cold.
	coldCrashDowntime = 3 * time.Second
)

// world is the state of one run.
type world struct {
	scenario  Scenario
	variant   Variant
	manual    *timer.Manual
	random    *rand.Rand
	startedAt time.Time
	index     *route.Index
	tally     *tally

	vms         map[oleandervane.VMID]*vm
	vmOrder     []*vm
	listedVMs   []oleandervane.EntryVM
	servers     map[string]*server
	serverOrder []*server
	// evacuated has the failure domains that are evacuated in the store; storeUnavailable stops its updates to VMs.
	evacuated        map[oleandervane.FailureDomain]bool
	storeUnavailable bool

	burstFactors      map[oleandervane.FailureDomain]float64
	abusiveShare      float64
	maxAbusiveRetries int
}

// Run emulates a scenario with a variant of the policy and returns the measurements.
func Run(scenario Scenario, variant Variant, seed uint64) Result {
	world := newWorld(scenario, variant, seed)
	total := 0.0
	for _, domain := range scenario.Domains {
		total += domain.Weight
	}
	for _, kind := range scenario.Kinds {
		for _, domain := range scenario.Domains {
			world.scheduleArrivals(kind, domain, kind.PerSecond*domain.Weight/total)
		}
	}
	for _, event := range scenario.Events {
		world.manual.After(time.Duration(event.At), func(time.Time) { world.startEvent(event) })
	}
	world.manual.Advance(time.Duration(scenario.Length) + settleTime)
	return world.tally.result(scenario, variant, seed)
}

func newWorld(scenario Scenario, variant Variant, seed uint64) *world {
	startedAt := time.Unix(0, 0)
	world := &world{
		scenario: scenario, variant: variant, manual: timer.NewManual(startedAt), startedAt: startedAt,
		random: rand.New(rand.NewPCG(seed, 0)), index: route.NewIndex(scenario.table()),
		vms: map[oleandervane.VMID]*vm{}, servers: map[string]*server{},
		evacuated: map[oleandervane.FailureDomain]bool{}, burstFactors: map[oleandervane.FailureDomain]float64{},
	}
	world.tally = newTally(world)
	regions := map[oleandervane.FailureDomain]oleandervane.Region{}
	for _, domain := range scenario.Domains {
		world.burstFactors[domain.Name] = 1
		regions[domain.Name] = domain.Region
	}
	for _, service := range scenario.Services {
		for _, domain := range service.sortedDomains() {
			for number := range service.Servers[domain] {
				world.addServer(service, domain, regions[domain], number)
			}
		}
	}
	for _, domain := range scenario.Domains {
		for number := range domain.VMs {
			vm := newVM(world, domain, number)
			world.vms[vm.ID] = vm
			world.vmOrder = append(world.vmOrder, vm)
		}
	}
	world.updateListedVMs()
	world.publishRegistry()
	return world
}

func (world *world) addServer(service Service, domain oleandervane.FailureDomain, region oleandervane.Region, number int) {
	id := fmt.Sprintf("%s-%s-%d", service.Name, domain, number)
	server := &server{
		world: world, service: service, slowdown: 1, runningWork: map[*work]bool{},
		entry: oleandervane.RegisteredServer{BackendServer: oleandervane.BackendServer{
			ID: oleandervane.BackendServerID(id), Service: service.Name, Region: region, FailureDomain: domain, Slots: service.Slots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(len(world.serverOrder)+1)),
		}},
	}
	world.servers[id] = server
	world.serverOrder = append(world.serverOrder, server)
}

// firstVM returns the first VM, or nil if there is none yet.
func (world *world) firstVM() *vm {
	if len(world.vmOrder) == 0 {
		return nil
	}
	return world.vmOrder[0]
}

func (world *world) updateListedVMs() {
	var listed []oleandervane.EntryVM
	for _, vm := range world.vmOrder {
		if !vm.down {
			listed = append(listed, vm.EntryVM)
		}
	}
	slices.SortFunc(listed, func(a, b oleandervane.EntryVM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	world.listedVMs = listed
}

// entryVMs returns the listed VMs. The caller must not modify the result.
func (world *world) entryVMs() []oleandervane.EntryVM {
	return world.listedVMs
}

// registry returns the current content of the store.
func (world *world) registry() oleandervane.Registry {
	registry := oleandervane.Registry{
		Table: world.scenario.table(), Evacuated: map[oleandervane.FailureDomain]bool{},
		BackendServers: map[oleandervane.BackendServerID]oleandervane.RegisteredServer{},
	}
	for domain := range world.evacuated {
		registry.Evacuated[domain] = true
	}
	for _, server := range world.serverOrder {
		registry.BackendServers[server.entry.ID] = server.entry
	}
	return registry
}

// publishRegistry sends the content of the store to each VM, after a random delay per VM.
func (world *world) publishRegistry() {
	if world.storeUnavailable {
		return
	}
	registry := world.registry()
	for _, vm := range world.vmOrder {
		lag := time.Duration(world.random.Float64() * float64(world.scenario.Delays.Watch))
		world.manual.After(lag, func(time.Time) {
			if !vm.down {
				vm.placer.Update(registry)
			}
		})
	}
}

// delay returns the one-way delay between two failure domains.
func (world *world) delay(from, to oleandervane.FailureDomain) time.Duration {
	if from == to {
		return 0
	}
	if world.region(from) == world.region(to) {
		return time.Duration(world.scenario.Delays.FailureDomains)
	}
	return time.Duration(world.scenario.Delays.Regions)
}

func (world *world) region(name oleandervane.FailureDomain) oleandervane.Region {
	for _, domain := range world.scenario.Domains {
		if domain.Name == name {
			return domain.Region
		}
	}
	return ""
}
