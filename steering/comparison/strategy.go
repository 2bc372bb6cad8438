package comparison

import (
	"time"

	"oleandervane.example"
	"oleandervane.example/steering/grant"
	"oleandervane.example/steering/internal/guard"
	"oleandervane.example/steering/share"
)

// Strategy is the name of a steering strategy.
type Strategy string

// The strategies that are compared. Grants is the strategy that production uses.
const (
	Grants      Strategy = "grants"
	Budgets     Strategy = "budgets"
	Planner     Strategy = "planner"
	Nearest     Strategy = "nearest"
	LeastLoaded Strategy = "least_loaded"
)

// Strategies returns all strategies, Grants first and the baselines last.
func Strategies() []Strategy {
	return []Strategy{Grants, Budgets, Planner, Nearest, LeastLoaded}
}

// decider is the decision code of one VM.
type decider interface {
	tick(now time.Time)
	// vector returns the shares of a flow.
	vector(flow oleandervane.Flow) oleandervane.ShareVector
	// admit returns the rates that the VM admits out of the offered rates, by home region.
	admit(service oleandervane.ServiceName, offered map[oleandervane.Region]float64) map[oleandervane.Region]float64
	// ready reports whether look-ups return the VM.
	ready() bool
	// publish fills in the notice that other VMs receive.
	publish(outgoing *notice)
}

// newDecider returns the decision code of a VM that has just started.
func (fleet *Fleet) newDecider(vm *vm) decider {
	switch fleet.strategy {
	case Budgets:
		return &budgetDecider{fleet: fleet, steerer: share.NewSteerer(vm.entry, budgetInputs{vm}, fleet.policy())}
	case Planner:
		return &plannerDecider{fleet: fleet, vm: vm}
	case Nearest:
		return &nearestDecider{vm: vm}
	case LeastLoaded:
		return &leastLoadedDecider{vm: vm}
	}
	controller := grant.NewController(vm.entry, vm, fleet.drainState)
	controller.WithoutGuards(fleet.disabledGuards)
	return &grantDecider{controller: controller, steerer: share.NewSteerer(vm.entry, vm, fleet.policy())}
}

func (fleet *Fleet) policy() share.Policy {
	return share.NewPolicy(fleet.drainState).WithoutGuards(fleet.disabledGuards)
}

// grantDecider is the strategy in production: receiving regions grant their spare capacity.
type grantDecider struct {
	controller *grant.Controller
	steerer    *share.Steerer
}

func (decider *grantDecider) tick(now time.Time) {
	decider.controller.Tick(now)
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
	return decider.controller.AdmitRates(service, offered)
}

func (decider *grantDecider) ready() bool {
	return decider.controller.Part() > 0 && decider.steerer.Restored()
}

func (decider *grantDecider) publish(outgoing *notice) {
	outgoing.grants = decider.controller.Grants()
	outgoing.count = decider.controller.Count()
	outgoing.shares = decider.steerer.PeerShares()
}

// admitAll is the receiving side of strategies that enforce no limit on arrival.
type admitAll struct{}

func (admitAll) admit(_ oleandervane.ServiceName, offered map[oleandervane.Region]float64) map[oleandervane.Region]float64 {
	return offered
}

func (admitAll) ready() bool { return true }

func (admitAll) publish(*notice) {}

// budgetDecider is strategy Budgets: every VM computes by itself the spare capacity of every region for every other.
type budgetDecider struct {
	admitAll
	fleet   *Fleet
	steerer *share.Steerer
}

func (decider *budgetDecider) tick(now time.Time) { decider.steerer.Tick(now) }

func (decider *budgetDecider) vector(flow oleandervane.Flow) oleandervane.ShareVector {
	return vectorOf(decider.steerer, flow)
}

func (decider *budgetDecider) publish(outgoing *notice) {
	outgoing.shares = decider.steerer.PeerShares()
}

// budgetInputs replaces grants by budgets that the VM computes from the summaries that it has received.
type budgetInputs struct{ *vm }

// Grants returns the spare capacity of each region, divided in proportion to the overflow of the others.
func (budgetInputs budgetInputs) Grants() []oleandervane.Grant {
	return budgets(budgetInputs.vm, budgetInputs.vm.Now())
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
		for from, excess := range overflow {
			if from.Service != to.Service || from.Home == to.Home || excess == 0 {
				continue
			}
			grants = append(grants, oleandervane.Grant{
				Service: to.Service, From: from.Home, To: to.Home,
				PerSecond: free * excess / total[to.Service], ExpiresAt: now.Add(grant.Lifetime),
			})
		}
	}
	return grants
}

// plannerLease is how long the planner's lease lasts without renewal.
const plannerLease = 10 * time.Second

// plannerDecider is strategy Planner: the VM that has a lease in the store plans for all, and the others apply the
// newest plan that they have received.
type plannerDecider struct {
	admitAll
	fleet   *Fleet
	vm      *vm
	planner *share.Steerer
	plan    share.PeerShares
}

func (decider *plannerDecider) tick(now time.Time) {
	if decider.fleet.acquireLease(decider.vm, now) {
		if decider.planner == nil {
			decider.planner = share.NewSteerer(decider.vm.entry, plannerInputs{budgetInputs{decider.vm}, decider.plan}, decider.fleet.policy())
		}
		decider.planner.Tick(now)
		decider.plan = decider.planner.PeerShares()
		return
	}
	decider.planner = nil
	for _, received := range decider.vm.receivedNotices {
		if received != nil && received.shares.At.After(decider.plan.At) {
			decider.plan = received.shares
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

func (decider *plannerDecider) publish(outgoing *notice) {
	outgoing.shares = decider.plan
}

// plannerInputs passes the plan of the previous planner to a new one.
type plannerInputs struct {
	budgetInputs
	plan share.PeerShares
}

// Peers returns the current plan as the shares of a peer.
func (plannerInputs plannerInputs) Peers() []share.PeerShares {
	plan := plannerInputs.plan
	plan.VM, plan.Region, plan.At = "plan", plannerInputs.entry.Region, plannerInputs.Now()
	if plan.Shares == nil {
		return nil
	}
	return []share.PeerShares{plan}
}

// nearestDecider is the baseline that serves a flow at home, or in the nearest region if the loss of home was detected.
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

// leastLoadedDecider is the baseline that sends all traffic to the region with the lowest reported load, without a cap.
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

// withoutGuards disables guards of the decision code.
func withoutGuards(disabled guard.Disabled) Option {
	return func(fleet *Fleet) { fleet.disabledGuards = disabled }
}

// withWarmUp sets the number of seconds that run before second 0 of the case.
func withWarmUp(seconds int) Option {
	return func(fleet *Fleet) { fleet.warmUpSeconds = seconds }
}
