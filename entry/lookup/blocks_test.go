package lookup

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"oleandervane.example"
)

const siteCount = 69

// randomBlocks returns distinct blocks, three quarters of them IPv4 from /16 to /24 and the others IPv6 from /32 to
// /64. They are clustered like the allocations of address registries, as parts of a few thousand larger blocks.
func randomBlocks(seed uint64, count int) []oleandervane.ClientBlock {
	random := rand.New(rand.NewPCG(seed, 1))
	seen := make(map[netip.Prefix]bool, count)
	blocks := make([]oleandervane.ClientBlock, 0, count)
	for len(blocks) < count {
		prefix := randomPrefix(random)
		if seen[prefix] {
			continue
		}
		seen[prefix] = true
		blocks = append(blocks, oleandervane.ClientBlock{Prefix: prefix, Site: site(random.IntN(siteCount))})
	}
	return blocks
}

func randomPrefix(random *rand.Rand) netip.Prefix {
	if random.IntN(4) > 0 {
		start := key{high: uint64(random.IntN(200)+1)<<56 | random.Uint64()>>8}
		return netip.PrefixFrom(start.address(true), 24-min(8, int(random.ExpFloat64()))).Masked()
	}
	start := key{high: 0x2000<<48 | uint64(random.IntN(4096))<<40 | random.Uint64()>>28, low: random.Uint64()}
	return netip.PrefixFrom(start.address(false), 32+4*random.IntN(9)).Masked()
}

// uniformPrefix returns a prefix of any length. Only a few of its bits vary, so that prefixes nest.
func uniformPrefix(random *rand.Rand) netip.Prefix {
	start := key{high: random.Uint64() & 0xc0c1c3c7c0c0c0c1, low: random.Uint64() & 0xc000000000000001}
	is4 := random.IntN(2) == 0
	longest := 128
	if is4 {
		longest = 32
	}
	return netip.PrefixFrom(start.address(is4), random.IntN(longest+1)).Masked()
}

func site(index int) oleandervane.Site {
	return oleandervane.Site(fmt.Sprintf("site-%02d", index))
}

// configuration returns a configuration with the given number of regions. Sites are assigned to the regions
// round-robin, and the delay of a link is proportional to the difference of the region numbers.
func configuration(regions int) oleandervane.Configuration {
	result := oleandervane.Configuration{Regions: map[oleandervane.Region]oleandervane.RegionSettings{}}
	for from := range regions {
		sites := map[oleandervane.Site]oleandervane.FailureDomain{}
		for index := from; index < siteCount; index += regions {
			sites[site(index)] = domain(from, index)
		}
		result.Regions[region(from)] = oleandervane.RegionSettings{Name: region(from), Sites: sites}
		for to := range regions {
			distance := max(from-to, to-from)
			link := oleandervane.Link{From: region(from), To: region(to), Delay: time.Duration(distance) * time.Millisecond}
			result.Links = append(result.Links, link)
		}
	}
	return result
}

// fleet returns live entry VMs that are assigned round-robin to regions and their two failure domains.
func fleet(count, regions int) []oleandervane.EntryVM {
	entryVMs := make([]oleandervane.EntryVM, count)
	for index := range entryVMs {
		entryVMs[index] = oleandervane.EntryVM{
			ID:            oleandervane.VMID(fmt.Sprintf("vm-%03d", index)),
			Region:        region(index % regions),
			FailureDomain: domain(index%regions, index/regions),
		}
	}
	return entryVMs
}

func region(index int) oleandervane.Region {
	return oleandervane.Region(fmt.Sprintf("region-%02d", index))
}

func domain(region, index int) oleandervane.FailureDomain {
	return oleandervane.FailureDomain(fmt.Sprintf("region-%02d-%c", region, 'a'+rune(index%2)))
}

// newLookup returns a lookup with the given blocks and entry VMs for a VM of the first region.
func newLookup(blocks []oleandervane.ClientBlock, entryVMs []oleandervane.EntryVM, regions int) (*Lookup, error) {
	table, err := NewTable(blocks)
	if err != nil {
		return nil, err
	}
	lookup := New(oleandervane.EntryVM{Region: region(0)})
	lookup.PublishTable(table)
	lookup.PublishConfiguration(configuration(regions))
	lookup.PublishEntryVMs(entryVMs)
	return lookup, nil
}
