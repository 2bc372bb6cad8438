package lookup

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/figure"
)

// loadMultiple bounds the number of callers that have the same VM of a region as their first VM, as a multiple of the
// mean, with at least callersPerVM callers per VM. It allows for five standard deviations of a uniform choice.
const (
	loadMultiple = 1.3
	callersPerVM = 300
)

// firstVMs returns the first entry VM of a caller at each address.
func firstVMs(lookup *Lookup, addresses []netip.Addr) []oleandervane.VMID {
	entryVMs := make([]oleandervane.EntryVM, 1)
	result := make([]oleandervane.VMID, len(addresses))
	for index, address := range addresses {
		lookup.Decide(address, entryVMs)
		result[index] = entryVMs[0].ID
	}
	return result
}

func blockAddresses(blocks []oleandervane.ClientBlock) []netip.Addr {
	addresses := make([]netip.Addr, len(blocks))
	for index, clientBlock := range blocks {
		addresses[index] = clientBlock.Prefix.Addr()
	}
	return addresses
}

func maxOverMean(counts map[oleandervane.VMID]int, vms int) float64 {
	total, largest := 0, 0
	for _, count := range counts {
		total += count
		largest = max(largest, count)
	}
	return float64(largest) * float64(vms) / float64(total)
}

// Guards against VMs that get many more callers than the mean, among the callers of a region and of a single block.
func TestFigureSpread(t *testing.T) {
	const vms = 41
	random := rand.New(rand.NewPCG(4, 4))
	large := netip.MustParsePrefix("203.0.0.0/16")
	blocks := append(randomBlocks(4, vms*callersPerVM), oleandervane.ClientBlock{Prefix: large, Site: site(0)})
	lookup, err := newLookup(blocks, fleet(vms, 1), 1)
	assert.NilError(t, err)
	var sameBlock []netip.Addr
	for range vms * callersPerVM {
		sameBlock = append(sameBlock, key{high: uint64(203<<24|random.Uint32N(1<<16)) << 32}.address(true))
	}
	for name, addresses := range map[string][]netip.Addr{"lookup_spread_region": blockAddresses(blocks), "lookup_spread_block": sameBlock} {
		counts := map[oleandervane.VMID]int{}
		for _, id := range firstVMs(lookup, addresses) {
			counts[id]++
		}
		figure.Require(t, figure.Figure{Name: name, Value: maxOverMean(counts, vms), Unit: "ratio", Bound: loadMultiple})
	}
}

// Guards against a leaving or joining VM moving the callers of other VMs, as with modulo hashing.
func TestFigureMovedBlocks(t *testing.T) {
	for _, test := range []struct {
		name string
		vms  int
	}{{"7", 7}, {"41", 41}} {
		blocks := randomBlocks(5, 100_000)
		addresses := blockAddresses(blocks)
		all := fleet(test.vms, 1)
		lookup, err := newLookup(blocks, all, 1)
		assert.NilError(t, err)
		before := firstVMs(lookup, addresses)
		leaving := test.vms / 2
		marked := slices.Clone(all)
		marked[leaving] = marked[leaving].WithState(oleandervane.VMLeaving)
		lookup.PublishEntryVMs(marked)
		after := firstVMs(lookup, addresses)
		moved, movedModulo := 0, 0
		for index := range blocks {
			if before[index] != after[index] {
				moved++
				assert.Equal(t, before[index], all[leaving].ID)
			}
			hash := hashBlock(keyOf(addresses[index]), uint8(blocks[index].Prefix.Bits()), addresses[index].Is4())
			old, shrunk := int(hash%uint64(test.vms)), int(hash%uint64(test.vms-1))
			if shrunk >= leaving {
				shrunk++
			}
			if old != shrunk {
				movedModulo++
			}
		}
		count := float64(len(blocks))
		bound := 1/float64(test.vms) + 0.01
		figure.Require(t, figure.Figure{Name: "lookup_moved_" + test.name + "_vms", Value: float64(moved) / count, Unit: "share", Bound: bound})
		t.Logf("modulo hashing moves %.3f", float64(movedModulo)/count)
		assert.Assert(t, float64(movedModulo)/count > 0.5)
		lookup.PublishEntryVMs(all)
		assert.DeepEqual(t, firstVMs(lookup, addresses), before)
	}
}

// Guards against decisions whose first three VMs are in the same failure domain, that contain a VM twice, or that have
// no alternative to a lost region.
func TestOrderSpansFailureDomains(t *testing.T) {
	blocks := randomBlocks(6, 5000)
	lookup, err := newLookup(blocks, fleet(450, 11), 11)
	assert.NilError(t, err)
	for size := 1; size <= MaxEntryVMs+1; size++ {
		entryVMs := make([]oleandervane.EntryVM, size)
		for _, clientBlock := range blocks {
			decision := lookup.Decide(clientBlock.Prefix.Addr(), entryVMs)
			assert.Equal(t, decision.Count, min(size, MaxEntryVMs))
			assert.Equal(t, decision.Region, decision.Home)
			seen := map[oleandervane.VMID]bool{}
			domains := map[oleandervane.FailureDomain]bool{}
			for index, entryVM := range entryVMs[:decision.Count] {
				assert.Assert(t, !seen[entryVM.ID])
				seen[entryVM.ID] = true
				if index < 3 {
					domains[entryVM.FailureDomain] = true
				}
				assert.Equal(t, entryVM.Region != decision.Home, size >= 4 && index == decision.Count-1)
			}
			assert.Assert(t, size < 3 || len(domains) == 2)
		}
	}
}

// Guards against decisions with VMs that do not serve, and against empty decisions for a region without live VMs.
func TestOrderByState(t *testing.T) {
	blocks := []oleandervane.ClientBlock{{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Site: site(1)}}
	all := fleet(9, 3)
	lookup, err := newLookup(blocks, all, 3)
	assert.NilError(t, err)
	alive, suspect, leaving, dead := oleandervane.VMAlive, oleandervane.VMSuspect, oleandervane.VMLeaving, oleandervane.VMDead
	for _, test := range []struct {
		name string
		// states of the three VMs of the home region and of all others.
		home     [3]oleandervane.VMState
		others   oleandervane.VMState
		expected []oleandervane.VMState
		regions  []oleandervane.Region
	}{
		{"one live", [3]oleandervane.VMState{alive, suspect, leaving}, alive, []oleandervane.VMState{alive, alive, alive}, []oleandervane.Region{region(1), region(0), region(0)}},
		{"suspect only", [3]oleandervane.VMState{suspect, dead, leaving}, alive, []oleandervane.VMState{suspect, alive, alive}, []oleandervane.Region{region(1), region(0), region(0)}},
		{"all suspect", [3]oleandervane.VMState{suspect, suspect, suspect}, alive, []oleandervane.VMState{suspect, suspect, alive}, []oleandervane.Region{region(1), region(1), region(0)}},
		{"region lost", [3]oleandervane.VMState{dead, dead, dead}, alive, []oleandervane.VMState{alive, alive, alive}, []oleandervane.Region{region(0), region(0), region(0)}},
		{"others suspect", [3]oleandervane.VMState{leaving, dead, dead}, suspect, []oleandervane.VMState{suspect, suspect, suspect}, []oleandervane.Region{region(0), region(0), region(0)}},
		{"none", [3]oleandervane.VMState{leaving, leaving, dead}, dead, nil, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			states := slices.Clone(all)
			for index := range states {
				states[index] = states[index].WithState(test.others)
				if states[index].Region == region(1) {
					states[index] = states[index].WithState(test.home[index/3])
				}
			}
			lookup.PublishEntryVMs(states)
			entryVMs := make([]oleandervane.EntryVM, 3)
			decision := lookup.Decide(netip.MustParseAddr("::ffff:10.1.2.3"), entryVMs)
			assert.Equal(t, decision.Home, region(1))
			assert.Equal(t, decision.Count, len(test.expected))
			for index := range test.expected {
				assert.Equal(t, entryVMs[index].State, test.expected[index], index)
				assert.Equal(t, entryVMs[index].Region, test.regions[index], index)
			}
		})
	}
}

// Guards against an empty decision for a caller without a block, or at a VM without a table.
func TestUnknownCallerHasHomeOfThisVM(t *testing.T) {
	lookup := New(oleandervane.EntryVM{Region: region(0)})
	entryVMs := make([]oleandervane.EntryVM, 2)
	assert.Equal(t, lookup.Decide(netip.Addr{}, entryVMs).Count, 0)
	lookup.PublishEntryVMs(fleet(6, 2))
	decision := lookup.Decide(netip.MustParseAddr("192.0.2.1"), entryVMs)
	assert.Equal(t, decision.Home, region(0))
	assert.Equal(t, decision.Count, 2)
	assert.Assert(t, !decision.Block.IsValid())
}

// Guards against share changes that move more blocks than the change of the shares requires, in a random walk of share
// vectors, and against shares that are not met.
func TestFigureMovedByShares(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	blocks := randomBlocks(7, 20_000)
	for index := range blocks {
		blocks[index].Site = site(0)
	}
	lookup, err := newLookup(blocks, fleet(44, 11), 11)
	assert.NilError(t, err)
	addresses := blockAddresses(blocks)
	regions := func() []oleandervane.Region {
		result := make([]oleandervane.Region, len(addresses))
		entryVMs := make([]oleandervane.EntryVM, 1)
		for index, address := range addresses {
			result[index] = lookup.Decide(address, entryVMs).Region
		}
		return result
	}
	shares := oleandervane.ShareVector{region(0): 1}
	before := regions()
	worstExcess, worstError := 0.0, 0.0
	for range 60 {
		changed := oleandervane.ShareVector{}
		sum := 0.0
		for index := range 11 {
			changed[region(index)] = max(0, shares[region(index)]+0.05*(random.Float64()-0.5))
			sum += changed[region(index)]
		}
		for name := range changed {
			changed[name] /= sum
		}
		assert.NilError(t, lookup.PublishShares(region(0), changed))
		after := regions()
		moved, serving := 0.0, oleandervane.ShareVector{}
		for index := range after {
			if after[index] != before[index] {
				moved += 1 / float64(len(after))
			}
			serving[after[index]] += 1 / float64(len(after))
		}
		worstExcess = max(worstExcess, moved-changed.ShiftFrom(shares))
		for name, share := range changed {
			worstError = max(worstError, math.Abs(serving[name]-share))
		}
		before, shares = after, changed
	}
	// The shares of 20,000 blocks, which a hash assigns to cells, deviate from the shares of the cells by up to about
	// 1%.
	figure.Require(t, figure.Figure{Name: "lookup_share_move_excess", Value: worstExcess, Unit: "share", Bound: 0.01})
	figure.Require(t, figure.Figure{Name: "lookup_share_error", Value: worstError, Unit: "share", Bound: 0.015})
	assert.ErrorIs(t, lookup.PublishShares(region(0), oleandervane.ShareVector{region(1): 1.2}), ErrInvalidShares)
	assert.ErrorIs(t, lookup.PublishShares(region(0), oleandervane.ShareVector{region(1): math.NaN()}), ErrInvalidShares)
	assert.DeepEqual(t, regions(), before)
}

// Measures the time to update 1,000 of 1.5 million blocks without a rebuild.
func BenchmarkFigureTableUpdate(b *testing.B) {
	blocks := randomBlocks(1, 1_500_000)
	table, err := NewTable(blocks)
	assert.NilError(b, err)
	for b.Loop() {
		_, err = table.With(blocks[:1000], nil)
	}
	assert.NilError(b, err)
	perUpdate := float64(b.Elapsed()) / float64(b.N) / float64(time.Millisecond)
	// A configuration must apply everywhere within 4 s. The update of the table may take a hundredth of that.
	figure.Report(b, figure.Figure{Name: "lookup_update_time", Value: perUpdate, Unit: "ms", Bound: 40})
}
