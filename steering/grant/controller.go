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

// Inputs provides the state that a controller works with. Its methods return immutable values and are called once a
// period.
type Inputs interface {
	oleandervane.ConfigurationSource
	// Summaries are the newest known summaries of all regions.
	Summaries() []oleandervane.RegionSummary
	// Roster is this VM's view of its region's entry VMs.
	Roster() RosterView
	// LostRegions are regions known to be lost.
	LostRegions() map[oleandervane.Region]bool
}

// Controller grants one VM's part of its region's capacity and admits requests within it. TryAdmit is safe for
// concurrent use with everything else.
type Controller struct {
	self       oleandervane.EntryVM
	inputs     Inputs
	drainState share.DrainStateFunc
	mutex      sync.Mutex
	roster     Roster
	history    history
	lastTick   time.Time
	state      atomic.Pointer[state]
	disabled   guard.Disabled
}

// state is the published result of a tick. Its maps are immutable; token buckets and counters are carried over between
// states.
type state struct {
	part       float64
	regionPart float64
	count      PeerCount
	services   map[oleandervane.ServiceName]*serviceState
	grants     []oleandervane.Grant
}

type serviceState struct {
	allotment Allotment
	total     *tokenBucket
	sources   map[oleandervane.Region]*sourceState
}

type sourceState struct {
	bucket tokenBucket
	// admittedRequests counts single requests; admittedAmount sums up rates.
	admittedRequests counter
	admittedAmount   counter
	offered          counter
}

// counter sums up requests, or rates in simulations.
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

// NewController returns a controller without a part. The function for the state of planned drains may be nil.
func NewController(self oleandervane.EntryVM, inputs Inputs, drainState share.DrainStateFunc) *Controller {
	controller := &Controller{self: self, inputs: inputs, drainState: drainState, roster: NewRoster(self.ID)}
	controller.state.Store(&state{})
	return controller
}

// WithoutGuards disables some of the controller's guards, for the mutation check. It must be called before Run.
func (controller *Controller) WithoutGuards(disabled guard.Disabled) {
	controller.disabled = disabled
	controller.roster = controller.roster.WithoutGuards(disabled)
}

// Run computes the allotments once each Period until the returned function is called.
func (controller *Controller) Run(timerService oleandervane.TimerService) (cancel func()) {
	return timerService.Every(Period, controller.Tick)
}

// Grants returns this VM's grants to other regions.
func (controller *Controller) Grants() []oleandervane.Grant {
	return controller.state.Load().grants
}

// Part returns the share of the region's capacity that this VM owns.
func (controller *Controller) Part() float64 {
	return controller.state.Load().part
}

// RegionPart returns the share of the region's capacity that its live VMs own together, as far as this VM knows.
func (controller *Controller) RegionPart() float64 {
	return controller.state.Load().regionPart
}

// Count returns the VMs that this VM counts, for its peers.
func (controller *Controller) Count() PeerCount {
	return controller.state.Load().count
}

// TryAdmit admits one request of a caller whose home is the given region. If it returns false, the request is not run.
func (controller *Controller) TryAdmit(now time.Time, serviceName oleandervane.ServiceName, home oleandervane.Region) bool {
	service := controller.state.Load().services[serviceName]
	if service == nil {
		return false
	}
	source := service.sources[home]
	if source == nil {
		return false
	}
	source.offered.add(1)
	limit, limited := service.allotment.LimitPerSecond[home]
	if limited && !source.bucket.take(now, limit) {
		return false
	}
	if !service.total.take(now, service.allotment.TotalPerSecond) {
		if limited {
			source.bucket.refund(limit)
		}
		return false
	}
	source.admittedRequests.add(1)
	return true
}

// AdmitRates is TryAdmit for offered rates, by home region, that last until the next tick. It returns the admitted
// rates.
func (controller *Controller) AdmitRates(serviceName oleandervane.ServiceName, offered map[oleandervane.Region]float64) map[oleandervane.Region]float64 {
	service := controller.state.Load().services[serviceName]
	if service == nil {
		return nil
	}
	admitted := service.allotment.Admit(controller.self.Region, offered)
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

// Tick computes the allotments for the next period.
func (controller *Controller) Tick(now time.Time) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	configuration := controller.inputs.Configuration()
	if configuration == nil {
		return
	}
	controller.roster = controller.roster.Observe(controller.inputs.Roster())
	summaries := newSummaryIndex(configuration, controller.inputs.Summaries())
	offered := controller.closePeriod(now, configuration, summaries)
	before := controller.state.Load()
	next := &state{
		part:       controller.roster.Part(),
		regionPart: controller.roster.RegionPart(now),
		count:      PeerCount{VM: controller.self.ID, Counted: controller.roster.Counted(), Indirect: controller.roster.Indirect(), OwnsPart: controller.roster.OwnsPart(), ReceivedAt: now},
		services:   make(map[oleandervane.ServiceName]*serviceState, len(configuration.Services)),
	}
	for _, name := range slices.Sorted(maps.Keys(configuration.Services)) {
		input := controller.input(now, configuration, summaries, name, offered)
		allotment := Allot(input)
		next.services[name] = before.services[name].successor(configuration, allotment)
		next.grants = append(next.grants, allotment.Grants(name, controller.self.Region, now)...)
	}
	controller.state.Store(next)
}

// successor returns the next state of a service, with the token buckets of the previous one.
func (earlier *serviceState) successor(configuration *oleandervane.Configuration, allotment Allotment) *serviceState {
	next := &serviceState{
		allotment: allotment,
		total:     &tokenBucket{},
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

// closePeriod records the admitted requests of the period and returns the offered rates, in requests per second.
func (controller *Controller) closePeriod(now time.Time, configuration *oleandervane.Configuration, summaries summaryIndex) map[oleandervane.Flow]float64 {
	seconds := now.Sub(controller.lastTick).Seconds()
	if controller.lastTick.IsZero() || seconds <= 0 {
		seconds = Period.Seconds()
	}
	controller.lastTick = now
	latest := period{until: now, flows: map[oleandervane.Flow]admission{}}
	offered := map[oleandervane.Flow]float64{}
	for name, service := range controller.state.Load().services {
		for home, source := range service.sources {
			flow := oleandervane.Flow{Service: name, Home: home}
			offered[flow] = source.offered.reset() / seconds
			latest.flows[flow] = source.close(service.allotment.LimitPerSecond[home], summaries[flow].DemandPerSecond, seconds)
		}
	}
	controller.history.add(latest, longestShiftWindow(configuration))
	return offered
}

// close ends a period and returns its admission.
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

func (controller *Controller) input(now time.Time, configuration *oleandervane.Configuration, summaries summaryIndex, name oleandervane.ServiceName, offered map[oleandervane.Flow]float64) AllotmentInput {
	service := configuration.Services[name]
	own := oleandervane.Flow{Service: name, Home: controller.self.Region}
	input := AllotmentInput{
		Service:           service,
		Region:            controller.self.Region,
		Part:              controller.roster.Part(),
		CapacityPerSecond: summaries[own].CapacityPerSecond,
		DemandPerSecond:   summaries[own].DemandPerSecond,
		OwnPerSecond:      offered[own],
		Age:               max(0, now.Sub(summaries[own].MeasuredAt)),
		Remaining:         1,
		disabled:          controller.disabled,
	}
	if controller.drainState != nil {
		input.Remaining = controller.drainState(now, controller.self.Region, name).Remaining()
	}
	lost := controller.inputs.LostRegions()
	for _, region := range slices.Sorted(maps.Keys(configuration.Regions)) {
		if region == controller.self.Region {
			continue
		}
		flow := oleandervane.Flow{Service: name, Home: region}
		input.Sources = append(input.Sources, controller.source(now, configuration, service, summaries[flow], flow, lost))
	}
	return input
}

func (controller *Controller) source(now time.Time, configuration *oleandervane.Configuration, service oleandervane.Service, summary oleandervane.RegionSummary, flow oleandervane.Flow, lost map[oleandervane.Region]bool) Source {
	usable := summary.CapacityPerSecond * (1 - service.Headroom)
	if controller.drainState != nil {
		usable = controller.drainState(now, flow.Home, service.Name).Usable(usable, summary.DemandPerSecond)
	}
	shiftCap := service.ShiftCap
	if lost[flow.Home] {
		usable = 0
	}
	for region, isLost := range lost {
		if isLost && region != controller.self.Region {
			shiftCap = max(shiftCap, service.FailoverCap)
		}
	}
	return Source{
		Region:            flow.Home,
		DemandPerSecond:   summary.DemandPerSecond,
		OverflowPerSecond: max(0, summary.DemandPerSecond-usable),
		ShiftPart:         shiftCap * share.ReceiverPart(configuration, flow.Home, controller.self.Region),
		AdmittedPerSecond: controller.history.lastPerSecond(flow),
		LowestShare:       controller.history.lowestShare(now, flow, service.ShiftWindow),
	}
}

// summaryIndex has the newest summary of each region and service.
type summaryIndex map[oleandervane.Flow]oleandervane.RegionSummary

func newSummaryIndex(configuration *oleandervane.Configuration, summaries []oleandervane.RegionSummary) summaryIndex {
	result := make(summaryIndex, len(summaries))
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
