package comparison

import (
	"fmt"
	"math/rand/v2"
	"time"

	"oleandervane.example"
	"oleandervane.example/steering/drain"
	"oleandervane.example/steering/internal/guard"
	"oleandervane.example/steering/share"
	"oleandervane.example/timer"
)

// epoch is the time at which every run begins.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

const (
	// peerLagSeconds is the delay until VMs of the same region receive a notice; regionLagSeconds is the delay until VMs
	// of other regions do.
	peerLagSeconds   = 1
	regionLagSeconds = 2
	// listAgeSeconds is the age of the platform's list of VMs when it is read.
	listAgeSeconds = 10
	// lossDetectionSeconds is the time until the loss of a region is detected.
	lossDetectionSeconds = 5
	// snapshotPeriodSeconds is the time between two writes of a region's snapshot.
	snapshotPeriodSeconds = 10
	// leaseLifetimeSeconds is how long a lease that cannot be renewed remains valid.
	leaseLifetimeSeconds = int(plannerLease / time.Second)
)

// Fleet is the simulation of one case with one strategy.
type Fleet struct {
	scripted       Case
	strategy       Strategy
	deployment     Deployment
	configuration  *oleandervane.Configuration
	timer          *timer.Manual
	random         *rand.Rand
	disabledGuards guard.Disabled
	plans          drain.Plans
	second         int
	// warmUpSeconds is the number of seconds that run before second 0 of the case.
	warmUpSeconds int
	vms           []*vm
	regions       []regionState
	partitioned   [][]bool
	storeDown     bool
	listFrozen    bool
	// listHistory has the VM ids in the platform's list for each second and region.
	listHistory [][][]oleandervane.VMID
	snapshots   [][]byte
	knownLost   map[oleandervane.Region]bool
	// planner is the VM that has the lease of strategy Planner, and leaseUntil the last second of the lease.
	planner    *vm
	leaseUntil int
	result     *Result
	checker    *checker
}

// regionState is the actual state of one region, as opposed to what the VMs have received of it.
type regionState struct {
	lost               bool
	lostAt             int
	measurementStopped bool
	internalPartition  bool
	factors            map[oleandervane.ServiceName]*factors
	measured           map[oleandervane.ServiceName][]oleandervane.RegionSummary
}

// factors scale the nominal capacity, demand and reported values of a service in a region.
type factors struct {
	demand, capacity, report float64
	// used is the rate that was admitted in the last second, in requests per second.
	used float64
	// coldUntil is the second until which instances of a recovered region have cold caches.
	coldUntil int
}

// NewFleet prepares a simulation. It fails with ErrUnknownDeployment, wrapped, or with the reason why a drain is refused.
func NewFleet(scripted Case, strategy Strategy, options ...Option) (*Fleet, error) {
	deployment, err := NewDeployment(scripted.Deployment)
	if err != nil {
		return nil, err
	}
	if scripted.EntryVMs > 0 {
		deployment.EntryVMs = scripted.EntryVMs
	}
	deployment.retainService(scripted.OnlyService)
	if scripted.Utilization == 0 {
		scripted.Utilization = defaultUtilization
	}
	fleet := &Fleet{
		scripted:      scripted,
		strategy:      strategy,
		deployment:    deployment,
		configuration: deployment.Configuration,
		timer:         timer.NewManual(epoch),
		warmUpSeconds: defaultWarmUpSeconds,
		random:        rand.New(rand.NewPCG(scripted.Seed, 0)),
		snapshots:     make([][]byte, len(deployment.Regions)),
		knownLost:     map[oleandervane.Region]bool{},
	}
	fleet.result = newResult(fleet)
	fleet.checker = newChecker(fleet)
	for _, option := range options {
		option(fleet)
	}
	if err := fleet.planDrains(); err != nil {
		return nil, err
	}
	fleet.initialize()
	return fleet, nil
}

// defaultUtilization is demand as a share of capacity for cases that set no utilization.
const defaultUtilization = 0.55

func (fleet *Fleet) initialize() {
	for range fleet.deployment.Regions {
		state := regionState{
			factors:  map[oleandervane.ServiceName]*factors{},
			measured: map[oleandervane.ServiceName][]oleandervane.RegionSummary{},
		}
		for _, name := range fleet.deployment.Services {
			state.factors[name] = &factors{demand: 1, capacity: 1, report: 1}
		}
		fleet.regions = append(fleet.regions, state)
		fleet.partitioned = append(fleet.partitioned, make([]bool, len(fleet.deployment.Regions)))
	}
	perRegion := fleet.deployment.EntryVMs / len(fleet.deployment.Regions)
	for i := range perRegion * len(fleet.deployment.Regions) {
		fleet.addVM(i % len(fleet.deployment.Regions))
	}
}

// addVM starts a VM with a new id.
func (fleet *Fleet) addVM(region int) {
	name := fleet.deployment.Regions[region]
	inRegion := 0
	for _, vm := range fleet.vms {
		if vm.region == region {
			inRegion++
		}
	}
	added := &vm{
		fleet: fleet, number: len(fleet.vms), region: region, indexInRegion: inRegion,
		entry: oleandervane.EntryVM{ID: oleandervane.VMID(fmt.Sprintf("%s-%03d", name, inRegion)), Region: name},
	}
	fleet.vms = append(fleet.vms, added)
	added.start()
	fleet.timer.Every(share.Period, func(time.Time) {
		if added.running() {
			added.decider.tick(added.Now())
		}
	})
}

// drainState returns the progress of planned drains.
func (fleet *Fleet) drainState(now time.Time, region oleandervane.Region, serviceName oleandervane.ServiceName) share.DrainState {
	return fleet.plans.DrainState(now, region, serviceName)
}

// Run simulates the case to its end and returns the measurements.
func (fleet *Fleet) Run() *Result {
	seconds := int(time.Duration(fleet.scripted.Duration) / time.Second)
	for range fleet.warmUpSeconds + seconds {
		fleet.step()
	}
	fleet.result.close()
	return fleet.result
}

// defaultWarmUpSeconds is the time before second 0 of a case in which VMs get their parts and shares.
const defaultWarmUpSeconds = 45

// Run simulates a case with a strategy. It fails as NewFleet does.
func Run(scripted Case, strategy Strategy, options ...Option) (*Result, error) {
	fleet, err := NewFleet(scripted, strategy, options...)
	if err != nil {
		return nil, err
	}
	return fleet.Run(), nil
}

func (fleet *Fleet) step() {
	fleet.second++
	for _, event := range fleet.scripted.Events {
		if int(time.Duration(event.At)/time.Second)+fleet.warmUpSeconds == fleet.second {
			fleet.applyEvent(event)
		}
	}
	fleet.measure()
	fleet.listVMs()
	for _, vm := range fleet.vms {
		if vm.running() {
			fleet.deliver(vm)
		}
	}
	fleet.timer.Advance(time.Second)
	for _, vm := range fleet.vms {
		fleet.publish(vm)
	}
	fleet.writeSnapshots()
	traffic := fleet.flow()
	fleet.checker.check(traffic)
	fleet.result.add(traffic)
}

// measure records the capacity and demand that each region reports in this second. A region that is lost or whose
// measurement is stopped repeats its last values.
func (fleet *Fleet) measure() {
	now := fleet.timer.Now()
	for i := range fleet.regions {
		region := &fleet.regions[i]
		for _, name := range fleet.deployment.Services {
			factors := region.factors[name]
			summary := oleandervane.RegionSummary{
				Region:            fleet.deployment.Regions[i],
				Service:           name,
				CapacityPerSecond: fleet.capacity(name, i) * factors.report,
				UsedPerSecond:     factors.used,
				DemandPerSecond:   fleet.demand(name, i) * factors.report * fleet.noise(),
				MeasuredAt:        now,
			}
			if earlier := region.measured[name]; len(earlier) > 0 && (region.measurementStopped || region.lost) {
				summary = earlier[len(earlier)-1]
			}
			region.measured[name] = append(region.measured[name], summary)
		}
		if region.lost && !fleet.knownLost[fleet.deployment.Regions[i]] && fleet.second-region.lostAt >= lossDetectionSeconds {
			fleet.setLost(i, true)
		}
	}
}

func (fleet *Fleet) noise() float64 {
	if fleet.scripted.NoisePart == 0 {
		return 1
	}
	return 1 + fleet.scripted.NoisePart*(2*fleet.random.Float64()-1)
}

func (fleet *Fleet) setLost(region int, lost bool) {
	known := map[oleandervane.Region]bool{}
	for name, isLost := range fleet.knownLost {
		known[name] = isLost
	}
	known[fleet.deployment.Regions[region]] = lost
	fleet.knownLost = known
}

// capacity returns the requests per second of a service that a region can actually serve.
func (fleet *Fleet) capacity(name oleandervane.ServiceName, region int) float64 {
	state := fleet.regions[region]
	if state.lost {
		return 0
	}
	return fleet.deployment.capacity(name, region) * state.factors[name].capacity
}

// demand returns the requests per second of callers whose home is the region.
func (fleet *Fleet) demand(name oleandervane.ServiceName, region int) float64 {
	return fleet.deployment.capacity(name, region) * fleet.scripted.Utilization * fleet.regions[region].factors[name].demand
}

func (fleet *Fleet) listVMs() {
	if fleet.listFrozen && len(fleet.listHistory) > 0 {
		fleet.listHistory = append(fleet.listHistory, fleet.listHistory[len(fleet.listHistory)-1])
		return
	}
	list := make([][]oleandervane.VMID, len(fleet.regions))
	for _, vm := range fleet.vms {
		if vm.alive {
			list[vm.region] = append(list[vm.region], vm.entry.ID)
		}
	}
	fleet.listHistory = append(fleet.listHistory, list)
}

// canReceive reports whether no partition separates the sender from the receiver.
func (fleet *Fleet) canReceive(receiver, sender *vm) bool {
	if receiver.region != sender.region {
		return !fleet.partitioned[receiver.region][sender.region]
	}
	return !fleet.regions[receiver.region].internalPartition || receiver.indexInRegion%2 == sender.indexInRegion%2
}

// deliver updates a VM with the notices, the platform's list and the summaries that have reached it by now.
func (fleet *Fleet) deliver(receiver *vm) {
	for len(receiver.receivedNotices) < len(fleet.vms) {
		receiver.receivedNotices = append(receiver.receivedNotices, nil)
	}
	for i, sender := range fleet.vms {
		lag := peerLagSeconds
		if sender.region != receiver.region {
			lag = regionLagSeconds
		}
		if at := len(sender.sentNotices) - lag; sender != receiver && sender.alive && at >= 0 && fleet.canReceive(receiver, sender) {
			receiver.receivedNotices[i] = sender.sentNotices[at]
		}
	}
	if read := len(fleet.listHistory) - 1 - listAgeSeconds; read >= 0 {
		receiver.listedIDs = fleet.listHistory[read][receiver.region]
	} else {
		receiver.listedIDs = fleet.listHistory[0][receiver.region]
	}
	age := int(time.Duration(fleet.scripted.MeasurementAge) / time.Second)
	for i, region := range fleet.regions {
		if i != receiver.region && fleet.partitioned[receiver.region][i] {
			continue
		}
		for name, measured := range region.measured {
			summary := measured[max(0, len(measured)-1-age)]
			receiver.summaries[oleandervane.Flow{Service: name, Home: summary.Region}] = summary
		}
	}
}

func (fleet *Fleet) publish(vm *vm) {
	if !vm.running() {
		return
	}
	outgoing := &notice{vm: vm, publishedAt: fleet.timer.Now()}
	vm.decider.publish(outgoing)
	vm.sentNotices = append(vm.sentNotices, outgoing)
	// Only the newest entries are still to be delivered.
	if len(vm.sentNotices) > 2*regionLagSeconds {
		vm.sentNotices = append([]*notice(nil), vm.sentNotices[len(vm.sentNotices)-regionLagSeconds:]...)
	}
}

func (fleet *Fleet) writeSnapshots() {
	if fleet.second%snapshotPeriodSeconds != 0 || fleet.storeDown {
		return
	}
	for region := range fleet.regions {
		for _, vm := range fleet.vms {
			if vm.region != region || !vm.running() {
				continue
			}
			var outgoing notice
			vm.decider.publish(&outgoing)
			if outgoing.shares.At.IsZero() {
				continue
			}
			snapshot := share.Snapshot{At: outgoing.shares.At, Shares: outgoing.shares.Shares, Floors: outgoing.shares.Floors}
			if encoded, err := snapshot.Encode(); err == nil {
				fleet.snapshots[region] = encoded
			}
			break
		}
	}
}

// acquireLease acquires or renews the planner's lease if the store is available, and reports whether the VM has the
// lease.
func (fleet *Fleet) acquireLease(vm *vm, _ time.Time) bool {
	if !fleet.storeDown && (fleet.planner == vm || fleet.leaseUntil < fleet.second) {
		fleet.planner = vm
		fleet.leaseUntil = fleet.second + leaseLifetimeSeconds
	}
	return fleet.planner == vm && fleet.leaseUntil >= fleet.second
}
