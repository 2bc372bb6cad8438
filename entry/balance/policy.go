package balance

import (
	"math/rand/v2"
	"time"
)

// picker chooses one of the instances that may take work, or none. The group's mutex is held.
type picker interface {
	pick(now time.Time, usable []*instance) *instance
}

func newPicker(policy Policy, group *group, random *rand.Rand) picker {
	switch policy {
	case Random:
		return &randomPicker{random: random}
	case RoundRobin:
		return &roundRobinPicker{random: random}
	case LeastLoaded:
		return &leastLoadedPicker{random: random}
	case TwoChoices:
		return &twoChoicesPicker{random: random}
	case Owned:
	}
	return &ownedPicker{group: group, random: random}
}

// unowned returns the instances at which a policy without ownership may start one more attempt: this VM alone does
// not exceed their open slots. An instance that ramps up is passed over at random in proportion.
func unowned(now time.Time, usable []*instance, random *rand.Rand) []*instance {
	kept := usable[:0]
	for _, instance := range usable {
		slots := instance.server.Slots
		open := instance.ramp.open(now, slots)
		if instance.inUse() >= open || (open < slots && random.IntN(slots) >= open) {
			continue
		}
		kept = append(kept, instance)
	}
	return kept
}

type randomPicker struct {
	random *rand.Rand
}

func (picker *randomPicker) pick(now time.Time, usable []*instance) *instance {
	usable = unowned(now, usable, picker.random)
	if len(usable) == 0 {
		return nil
	}
	return usable[picker.random.IntN(len(usable))]
}

type roundRobinPicker struct {
	random *rand.Rand
	last   string
}

// pick returns the first instance by id after the one of the last choice.
func (picker *roundRobinPicker) pick(now time.Time, usable []*instance) *instance {
	usable = unowned(now, usable, picker.random)
	if len(usable) == 0 {
		return nil
	}
	chosen := usable[0]
	for _, instance := range usable {
		if string(instance.server.ID) > picker.last {
			chosen = instance
			break
		}
	}
	picker.last = string(chosen.server.ID)
	return chosen
}

type leastLoadedPicker struct {
	random *rand.Rand
}

func (picker *leastLoadedPicker) pick(now time.Time, usable []*instance) *instance {
	usable = unowned(now, usable, picker.random)
	if len(usable) == 0 {
		return nil
	}
	offset := picker.random.IntN(len(usable))
	best := usable[offset]
	for index := range usable {
		if other := usable[(offset+index)%len(usable)]; lessLoaded(other, best) {
			best = other
		}
	}
	return best
}

type twoChoicesPicker struct {
	random *rand.Rand
}

func (picker *twoChoicesPicker) pick(now time.Time, usable []*instance) *instance {
	usable = unowned(now, usable, picker.random)
	if len(usable) == 0 {
		return nil
	}
	first := picker.random.IntN(len(usable))
	if len(usable) == 1 {
		return usable[first]
	}
	second := (first + 1 + picker.random.IntN(len(usable)-1)) % len(usable)
	if lessLoaded(usable[second], usable[first]) {
		return usable[second]
	}
	return usable[first]
}

// lessLoaded compares estimated loads for each slot.
func lessLoaded(left, right *instance) bool {
	return left.estimate()*right.server.Slots < right.estimate()*left.server.Slots
}
