package grant

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oleandervane.example"
	"oleandervane.example/steering/internal/guard"
	"oleandervane.example/steering/share"
)

// Period is the time between two allotments.
const Period = time.Second

// Inputs gives a keeper what it needs to know. Its methods return immutable values and are called once a period.
type Inputs interface {
	oleandervane.ConfigurationSource
	// Summaries are the newest known summaries of all regions.
	Summaries() []oleandervane.RegionSummary
	// Roster is this VM's view of its region's entry VMs.
	Roster() RosterView
	// LostRegions are regions known to be lost.
	LostRegions() map[oleandervane.Region]bool
}

// Controller owns one VM's part of its region's capacity. TryAdmit is safe for concurrent use with everything else.
type Controller struct {
	self     oleandervane.EntryVM
	inputs   Inputs
	drainage share.DrainStateFunc
	mutex    sync.Mutex
	roster   Roster
	history  history
	lastTick time.Time
	state    atomic.Pointer[state]
	without  guard.Disabled
}

// state is what a keeper publishes. Its maps are immutable; accounts and counters are carried over between states.
type state struct {
	part     float64
	inForce  float64
	count    PeerCount
	services map[oleandervane.ServiceName]*serviceGate
	grants   []oleandervane.Grant
}

type serviceGate struct {
	allotment Allotment
	total     *account
	sources   map[oleandervane.Region]*sourceState
}

type sourceState struct {
	account account
	// admittedRequests counts single requests; admittedAmount adds up rates.
	admittedRequests counter
	admittedAmount   counter
	offered          counter
}

// counter adds up requests, or rates in simulations.
type counter struct{ bits atomic.Uint64 }

func (counter *counter) add(amount float64) {
	for {
		before := counter.bits.Load()
		after := math.Float64bits(math.Float64frombits(before) + amount)
		if counter.bits.CompareAndSwap(before, after) {
			return
		}
	}
}

func (counter *counter) reset() float64 {
	return math.Float64frombits(counter.bits.Swap(0))
}

// NewController returns a keeper without a part. The drainage of planned drains may be nil.
func NewController(self oleandervane.EntryVM, inputs Inputs, drainage share.DrainStateFunc) *Controller {
	keeper := &Controller{self: self, inputs: inputs, drainage: drainage, roster: NewRoster(self.ID)}
	keeper.state.Store(&state{})
	return keeper
}

// WithoutGuards makes the keeper work without some of its guards, for the mutation check. Call it before Run.
func (keeper *Controller) WithoutGuards(without guard.Disabled) {
	keeper.without = without
	keeper.roster = keeper.roster.Without(without)
}

// Run allots once each Period until the returned function is called.
func (keeper *Controller) Run(timerService oleandervane.TimerService) (cancel func()) {
	return timerService.Every(Period, keeper.Tick)
}

// Grants returns this VM's grants to other regions.
func (keeper *Controller) Grants() []oleandervane.Grant {
	return keeper.state.Load().grants
}

// Part returns the share of the region's capacity that this VM owns.
func (keeper *Controller) Part() float64 {
	return keeper.state.Load().part
}

// RegionPart returns the share of the region's capacity that its live VMs own, as far as this VM knows.
func (keeper *Controller) RegionPart() float64 {
	return keeper.state.Load().inForce
}

// Count returns whom this VM counts, for its peers.
func (keeper *Controller) Count() PeerCount {
	return keeper.state.Load().count
}

// TryAdmit admits one request of a caller whose home is the given region, or returns false: it was then not run.
func (keeper *Controller) TryAdmit(now time.Time, serviceName oleandervane.ServiceName, home oleandervane.Region) bool {
	service := keeper.state.Load().services[serviceName]
	if service == nil {
		return false
	}
	source := service.sources[home]
	if source == nil {
		return false
	}
	source.offered.add(1)
	limit, limited := service.allotment.LimitPerSecond[home]
	if limited && !source.account.take(now, limit) {
		return false
	}
	if !service.total.take(now, service.allotment.TotalPerSecond) {
		if limited {
			source.account.giveBack(limit)
		}
		return false
	}
	source.admittedRequests.add(1)
	return true
}

// AdmitRates is TryAdmit for offered rates, by home region, that last until the next tick. It returns the admitted
// rates.
func (keeper *Controller) AdmitRates(serviceName oleandervane.ServiceName, offered map[oleandervane.Region]float64) map[oleandervane.Region]float64 {
	service := keeper.state.Load().services[serviceName]
	if service == nil {
		return nil
	}
	admitted := service.allotment.Admit(keeper.self.Region, offered)
	for home, rate := range offered {
		source := service.sources[home]
		if source == nil {
			delete(admitted, home)
			continue
		}
		source.offered.add(rate * Period.Seconds())
		source.admittedAmount.add(admitted[home] * Period.Seconds())
	}
	return admitted
}

// Tick allots for the next period.
func (keeper *Controller) Tick(now time.Time) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	configuration := keeper.inputs.Configuration()
	if configuration == nil {
		return
	}
	keeper.roster = keeper.roster.Observe(keeper.inputs.Roster())
	figures := newFigures(configuration, keeper.inputs.Summaries())
	offered := keeper.count(now, configuration, figures)
	before := keeper.state.Load()
	next := &state{
		part:     keeper.roster.Part(),
		inForce:  keeper.roster.PartInForce(now),
		count:    PeerCount{VM: keeper.self.ID, Counted: keeper.roster.Counted(), Indirect: keeper.roster.Borrowed(), OwnsPart: keeper.roster.Holds(), ReceivedAt: now},
		services: make(map[oleandervane.ServiceName]*serviceGate, len(configuration.Services)),
	}
	for _, name := range slices.Sorted(maps.Keys(configuration.Services)) {
		input := keeper.input(now, configuration, figures, name, offered)
		allotment := Allot(input)
		next.services[name] = before.services[name].follow(configuration, allotment)
		next.grants = append(next.grants, allotment.Grants(name, keeper.self.Region, now)...)
	}
	keeper.state.Store(next)
}

// follow returns the next state of a service, with the accounts of the one before.
func (earlier *serviceGate) follow(configuration *oleandervane.Configuration, allotment Allotment) *serviceGate {
	next := &serviceGate{
		allotment: allotment,
		total:     &account{},
		sources:   make(map[oleandervane.Region]*sourceState, len(configuration.Regions)),
	}
	if earlier != nil {
		next.total = earlier.total
	}
	for region := range configuration.Regions {
		if earlier != nil && earlier.sources[region] != nil {
			next.sources[region] = earlier.sources[region]
			continue
		}
		next.sources[region] = &sourceState{}
	}
	return next
}

// count closes the period: it records what was admitted and returns what was offered, in requests per second.
func (keeper *Controller) count(now time.Time, configuration *oleandervane.Configuration, figures figures) map[oleandervane.Flow]float64 {
	seconds := now.Sub(keeper.lastTick).Seconds()
	if keeper.lastTick.IsZero() || seconds <= 0 {
		seconds = Period.Seconds()
	}
	keeper.lastTick = now
	latest := period{until: now, flows: map[oleandervane.Flow]admission{}}
	offered := map[oleandervane.Flow]float64{}
	for name, service := range keeper.state.Load().services {
		for home, source := range service.sources {
			flow := oleandervane.Flow{Service: name, Home: home}
			offered[flow] = source.offered.reset() / seconds
			latest.flows[flow] = source.close(service.allotment.LimitPerSecond[home], figures[flow].DemandPerSecond, seconds)
		}
	}
	keeper.history.add(latest, longestShiftWindow(configuration))
	return offered
}

// close ends a period and returns what was admitted in it.
func (source *sourceState) close(limitPerSecond, demandPerSecond, seconds float64) admission {
	requests, amount := source.admittedRequests.reset(), source.admittedAmount.reset()
	return admission{
		requests:        requests,
		amount:          amount,
		perSecond:       (requests + amount) / seconds,
		limitPerSecond:  limitPerSecond,
		demandPerSecond: demandPerSecond,
		seconds:         seconds,
	}
}

func longestShiftWindow(configuration *oleandervane.Configuration) time.Duration {
	longest := time.Duration(0)
	for _, service := range configuration.Services {
		longest = max(longest, service.ShiftWindow)
	}
	return longest
}

func (keeper *Controller) input(now time.Time, configuration *oleandervane.Configuration, figures figures, name oleandervane.ServiceName, offered map[oleandervane.Flow]float64) AllotmentInput {
	service := configuration.Services[name]
	own := oleandervane.Flow{Service: name, Home: keeper.self.Region}
	input := AllotmentInput{
		Service:           service,
		Region:            keeper.self.Region,
		Part:              keeper.roster.Part(),
		CapacityPerSecond: figures[own].CapacityPerSecond,
		DemandPerSecond:   figures[own].DemandPerSecond,
		OwnPerSecond:      offered[own],
		Age:               max(0, now.Sub(figures[own].MeasuredAt)),
		Factor:            1,
		without:           keeper.without,
	}
	if keeper.drainage != nil {
		input.Factor = keeper.drainage(now, keeper.self.Region, name).Remaining()
	}
	lost := keeper.inputs.LostRegions()
	for _, region := range slices.Sorted(maps.Keys(configuration.Regions)) {
		if region == keeper.self.Region {
			continue
		}
		flow := oleandervane.Flow{Service: name, Home: region}
		input.Sources = append(input.Sources, keeper.source(now, configuration, service, figures[flow], flow, lost))
	}
	return input
}

func (keeper *Controller) source(now time.Time, configuration *oleandervane.Configuration, service oleandervane.Service, summary oleandervane.RegionSummary, flow oleandervane.Flow, lost map[oleandervane.Region]bool) Source {
	usable := summary.CapacityPerSecond * (1 - service.Headroom)
	if keeper.drainage != nil {
		usable = keeper.drainage(now, flow.Home, service.Name).Usable(usable, summary.DemandPerSecond)
	}
	shiftCap := service.ShiftCap
	if lost[flow.Home] {
		usable = 0
	}
	for region, isLost := range lost {
		if isLost && region != keeper.self.Region {
			shiftCap = max(shiftCap, service.FailoverCap)
		}
	}
	return Source{
		Region:            flow.Home,
		DemandPerSecond:   summary.DemandPerSecond,
		OverflowPerSecond: max(0, summary.DemandPerSecond-usable),
		ShiftPart:         shiftCap * share.ReceiverPart(configuration, flow.Home, keeper.self.Region),
		AdmittedPerSecond: keeper.history.lastPerSecond(flow),
		LowestShare:       keeper.history.lowestShare(now, flow, service.ShiftWindow),
	}
}

// figures has the newest summary of each region and service.
type figures map[oleandervane.Flow]oleandervane.RegionSummary

func newFigures(configuration *oleandervane.Configuration, summaries []oleandervane.RegionSummary) figures {
	result := make(figures, len(summaries))
	for _, summary := range summaries {
		if _, known := configuration.Services[summary.Service]; !known {
			continue
		}
		flow := oleandervane.Flow{Service: summary.Service, Home: summary.Region}
		if known, found := result[flow]; found && !summary.MeasuredAt.After(known.MeasuredAt) {
			continue
		}
		summary.CapacityPerSecond = max(0, summary.CapacityPerSecond)
		summary.DemandPerSecond = max(0, summary.DemandPerSecond)
		result[flow] = summary
	}
	return result
}
