package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandervane.example"
)

// EpochDuration is the time for which a choice of delegates, watchers or writers applies.
const EpochDuration = time.Minute

// Epoch returns the number of the epoch at the given time.
func Epoch(now time.Time) uint64 {
	return uint64(now.Unix() / int64(EpochDuration/time.Second))
}

// Weight returns the rendezvous weight of a VM for a purpose; the VMs with the largest weights are chosen.
func Weight(vmID oleandervane.VMID, purpose string, number uint64) uint64 {
	return mix(xxhash.Sum64String(string(vmID)) ^ mix(xxhash.Sum64String(purpose)+number*0x9e3779b97f4a7c15))
}

// Rank returns how many of the VMs have a larger weight than the VM with that id.
func Rank(vmID oleandervane.VMID, vms []oleandervane.EntryVM, purpose string, number uint64) int {
	own := Weight(vmID, purpose, number)
	rank := 0
	for _, vm := range vms {
		if vm.ID != vmID && Weight(vm.ID, purpose, number) > own {
			rank++
		}
	}
	return rank
}

// HighestRanked returns the ids of the count VMs with the largest weights, largest first.
func HighestRanked(vms []oleandervane.EntryVM, purpose string, number uint64, count int) []oleandervane.VMID {
	type weighted struct {
		vmID   oleandervane.VMID
		weight uint64
	}
	all := make([]weighted, 0, len(vms))
	for _, vm := range vms {
		all = append(all, weighted{vm.ID, Weight(vm.ID, purpose, number)})
	}
	slices.SortFunc(all, func(a, b weighted) int {
		if a.weight > b.weight {
			return -1
		}
		return 1
	})
	result := make([]oleandervane.VMID, 0, count)
	for _, candidate := range all[:min(count, len(all))] {
		result = append(result, candidate.vmID)
	}
	return result
}
