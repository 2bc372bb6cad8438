package lookup

import (
	"cmp"
	"iter"
	"net/netip"
	"slices"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

const (
	// MaxSites is the largest number of sites in a table, because an entry stores its site in one byte.
	MaxSites = 256
	// chunkTarget and chunkLimit bound the number of entries in a chunk. An entry refers to its parent in the chunk
	// with one byte, and up to 129 entries with the same start address must not be split between chunks.
	chunkTarget = 120
	chunkLimit  = 255
)

// entry is a block: its start, its prefix length and the index of its site.
type entry struct {
	start      key
	prefixBits uint8
	site       uint8
}

func (entry entry) compare(other entry) int {
	if order := entry.start.compare(other.start); order != 0 {
		return order
	}
	return cmp.Compare(entry.prefixBits, other.prefixBits)
}

func (entry entry) contains(other key) bool {
	return entry.start.contains(entry.prefixBits, other)
}

// chunk contains the blocks whose start is in [boundary, boundary of the next chunk), ordered by start and then by
// prefix length. It is immutable.
type chunk struct {
	boundary key
	high     []uint64
	// low is nil if the lower half of every start is zero.
	low        []uint64
	prefixBits []uint8
	sites      []uint8
	// parents has for each entry the index of its parent plus one, or 0 if it has none. The parent is the block of the
	// chunk that has the longest prefix of those that contain the entry, other than the entry itself.
	parents []uint8
	// covers are the blocks that start before boundary and contain it, with the longest prefix first.
	covers []entry
}

func (chunk *chunk) entry(index int) entry {
	result := entry{start: key{high: chunk.high[index]}, prefixBits: chunk.prefixBits[index], site: chunk.sites[index]}
	if chunk.low != nil {
		result.start.low = chunk.low[index]
	}
	return result
}

// after returns the index of the first entry whose start is larger than the address.
func (chunk *chunk) after(address key) int {
	low, high := 0, len(chunk.high)
	for low < high {
		middle := int(uint(low+high) >> 1)
		start := key{high: chunk.high[middle]}
		if chunk.low != nil {
			start.low = chunk.low[middle]
		}
		if start.compare(address) <= 0 {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// find returns the block with the longest prefix that contains the address. Every block of this chunk that contains the
// address also contains the last entry that starts at or before the address, or is that entry. Following the parents of
// this entry therefore finds the block.
func (chunk *chunk) find(address key) (entry, bool) {
	for position := chunk.after(address); position > 0; position = int(chunk.parents[position-1]) {
		if found := chunk.entry(position - 1); found.contains(address) {
			return found, true
		}
	}
	for _, cover := range chunk.covers {
		if cover.contains(address) {
			return cover, true
		}
	}
	return entry{}, false
}

func newChunk(boundary key, covers []entry, entries []entry) *chunk {
	result := &chunk{
		boundary:   boundary,
		high:       make([]uint64, len(entries)),
		prefixBits: make([]uint8, len(entries)),
		sites:      make([]uint8, len(entries)),
		parents:    make([]uint8, len(entries)),
		covers:     covers,
	}
	if slices.ContainsFunc(entries, func(entry entry) bool { return entry.start.low != 0 }) {
		result.low = make([]uint64, len(entries))
	}
	for index, entry := range entries {
		result.high[index] = entry.start.high
		if result.low != nil {
			result.low[index] = entry.start.low
		}
		result.prefixBits[index] = entry.prefixBits
		result.sites[index] = entry.site
		parent := index
		for parent > 0 && !entries[parent-1].contains(entry.start) {
			parent = int(result.parents[parent-1])
		}
		result.parents[index] = uint8(parent)
	}
	return result
}

// newChunks splits sorted entries into chunks of about chunkTarget entries. The first chunk has the given boundary.
func newChunks(boundary key, covers []entry, entries []entry) []*chunk {
	var chunks []*chunk
	for len(entries) > 0 {
		size := min(chunkTarget, len(entries))
		for size < len(entries) && entries[size].start == entries[size-1].start {
			size++
		}
		chunks = append(chunks, newChunk(boundary, covers, entries[:size]))
		if size == len(entries) {
			break
		}
		next := entries[size].start
		covers = coversAt(next, covers, entries[:size])
		boundary, entries = next, entries[size:]
	}
	return chunks
}

// coversAt returns the blocks of both lists that contain the boundary, with the longest prefix first.
func coversAt(boundary key, covers []entry, entries []entry) []entry {
	var result []entry
	for index := len(entries) - 1; index >= 0; index-- {
		if entries[index].contains(boundary) {
			result = append(result, entries[index])
		}
	}
	for _, cover := range covers {
		if cover.contains(boundary) {
			result = append(result, cover)
		}
	}
	return result
}

// family contains the blocks of one address family in chunks that are ordered by boundary. The first boundary is zero.
type family struct {
	is4        bool
	boundaries []key
	chunks     []*chunk
}

func newFamily(is4 bool, chunks []*chunk) family {
	boundaries := make([]key, len(chunks))
	for index, chunk := range chunks {
		boundaries[index] = chunk.boundary
	}
	return family{is4: is4, boundaries: boundaries, chunks: chunks}
}

// chunkIndex returns the index of the chunk whose range contains the address. There must be at least one chunk.
func (family *family) chunkIndex(address key) int {
	low, high := 1, len(family.boundaries)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if family.boundaries[middle].compare(address) <= 0 {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low - 1
}

func (family *family) find(address key) (entry, bool) {
	if len(family.chunks) == 0 {
		return entry{}, false
	}
	return family.chunks[family.chunkIndex(address)].find(address)
}

// Table maps client blocks of both address families to sites, by the longest matching prefix. It is immutable.
type Table struct {
	ipv4  family
	ipv6  family
	sites []oleandervane.Site
	size  int
}

// NewTable returns a table with the given blocks. Of two blocks with the same prefix, the later one applies. It fails
// with ErrInvalidPrefix or ErrTooManySites.
func NewTable(clientBlocks []oleandervane.ClientBlock) (*Table, error) {
	return (&Table{}).With(clientBlocks, nil)
}

// Len returns the number of blocks.
func (table *Table) Len() int {
	return table.size
}

// Sites returns the sites of the table. Entries refer to them by index. The result must not be changed.
func (table *Table) Sites() []oleandervane.Site {
	return table.sites
}

// Find returns the block with the longest prefix that contains the address. An IPv4-mapped IPv6 address is treated as
// IPv4.
func (table *Table) Find(address netip.Addr) (clientBlock oleandervane.ClientBlock, found bool) {
	address = address.Unmap()
	if !address.IsValid() {
		return oleandervane.ClientBlock{}, false
	}
	match, found := table.family(address.Is4()).find(keyOf(address))
	if !found {
		return oleandervane.ClientBlock{}, false
	}
	return table.clientBlock(match, address.Is4()), true
}

// All returns the blocks, IPv4 before IPv6, each ordered by address and then by prefix length.
func (table *Table) All() iter.Seq[oleandervane.ClientBlock] {
	return func(yield func(oleandervane.ClientBlock) bool) {
		for _, family := range []*family{&table.ipv4, &table.ipv6} {
			for _, chunk := range family.chunks {
				for index := range chunk.high {
					if !yield(table.clientBlock(chunk.entry(index), family.is4)) {
						return
					}
				}
			}
		}
	}
}

func (table *Table) family(is4 bool) *family {
	if is4 {
		return &table.ipv4
	}
	return &table.ipv6
}

func (table *Table) clientBlock(entry entry, is4 bool) oleandervane.ClientBlock {
	prefix := netip.PrefixFrom(entry.start.address(is4), int(entry.prefixBits))
	return oleandervane.ClientBlock{Prefix: prefix, Site: table.sites[entry.site]}
}

// With returns a copy with the changed blocks added or replaced and the removed prefixes deleted. A prefix in both
// lists is changed, not deleted. Chunks without changes are shared with the receiver.
func (table *Table) With(changed []oleandervane.ClientBlock, removed []netip.Prefix) (*Table, error) {
	result := &Table{sites: slices.Clip(table.sites)}
	sites := make(map[oleandervane.Site]uint8, len(table.sites))
	for index, site := range table.sites {
		sites[site] = uint8(index)
	}
	var edits4, edits6 []edit
	appendEdit := func(prefix netip.Prefix, site uint8, remove bool) error {
		if !prefix.IsValid() || prefix.Addr().Is4In6() {
			return eris.Wrapf(ErrInvalidPrefix, "prefix %q", prefix)
		}
		prefix = prefix.Masked()
		item := edit{entry: entry{start: keyOf(prefix.Addr()), prefixBits: uint8(prefix.Bits()), site: site}, remove: remove}
		if prefix.Addr().Is4() {
			edits4 = append(edits4, item)
		} else {
			edits6 = append(edits6, item)
		}
		return nil
	}
	for _, prefix := range removed {
		if err := appendEdit(prefix, 0, true); err != nil {
			return nil, err
		}
	}
	for _, clientBlock := range changed {
		site, known := sites[clientBlock.Site]
		if !known {
			if len(result.sites) == MaxSites {
				return nil, eris.Wrapf(ErrTooManySites, "site %q", clientBlock.Site)
			}
			site = uint8(len(result.sites))
			sites[clientBlock.Site] = site
			result.sites = append(result.sites, clientBlock.Site)
		}
		if err := appendEdit(clientBlock.Prefix, site, false); err != nil {
			return nil, err
		}
	}
	var change4, change6 int
	result.ipv4, change4 = table.ipv4.with(true, edits4)
	result.ipv6, change6 = table.ipv6.with(false, edits6)
	result.size = table.size + change4 + change6
	return result, nil
}
