package share

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/steering/internal/guard"
)

// Policy implements oleandervane.SteeringPolicy. It serves a flow in its home region up to capacity less headroom, and
// the overflow in the nearest regions that granted room. It is immutable and safe for concurrent use.
type Policy struct {
	drainState DrainStateFunc
	// disabled has the guards that tests disable.
	disabled guard.Disabled
}

var _ oleandervane.SteeringPolicy = Policy{}

// NewPolicy returns a policy. The function for the state of planned drains may be nil.
func NewPolicy(drainState DrainStateFunc) Policy {
	return Policy{drainState: drainState}
}

// WithoutGuards returns a policy with some of its guards disabled, for the mutation check.
func (policy Policy) WithoutGuards(disabled guard.Disabled) Policy {
	policy.disabled = disabled
	return policy
}

const (
	// gainAge is the age of a measurement at which a decision covers half of the distance to its target. At an age
	// of 20 s a decision covers 9%, so that several decisions on the same late measurements do not add up to an
	// overshoot.
	gainAge = 2 * time.Second
	// smallestGain lets shares change when the measurements of a region stop. Demand does not depend on shares, so a
	// late measurement cannot sustain an oscillation.
	smallestGain = 0.05
	// settledDistance is the largest difference between a share and its target that is closed in one step.
	settledDistance = 0.002
	// linkUse is the share of a link that the flows of one direction may use. The other half carries the responses of
	// the flows in the other direction, which the home region at the other end steers without coordination.
	linkUse = 0.5
	// tolerance absorbs rounding when a vector is compared with the cap.
	tolerance = 1e-9
)

// Decide returns the shares that follow from the input. Flows whose service or home region is not configured get none.
func (policy Policy) Decide(input oleandervane.SteeringInput) oleandervane.SteeringDecision {
	decision := oleandervane.SteeringDecision{
		Shares:  map[oleandervane.Flow]oleandervane.ShareVector{},
		Reasons: map[oleandervane.Flow]string{},
	}
	if input.Configuration == nil {
		decision.Shares = input.Shares
		return decision
	}
	indexedInput := newIndexedInput(input)
	names := slices.Sorted(maps.Keys(input.Configuration.Services))
	states := indexedInput.serviceStates(names, policy.drainState)
	for home := range indexedInput.regions {
		plans := policy.planHome(indexedInput, states, home)
		for i, plan := range plans {
			flow := oleandervane.Flow{Service: names[i], Home: indexedInput.regions[home]}
			decision.Shares[flow] = indexedInput.vector(plan.next)
			decision.Reasons[flow] = plan.reason
		}
	}
	return decision
}

// plan is the decision for one flow, with a share for each region.
type plan struct {
	state   *serviceState
	home    int
	current []float64
	// past has the vectors of the shift window, oldest first.
	past   [][]float64
	limit  []float64
	target []float64
	next   []float64
	cap    float64
	gain   float64
	reason string
}

// planHome decides on all flows of a home region together, because they share its links.
func (policy Policy) planHome(indexedInput *indexedInput, states []*serviceState, home int) []*plan {
	plans := make([]*plan, len(states))
	for i, state := range states {
		plans[i] = policy.newPlan(indexedInput, state, home)
	}
	if !policy.disabled.Link {
		indexedInput.limitLinks(plans, home)
	}
	for _, plan := range plans {
		policy.decide(indexedInput, plan)
	}
	return plans
}

func (policy Policy) newPlan(indexedInput *indexedInput, state *serviceState, home int) *plan {
	flow := oleandervane.Flow{Service: state.service.Name, Home: indexedInput.regions[home]}
	plan := &plan{state: state, home: home, gain: gain(state.age[home])}
	if indexedInput.lost[home] {
		// The measurements of a lost region stay old. Only the failover cap bounds the shift.
		plan.gain = 1
	}
	if policy.disabled.Damping {
		plan.gain = undampedGain
	}
	plan.current = indexedInput.current(flow, home)
	plan.past = indexedInput.past(flow, home, state.service.ShiftWindow)
	plan.limit = policy.limits(indexedInput, plan)
	plan.cap = indexedInput.capOf(plan)
	policy.setTarget(indexedInput, plan)
	return plan
}

// undampedGain replaces the gain when the mutation check disables damping.
const undampedGain = 3

// gain returns the share of the distance to its target that a decision covers, for measurements of the given age.
func gain(age time.Duration) float64 {
	return max(smallestGain, float64(gainAge)/float64(gainAge+age))
}

// current returns the flow's shares in force; a flow without any is served at home.
func (indexedInput *indexedInput) current(flow oleandervane.Flow, home int) []float64 {
	vector, found := indexedInput.input.Shares[flow]
	if found {
		return indexedInput.dense(vector)
	}
	shares := make([]float64, len(indexedInput.regions))
	if !indexedInput.lost[home] {
		shares[home] = 1
	}
	return shares
}

// dense returns a vector as a slice of shares by region index.
func (indexedInput *indexedInput) dense(vector oleandervane.ShareVector) []float64 {
	shares := make([]float64, len(indexedInput.regions))
	if len(vector) > len(shares)/2 {
		for i, region := range indexedInput.regions {
			shares[i] = vector[region]
		}
		return shares
	}
	for region, share := range vector {
		if i, known := indexedInput.index[region]; known {
			shares[i] = share
		}
	}
	return shares
}

// vector is the inverse of dense; it leaves out regions without a share.
func (indexedInput *indexedInput) vector(shares []float64) oleandervane.ShareVector {
	vector := make(oleandervane.ShareVector, 2)
	for i, share := range shares {
		if share > 0 {
			vector[indexedInput.regions[i]] = share
		}
	}
	return vector
}

// past returns the vectors in force at some time of the shift window, without repetitions. The newest entry that
// is older than the window was still in force when the window began.
func (indexedInput *indexedInput) past(flow oleandervane.Flow, home int, window time.Duration) [][]float64 {
	var past [][]float64
	windowStart := indexedInput.input.Now.Add(-window)
	for i, earlier := range indexedInput.input.History {
		next := i + 1
		if next < len(indexedInput.input.History) && !indexedInput.input.History[next].From.After(windowStart) {
			continue
		}
		vector, found := earlier.Shares[flow]
		if !found {
			continue
		}
		shares := indexedInput.dense(vector)
		if len(past) > 0 && slices.Equal(past[len(past)-1], shares) {
			continue
		}
		past = append(past, shares)
	}
	if len(past) == 0 {
		past = append(past, indexedInput.current(flow, home))
	}
	return past
}

// limits returns the largest share that each region may have, regardless of the shift cap. A share above its limit is
// reduced to it at once, and the excess is shed.
func (policy Policy) limits(indexedInput *indexedInput, plan *plan) []float64 {
	limit := make([]float64, len(indexedInput.regions))
	state, home := plan.state, plan.home
	for region := range limit {
		switch {
		case indexedInput.lost[region] && !policy.disabled.LostRegions:
			limit[region] = 0
		case region == home:
			limit[region] = homeLimit(state, home, policy.disabled.HomeRoom)
		case policy.disabled.Grants:
			limit[region] = 1
		case state.demand[home] > 0:
			limit[region] = state.granted[home][region] / state.demand[home]
		case state.granted[home][region] > 0:
			// The flow's demand is unknown or zero. The last share stays in force while the region grants room.
			limit[region] = plan.current[region]
		}
		limit[region] = min(limit[region], 1)
	}
	return limit
}

// homeLimit returns the share of its own demand that the home region has room for. A home region without measurements
// keeps all of it, because missing measurements say nothing about room.
func homeLimit(state *serviceState, home int, unbounded bool) float64 {
	if unbounded || !state.measured[home] || state.demand[home] == 0 {
		return 1
	}
	return state.usable[home] / state.demand[home]
}

// capOf returns the cap in force: the failover cap while a lost region serves, or served, part of the flow.
func (indexedInput *indexedInput) capOf(plan *plan) float64 {
	service := plan.state.service
	for region, lost := range indexedInput.lost {
		if !lost {
			continue
		}
		if region == plan.home || plan.past[0][region] > 0 || plan.current[region] > 0 {
			return max(service.FailoverCap, service.ShiftCap)
		}
	}
	return service.ShiftCap
}

// setTarget sets the target: the home region up to its room, then the nearest regions up to their limits. Regions at
// the same delay keep their shares and split the rest in proportion to their free room.
func (policy Policy) setTarget(indexedInput *indexedInput, plan *plan) {
	state, home := plan.state, plan.home
	plan.target = make([]float64, len(indexedInput.regions))
	if !state.measured[home] && !indexedInput.lost[home] {
		plan.keepShares()
		return
	}
	ceiling := make([]float64, len(indexedInput.regions))
	for region := range ceiling {
		ceiling[region] = plan.limit[region] * state.drains[region].Remaining()
	}
	if state.demand[home] > 0 {
		ceiling[home] = min(1, plan.limit[home], state.drains[home].Usable(state.usable[home], state.demand[home])/state.demand[home])
	}
	plan.target[home] = min(1, ceiling[home])
	left := 1 - plan.target[home]
	for _, group := range indexedInput.near[home] {
		left = spread(plan, group, ceiling, left)
	}
	left = plan.assignRest(left)
	if left > tolerance {
		plan.reason = "no region has room for the rest of the flow, which is shed"
	}
}

// keepShares keeps the shares in force, because the home region's measurements are missing. Shares whose grant has
// expired return to the home region.
func (plan *plan) keepShares() {
	left := 0.0
	for region, share := range plan.current {
		plan.target[region] = min(share, plan.limit[region])
		left += share - plan.target[region]
	}
	plan.assignRest(left)
	plan.reason = "no measurements of the home region are known, and the last decision stays in force"
}

// assignRest assigns the share that no region had room for, so that a drain without room elsewhere sheds nothing: first
// to the home region, then to other regions up to their current shares. It returns the share that remains.
func (plan *plan) assignRest(left float64) float64 {
	back := min(left, max(0, plan.limit[plan.home]-plan.target[plan.home]))
	plan.target[plan.home] += back
	left -= back
	for region := range plan.target {
		if region == plan.home {
			continue
		}
		back := min(left, max(0, min(plan.current[region], plan.limit[region])-plan.target[region]))
		plan.target[region] += back
		left -= back
	}
	return left
}

// groups returns the regions other than home that are linked to it, in groups of the same delay, nearest first.
func (indexedInput *indexedInput) groups(home int) [][]int {
	var order []int
	for region := range indexedInput.regions {
		if region != home && indexedInput.part[home][region] > 0 {
			order = append(order, region)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(indexedInput.delay[home][a], indexedInput.delay[home][b]) })
	var groups [][]int
	for i, region := range order {
		if i == 0 || indexedInput.delay[home][order[i-1]] != indexedInput.delay[home][region] {
			groups = append(groups, nil)
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], region)
	}
	return groups
}

// spread assigns up to left to a group of regions and returns the share that remains.
func spread(plan *plan, group []int, ceiling []float64, left float64) float64 {
	kept, free := 0.0, 0.0
	for _, region := range group {
		plan.target[region] = min(plan.current[region], ceiling[region])
		kept += plan.target[region]
		free += ceiling[region] - plan.target[region]
	}
	if kept > left {
		for _, region := range group {
			plan.target[region] *= left / kept
		}
		return 0
	}
	if free <= 0 {
		return left - kept
	}
	extra := min(left-kept, free)
	for _, region := range group {
		plan.target[region] += (ceiling[region] - plan.target[region]) * extra / free
	}
	return left - kept - extra
}

// limitLinks lowers limits and targets so that all flows of the home region together fit each link. Services shift in
// steps of different size, so capacity that one of them frees is available to another only at the next decision.
func (indexedInput *indexedInput) limitLinks(plans []*plan, home int) {
	for region := range indexedInput.regions {
		capacity := indexedInput.linkBytes[home][region] * linkUse
		if region == home || capacity <= 0 {
			continue
		}
		used, added := 0.0, 0.0
		for _, plan := range plans {
			base := min(plan.current[region], plan.limit[region])
			used += base * plan.linkBytes()
			added += max(0, plan.target[region]-base) * plan.linkBytes()
		}
		indexedInput.limitLink(plans, region, min(1, capacity/used), min(1, max(0, capacity-used)/added))
	}
}

// limitLink scales the shares that the plans send over a link now, and those that they would add.
func (indexedInput *indexedInput) limitLink(plans []*plan, region int, currentScale, addedScale float64) {
	for _, plan := range plans {
		base := min(plan.current[region], plan.limit[region])
		if currentScale < 1 {
			plan.limit[region] = base * currentScale
			plan.target[region] = min(plan.target[region], plan.limit[region])
		}
		if addedScale < 1 && plan.target[region] > base {
			plan.target[region] = base + (plan.target[region]-base)*addedScale
			plan.reason = "the link to " + string(indexedInput.regions[region]) + " is full"
		}
	}
}

// linkBytes returns the bytes per second of the whole flow.
func (plan *plan) linkBytes() float64 {
	return plan.state.demand[plan.home] * float64(plan.state.service.RequestBytes)
}

// decide sets the next vector: limits apply at once, and the shift to the target is bounded by the gain and the cap.
func (policy Policy) decide(indexedInput *indexedInput, plan *plan) {
	base := make([]float64, len(plan.current))
	distance := 0.0
	for region := range base {
		base[region] = min(plan.current[region], plan.limit[region])
		plan.target[region] = min(plan.target[region], plan.limit[region])
		distance = max(distance, math.Abs(plan.target[region]-base[region]))
	}
	step := plan.gain
	if distance <= settledDistance && !policy.disabled.Damping {
		step = 1
	}
	if !policy.disabled.ShiftCap {
		step = policy.boundStep(indexedInput, plan, base, step)
	}
	plan.next = base
	for region := range base {
		plan.next[region] = max(0, base[region]+step*(plan.target[region]-base[region]))
	}
}

// stepBits is the precision of a bounded step: 1/4096 of the distance, which is less than 0.03% of a flow.
const stepBits = 12

// boundStep returns the largest step of at most the given one that keeps the shift from every vector of the window
// within the cap, and the shift to each receiving region within its part of the cap.
func (policy Policy) boundStep(indexedInput *indexedInput, plan *plan, base []float64, step float64) float64 {
	if plan.withinCap(indexedInput, base, step) {
		return step
	}
	plan.reason = "the shift cap limits the step towards the target"
	low, high := 0.0, step
	for range stepBits {
		middle := (low + high) / 2
		if plan.withinCap(indexedInput, base, middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

func (plan *plan) withinCap(indexedInput *indexedInput, base []float64, step float64) bool {
	for _, earlier := range plan.past {
		shift := 0.0
		for region := range base {
			growth := base[region] + step*(plan.target[region]-base[region]) - earlier[region]
			if region != plan.home && growth > plan.cap*indexedInput.part[plan.home][region]+tolerance {
				return false
			}
			shift += max(0, growth)
		}
		if shift > plan.cap+tolerance {
			return false
		}
	}
	return true
}
