package balance

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandervane.example"
)

const (
	// fastShare is the part of the typical time of an attempt below which an instance is suspected of failing fast.
	// Each of its attempts then holds a slot for the typical time, so that it gets no more requests for each slot than
	// an instance that does the work.
	fastShare = 0.5
	// fastSamples is how many attempts must have ended at an instance before its mean time counts.
	fastSamples = 8
)

// group holds the instances of one service, ordered by id.
type group struct {
	mutex     sync.Mutex
	instances []*instance
	picker    picker
	unguarded bool
	// usable and holds are kept between calls to save allocations.
	usable []*instance
	holds  []time.Duration
}

// update brings the group in line with the list.
func (group *group) update(now time.Time, servers []oleandervane.BackendServer, warm bool) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	listed := map[oleandervane.BackendServerID]bool{}
	for _, server := range servers {
		listed[server.ID] = true
		group.list(now, server, warm)
	}
	kept := group.instances[:0]
	for _, instance := range group.instances {
		if instance.listed && !listed[instance.server.ID] {
			instance.listed = false
			instance.absentFrom = now
		}
		if !instance.listed && instance.inFlight == 0 && now.Sub(instance.absentFrom) >= returnGap {
			continue
		}
		kept = append(kept, instance)
	}
	clear(group.instances[len(kept):])
	group.instances = kept
}

func (group *group) list(now time.Time, server oleandervane.BackendServer, warm bool) {
	position, found := slices.BinarySearchFunc(group.instances, server.ID, func(instance *instance, id oleandervane.BackendServerID) int {
		return cmp.Compare(instance.server.ID, id)
	})
	if !found {
		created := &instance{seed: mix(xxhash.Sum64String(string(server.ID))), listed: true}
		if !warm {
			created.ramp.start(now)
		}
		group.instances = slices.Insert(group.instances, position, created)
	}
	instance := group.instances[position]
	if !instance.listed && now.Sub(instance.absentFrom) >= returnGap {
		instance.ramp.start(now)
	}
	if instance.leaving.byList && !server.Leaving {
		instance.ramp.start(now)
	}
	instance.listed = true
	instance.server = server
	instance.leaving.byList = server.Leaving
}

// refresh brings ownership and connection limits in line with the VMs of the region.
func (group *group) refresh(seeds []uint64, self, users int) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	assignSlots(group.instances, seeds, self)
	for _, instance := range group.instances {
		instance.connectionLimit = connectionLimit(instance.server.MaxConnections, users, rank(instance, seeds, self))
	}
}

// slotsFor returns how many slots this VM may use at a time: with ownership its own and those it may borrow,
// otherwise all.
func (group *group) slotsFor(now time.Time, policy Policy) int {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	total := 0
	for _, instance := range group.instances {
		if !instance.listed || instance.leaving.leaving() || instance.ejection.ejected {
			continue
		}
		if policy == Owned {
			total += instance.ownedOpen(now)
		} else {
			total += instance.ramp.open(now, instance.server.Slots)
		}
	}
	if policy == Owned && len(group.instances) > 0 {
		total += borrowLimit
	}
	return total
}

func (group *group) connectionLimitOf(id oleandervane.BackendServerID) int {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	for _, instance := range group.instances {
		if instance.server.ID == id {
			return instance.connectionLimit
		}
	}
	return 0
}

// choose reserves a slot of an instance that is not in excluded, and returns it as the list describes it.
func (group *group) choose(now time.Time, loadSource oleandervane.LoadSource, excluded []oleandervane.BackendServerID) (*instance, oleandervane.BackendServer, error) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	usable := group.usable[:0]
	everyEjected := group.everyEjected()
	for _, instance := range group.instances {
		if report, known := loadSource.LoadReport(instance.server.ID); known {
			instance.observe(now, report)
		}
		if instance.mayTake(now, everyEjected) && !slices.Contains(excluded, instance.server.ID) {
			usable = append(usable, instance)
		}
	}
	group.usable = usable
	chosen := group.picker.pick(now, usable)
	if chosen == nil {
		return nil, oleandervane.BackendServer{}, ErrNoEligibleInstance
	}
	chosen.inFlight++
	chosen.load.startedSince++
	return chosen, chosen.server, nil
}

func (instance *instance) observe(now time.Time, report oleandervane.LoadReport) {
	wasLeaving := instance.leaving.byReport
	instance.leaving.observe(report)
	newlyCold := report.Cold && report.MeasuredAt.After(instance.coldAt)
	if newlyCold {
		instance.coldAt = report.MeasuredAt
	}
	if newlyCold || (wasLeaving && !instance.leaving.byReport) {
		instance.ramp.start(now)
	}
	instance.load.observe(report)
}

// everyEjected says whether all instances that are not leaving are ejected. They are then tried all the same.
func (group *group) everyEjected() bool {
	for _, instance := range group.instances {
		if instance.listed && !instance.leaving.leaving() && !instance.ejection.ejected {
			return false
		}
	}
	return true
}

// mayTake says whether the instance may get one more attempt of this VM, whatever the policy.
func (instance *instance) mayTake(now time.Time, despiteEjection bool) bool {
	return instance.listed && !instance.leaving.leaving() && instance.inFlight < instance.connectionLimit &&
		(despiteEjection || instance.ejection.mayTry(now, instance.inFlight))
}

// release ends an attempt that began at started. It returns how long the slot must stay closed; reopen ends that.
func (group *group) release(now time.Time, instance *instance, result oleandervane.AttemptResult, started time.Time) (closedFor time.Duration) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	instance.inFlight--
	held := max(0, now.Sub(started))
	switch result {
	case oleandervane.AttemptAnswered:
		if instance.ejection.succeed(now) >= returnGap {
			instance.ramp.start(now)
		}
		instance.sheds = 0
		instance.hold.add(held)
		group.credit(borrowEarned)
	case oleandervane.AttemptShed:
		instance.sheds++
		instance.shedUntil = now.Add(group.shedDelay(instance))
		group.credit(-1)
	case oleandervane.AttemptBroken, oleandervane.AttemptUnreachable, oleandervane.AttemptTimedOut:
		instance.hold.add(held)
		if instance.ejection.fail() && (instance.ejection.ejected || group.mayEject()) {
			instance.ejection.eject(now)
		}
	case oleandervane.AttemptCancelled:
	}
	closedFor = group.closedFor(instance, held)
	if closedFor > 0 {
		instance.paced++
	}
	return closedFor
}

// closedFor returns how long the slot of an ended attempt must stay closed because the instance is suspected of
// failing fast: such an instance is always idle, and would otherwise attract the traffic of the others.
func (group *group) closedFor(instance *instance, held time.Duration) time.Duration {
	typical := group.typicalHold()
	if !group.suspects(instance, typical) {
		return 0
	}
	return max(0, typical-held)
}

// suspects says whether attempts at the instance end much faster than the typical time.
func (group *group) suspects(instance *instance, typical time.Duration) bool {
	return !group.unguarded && instance.hold.count >= fastSamples && instance.hold.mean < time.Duration(fastShare*float64(typical))
}

func (group *group) reopen(instance *instance) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	instance.paced--
}

func (group *group) credit(amount float64) {
	if owned, isOwned := group.picker.(*ownedPicker); isOwned {
		owned.budget = max(0, min(borrowSaved, owned.budget+amount))
	}
}

// mayEject says whether one more instance may be ejected.
func (group *group) mayEject() bool {
	listed, ejected := 0, 0
	for _, instance := range group.instances {
		if !instance.listed {
			continue
		}
		listed++
		if instance.ejection.ejected {
			ejected++
		}
	}
	return float64(ejected+1) <= MaxEjectedShare*float64(listed)
}

// longestShedDelay bounds the doublings of the delay after attempts shed in a row.
const longestShedDelay = 4

// shedDelay returns how long an instance gets no work after it shed: at first the mean time until one of its slots
// becomes idle.
func (group *group) shedDelay(instance *instance) time.Duration {
	untilIdle := group.typicalHold() / time.Duration(max(1, instance.server.Slots))
	return untilIdle << min(instance.sheds-1, longestShedDelay)
}

// borrowed returns how many slots of others this VM holds.
func (group *group) borrowed() int {
	total := 0
	for _, instance := range group.instances {
		total += max(0, instance.inFlight-instance.owned)
	}
	return total
}

// idle says whether this VM has no attempt of the service in flight.
func (group *group) idle() bool {
	for _, instance := range group.instances {
		if instance.inFlight > 0 {
			return false
		}
	}
	return true
}

// typicalHold returns the median over instances of their mean time of an attempt, zero when none is known.
func (group *group) typicalHold() time.Duration {
	holds := group.holds[:0]
	for _, instance := range group.instances {
		if instance.hold.count >= fastSamples {
			holds = append(holds, instance.hold.mean)
		}
	}
	group.holds = holds
	if len(holds) == 0 {
		return 0
	}
	slices.Sort(holds)
	return holds[len(holds)/2]
}
