package comparison

import (
	"time"

	"oleandervane.example"
	"oleandervane.example/steering/grant"
	"oleandervane.example/steering/internal/guard"
	"oleandervane.example/steering/share"
)

// Strategy names a way of steering.
type Strategy string

// The strategies that are compared. Grants is the one in use.
const (
	Grants      Strategy = "grants"
	Budgets     Strategy = "budgets"
	Planner     Strategy = "planner"
	Nearest     Strategy = "nearest"
	LeastLoaded Strategy = "least_loaded"
)

// Strategies returns all strategies, the one in use first and the baselines last.
func Strategies() []Strategy {
	return []Strategy{Grants, Budgets, Planner, Nearest, LeastLoaded}
}

// decider is the decision code of one VM.
type decider interface {
	tick(now time.Time)
	// vector returns the shares of a flow.
	vector(flow oleandervane.Flow) oleandervane.ShareVector
	// admit returns what the VM takes of the offered rates, by home region.
	admit(service oleandervane.ServiceName, offered map[oleandervane.Region]float64) map[oleandervane.Region]float64
	// ready says whether look-ups name the VM.
	ready() bool
	// publish fills in what other VMs hear.
	publish(published *published)
}

// newDecider returns the decision code of a VM that has just started.
func (fleet *Fleet) newDecider(vm *vm) decider {
	switch fleet.strategy {
	case Budgets:
		return &budgetDecider{fleet: fleet, steerer: share.NewSteerer(vm.entry, budgetSight{vm}, fleet.policy())}
	case Planner:
		return &plannerDecider{fleet: fleet, vm: vm}
	case Nearest:
		return &nearestDecider{vm: vm}
	case LeastLoaded:
		return &leastLoadedDecider{vm: vm}
	}
	keeper := grant.NewController(vm.entry, vm, fleet.drainage)
	keeper.WithoutGuards(fleet.without)
	return &grantDecider{keeper: keeper, steerer: share.NewSteerer(vm.entry, vm, fleet.policy())}
}

func (fleet *Fleet) policy() share.Policy {
	return share.NewPolicy(fleet.drainage).WithoutGuards(fleet.without)
}

// grantDecider is the system as it runs: room granted by the receiving region.
type grantDecider struct {
	keeper  *grant.Controller
	steerer *share.Steerer
}

func (decider *grantDecider) tick(now time.Time) {
	decider.keeper.Tick(now)
	decider.steerer.Tick(now)
}

func (decider *grantDecider) vector(flow oleandervane.Flow) oleandervane.ShareVector {
	return vectorOf(decider.steerer, flow)
}

func vectorOf(steerer *share.Steerer, flow oleandervane.Flow) oleandervane.ShareVector {
	vector, found := steerer.PeerShares().Shares[flow]
	if !found {
		return oleandervane.ShareVector{flow.Home: 1}
	}
	return vector
}

func (decider *grantDecider) admit(service oleandervane.ServiceName, offered map[oleandervane.Region]float64) map[oleandervane.Region]float64 {
	return decider.keeper.AdmitRates(service, offered)
}

func (decider *grantDecider) ready() bool {
	return decider.keeper.Part() > 0 && decider.steerer.Restored()
}

func (decider *grantDecider) publish(published *published) {
	published.grants = decider.keeper.Grants()
	published.count = decider.keeper.Count()
	published.shares = decider.steerer.PeerShares()
}

// admitAll is the arrival side of strategies that enforce nothing there.
type admitAll struct{}

func (admitAll) admit(_ oleandervane.ServiceName, offered map[oleandervane.Region]float64) map[oleandervane.Region]float64 {
	return offered
}

func (admitAll) ready() bool { return true }

func (admitAll) publish(*published) {}

// budgetDecider is alternative (ii): every VM computes the room of every region for every other by itself.
type budgetDecider struct {
	admitAll
	fleet   *Fleet
	steerer *share.Steerer
}

func (decider *budgetDecider) tick(now time.Time) { decider.steerer.Tick(now) }

func (decider *budgetDecider) vector(flow oleandervane.Flow) oleandervane.ShareVector {
	return vectorOf(decider.steerer, flow)
}

func (decider *budgetDecider) publish(published *published) {
	published.shares = decider.steerer.PeerShares()
}

// budgetSight replaces grants by budgets that the VM computes from the summaries it knows.
type budgetSight struct{ *vm }

// Grants returns the room of each region, split by overflow.
func (inputs budgetSight) Grants() []oleandervane.Grant {
	return budgets(inputs.vm, inputs.vm.Now())
}

func budgets(vm *vm, now time.Time) []oleandervane.Grant {
	configuration := vm.Configuration()
	lost := vm.LostRegions()
	overflow := map[oleandervane.Flow]float64{}
	room := map[oleandervane.Flow]float64{}
	total := map[oleandervane.ServiceName]float64{}
	for _, summary := range vm.Summaries() {
		flow := oleandervane.Flow{Service: summary.Service, Home: summary.Region}
		usable := summary.CapacityPerSecond * (1 - configuration.Services[summary.Service].Headroom)
		if lost[summary.Region] {
			usable = 0
		}
		overflow[flow] = max(0, summary.DemandPerSecond-usable)
		room[flow] = max(0, usable-summary.DemandPerSecond)
		total[summary.Service] += overflow[flow]
	}
	var grants []oleandervane.Grant
	for to, free := range room {
		for from, wanted := range overflow {
			if from.Service != to.Service || from.Home == to.Home || wanted == 0 {
				continue
			}
			grants = append(grants, oleandervane.Grant{
				Service: to.Service, From: from.Home, To: to.Home,
				PerSecond: free * wanted / total[to.Service], ExpiresAt: now.Add(grant.Lifetime),
			})
		}
	}
	return grants
}

// plannerLease is how long the planner's lease lasts without renewal, and plannerAge how old its plan may be.
const plannerLease = 10 * time.Second

// plannerDecider is alternative (i): the holder of a lease in the store plans for all, and the others apply the
// newest plan that they have heard.
type plannerDecider struct {
	admitAll
	fleet   *Fleet
	vm      *vm
	planner *share.Steerer
	plan    share.PeerShares
}

func (decider *plannerDecider) tick(now time.Time) {
	if decider.fleet.holdsLease(decider.vm, now) {
		if decider.planner == nil {
			decider.planner = share.NewSteerer(decider.vm.entry, plannerSight{budgetSight{decider.vm}, decider.plan}, decider.fleet.policy())
		}
		decider.planner.Tick(now)
		decider.plan = decider.planner.PeerShares()
		return
	}
	decider.planner = nil
	for _, heard := range decider.vm.heard {
		if heard != nil && heard.shares.At.After(decider.plan.At) {
			decider.plan = heard.shares
		}
	}
}

func (decider *plannerDecider) vector(flow oleandervane.Flow) oleandervane.ShareVector {
	vector, found := decider.plan.Shares[flow]
	if !found {
		return oleandervane.ShareVector{flow.Home: 1}
	}
	return vector
}

func (decider *plannerDecider) publish(published *published) {
	published.shares = decider.plan
}

// plannerSight gives a new planner the plan of the one before.
type plannerSight struct {
	budgetSight
	plan share.PeerShares
}

// Peers returns the plan in force.
func (inputs plannerSight) Peers() []share.PeerShares {
	plan := inputs.plan
	plan.VM, plan.Region, plan.At = "plan", inputs.entry.Region, inputs.Now()
	if plan.Shares == nil {
		return nil
	}
	return []share.PeerShares{plan}
}

// nearestDecider is the baseline that serves at home, or in the nearest region if home is known to be lost.
type nearestDecider struct {
	admitAll
	vm *vm
}

func (decider *nearestDecider) tick(time.Time) {}

func (decider *nearestDecider) vector(flow oleandervane.Flow) oleandervane.ShareVector {
	lost := decider.vm.LostRegions()
	if !lost[flow.Home] {
		return oleandervane.ShareVector{flow.Home: 1}
	}
	return nearest(decider.vm, flow.Home, lost)
}

func nearest(vm *vm, home oleandervane.Region, lost map[oleandervane.Region]bool) oleandervane.ShareVector {
	best, bestDelay := home, time.Duration(0)
	for _, region := range vm.fleet.deployment.Regions {
		delay, _ := vm.Configuration().Delay(home, region)
		if region == home || lost[region] {
			continue
		}
		if best == home || delay < bestDelay {
			best, bestDelay = region, delay
		}
	}
	return oleandervane.ShareVector{best: 1}
}

// leastLoadedDecider is the baseline that sends everything to the region with the least reported load, without cap.
type leastLoadedDecider struct {
	admitAll
	vm *vm
}

func (decider *leastLoadedDecider) tick(time.Time) {}

func (decider *leastLoadedDecider) vector(flow oleandervane.Flow) oleandervane.ShareVector {
	lost := decider.vm.LostRegions()
	best, bestLoad := flow.Home, 0.0
	found := false
	for _, summary := range decider.vm.Summaries() {
		if summary.Service != flow.Service || lost[summary.Region] || summary.CapacityPerSecond <= 0 {
			continue
		}
		load := summary.UsedPerSecond / summary.CapacityPerSecond
		if !found || load < bestLoad || load == bestLoad && summary.Region == flow.Home {
			best, bestLoad, found = summary.Region, load, true
		}
	}
	return oleandervane.ShareVector{best: 1}
}

// Option changes how a case is run.
type Option func(*Fleet)

// withoutGuards switches guards off.
func withoutGuards(without guard.Disabled) Option {
	return func(fleet *Fleet) { fleet.without = without }
}

// withWarmUp sets the number of seconds before the times of the case begin.
func withWarmUp(seconds int) Option {
	return func(fleet *Fleet) { fleet.warmUp = seconds }
}
