package entryvm

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/entry/lookup"
	"oleandervane.example/figure"
	"oleandervane.example/operator/check"
	"oleandervane.example/operator/folder"
	"oleandervane.example/operator/revision"
)

// randomBlocks returns sorted blocks at 69 sites, three quarters of them IPv4 of /16 to /28 and the rest IPv6 of /32 to
// /64.
func randomBlocks(random *rand.Rand, count int) []oleandervane.ClientBlock {
	prefixes := make(map[netip.Prefix]bool, count)
	for len(prefixes) < count {
		word := random.Uint64()
		prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{1 + byte(word)%200, byte(word >> 8), byte(word >> 16), byte(word >> 24)}), 16+random.IntN(13))
		if word>>62 == 0 {
			prefix = netip.PrefixFrom(netip.AddrFrom16([16]byte{0x20, byte(word), byte(word >> 8), byte(word >> 16), byte(word >> 24), byte(word >> 32)}), 32+4*random.IntN(9))
		}
		prefixes[prefix.Masked()] = true
	}
	blocks := make([]oleandervane.ClientBlock, 0, count)
	for _, prefix := range slices.SortedFunc(maps.Keys(prefixes), check.ComparePrefixes) {
		blocks = append(blocks, oleandervane.ClientBlock{Prefix: prefix, Site: siteName(random.IntN(69))})
	}
	return blocks
}

func siteName(index int) oleandervane.Site {
	return oleandervane.Site("site-" + strconv.Itoa(index))
}

// encodeRevision returns the head and the chunks of a revision of the association example with the given client blocks.
func encodeRevision(tb testing.TB, number oleandervane.Revision, blocks []oleandervane.ClientBlock) (head []byte, chunks map[string][]byte) {
	tb.Helper()
	result, err := folder.Read("../operator/folder/testdata/association", check.Conditions{})
	assert.NilError(tb, err)
	configuration := result.Configuration
	for index := range 400 {
		region := configuration.Regions["kigali"]
		region.Sites[siteName(index)] = region.FailureDomains[0]
	}
	configuration.ClientBlocks = blocks
	content, err := revision.Encode(configuration)
	assert.NilError(tb, err)
	decoded := revision.Head{Format: 1, Revision: number}
	chunks = map[string][]byte{}
	for _, chunk := range content.Settings {
		decoded.Settings = append(decoded.Settings, chunk.Digest)
		chunks[chunk.Digest.String()] = slices.Clone(chunk.Content)
	}
	for _, chunk := range content.Blocks {
		decoded.Blocks = append(decoded.Blocks, chunk.Digest)
		chunks[chunk.Digest.String()] = slices.Clone(chunk.Content)
	}
	head, err = decoded.Encode()
	assert.NilError(tb, err)
	return head, chunks
}

// changedBlocks returns blocks after a random change of one kind: some moved to new sites, the last or others removed,
// some added, a long run removed, or all replaced. Each move to new sites drops the new sites of earlier rounds, so
// that an edited table runs out of room for sites that a newly built table has.
func changedBlocks(random *rand.Rand, blocks []oleandervane.ClientBlock, round int) []oleandervane.ClientBlock {
	blocks = slices.Clone(blocks)
	at := random.IntN(len(blocks) - 60)
	switch kind := random.IntN(20); {
	case kind < 10:
		for index := range blocks {
			if len(blocks[index].Site) > len("site-99") {
				blocks[index].Site = siteName(0)
			}
		}
		for index := range 60 {
			blocks[at+index].Site = siteName(100 + (round*60+index)%300)
		}
	case kind < 11:
		blocks = blocks[:len(blocks)-10]
	case kind < 13:
		blocks = slices.Delete(blocks, at, at+1+random.IntN(20))
	case kind < 17:
		blocks = append(blocks, randomBlocks(random, 1+random.IntN(30))...)
		slices.SortStableFunc(blocks, func(a, b oleandervane.ClientBlock) int { return check.ComparePrefixes(a.Prefix, b.Prefix) })
		blocks = slices.CompactFunc(blocks, func(a, b oleandervane.ClientBlock) bool { return a.Prefix == b.Prefix })
	case kind < 19:
		blocks = slices.Delete(blocks, at, at+random.IntN(len(blocks)-at)/3)
	default:
		blocks = randomBlocks(random, 30_000)
	}
	return blocks
}

// Guards against an edited table that differs from one built in full, and against a decoder that needs chunks again
// that it has already checked.
func TestEditedBlockTableMatchesFullBuild(t *testing.T) {
	const rounds = 40
	for seed := range uint64(2) {
		random := rand.New(rand.NewPCG(seed, 7))
		decoder, table, blocks := newDecoder(), blockTable{}, randomBlocks(random, 30_000)
		for round := range rounds {
			head, chunks := encodeRevision(t, oleandervane.Revision(round+1), blocks)
			for digest := range decoder.previousChunks {
				delete(chunks, digest.String())
			}
			configuration, err := decoder.Decode(head, chunks)
			assert.NilError(t, err)
			assert.Equal(t, len(configuration.ClientBlocks), 0)
			blockChunks := decoder.popBlocks(configuration)
			table, err = table.withChunks(blockChunks)
			assert.NilError(t, err)
			full, err := newBlockTable(blockChunks)
			assert.NilError(t, err)
			reference, err := lookup.NewTable(blocks)
			assert.NilError(t, err)
			for _, built := range []*lookup.Table{table.table, full.table, reference} {
				assert.Equal(t, built.Len(), len(blocks), "seed %d round %d", seed, round)
				assert.Assert(t, slices.Equal(slices.Collect(built.All()), blocks), "seed %d round %d", seed, round)
			}
			for range 2000 {
				address := blocks[random.IntN(len(blocks))].Prefix.Addr().Next()
				found, _ := table.table.Find(address)
				expected, _ := reference.Find(address)
				assert.Equal(t, found, expected, "seed %d round %d", seed, round)
			}
			blocks = changedBlocks(random, blocks, round)
		}
	}
}

// Guards against a revision with more sites than a table can contain changing the table in force.
func TestBlockTableRejectsTooManySites(t *testing.T) {
	decoder, table := newDecoder(), blockTable{}
	blocks := randomBlocks(rand.New(rand.NewPCG(1, 1)), 30_000)
	apply := func() (err error) {
		head, chunks := encodeRevision(t, 1, blocks)
		configuration, err := decoder.Decode(head, chunks)
		assert.NilError(t, err)
		next, err := table.withChunks(decoder.popBlocks(configuration))
		if err == nil {
			table = next
		}
		return err
	}
	assert.NilError(t, apply())
	before := slices.Clone(blocks)
	for index := range 300 {
		blocks[index].Site = siteName(index)
	}
	assert.ErrorIs(t, apply(), lookup.ErrTooManySites)
	assert.Assert(t, slices.Equal(slices.Collect(table.table.All()), before))
	blocks = before
	blocks[0].Site = siteName(99)
	assert.NilError(t, apply())
	assert.Assert(t, slices.Equal(slices.Collect(table.table.All()), blocks))
}

const (
	manyBlocks = 1_500_000
	// controlBytes is the memory that an entry VM may use for control.
	controlBytes = 64e6
	// changeSeconds is 1.3% of a core during the 254 s between two changes, at 340 changes a day.
	changeSeconds = 3.3
	// coldSeconds is the time within which a revision comes into force everywhere.
	coldSeconds = 4
)

// Guards against client blocks that use more memory or time on an entry VM than it has for control.
func TestFigureBlocks(t *testing.T) {
	base := figure.HeapInUse()
	blocks := randomBlocks(rand.New(rand.NewPCG(1, 2)), manyBlocks)
	head, chunks := encodeRevision(t, 1, blocks)
	blocks[manyBlocks/2].Site = siteName(68 - manyBlocks%69)
	nextHead, nextChunks := encodeRevision(t, 2, blocks)
	blocks = nil
	shared := 0
	for digest := range nextChunks {
		if content, found := chunks[digest]; found {
			nextChunks[digest] = content
			shared++
		}
	}
	assert.Equal(t, shared, len(nextChunks)-1)
	decoder, table := newDecoder(), blockTable{}
	var inForce *oleandervane.Configuration
	apply := func(head []byte, chunks map[string][]byte) {
		var err error
		inForce, err = decoder.Decode(head, chunks)
		assert.NilError(t, err)
		table, err = table.withChunks(decoder.popBlocks(inForce))
		assert.NilError(t, err)
	}
	cold := figure.Measure(base, func() { apply(head, chunks) })
	change := figure.Measure(base, func() { apply(nextHead, nextChunks) })
	changes := figure.Measure(base, func() {
		for range 20 {
			apply(head, chunks)
			apply(nextHead, nextChunks)
		}
	})
	// Gossip keeps the chunks of both revisions in memory while all blocks are replaced.
	head, chunks = encodeRevision(t, 3, randomBlocks(rand.New(rand.NewPCG(3, 4)), manyBlocks))
	replacement := figure.Measure(base, func() { apply(head, chunks) })
	t.Logf("cold start %+v, change of one block %+v, 40 such changes %+v, all replaced %+v", cold, change, changes, replacement)
	figure.Require(t, figure.Figure{Name: "operator_blocks_held_bytes", Value: max(cold.HeldBytes, change.HeldBytes), Unit: "bytes", Bound: controlBytes})
	for _, reported := range []figure.Figure{
		{Name: "operator_block_change_time", Value: change.Processor.Seconds(), Unit: "s", Bound: changeSeconds},
		{Name: "operator_block_change_peak_bytes", Value: change.PeakBytes, Unit: "bytes", Bound: controlBytes},
		{Name: "operator_block_changes_peak_bytes", Value: changes.PeakBytes, Unit: "bytes", Bound: controlBytes},
		{Name: "operator_blocks_cold_start_time", Value: cold.Processor.Seconds(), Unit: "s", Bound: coldSeconds},
		{Name: "operator_blocks_cold_start_peak_bytes", Value: cold.PeakBytes, Unit: "bytes", Bound: controlBytes},
		{Name: "operator_blocks_replaced_peak_bytes", Value: replacement.PeakBytes, Unit: "bytes", Bound: controlBytes},
	} {
		figure.Report(t, reported)
	}
	runtime.KeepAlive([]any{chunks, nextChunks, inForce, decoder, table})
}
