package placement

import (
	"cmp"
	"math"
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

// preferRegion moves the first of the choices that is in a region to the front. The choices are indexes into the candidates.
func preferRegion(region oleandervane.Region, candidates []Candidate, choices []int) {
	index := slices.IndexFunc(choices, func(choice int) bool { return candidates[choice].Region == region })
	if index > 0 {
		preferred := choices[index]
		copy(choices[1:index+1], choices[:index])
		choices[0] = preferred
	}
}

// minRegionSize is the size of a region, as a multiple of the average, up to which callers do not prefer servers of their own region:
// these would be overloaded.
const minRegionSize = 0.5

// regionPreferences returns by region the share of objects for which callers prefer servers of their own region. It grows with the size
// of the region up to the average, so that a server that joins or leaves changes the preference for few objects. Load has no influence
// on it, because requests would move between regions in a burst.
func regionPreferences(servers []*server, evacuated map[oleandervane.FailureDomain]bool) map[oleandervane.Region]float64 {
	slots, total := map[oleandervane.Region]int{}, 0
	for _, server := range servers {
		if !server.Leaving && !evacuated[server.FailureDomain] {
			slots[server.Region] += server.Slots
			total += server.Slots
		}
	}
	preferences := map[oleandervane.Region]float64{}
	for region, own := range slots {
		size := float64(own*len(slots)) / float64(max(1, total))
		preferences[region] = min(1, max(0, (size-minRegionSize)/(1-minRegionSize)))
	}
	return preferences
}

// prefersRegion reports whether callers in a region prefer its servers for an object, at all VMs alike.
func prefersRegion(object uint64, region oleandervane.Region, preference float64) bool {
	return float64(score(object, memberHash(string(region))))/math.MaxUint64 < preference
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
