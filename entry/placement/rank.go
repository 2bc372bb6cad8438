package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleandervane.example"
)

// score is the weight of a member for a key. Members with the highest scores come first, so that a member that
// comes or goes moves only the keys that it ranks first for.
func score(key, member string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(member)
	return mix(digest.Sum64())
}

// mix spreads the bits of a hash of similar texts; the constants are those of the finalizer of MurmurHash3.
func mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}

// Rank sorts candidates for an object, best first. With a preferred region, its servers come before all others.
func Rank(object string, preferred oleandervane.Region, candidates []Candidate) {
	scores := make(map[oleandervane.BackendServerID]uint64, len(candidates))
	for _, candidate := range candidates {
		scores[candidate.ID] = score(object, string(candidate.ID))
	}
	slices.SortFunc(candidates, func(a, b Candidate) int {
		if preferred != "" && (a.Region == preferred) != (b.Region == preferred) {
			if a.Region == preferred {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(scores[b.ID], scores[a.ID]), cmp.Compare(a.ID, b.ID))
	})
}

// firstVMs returns the VMs that rank first for a key, at most count.
func firstVMs(key string, vms []oleandervane.VMID, count int) []oleandervane.VMID {
	ranked := slices.Clone(vms)
	slices.SortFunc(ranked, func(a, b oleandervane.VMID) int {
		return cmp.Or(cmp.Compare(score(key, string(b)), score(key, string(a))), cmp.Compare(a, b))
	})
	return ranked[:min(count, len(ranked))]
}
