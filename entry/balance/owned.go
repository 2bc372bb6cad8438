package balance

import (
	"math/rand/v2"
	"time"
)

const (
	// borrowCredit is what each answered attempt adds to the budget for borrowing; a shed attempt costs 1. The budget
	// keeps shed attempts below half of the retry budget of 10%.
	borrowCredit = 0.05
	// maxBorrowBudget is the upper limit of the budget for borrowing.
	maxBorrowBudget = 10.0
	// maxLoadAge is the largest age, in typical attempt times, of a load value that is used to decide whether an
	// instance has idle slots. Half of the requests that occupied a slot at the measurement still do at
	// that age.
	maxLoadAge = 0.5
	// borrowLimit is how many slots of other VMs this VM may use at the same time. Without the limit, borrowers
	// displace owners, whose attempts are then shed: 10% to 40% of attempts at 85% load.
	borrowLimit = 1
)

// ownedPicker uses the slots that this VM owns. When all of them are in use, it borrows slots of other VMs that are
// probably idle.
type ownedPicker struct {
	group  *group
	random *rand.Rand
	budget float64
}

func (picker *ownedPicker) pick(now time.Time, eligible []*instance) *instance {
	if chosen := picker.pickOwn(now, eligible); chosen != nil {
		return chosen
	}
	return picker.pickBorrowed(now, eligible)
}

// pickOwn returns the instance with the lowest estimated load among those with an idle slot that this VM owns.
func (picker *ownedPicker) pickOwn(now time.Time, eligible []*instance) *instance {
	var best *instance
	for _, instance := range eligible {
		if instance.inUse() >= instance.openOwnedSlots(now) || now.Before(instance.backoffUntil) {
			continue
		}
		if best == nil || lessLoaded(instance, best) {
			best = instance
		}
	}
	return best
}

// openOwnedSlots returns how many of the slots that this VM owns may be used at the given time. While the instance ramps
// up, these are not all of them.
func (instance *instance) openOwnedSlots(now time.Time) int {
	openSlots := instance.ramp.openSlots(now, instance.server.Slots)
	count := 0
	for _, number := range instance.ownedSlots {
		if number < openSlots {
			count++
		}
	}
	return count
}

// pickBorrowed returns an instance that may have an idle slot of another VM. It prefers a random instance whose recent
// load shows an idle slot, and otherwise returns a random instance whose load is unknown or too old. The choice is
// random because VMs that see the same reports would otherwise all choose the same instance. A VM with no attempt in
// flight may always borrow, so that a VM that owns no slots can still send requests.
func (picker *ownedPicker) pickBorrowed(now time.Time, eligible []*instance) *instance {
	idle := picker.group.idle()
	if !idle && (picker.budget < 1 || picker.group.borrowed() >= borrowLimit) {
		return nil
	}
	typical := picker.group.typicalAttemptTime()
	maxAge := time.Duration(maxLoadAge * float64(typical))
	var knownIdle, unknownLoad *instance
	knownIdleCount, unknownLoadCount := 0, 0
	for _, instance := range eligible {
		if instance.ramp.ramping || now.Before(instance.backoffUntil) || picker.group.suspectsFastFailure(instance, typical) {
			continue
		}
		if !instance.load.known || now.Sub(instance.load.measuredAt) > maxAge {
			unknownLoadCount++
			if picker.random.IntN(unknownLoadCount) == 0 {
				unknownLoad = instance
			}
			continue
		}
		if instance.estimate() >= instance.server.Slots {
			continue
		}
		knownIdleCount++
		if picker.random.IntN(knownIdleCount) == 0 {
			knownIdle = instance
		}
	}
	if knownIdle != nil {
		return knownIdle
	}
	return unknownLoad
}
