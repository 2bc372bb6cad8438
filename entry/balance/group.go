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
	// fastFailureRatio is the fraction of the typical attempt time below which an instance is suspected of failing
	// fast. Each of its attempts then occupies a slot for the typical time, so that the instance gets no more requests
	// per slot than an instance that processes them.
	fastFailureRatio = 0.5
	// minTimeSamples is how many attempts must have ended at an instance before its mean attempt time is used.
	minTimeSamples = 8
)

// group contains the instances of one service, ordered by id.
type group struct {
	mutex     sync.Mutex
	instances []*instance
	picker    picker
	unguarded bool
	// eligible and meanTimes are reused between calls to avoid allocations.
	eligible  []*instance
	meanTimes []time.Duration
}

// update replaces the list of backend servers of the group.
func (group *group) update(now time.Time, servers []oleandervane.BackendServer, skipRamp bool) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	listed := map[oleandervane.BackendServerID]bool{}
	for _, server := range servers {
		listed[server.ID] = true
		group.addOrUpdate(now, server, skipRamp)
	}
	kept := group.instances[:0]
	for _, instance := range group.instances {
		if instance.listed && !listed[instance.server.ID] {
			instance.listed = false
			instance.absentSince = now
		}
		if !instance.listed && instance.inFlight == 0 && now.Sub(instance.absentSince) >= returnGap {
			continue
		}
		kept = append(kept, instance)
	}
	clear(group.instances[len(kept):])
	group.instances = kept
}

func (group *group) addOrUpdate(now time.Time, server oleandervane.BackendServer, skipRamp bool) {
	position, found := slices.BinarySearchFunc(group.instances, server.ID, func(instance *instance, id oleandervane.BackendServerID) int {
		return cmp.Compare(instance.server.ID, id)
	})
	if !found {
		created := &instance{seed: mix(xxhash.Sum64String(string(server.ID))), listed: true}
		if !skipRamp {
			created.ramp.start(now)
		}
		group.instances = slices.Insert(group.instances, position, created)
	}
	instance := group.instances[position]
	if !instance.listed && now.Sub(instance.absentSince) >= returnGap {
		instance.ramp.start(now)
	}
	if instance.leaving.byList && !server.Leaving {
		instance.ramp.start(now)
	}
	instance.listed = true
	instance.server = server
	instance.leaving.byList = server.Leaving
}

// refresh recomputes slot ownership and connection limits for the VMs of the region.
func (group *group) refresh(seeds []uint64, self, maxVMs int) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	assignSlots(group.instances, seeds, self)
	for _, instance := range group.instances {
		instance.connectionLimit = connectionLimit(instance.server.MaxConnections, maxVMs, rank(instance, seeds, self))
	}
}

// usableSlots returns how many slots this VM may use at the same time: with the policy Owned, its own slots and those
// that it may borrow; with other policies, all slots.
func (group *group) usableSlots(now time.Time, policy Policy) int {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	total := 0
	for _, instance := range group.instances {
		if !instance.listed || instance.leaving.leaving() || instance.ejection.ejected {
			continue
		}
		if policy == Owned {
			total += instance.openOwnedSlots(now)
		} else {
			total += instance.ramp.openSlots(now, instance.server.Slots)
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

// choose reserves a slot of an instance that is not in excluded. It returns the instance and its listed backend server.
func (group *group) choose(now time.Time, loadSource oleandervane.LoadSource, excluded []oleandervane.BackendServerID) (*instance, oleandervane.BackendServer, error) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	eligible := group.eligible[:0]
	allEjected := group.allEjected()
	for _, instance := range group.instances {
		if report, known := loadSource.LoadReport(instance.server.ID); known {
			instance.observe(now, report)
		}
		if instance.isEligible(now, allEjected) && !slices.Contains(excluded, instance.server.ID) {
			eligible = append(eligible, instance)
		}
	}
	group.eligible = eligible
	chosen := group.picker.pick(now, eligible)
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

// allEjected reports whether all instances that are not leaving are ejected. Attempts then ignore the ejections.
func (group *group) allEjected() bool {
	for _, instance := range group.instances {
		if instance.listed && !instance.leaving.leaving() && !instance.ejection.ejected {
			return false
		}
	}
	return true
}

// isEligible reports whether the instance may get another attempt from this VM, regardless of the policy.
func (instance *instance) isEligible(now time.Time, ignoreEjection bool) bool {
	return instance.listed && !instance.leaving.leaving() && instance.inFlight < instance.connectionLimit &&
		(ignoreEjection || instance.ejection.allowsAttempt(now, instance.inFlight))
}

// release ends an attempt that began at started. It returns how long the slot must stay closed before reopen is
// called.
func (group *group) release(now time.Time, instance *instance, result oleandervane.AttemptResult, started time.Time) (closedFor time.Duration) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	instance.inFlight--
	elapsed := max(0, now.Sub(started))
	switch result {
	case oleandervane.AttemptAnswered:
		if instance.ejection.succeed(now) >= returnGap {
			instance.ramp.start(now)
		}
		instance.consecutiveSheds = 0
		instance.attemptTime.add(elapsed)
		group.addBorrowBudget(borrowCredit)
	case oleandervane.AttemptShed:
		instance.consecutiveSheds++
		instance.backoffUntil = now.Add(group.shedBackoff(instance))
		group.addBorrowBudget(-1)
	case oleandervane.AttemptBroken, oleandervane.AttemptUnreachable, oleandervane.AttemptTimedOut:
		instance.attemptTime.add(elapsed)
		if instance.ejection.fail() && (instance.ejection.ejected || group.mayEject()) {
			instance.ejection.eject(now)
		}
	case oleandervane.AttemptCancelled:
	}
	closedFor = group.closedFor(instance, elapsed)
	if closedFor > 0 {
		instance.closedSlots++
	}
	return closedFor
}

// closedFor returns how long the slot of an ended attempt must stay closed because the instance is suspected of
// failing fast. Such an instance is always idle, and would otherwise attract the traffic of the other instances.
func (group *group) closedFor(instance *instance, elapsed time.Duration) time.Duration {
	typical := group.typicalAttemptTime()
	if !group.suspectsFastFailure(instance, typical) {
		return 0
	}
	return max(0, typical-elapsed)
}

// suspectsFastFailure reports whether attempts at the instance end much faster than is typical for the group.
func (group *group) suspectsFastFailure(instance *instance, typical time.Duration) bool {
	return !group.unguarded && instance.attemptTime.count >= minTimeSamples && instance.attemptTime.mean < time.Duration(fastFailureRatio*float64(typical))
}

func (group *group) reopen(instance *instance) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	instance.closedSlots--
}

func (group *group) addBorrowBudget(amount float64) {
	if owned, isOwned := group.picker.(*ownedPicker); isOwned {
		owned.budget = max(0, min(maxBorrowBudget, owned.budget+amount))
	}
}

// mayEject reports whether another instance may be ejected within MaxEjectedShare.
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

// maxShedBackoffDoublings bounds how often the backoff is doubled after consecutive shed attempts.
const maxShedBackoffDoublings = 4

// shedBackoff returns how long an instance gets no attempts after it shed one: at first the mean time until one of its
// slots becomes idle, then twice as long after each further consecutive shed attempt.
func (group *group) shedBackoff(instance *instance) time.Duration {
	untilIdle := group.typicalAttemptTime() / time.Duration(max(1, instance.server.Slots))
	return untilIdle << min(instance.consecutiveSheds-1, maxShedBackoffDoublings)
}

// borrowed returns how many slots that other VMs own are in use by this VM.
func (group *group) borrowed() int {
	total := 0
	for _, instance := range group.instances {
		total += max(0, instance.inFlight-instance.owned)
	}
	return total
}

// idle reports whether this VM has no attempt of the service in flight.
func (group *group) idle() bool {
	for _, instance := range group.instances {
		if instance.inFlight > 0 {
			return false
		}
	}
	return true
}

// typicalAttemptTime returns the median of the instances' mean attempt times, or zero if there are no samples yet.
func (group *group) typicalAttemptTime() time.Duration {
	meanTimes := group.meanTimes[:0]
	for _, instance := range group.instances {
		if instance.attemptTime.count >= minTimeSamples {
			meanTimes = append(meanTimes, instance.attemptTime.mean)
		}
	}
	group.meanTimes = meanTimes
	if len(meanTimes) == 0 {
		return 0
	}
	slices.Sort(meanTimes)
	return meanTimes[len(meanTimes)/2]
}
