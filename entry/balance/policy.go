package balance

import (
	"math/rand/v2"
	"time"
)

// picker chooses one of the eligible instances, or none. It is called with the mutex of the group locked.
type picker interface {
	pick(now time.Time, eligible []*instance) *instance
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

// withOpenSlots returns the instances at which a policy without ownership may start another attempt: those whose open
// slots are not all in use by this VM alone. An instance that ramps up is skipped at random, in proportion to its
// slots that are not open yet.
func withOpenSlots(now time.Time, eligible []*instance, random *rand.Rand) []*instance {
	kept := eligible[:0]
	for _, instance := range eligible {
		slots := instance.server.Slots
		openSlots := instance.ramp.openSlots(now, slots)
		if instance.inUse() >= openSlots || (openSlots < slots && random.IntN(slots) >= openSlots) {
			continue
		}
		kept = append(kept, instance)
	}
	return kept
}

type randomPicker struct {
	random *rand.Rand
}

func (picker *randomPicker) pick(now time.Time, eligible []*instance) *instance {
	eligible = withOpenSlots(now, eligible, picker.random)
	if len(eligible) == 0 {
		return nil
	}
	return eligible[picker.random.IntN(len(eligible))]
}

type roundRobinPicker struct {
	random *rand.Rand
	last   string
}

// pick returns the next instance by id after the one that was chosen last.
func (picker *roundRobinPicker) pick(now time.Time, eligible []*instance) *instance {
	eligible = withOpenSlots(now, eligible, picker.random)
	if len(eligible) == 0 {
		return nil
	}
	chosen := eligible[0]
	for _, instance := range eligible {
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

func (picker *leastLoadedPicker) pick(now time.Time, eligible []*instance) *instance {
	eligible = withOpenSlots(now, eligible, picker.random)
	if len(eligible) == 0 {
		return nil
	}
	offset := picker.random.IntN(len(eligible))
	best := eligible[offset]
	for index := range eligible {
		if other := eligible[(offset+index)%len(eligible)]; lessLoaded(other, best) {
			best = other
		}
	}
	return best
}

type twoChoicesPicker struct {
	random *rand.Rand
}

func (picker *twoChoicesPicker) pick(now time.Time, eligible []*instance) *instance {
	eligible = withOpenSlots(now, eligible, picker.random)
	if len(eligible) == 0 {
		return nil
	}
	first := picker.random.IntN(len(eligible))
	if len(eligible) == 1 {
		return eligible[first]
	}
	second := (first + 1 + picker.random.IntN(len(eligible)-1)) % len(eligible)
	if lessLoaded(eligible[second], eligible[first]) {
		return eligible[second]
	}
	return eligible[first]
}

// lessLoaded compares the estimated loads per slot of two instances.
func lessLoaded(left, right *instance) bool {
	return left.estimate()*right.server.Slots < right.estimate()*left.server.Slots
}
