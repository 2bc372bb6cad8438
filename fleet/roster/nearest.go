package roster

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleandervane.example"
)

const (
	// enoughNear is the number of VMs of the caller's own failure domain from which no others are named: a caller
	// whose VM has failed needs another one to go to.
	enoughNear = 2
	// namedVMs is how many VMs a caller is told: two may fail at a time before it has to ask again.
	namedVMs = 3
)

// Caller is who asks for VMs.
type Caller struct {
	Region        oleandervane.Region
	FailureDomain oleandervane.FailureDomain
	// Name tells callers apart; the same caller is told the same VMs while they last.
	Name string
}

// Nearest returns the VMs that a caller should use: those of its own failure domain, else those of its region, else
// all. Of many, each caller is told a few, which rendezvous hashing by capacity chooses: a VM is named as often as its
// capacity says, and callers do not move while their VMs last. VMs that leave are not named.
func Nearest(entryVMs []oleandervane.EntryVM, caller Caller) []oleandervane.EntryVM {
	var near, regional, all []oleandervane.EntryVM
	for _, entryVM := range entryVMs {
		if entryVM.State != oleandervane.VMAlive {
			continue
		}
		all = append(all, entryVM)
		if entryVM.Region == caller.Region {
			regional = append(regional, entryVM)
		}
		if entryVM.FailureDomain == caller.FailureDomain {
			near = append(near, entryVM)
		}
	}
	switch {
	case len(near) >= enoughNear:
		return choose(near, caller.Name)
	case len(regional) > 0:
		return choose(regional, caller.Name)
	}
	return choose(all, caller.Name)
}

// choose returns the first VMs of the caller's ranking.
func choose(entryVMs []oleandervane.EntryVM, name string) []oleandervane.EntryVM {
	if len(entryVMs) <= namedVMs {
		return entryVMs
	}
	scores := make(map[oleandervane.VMID]float64, len(entryVMs))
	for _, entryVM := range entryVMs {
		scores[entryVM.ID] = score(name, entryVM)
	}
	slices.SortFunc(entryVMs, func(a, b oleandervane.EntryVM) int {
		return cmp.Or(cmp.Compare(scores[b.ID], scores[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	return entryVMs[:namedVMs]
}

// score is the weight of a VM in weighted rendezvous hashing: the chance to have the highest score is proportional to
// the capacity.
func score(name string, entryVM oleandervane.EntryVM) float64 {
	hash := xxhash.Sum64String(name + "\x00" + string(entryVM.ID))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	capacity := entryVM.Capacity
	if capacity <= 0 {
		capacity = 1
	}
	return -capacity / math.Log(uniform)
}
