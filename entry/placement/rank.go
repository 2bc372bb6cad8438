package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleandervane.example"
)

// score is the rendezvous hashing weight of a member for a key, from the hashes of both. Members with the highest
// scores come first, so that a member that joins or leaves moves only the keys for which it ranks first.
func score(key, member uint64) uint64 {
	return mix(key ^ mix(member))
}

// mix spreads the bits of hashes of similar texts; the constants are those of the finalizer of MurmurHash3.
func mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}

// objectHash is the hash of an object, to be combined with those of servers.
func objectHash(object string) uint64 {
	return xxhash.Sum64String(object)
}

// memberHash is the hash of a server or VM, to be combined with those of keys.
func memberHash(member string) uint64 {
	return xxhash.Sum64String(member)
}

// Rank sorts candidates by score, best first. With a preferred region, its servers come before all others.
func Rank(preferred oleandervane.Region, candidates []Candidate) {
	slices.SortFunc(candidates, func(a, b Candidate) int {
		if preferred != "" && (a.Region == preferred) != (b.Region == preferred) {
			if a.Region == preferred {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
}

// rankOf returns the rank of self among the VMs for a key, 0 for the first.
func rankOf(key uint64, self oleandervane.VMID, vms []oleandervane.EntryVM) int {
	own := score(key, memberHash(string(self)))
	before := 0
	for _, vm := range vms {
		if vm.ID != self && score(key, memberHash(string(vm.ID))) > own {
			before++
		}
	}
	return before
}
