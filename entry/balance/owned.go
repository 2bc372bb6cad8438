package balance

import (
	"math/rand/v2"
	"time"
)

const (
	// borrowEarned is what each answered attempt adds to the budget for borrowing; a borrowed attempt that is shed
	// costs one. The budget keeps shed attempts below half of the retry budget of 10%.
	borrowEarned = 0.05
	// borrowSaved is the largest budget.
	borrowSaved = 10.0
	// borrowFresh is how old a load value may be, in mean times of an attempt, to tell whether an instance has idle
	// slots. Half of the requests that held a slot then still do.
	borrowFresh = 0.5
	// borrowLimit is how many slots of others this VM holds at a time. Without the limit, borrowers displace owners
	// whose attempts are shed in turn: 10% to 40% of attempts at 85% load.
	borrowLimit = 1
)

// ownedPicker uses the slots that this VM owns, and borrows slots of others that are probably idle when its own are
// all in use.
type ownedPicker struct {
	group  *group
	random *rand.Rand
	budget float64
}

func (picker *ownedPicker) pick(now time.Time, usable []*instance) *instance {
	if chosen := picker.pickOwn(now, usable); chosen != nil {
		return chosen
	}
	return picker.pickBorrowed(now, usable)
}

// pickOwn returns the instance with the smallest estimated load among those with an idle own slot.
func (picker *ownedPicker) pickOwn(now time.Time, usable []*instance) *instance {
	var best *instance
	for _, instance := range usable {
		if instance.inUse() >= instance.ownedOpen(now) || now.Before(instance.shedUntil) {
			continue
		}
		if best == nil || lessLoaded(instance, best) {
			best = instance
		}
	}
	return best
}

// ownedOpen returns how many of the own slots may be used while the instance ramps up.
func (instance *instance) ownedOpen(now time.Time) int {
	open := instance.ramp.open(now, instance.server.Slots)
	count := 0
	for _, number := range instance.ownedSlots {
		if number < open {
			count++
		}
	}
	return count
}

// pickBorrowed returns an instance that may have an idle slot of another VM: at random one whose load was seen a short
// while ago and shows an idle slot, or else one whose load is not known. The choice is random because VMs that see the
// same reports would otherwise all choose the same instance. A VM with no attempt in flight may always try, so that a
// VM without own slots is not left out.
func (picker *ownedPicker) pickBorrowed(now time.Time, usable []*instance) *instance {
	idle := picker.group.idle()
	if !idle && (picker.budget < 1 || picker.group.borrowed() >= borrowLimit) {
		return nil
	}
	typical := picker.group.typicalHold()
	fresh := time.Duration(borrowFresh * float64(typical))
	var seen, unseen *instance
	seenCount, unseenCount := 0, 0
	for _, instance := range usable {
		if instance.ramp.ramping || now.Before(instance.shedUntil) || picker.group.suspects(instance, typical) {
			continue
		}
		if !instance.load.known || now.Sub(instance.load.measuredAt) > fresh {
			unseenCount++
			if picker.random.IntN(unseenCount) == 0 {
				unseen = instance
			}
			continue
		}
		if instance.estimate() >= instance.server.Slots {
			continue
		}
		seenCount++
		if picker.random.IntN(seenCount) == 0 {
			seen = instance
		}
	}
	if seen != nil {
		return seen
	}
	return unseen
}
