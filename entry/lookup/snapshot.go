package lookup

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleandervane.example"
)

// MaxEntryVMs is the largest number of entry VMs in a decision.
const MaxEntryVMs = 8

// Decision is the home region of a caller and the region of its entry VMs. The entry VMs themselves are in the slice
// that was passed to Decide.
type Decision struct {
	// Block is the client block of the address, or invalid if no block contains the address.
	Block netip.Prefix
	Site  oleandervane.Site
	// Home is the region of the site, or the region of this VM if the address is not in a block of a configured region.
	Home oleandervane.Region
	// Region is the region of the first entry VM.
	Region oleandervane.Region
	// Count is the number of entry VMs that Decide wrote.
	Count int
}

// candidate is an entry VM of a region in the rendezvous ranking.
type candidate struct {
	seed   uint64
	vm     int32
	domain int32
}

// regionState contains the state of one region that decisions depend on.
type regionState struct {
	name      oleandervane.Region
	live      []candidate
	suspect   []candidate
	nearest   []int
	partition *Partition
	// entryRegions maps the region indexes of partition to those of the snapshot.
	entryRegions []int
}

// snapshot contains everything that decisions depend on. It is immutable.
type snapshot struct {
	table       *Table
	regions     []regionState
	siteRegions []int
	entryVMs    []oleandervane.EntryVM
	self        int
}

// decide fills entryVMs with the entry VMs that a caller at the address should use, best first.
func (snapshot *snapshot) decide(address netip.Addr, entryVMs []oleandervane.EntryVM) Decision {
	address = address.Unmap()
	home := snapshot.self
	callerKey := key{}
	decision := Decision{}
	var blockHash uint64
	if address.IsValid() {
		callerKey = keyOf(address)
		if match, found := snapshot.table.family(address.Is4()).find(callerKey); found {
			blockHash = hashBlock(match.start, match.prefixBits, address.Is4())
			decision.Block = netip.PrefixFrom(match.start.address(address.Is4()), int(match.prefixBits))
			decision.Site = snapshot.table.sites[match.site]
			if region := snapshot.siteRegions[match.site]; region >= 0 {
				home = region
			}
		}
	}
	if len(snapshot.regions) == 0 {
		return decision
	}
	decision.Home = snapshot.regions[home].name
	first := snapshot.entryRegion(home, blockHash)
	ranking := ranking{limit: min(len(entryVMs), MaxEntryVMs)}
	snapshot.rank(&ranking, first, hashCaller(blockHash, callerKey))
	for index := range ranking.count {
		entryVMs[index] = snapshot.entryVMs[ranking.best[index].vm]
	}
	decision.Count = ranking.count
	if ranking.count > 0 {
		decision.Region = entryVMs[0].Region
	}
	return decision
}

// entryRegion returns the region whose entry VMs serve a block of the home region.
func (snapshot *snapshot) entryRegion(home int, blockHash uint64) int {
	state := &snapshot.regions[home]
	if state.partition == nil {
		return home
	}
	return state.entryRegions[state.partition.cells[blockHash%partitionCells]]
}

// rank fills the ranking with VMs of the region. With four or more places, the last is for a live VM of the nearest
// other region, so that a caller with a cached response has an alternative if the region is lost. If all VMs of a
// region are suspect or worse, its suspect VMs are used, because suspicions are often wrong and must not move a whole
// region. The last of two or more places is then for a VM of another region.
func (snapshot *snapshot) rank(ranking *ranking, region int, callerHash uint64) {
	limit := ranking.limit
	state := &snapshot.regions[region]
	suspectOnly := len(state.live) == 0 && len(state.suspect) > 0
	if limit >= 4 || (suspectOnly && limit >= 2) {
		ranking.limit--
	}
	switch {
	case len(state.live) > 0:
		ranking.add(state.live, callerHash)
	case suspectOnly:
		ranking.add(state.suspect, callerHash)
	}
	ranking.limit = limit
	for _, other := range state.nearest {
		if ranking.count >= limit {
			return
		}
		if live := snapshot.regions[other].live; len(live) > 0 {
			ranking.add(live, callerHash)
			break
		}
	}
	if ranking.count > 0 {
		return
	}
	for _, other := range state.nearest {
		if suspect := snapshot.regions[other].suspect; len(suspect) > 0 {
			ranking.add(suspect, callerHash)
			return
		}
	}
}

// ranking is an ordered list of candidates.
type ranking struct {
	limit int
	count int
	best  [MaxEntryVMs]candidate
}

// diversePlaces is the number of first places in which both failure domains of a region must appear.
const diversePlaces = 3

// add appends the candidates with the highest scores while there is room. If the first three are all of the same
// failure domain, the best candidate of another failure domain gets the third place.
func (ranking *ranking) add(candidates []candidate, callerHash uint64) {
	room := min(ranking.limit-ranking.count, len(candidates))
	if room <= 0 {
		return
	}
	var scores [MaxEntryVMs]uint64
	best := ranking.best[ranking.count : ranking.count+room]
	filled := 0
	for _, candidate := range candidates {
		score := mix(callerHash ^ candidate.seed)
		if filled == room && score <= scores[filled-1] {
			continue
		}
		if filled < room {
			filled++
		}
		position := filled - 1
		for position > 0 && scores[position-1] < score {
			scores[position] = scores[position-1]
			best[position] = best[position-1]
			position--
		}
		scores[position] = score
		best[position] = candidate
	}
	ranking.count += room
	if room >= diversePlaces {
		diversify(best, candidates, callerHash)
	}
}

// diversify moves the best candidate of another failure domain to the third place if the first three are all of the
// same failure domain.
func diversify(best []candidate, candidates []candidate, callerHash uint64) {
	domain := best[0].domain
	if best[1].domain != domain || best[2].domain != domain {
		return
	}
	var other candidate
	var highest uint64
	found := false
	for _, candidate := range candidates {
		if candidate.domain == domain {
			continue
		}
		if score := mix(callerHash ^ candidate.seed); !found || score > highest {
			other, highest, found = candidate, score, true
		}
	}
	if !found {
		return
	}
	position := slices.IndexFunc(best, func(candidate candidate) bool { return candidate.vm == other.vm })
	if position < 0 {
		position = len(best) - 1
	}
	copy(best[diversePlaces:position+1], best[diversePlaces-1:position])
	best[diversePlaces-1] = other
}

// newSnapshot computes a snapshot from its inputs. Nil inputs are treated as empty.
func newSnapshot(table *Table, configuration *oleandervane.Configuration, entryVMs []oleandervane.EntryVM, self oleandervane.EntryVM, partitions map[oleandervane.Region]*Partition) *snapshot {
	result := &snapshot{table: table, entryVMs: slices.Clone(entryVMs)}
	if result.table == nil {
		result.table = &Table{}
	}
	if configuration == nil {
		configuration = &oleandervane.Configuration{}
	}
	indexes := map[oleandervane.Region]int{}
	regionIndex := func(name oleandervane.Region) int {
		index, known := indexes[name]
		if !known {
			index = len(result.regions)
			indexes[name] = index
			result.regions = append(result.regions, regionState{name: name})
		}
		return index
	}
	for name := range configuration.Regions {
		regionIndex(name)
	}
	result.self = regionIndex(self.Region)
	domains := map[oleandervane.FailureDomain]int32{}
	for index, entryVM := range result.entryVMs {
		domain, known := domains[entryVM.FailureDomain]
		if !known {
			domain = int32(len(domains))
			domains[entryVM.FailureDomain] = domain
		}
		state := &result.regions[regionIndex(entryVM.Region)]
		item := candidate{seed: mix(xxhash.Sum64String(string(entryVM.ID))), vm: int32(index), domain: domain}
		switch entryVM.State {
		case oleandervane.VMAlive:
			state.live = append(state.live, item)
		case oleandervane.VMSuspect:
			state.suspect = append(state.suspect, item)
		case oleandervane.VMLeaving, oleandervane.VMDead:
		}
	}
	result.siteRegions = siteRegions(result.table, configuration, indexes)
	for index := range result.regions {
		state := &result.regions[index]
		state.nearest = nearest(configuration, result.regions, index)
		if partition := partitions[state.name]; partition != nil {
			state.partition = partition
			state.entryRegions = make([]int, len(partition.regions))
			for position, name := range partition.regions {
				entryRegion, known := indexes[name]
				if !known {
					entryRegion = index
				}
				state.entryRegions[position] = entryRegion
			}
		}
	}
	return result
}

// siteRegions returns the region index of each site of the table, or -1 for a site without a region.
func siteRegions(table *Table, configuration *oleandervane.Configuration, indexes map[oleandervane.Region]int) []int {
	regions := map[oleandervane.Site]int{}
	for name, settings := range configuration.Regions {
		for site := range settings.Sites {
			regions[site] = indexes[name]
		}
	}
	result := make([]int, len(table.sites))
	for index, site := range table.sites {
		region, known := regions[site]
		if !known {
			region = -1
		}
		result[index] = region
	}
	return result
}

// nearest returns the other regions, ordered by the delay from the given region. Regions without a link come last, by
// name.
func nearest(configuration *oleandervane.Configuration, regions []regionState, from int) []int {
	delays := make([]int64, len(regions))
	var result []int
	for index, state := range regions {
		if index == from {
			continue
		}
		delays[index] = math.MaxInt64
		if delay, known := configuration.Delay(regions[from].name, state.name); known {
			delays[index] = int64(delay)
		}
		result = append(result, index)
	}
	slices.SortFunc(result, func(left, right int) int {
		return cmp.Or(cmp.Compare(delays[left], delays[right]), cmp.Compare(regions[left].name, regions[right].name))
	})
	return result
}
