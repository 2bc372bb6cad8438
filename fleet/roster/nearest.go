package roster

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleandervane.example"
)

const (
	// minDomainVMs is the number of VMs in the caller's own failure domain that suffice without VMs of other domains: a
	// caller whose VM has failed needs a second one.
	minDomainVMs = 2
	// maxReturnedVMs is the number of VMs that a caller gets: two may fail at a time before it has to ask again.
	maxReturnedVMs = 3
)

// Caller describes a caller that asks for the addresses of VMs.
type Caller struct {
	Region        oleandervane.Region
	FailureDomain oleandervane.FailureDomain
	// Name distinguishes callers. The same caller gets the same VMs as long as they are listed.
	Name string
}

// Nearest returns the VMs that a caller should use: those of its own failure domain, otherwise those of its region,
// otherwise all. If there are many, each caller gets a few, chosen by rendezvous hashing weighted by capacity: VMs are
// returned in proportion to their capacity, and callers keep their VMs as long as these are listed. VMs that are leaving
// are not returned.
func Nearest(entryVMs []oleandervane.EntryVM, caller Caller) []oleandervane.EntryVM {
	var inDomain, inRegion, all []oleandervane.EntryVM
	for _, entryVM := range entryVMs {
		if entryVM.State != oleandervane.VMAlive {
			continue
		}
		all = append(all, entryVM)
		if entryVM.Region == caller.Region {
			inRegion = append(inRegion, entryVM)
		}
		if entryVM.FailureDomain == caller.FailureDomain {
			inDomain = append(inDomain, entryVM)
		}
	}
	switch {
	case len(inDomain) >= minDomainVMs:
		return choose(inDomain, caller.Name)
	case len(inRegion) > 0:
		return choose(inRegion, caller.Name)
	}
	return choose(all, caller.Name)
}

// choose returns the highest-ranked VMs for a caller.
func choose(entryVMs []oleandervane.EntryVM, name string) []oleandervane.EntryVM {
	if len(entryVMs) <= maxReturnedVMs {
		return entryVMs
	}
	scores := make(map[oleandervane.VMID]float64, len(entryVMs))
	for _, entryVM := range entryVMs {
		scores[entryVM.ID] = score(name, entryVM)
	}
	slices.SortFunc(entryVMs, func(a, b oleandervane.EntryVM) int {
		return cmp.Or(cmp.Compare(scores[b.ID], scores[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	return entryVMs[:maxReturnedVMs]
}

// score returns the score of a VM in weighted rendezvous hashing: the probability of the highest score is proportional to
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
