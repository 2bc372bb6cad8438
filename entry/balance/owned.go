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
	// borrowFresh is how old a load value may be, in mean service times, to show that an instance has idle slots.
	borrowFresh = 2
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
		if instance.inUse() >= instance.ownedOpen(now) {
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

// pickBorrowed returns an instance that probably has an idle slot of another VM: the least loaded of those whose load
// was seen a short while ago, or one whose load is not known, at random. A VM with no attempt in flight may always
// try one, so that a VM without own slots is not left out.
func (picker *ownedPicker) pickBorrowed(now time.Time, usable []*instance) *instance {
	idle := picker.group.idle()
	if picker.budget < 1 && !idle {
		return nil
	}
	typical := picker.group.typicalHold()
	fresh := borrowFresh * typical
	var seen, unseen *instance
	count := 0
	for _, instance := range usable {
		if instance.ramp.ramping || now.Before(instance.shedUntil) || (!picker.group.unguarded && instance.suspect(typical)) {
			continue
		}
		if !instance.load.known || now.Sub(instance.load.measuredAt) > fresh {
			count++
			if picker.random.IntN(count) == 0 {
				unseen = instance
			}
			continue
		}
		if (idle || instance.estimate() < instance.server.Slots) && (seen == nil || lessLoaded(instance, seen)) {
			seen = instance
		}
	}
	if seen != nil {
		return seen
	}
	return unseen
}
