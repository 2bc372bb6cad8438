package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/timer"
)

const (
	testService = oleandervane.ServiceName("ledger")
	testRegion  = oleandervane.Region("kigali")
	// vmQueueLimit bounds the requests that are queued at one simulated entry VM.
	vmQueueLimit = 64
	maxAttempts  = 3
	// timeoutServiceTimes is the timeout of a request, in mean service times.
	timeoutServiceTimes = 50
	samplePeriod        = 100 * time.Millisecond
	pollPeriod          = 5 * time.Millisecond
	warmUp              = 5 * time.Second
)

// reportCase describes how load reports mislead.
type reportCase struct {
	name       string
	lag        time.Duration
	understate bool
	stop       bool
}

var reportCases = []reportCase{
	{name: "fresh"},
	{name: "lag", lag: 5 * time.Second},
	{name: "understate", understate: true},
	{name: "stop", stop: true},
}

// deployment is one region of a service.
type deployment struct {
	name      string
	instances int
	slots     int
	vms       int
	mean      time.Duration
	delay     time.Duration
	// queue is how many requests a backend server queues before it sheds.
	queue int
}

// ledger and pronostico return a region of these two services, with as many queue places at a backend server as slots.
func ledger(instances, vms int) deployment {
	return deployment{name: fmt.Sprintf("ledger_%dx%d", vms, instances), instances: instances, slots: 3, vms: vms, mean: 40 * time.Millisecond, delay: time.Millisecond, queue: 3}
}

func pronostico(instances, vms int) deployment {
	return deployment{name: fmt.Sprintf("pronostico_%dx%d", vms, instances), instances: instances, slots: 9, vms: vms, mean: 30 * time.Millisecond, delay: time.Millisecond / 2, queue: 9}
}

func (deployment deployment) withoutQueue() deployment {
	deployment.name += "_no_queue"
	deployment.queue = 0
	return deployment
}

// deployments has the present size of a region, about 6 entry VMs and a third of the instances, and the planned size of
// 41 VMs.
var deployments = []deployment{
	ledger(5, 6), ledger(5, 6).withoutQueue(), pronostico(6, 6), pronostico(6, 6).withoutQueue(),
	ledger(16, 41), ledger(16, 41).withoutQueue(), pronostico(18, 41), pronostico(18, 41).withoutQueue(),
}

// scenario describes one run of the simulation.
type scenario struct {
	deployment
	reportCase
	policy    Policy
	load      float64
	duration  time.Duration
	seed      uint64
	unguarded bool
	// change is called once before the run, to schedule faults.
	change func(region *simulatedRegion)
}

// outcome contains the measurements of a run.
type outcome struct {
	requests int
	attempts int
	shed     int
	failed   int
	peak     float64
	p50, p99 time.Duration
}

func (outcome outcome) shedRate() float64 {
	return float64(outcome.shed) / float64(max(1, outcome.attempts))
}

// simulatedServer is a backend server with slots and a queue. It sheds requests that do not fit.
type simulatedServer struct {
	server  oleandervane.BackendServer
	running int
	queue   []func(now time.Time)
	peak    int
	started int
	// failsFast breaks every attempt immediately, and answersFast answers it immediately. reportsIdle hides the load in
	// reports. cold and leaving are reported.
	failsFast, answersFast, reportsIdle, cold, leaving bool
	history                                            []oleandervane.LoadReport
}

func (server *simulatedServer) report(now time.Time, understate bool) oleandervane.LoadReport {
	report := oleandervane.LoadReport{BackendServer: server.server.ID, MeasuredAt: now, Leaving: server.leaving, Cold: server.cold}
	if !server.reportsIdle {
		report.InFlight, report.Queued = server.running, len(server.queue)
	}
	if understate {
		report.InFlight, report.Queued = report.InFlight/2, 0
	}
	return report
}

// simulatedRequest is one request at an entry VM.
type simulatedRequest struct {
	arrived  time.Time
	attempts int
	excluded []oleandervane.BackendServerID
}

type simulatedVM struct {
	chooser *Chooser
	queue   []*simulatedRequest
}

// simulatedRegion simulates the entry VMs and backend servers of one region with a manual timer.
type simulatedRegion struct {
	scenario
	manual    *timer.Manual
	random    *rand.Rand
	vms       []*simulatedVM
	servers   []*simulatedServer
	latencies []time.Duration
	outcome   outcome
}

type fixedMembership struct {
	entryVMs []oleandervane.EntryVM
	self     int
}

func (membership *fixedMembership) EntryVMs() []oleandervane.EntryVM { return membership.entryVMs }
func (membership *fixedMembership) Self() oleandervane.EntryVM {
	return membership.entryVMs[membership.self]
}

func regionFleet(count int) []oleandervane.EntryVM {
	entryVMs := make([]oleandervane.EntryVM, count)
	for index := range entryVMs {
		entryVMs[index] = oleandervane.EntryVM{ID: oleandervane.VMID(fmt.Sprintf("vm-%02d", index)), Region: testRegion}
	}
	return entryVMs
}

func regionServers(count, slots int) []oleandervane.BackendServer {
	servers := make([]oleandervane.BackendServer, count)
	for index := range servers {
		servers[index] = oleandervane.BackendServer{
			ID: oleandervane.BackendServerID(fmt.Sprintf("instance-%02d", index)), Service: testService,
			Region: testRegion, Slots: slots, MaxConnections: 650,
		}
	}
	return servers
}

// LoadReport returns the newest report of an instance that has reached the entry VMs.
func (region *simulatedRegion) LoadReport(id oleandervane.BackendServerID) (oleandervane.LoadReport, bool) {
	for _, server := range region.servers {
		if server.server.ID != id || len(server.history) == 0 {
			continue
		}
		return server.history[0], true
	}
	return oleandervane.LoadReport{}, false
}

// sample adds a report of each instance to its history. The first report of a history is the newest one that has
// arrived.
func (region *simulatedRegion) sample(now time.Time) {
	if region.stop && now.After(time.Unix(0, 0).Add(warmUp)) {
		return
	}
	for _, server := range region.servers {
		server.history = append(server.history, server.report(now, region.understate))
		for len(server.history) > 1 && !server.history[1].MeasuredAt.After(now.Add(-region.lag)) {
			server.history = server.history[1:]
		}
	}
}

func (region *simulatedRegion) list() []oleandervane.BackendServer {
	var servers []oleandervane.BackendServer
	for _, server := range region.servers {
		servers = append(servers, server.server)
	}
	return servers
}

func run(scenario scenario) *simulatedRegion {
	region := &simulatedRegion{
		scenario: scenario, manual: timer.NewManual(time.Unix(0, 0)),
		random: rand.New(rand.NewPCG(scenario.seed, 5)),
	}
	for _, server := range regionServers(scenario.instances, scenario.slots) {
		region.servers = append(region.servers, &simulatedServer{server: server})
	}
	entryVMs := regionFleet(scenario.vms)
	for index := range entryVMs {
		chooser := New(Settings{
			Policy: scenario.policy, Membership: &fixedMembership{entryVMs: entryVMs, self: index}, LoadSource: region,
			TimerService: region.manual, Seed: scenario.seed + uint64(index), unguarded: scenario.unguarded,
		})
		chooser.Update(region.list())
		region.vms = append(region.vms, &simulatedVM{chooser: chooser})
	}
	region.manual.Every(samplePeriod, region.sample)
	region.manual.Every(pollPeriod, func(now time.Time) {
		for _, vm := range region.vms {
			region.dispatch(now, vm)
		}
	})
	if scenario.change != nil {
		scenario.change(region)
	}
	perSecond := scenario.load * float64(scenario.instances*scenario.slots) / scenario.mean.Seconds()
	end := region.manual.Now().Add(warmUp + scenario.duration)
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		if now.After(end) {
			return
		}
		region.arrive(now, region.vms[region.random.IntN(len(region.vms))])
		region.manual.After(time.Duration(region.random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	region.manual.After(0, arrive)
	region.manual.Advance(warmUp)
	region.outcome = outcome{}
	region.latencies = nil
	for _, server := range region.servers {
		server.peak, server.started = 0, 0
	}
	region.manual.Advance(scenario.duration)
	for _, server := range region.servers {
		region.outcome.peak = max(region.outcome.peak, float64(server.peak)/float64(server.server.Slots))
	}
	slices.Sort(region.latencies)
	if count := len(region.latencies); count > 0 {
		region.outcome.p50, region.outcome.p99 = region.latencies[count/2], region.latencies[count*99/100]
	}
	return region
}

func (region *simulatedRegion) arrive(now time.Time, vm *simulatedVM) {
	region.outcome.requests++
	if len(vm.queue) >= vmQueueLimit {
		region.outcome.failed++
		return
	}
	vm.queue = append(vm.queue, &simulatedRequest{arrived: now})
	region.dispatch(now, vm)
}

// dispatch starts queued requests of the VM while its chooser finds an instance. All requests without an excluded
// instance are equivalent, so the first of them that cannot start ends the search.
func (region *simulatedRegion) dispatch(now time.Time, vm *simulatedVM) {
	for index := 0; index < len(vm.queue); {
		request := vm.queue[index]
		if now.Sub(request.arrived) > timeoutServiceTimes*region.mean {
			region.outcome.failed++
			vm.queue = slices.Delete(vm.queue, index, index+1)
			continue
		}
		reservation, err := vm.chooser.Choose(testService, request.excluded)
		if err != nil && len(request.excluded) == 0 {
			return
		}
		if err != nil {
			index++
			continue
		}
		vm.queue = slices.Delete(vm.queue, index, index+1)
		request.attempts++
		region.outcome.attempts++
		server := region.server(reservation.BackendServer().ID)
		region.manual.After(region.delay, func(now time.Time) { region.receive(now, server, vm, request, reservation) })
	}
}

func (region *simulatedRegion) server(id oleandervane.BackendServerID) *simulatedServer {
	for _, server := range region.servers {
		if server.server.ID == id {
			return server
		}
	}
	return nil
}

// receive handles an attempt that arrives at a backend server.
func (region *simulatedRegion) receive(_ time.Time, server *simulatedServer, vm *simulatedVM, request *simulatedRequest, reservation oleandervane.Reservation) {
	answer := func(result oleandervane.AttemptResult) {
		report := server.report(region.manual.Now(), region.understate)
		region.manual.After(region.delay, func(now time.Time) { region.finish(now, vm, request, reservation, result, report) })
	}
	server.started++
	if server.failsFast {
		answer(oleandervane.AttemptBroken)
		return
	}
	if server.answersFast {
		answer(oleandervane.AttemptAnswered)
		return
	}
	if server.running+len(server.queue) >= server.server.Slots+region.queue {
		server.started--
		answer(oleandervane.AttemptShed)
		return
	}
	var start func(now time.Time)
	start = func(time.Time) {
		region.manual.After(time.Duration(region.random.ExpFloat64()*float64(region.mean)), func(now time.Time) {
			server.running--
			if len(server.queue) > 0 {
				next := server.queue[0]
				server.queue = server.queue[1:]
				server.running++
				next(now)
			}
			answer(oleandervane.AttemptAnswered)
		})
	}
	if server.running < server.server.Slots {
		server.running++
		start(region.manual.Now())
	} else {
		server.queue = append(server.queue, start)
	}
	server.peak = max(server.peak, server.running+len(server.queue))
}

// finish handles the result of an attempt when it arrives at the entry VM.
func (region *simulatedRegion) finish(now time.Time, vm *simulatedVM, request *simulatedRequest, reservation oleandervane.Reservation, result oleandervane.AttemptResult, report oleandervane.LoadReport) {
	vm.chooser.Observe(testService, report)
	reservation.Release(result)
	switch {
	case result == oleandervane.AttemptAnswered:
		region.latencies = append(region.latencies, now.Sub(request.arrived))
	case request.attempts >= maxAttempts:
		region.outcome.failed++
	default:
		request.excluded = append(request.excluded, reservation.BackendServer().ID)
		vm.queue = slices.Insert(vm.queue, 0, request)
	}
	if result == oleandervane.AttemptShed {
		region.outcome.shed++
	}
	region.dispatch(now, vm)
}
