package lookup

import (
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"testing"

	"github.com/gaissmai/bart"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"oleandervane.example"
	"oleandervane.example/figure"
)

// Guards against a wrong block for an address, by comparison with an independent implementation, when nested blocks are
// added, replaced and removed in the same table. Also guards against edits that change an earlier table.
func TestTableMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		table, reference := &Table{}, map[netip.Prefix]oleandervane.Site{}
		for range 6 {
			before, size := table, table.Len()
			var changed []oleandervane.ClientBlock
			var removed []netip.Prefix
			for prefix := range reference {
				if random.IntN(3) == 0 {
					removed = append(removed, prefix)
					delete(reference, prefix)
				}
			}
			for range random.IntN(1500) {
				clientBlock := oleandervane.ClientBlock{Prefix: uniformPrefix(random), Site: site(random.IntN(siteCount))}
				changed = append(changed, clientBlock)
				reference[clientBlock.Prefix] = clientBlock.Site
			}
			removed = append(removed, uniformPrefix(random))
			if _, kept := reference[removed[len(removed)-1]]; kept {
				removed = removed[:len(removed)-1]
			}
			var err error
			table, err = table.With(changed, removed)
			assert.NilError(t, err)
			checkAgainst(t, random, table, reference)
			assert.Equal(t, len(slices.Collect(before.All())), size)
		}
	})
}

func checkAgainst(t assert.TestingT, random *rand.Rand, table *Table, reference map[netip.Prefix]oleandervane.Site) {
	oracle := &bart.Table[oleandervane.Site]{}
	for prefix, site := range reference {
		oracle.Insert(prefix, site)
	}
	assert.Equal(t, table.Len(), len(reference))
	for clientBlock := range table.All() {
		assert.Equal(t, reference[clientBlock.Prefix], clientBlock.Site)
	}
	for range 500 {
		address := uniformPrefix(random).Addr()
		expected, site, expectFound := oracle.LookupPrefixLPM(netip.PrefixFrom(address, address.BitLen()))
		clientBlock, found := table.Find(address)
		assert.Equal(t, found, expectFound, address)
		assert.Equal(t, clientBlock, oleandervane.ClientBlock{Prefix: expected, Site: site}, address)
	}
}

// Guards against a table that accepts an invalid block or too many sites.
func TestTableRejectsInvalidBlocks(t *testing.T) {
	_, err := NewTable([]oleandervane.ClientBlock{{Site: "x"}})
	assert.ErrorIs(t, err, ErrInvalidPrefix)
	_, err = NewTable([]oleandervane.ClientBlock{{Prefix: netip.MustParsePrefix("::ffff:10.0.0.0/104"), Site: "x"}})
	assert.ErrorIs(t, err, ErrInvalidPrefix)
	blocks := randomBlocks(3, MaxSites+1)
	for index := range blocks {
		blocks[index].Site = oleandervane.Site(blocks[index].Prefix.String())
	}
	_, err = NewTable(blocks)
	assert.ErrorIs(t, err, ErrTooManySites)
}

// heapAfter returns the result of build and its heap size in bytes.
func heapAfter[T any](build func() T) (T, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return result, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// Guards against a Lookup of full size that uses more memory than the bound. Measures a bart table with the same blocks
// for comparison.
func TestFigureTableMemory(t *testing.T) {
	const (
		count    = 1_500_000
		megabyte = 1 << 20
		bound    = 64
	)
	blocks := randomBlocks(1, count)
	lookup, size := heapAfter(func() *Lookup {
		lookup, err := newLookup(blocks, fleet(450, 11), 11)
		assert.NilError(t, err)
		return lookup
	})
	figure.Require(t, figure.Figure{Name: "lookup_memory", Value: size / megabyte, Unit: "MB", Bound: bound})
	indexes := map[oleandervane.Site]uint8{}
	for index := range siteCount {
		indexes[site(index)] = uint8(index)
	}
	reference, size := heapAfter(func() *bart.Table[uint8] {
		table := &bart.Table[uint8]{}
		for _, clientBlock := range blocks {
			table.Insert(clientBlock.Prefix, indexes[clientBlock.Site])
		}
		return table
	})
	figure.Report(t, figure.Figure{Name: "lookup_memory_bart", Value: size / megabyte, Unit: "MB", Bound: bound})
	runtime.KeepAlive(lookup)
	runtime.KeepAlive(reference)
	runtime.KeepAlive(blocks)
}
