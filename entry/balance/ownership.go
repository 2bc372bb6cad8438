package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleandervane.example"
)

// slot is one slot of an instance.
type slot struct {
	instance *instance
	number   int
	hash     uint64
}

// mix returns a well-distributed hash of a word. It is the finalizer of splitmix64.
func mix(word uint64) uint64 {
	word ^= word >> 30
	word *= 0xbf58476d1ce4e5b9
	word ^= word >> 27
	word *= 0x94d049bb133111eb
	return word ^ word>>31
}

func vmSeed(id oleandervane.VMID) uint64 {
	return mix(xxhash.Sum64String(string(id)))
}

// assignSlots sets the slots of each instance that the VM at index self owns. All VMs of a region that have the same
// view compute the same owners: the slots, ordered by hash, are each assigned to the VM with the highest score among
// those below their quota, and quotas differ by at most one. VMs whose views differ may own the same slot for a while;
// the backend server then sheds or queues one more request.
func assignSlots(instances []*instance, seeds []uint64, self int) {
	var slots []slot
	for _, instance := range instances {
		instance.owned, instance.ownedSlots = 0, instance.ownedSlots[:0]
		if !instance.listed || instance.leaving.leaving() {
			continue
		}
		for number := range instance.server.Slots {
			slots = append(slots, slot{instance: instance, number: number, hash: mix(instance.seed + uint64(number))})
		}
	}
	slices.SortFunc(slots, func(left, right slot) int { return cmp.Compare(left.hash, right.hash) })
	quotas := slotQuotas(len(slots), seeds)
	for _, slot := range slots {
		best, highest := -1, uint64(0)
		for index, seed := range seeds {
			if quotas[index] == 0 {
				continue
			}
			if score := mix(slot.hash ^ seed); best < 0 || score > highest {
				best, highest = index, score
			}
		}
		quotas[best]--
		if best == self {
			slot.instance.owned++
			slot.instance.ownedSlots = append(slot.instance.ownedSlots, slot.number)
		}
	}
	for _, instance := range instances {
		slices.Sort(instance.ownedSlots)
	}
}

// slotQuotas divides the slots evenly among the VMs. The VMs with the smallest seeds get one more if there is a rest.
func slotQuotas(slots int, seeds []uint64) []int {
	order := make([]int, len(seeds))
	for index := range order {
		order[index] = index
	}
	slices.SortFunc(order, func(left, right int) int { return cmp.Compare(seeds[left], seeds[right]) })
	quotas := make([]int, len(seeds))
	for rank, index := range order {
		quotas[index] = slots / len(seeds)
		if rank < slots%len(seeds) {
			quotas[index]++
		}
	}
	return quotas
}

// rank returns how many VMs have a higher score for the instance than the VM at index self.
func rank(instance *instance, seeds []uint64, self int) int {
	own := mix(instance.seed ^ seeds[self])
	result := 0
	for _, seed := range seeds {
		if mix(instance.seed^seed) > own {
			result++
		}
	}
	return result
}
