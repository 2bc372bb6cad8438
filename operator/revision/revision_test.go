package revision_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"oleandervane.example"
	"oleandervane.example/figure"
	"oleandervane.example/operator/check"
	"oleandervane.example/operator/folder"
	"oleandervane.example/operator/revision"
	"oleandervane.example/standin/storestandin"
	"oleandervane.example/timer"
)

var start = time.Date(2027, 1, 10, 0, 0, 0, 0, time.UTC)

func association(tb testing.TB) oleandervane.Configuration {
	tb.Helper()
	result, err := folder.Read("../folder/testdata/association", check.Conditions{})
	assert.NilError(tb, err)
	assert.Assert(tb, !result.HasErrors())
	return result.Configuration
}

func lookup(content revision.Content) func(revision.Digest) ([]byte, bool) {
	chunks := map[revision.Digest][]byte{}
	for _, chunk := range content.Chunks() {
		chunks[chunk.Digest] = chunk.Content
	}
	return func(digest revision.Digest) ([]byte, bool) {
		content, found := chunks[digest]
		return content, found
	}
}

func headOf(content revision.Content) revision.Head {
	head := revision.Head{Format: 1, Revision: 1}
	for _, chunk := range content.Settings {
		head.Settings = append(head.Settings, chunk.Digest)
	}
	for _, chunk := range content.Blocks {
		head.Blocks = append(head.Blocks, chunk.Digest)
	}
	return head
}

// Guards against an encoding that loses a setting or that is not unique for a configuration.
func TestEncodeRoundTrip(t *testing.T) {
	configuration := association(t)
	configuration.Drains = []oleandervane.Drain{{
		Name: "vms", Target: oleandervane.DrainEntryVMs, EntryVMs: []oleandervane.VMID{"entry-1"}, EmptyFrom: start, ReturnAt: start.Add(time.Hour),
	}}
	sites := []oleandervane.Site{"kigali-1", "kigali-2", "huye-1", "musanze-1"}
	rapid.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOfN(rapid.Custom(prefix), 0, 3000).Draw(t, "prefixes")
		slices.SortFunc(prefixes, check.ComparePrefixes)
		configuration.ClientBlocks = nil
		for index, prefix := range slices.Compact(prefixes) {
			configuration.ClientBlocks = append(configuration.ClientBlocks, oleandervane.ClientBlock{Prefix: prefix, Site: sites[index%len(sites)]})
		}
		content, err := revision.Encode(configuration)
		assert.NilError(t, err)
		decoded, err := revision.Decode(headOf(content), lookup(content))
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, configuration.WithRevision(1), cmp.Comparer(func(a, b netip.Prefix) bool { return a == b }), cmpopts.EquateEmpty())
		again, err := revision.Encode(decoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, content)
	})
}

func prefix(t *rapid.T) netip.Prefix {
	if rapid.Bool().Draw(t, "wide") {
		address := [16]byte{0x20}
		copy(address[1:], rapid.SliceOfN(rapid.Byte(), 15, 15).Draw(t, "address"))
		return netip.PrefixFrom(netip.AddrFrom16(address), rapid.IntRange(0, 128).Draw(t, "bits")).Masked()
	}
	address := [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "address"))
	return netip.PrefixFrom(netip.AddrFrom4(address), rapid.IntRange(0, 32).Draw(t, "bits")).Masked()
}

// Guards against accepting a chunk with a changed bit.
func TestDecodeRejectsChangedChunks(t *testing.T) {
	content, err := revision.Encode(association(t))
	assert.NilError(t, err)
	for _, chunk := range content.Chunks() {
		for index := range chunk.Content {
			damaged := slices.Clone(chunk.Content)
			damaged[index] ^= 1 << (index % 8)
			_, err := revision.Decode(headOf(content), func(digest revision.Digest) ([]byte, bool) {
				if digest == chunk.Digest {
					return damaged, true
				}
				return lookup(content)(digest)
			})
			assert.ErrorContains(t, err, "does not match its digest")
		}
	}
}

// Guards against a compact decoding that accepts what the full decoding rejects: blocks given twice or out of order across
// chunks, sites that the settings no longer have, and content that does not match the digest.
func TestDecodeCompactRejectsInvalidChunks(t *testing.T) {
	configuration := association(t)
	configuration.ClientBlocks = manyBlocks(30_000)
	content, err := revision.Encode(configuration)
	assert.NilError(t, err)
	assert.Assert(t, len(content.Blocks) >= 3)
	fewer := association(t)
	delete(fewer.Regions["huye"].Sites, "huye-1")
	fewerSites, err := revision.Encode(fewer)
	assert.NilError(t, err)
	chunks := content.Blocks
	known := map[revision.Digest]*revision.BlockChunk{}
	// The chunk with the wrong content below must not be known, because the content of a known chunk is not read again.
	for _, chunk := range []revision.Chunk{chunks[0], chunks[2]} {
		known[chunk.Digest], err = revision.ReadBlockChunk(chunk.Digest, chunk.Content)
		assert.NilError(t, err)
	}
	other := revision.Chunk{Digest: chunks[1].Digest, Content: chunks[2].Content}
	for _, test := range []struct {
		content  revision.Content
		expected string
	}{
		{revision.Content{Settings: content.Settings, Blocks: []revision.Chunk{chunks[0], chunks[2], chunks[1]}}, "out of order"},
		{revision.Content{Settings: content.Settings, Blocks: []revision.Chunk{chunks[0], chunks[0]}}, "out of order"},
		{revision.Content{Settings: fewerSites.Settings, Blocks: chunks}, `site "huye-1" does not exist`},
		{revision.Content{Settings: content.Settings, Blocks: []revision.Chunk{chunks[0], other}}, "does not match its digest"},
		{revision.Content{Settings: content.Settings[:len(content.Settings)-1], Blocks: chunks}, "is invalid"},
	} {
		_, err := revision.Decode(headOf(test.content), lookup(test.content))
		assert.ErrorContains(t, err, test.expected)
		_, _, err = revision.DecodeCompact(headOf(test.content), lookup(test.content), nil)
		assert.ErrorContains(t, err, test.expected)
		_, _, err = revision.DecodeCompact(headOf(test.content), lookup(test.content), func(digest revision.Digest) (*revision.BlockChunk, bool) {
			return known[digest], known[digest] != nil
		})
		assert.ErrorContains(t, err, test.expected)
	}
}

// sameAsDecode checks that the compact decoding of a head has the same result as the full decoding.
func sameAsDecode(t *testing.T, head revision.Head, chunk func(revision.Digest) ([]byte, bool), decoded oleandervane.Configuration, expected error) {
	t.Helper()
	configuration, blockChunks, err := revision.DecodeCompact(head, chunk, nil)
	assert.Equal(t, err == nil, expected == nil, "compact: %v, full: %v", err, expected)
	for _, blockChunk := range blockChunks {
		configuration.ClientBlocks = slices.AppendSeq(configuration.ClientBlocks, blockChunk.All())
	}
	assert.DeepEqual(t, configuration, decoded, cmp.Comparer(func(a, b netip.Prefix) bool { return a == b }), cmpopts.EquateEmpty())
}

// Guards against a decoder that panics or accepts an encoding that is not canonical.
func FuzzDecode(f *testing.F) {
	content, err := revision.Encode(association(f))
	assert.NilError(f, err)
	f.Add(content.Settings[0].Content, content.Blocks[0].Content)
	f.Add([]byte("oleandervane settings 1\n{}\n"), []byte("oleandervane blocks 1\n\x01\x01a\x01\x08\x00\x0a\x00"))
	f.Fuzz(func(t *testing.T, settings, blocks []byte) {
		chunks := revision.Content{
			Settings: []revision.Chunk{{Digest: revision.DigestOf(settings), Content: settings}},
			Blocks:   []revision.Chunk{{Digest: revision.DigestOf(blocks), Content: blocks}},
		}
		decoded, err := revision.Decode(headOf(chunks), lookup(chunks))
		sameAsDecode(t, headOf(chunks), lookup(chunks), decoded, err)
		if err != nil {
			return
		}
		again, err := revision.Encode(decoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, again.Settings, chunks.Settings)
	})
}

// Guards against a head that causes a panic or is accepted although it is not canonical.
func FuzzDecodeHead(f *testing.F) {
	content, err := revision.Encode(association(f))
	assert.NilError(f, err)
	encoded, err := headOf(content).Encode()
	assert.NilError(f, err)
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, encoded []byte) {
		head, err := revision.DecodeHead(encoded)
		if err != nil {
			return
		}
		again, err := head.Encode()
		assert.NilError(t, err)
		assert.Equal(t, string(again), string(encoded))
	})
}

// manyBlocks returns blocks as a registry allocates them: adjacent blocks of different sizes at different sites.
func manyBlocks(count int) []oleandervane.ClientBlock {
	random := rand.New(rand.NewPCG(1, 2))
	blocks := make([]oleandervane.ClientBlock, 0, count)
	sites := []oleandervane.Site{"kigali-1", "kigali-2", "huye-1", "musanze-1"}
	for address := uint32(1 << 24); len(blocks) < count; {
		bits := 22 + random.IntN(7)
		size := uint32(1) << (32 - bits)
		address = (address + size - 1) / size * size
		prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(address >> 24), byte(address >> 16), byte(address >> 8), byte(address)}), bits)
		blocks = append(blocks, oleandervane.ClientBlock{Prefix: prefix, Site: sites[random.IntN(len(sites))]})
		address += size
	}
	return blocks
}

// maxControlBytes is the maximum control traffic that a node receives while a revision comes into force: 20 KB/s for 4 s.
const maxControlBytes = 20_000 * 4

// Guards against a small change of client blocks for which each entry VM must receive more than it may in 4 s.
func TestFigureChangedBlock(t *testing.T) {
	configuration := association(t)
	configuration.ClientBlocks = manyBlocks(1_500_000)
	before, err := revision.Encode(configuration)
	assert.NilError(t, err)
	known := lookup(before)
	random := rand.New(rand.NewPCG(3, 4))
	largest := 0
	for _, chunk := range before.Blocks {
		largest = max(largest, len(chunk.Content))
	}
	head, err := headOf(before).Encode()
	assert.NilError(t, err)
	worst, total := len(head)+largest, 0
	const changes = 6
	for range changes {
		changed := configuration
		changed.ClientBlocks = slices.Clone(configuration.ClientBlocks)
		index := random.IntN(len(changed.ClientBlocks))
		if random.IntN(2) == 0 {
			changed.ClientBlocks = slices.Delete(changed.ClientBlocks, index, index+1)
		} else {
			changed.ClientBlocks[index].Site = "huye-1"
		}
		after, err := revision.Encode(changed)
		assert.NilError(t, err)
		head, err := headOf(after).Encode()
		assert.NilError(t, err)
		cost := len(head)
		for _, chunk := range after.Chunks() {
			if _, found := known(chunk.Digest); !found {
				cost += len(chunk.Content)
			}
		}
		worst, total = max(worst, cost), total+cost
	}
	figure.Require(t, figure.Figure{Name: "operator_changed_block_mean_bytes", Value: float64(total / changes), Unit: "bytes", Bound: maxControlBytes})
	figure.Require(t, figure.Figure{Name: "operator_changed_block_worst_bytes", Value: float64(worst), Unit: "bytes", Bound: maxControlBytes})
}

// maxDecodeSeconds is the maximum time for decoding on an entry VM, of the 4 s until a revision is in force everywhere.
const maxDecodeSeconds = 1

// Guards against a revision whose decoding on entry VMs takes too long.
func BenchmarkFigureDecodeLarge(b *testing.B) {
	configuration := association(b)
	configuration.ClientBlocks = manyBlocks(1_500_000)
	content, err := revision.Encode(configuration)
	assert.NilError(b, err)
	head, chunk := headOf(content), lookup(content)
	for b.Loop() {
		_, err := revision.Decode(head, chunk)
		assert.NilError(b, err)
	}
	figure.Report(b, figure.Figure{Name: "operator_decode_large", Value: b.Elapsed().Seconds() / float64(b.N), Unit: "s", Bound: maxDecodeSeconds})
}

// editor is an operator with a copy of the folder.
type editor struct {
	name      string
	publisher *revision.Publisher
	files     map[string]string
	base      revision.Base
	attempts  int
}

func (editor *editor) proposal(configuration oleandervane.Configuration) revision.Proposal {
	editor.attempts++
	proposal := revision.Proposal{
		Configuration: configuration, Author: editor.name, Base: editor.base, Attempt: fmt.Sprintf("%s-%d", editor.name, editor.attempts),
	}
	for name, content := range editor.files {
		proposal.Files = append(proposal.Files, revision.File{Name: name, Digest: revision.DigestOf([]byte(content))})
	}
	return proposal
}

func (editor *editor) publish(tb testing.TB, configuration oleandervane.Configuration) (revision.Publication, error) {
	tb.Helper()
	publication, err := editor.publisher.Publish(context.Background(), editor.proposal(configuration))
	if err == nil {
		editor.base = publication.Head.AsBase()
	}
	return publication, err
}

func newEditor(name string, store oleandervane.Store, timerService oleandervane.TimerService) *editor {
	return &editor{name: name, publisher: revision.NewPublisher(store, timerService), files: map[string]string{"a.toml": "1", "b.toml": "1", "c.toml": "1"}}
}

func withLifetime(configuration oleandervane.Configuration, seconds int) oleandervane.Configuration {
	configuration.LookupLifetime = time.Duration(seconds) * time.Second
	return configuration
}

// Guards against a second operator who silently undoes changes of the first, and against a conflict without file names.
func TestConflicts(t *testing.T) {
	manual := timer.NewManual(start)
	store := storestandin.New(manual)
	configuration := association(t)
	alice, bob, eve := newEditor("alice", store, manual), newEditor("bob", store, manual), newEditor("eve", store, manual)
	first, err := alice.publish(t, configuration)
	assert.NilError(t, err)
	assert.Equal(t, first.Head.Revision, oleandervane.Revision(1))
	bob.base = alice.base
	again, err := bob.publish(t, configuration)
	assert.NilError(t, err)
	assert.Assert(t, again.Unchanged)

	alice.files["a.toml"], alice.files["d.toml"] = "2", "1"
	second, err := alice.publish(t, withLifetime(configuration, 20))
	assert.NilError(t, err)
	assert.DeepEqual(t, second.Changed, []string{"a.toml", "d.toml"})

	bob.files["a.toml"], bob.files["b.toml"] = "3", "3"
	_, err = bob.publish(t, withLifetime(configuration, 10))
	var conflict *revision.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Error(t, conflict, `the folder was taken from revision 1, but revision 2 is in force and 2 files conflict:
  a.toml: changed there and, differently, here; last by alice in revision 2
  d.toml: there, but not here; last by alice in revision 2`)

	eve.base = first.Head.AsBase()
	eve.files["c.toml"] = "4"
	_, err = eve.publish(t, withLifetime(configuration, 5))
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, conflict.Files[0].Kind, revision.Stale)
	eve.files["a.toml"], eve.files["d.toml"] = "2", "1"
	third, err := eve.publish(t, withLifetime(configuration, 5))
	assert.NilError(t, err, "a folder that has all changes may be published from an old base")
	assert.DeepEqual(t, third.Changed, []string{"c.toml"})

	history, err := revision.ReadHistory(context.Background(), store)
	assert.NilError(t, err)
	assert.Equal(t, len(history.Entries), 3)
	assert.Equal(t, history.Entries[2].Author, "eve")
	old, err := revision.ReadRevision(context.Background(), store, 2)
	assert.NilError(t, err)
	loaded, err := revision.Load(context.Background(), store, old, nil)
	assert.NilError(t, err)
	assert.Equal(t, loaded.LookupLifetime, 20*time.Second)
}

// Guards against a lost response that leads to a second write or a wrong result, and against reporting a publish as
// accepted although the store is unavailable.
func TestLostResponses(t *testing.T) {
	manual := timer.NewManual(start)
	store := storestandin.New(manual)
	configuration := association(t)
	alice := newEditor("alice", store, manual)
	store.SetFaults(storestandin.Faults{Down: true})
	_, err := alice.publish(t, configuration)
	assert.ErrorIs(t, err, oleandervane.ErrStoreUnavailable)
	for lost := 1; lost <= 4; lost++ {
		store.SetFaults(storestandin.Faults{LoseResponses: lost})
		publication, err := alice.publish(t, withLifetime(configuration, lost+1))
		assert.NilError(t, err)
		assert.Equal(t, publication.Head.Revision, oleandervane.Revision(lost))
	}
	head, _, err := revision.ReadHead(context.Background(), store)
	assert.NilError(t, err)
	assert.Equal(t, head.Revision, oleandervane.Revision(4))
}

// headWriteLoser loses the request that writes the head, which a reader cannot distinguish from a request in flight.
type headWriteLoser struct {
	oleandervane.Store
	writes int
	// lost is closed at the first write.
	lost chan struct{}
}

func (headWriteLoser *headWriteLoser) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (oleandervane.StoreEntry, error) {
	if key != revision.HeadKey {
		return headWriteLoser.Store.CompareAndSwap(ctx, key, version, value)
	}
	headWriteLoser.writes++
	if headWriteLoser.writes == 1 {
		close(headWriteLoser.lost)
	}
	return oleandervane.StoreEntry{}, oleandervane.ErrStoreUnavailable
}

// Guards against writing a head twice while its first write may still be in flight.
func TestUnknownOutcome(t *testing.T) {
	manual := timer.NewManual(start)
	loser := &headWriteLoser{Store: storestandin.New(manual), lost: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		// The time until the first write depends on the machine and must not count.
		select {
		case <-loser.lost:
		case <-ctx.Done():
		}
		manual.After(time.Second, func(time.Time) { cancel() })
		for ctx.Err() == nil {
			manual.Advance(100 * time.Millisecond)
			time.Sleep(time.Millisecond)
		}
	}()
	_, err := revision.NewPublisher(loser, manual).Publish(ctx, newEditor("alice", loser, manual).proposal(association(t)))
	var unknownOutcome *revision.UnknownOutcomeError
	assert.Assert(t, errors.As(err, &unknownOutcome), "%v", err)
	assert.Equal(t, loser.writes, 1)
}

// Guards against a publish to a store that lost revisions, and against a store whose lost revision is not restored.
func TestStaleStore(t *testing.T) {
	manual := timer.NewManual(start)
	store := storestandin.New(manual)
	configuration := association(t)
	alice := newEditor("alice", store, manual)
	_, err := alice.publish(t, configuration)
	assert.NilError(t, err)
	kept := store.Content()
	alice.files["a.toml"] = "2"
	second, err := alice.publish(t, withLifetime(configuration, 20))
	assert.NilError(t, err)
	chunks := map[revision.Digest][]byte{}
	for _, digest := range second.Head.Chunks() {
		chunks[digest], err = revision.Fetch(context.Background(), store, digest)
		assert.NilError(t, err)
	}
	store.RollBack(kept)
	alice.files["a.toml"] = "3"
	_, err = alice.publish(t, withLifetime(configuration, 10))
	var stale *revision.StaleStoreError
	assert.Assert(t, errors.As(err, &stale), "%v", err)
	assert.Equal(t, stale.Seen, oleandervane.Revision(2))

	bob := newEditor("bob", store, manual)
	proposal := bob.proposal(withLifetime(configuration, 7))
	proposal.Seen = 2
	_, err = bob.publisher.Publish(context.Background(), proposal)
	assert.Assert(t, errors.As(err, &stale), "a revision seen on an entry VM must count: %v", err)

	restored, err := alice.publisher.Restore(context.Background(), second.Head, func(digest revision.Digest) ([]byte, bool) {
		content, found := chunks[digest]
		return content, found
	})
	assert.NilError(t, err)
	assert.Equal(t, restored.Revision, oleandervane.Revision(2))
	third, err := alice.publish(t, withLifetime(configuration, 10))
	assert.NilError(t, err, "a publish must succeed although the store lost the history")
	assert.Equal(t, third.Head.Revision, oleandervane.Revision(3))

	store.RollBack(kept)
	bob.base = revision.Base{Revision: 1, Identity: revision.DigestOf([]byte("another"))}
	_, err = bob.publish(t, configuration)
	assert.Assert(t, errors.As(err, &stale) && stale.Diverged, "%v", err)
}

// maxPublishCalls is the maximum number of store calls of one small publish: one after another over the longest link (round
// trip 70 ms) they take at most 1 s of the operator's time.
const maxPublishCalls = 14

// Guards against a publish with more than maxPublishCalls store calls, and against writing chunks that are already stored.
func TestFigurePublishCalls(t *testing.T) {
	manual := timer.NewManual(start)
	store := storestandin.New(manual)
	configuration := association(t)
	configuration.ClientBlocks = manyBlocks(100_000)
	alice := newEditor("alice", store, manual)
	_, err := alice.publish(t, configuration)
	assert.NilError(t, err)
	before := store.Calls()
	configuration.ClientBlocks = slices.Delete(slices.Clone(configuration.ClientBlocks), 50_000, 50_001)
	alice.files["a.toml"] = "2"
	_, err = alice.publish(t, configuration)
	assert.NilError(t, err)
	calls := store.Calls().Since(before)
	figure.Require(t, figure.Figure{Name: "operator_publish_store_calls", Value: float64(calls.Total()), Unit: "calls", Bound: maxPublishCalls})
}

// Guards against a collection that empties a chunk in use, or that leaves chunks to which nothing refers.
func TestCollect(t *testing.T) {
	manual := timer.NewManual(start)
	store := storestandin.New(manual)
	configuration := association(t)
	alice := newEditor("alice", store, manual)
	for round := range 130 {
		alice.files["a.toml"] = fmt.Sprint(round)
		_, err := alice.publish(t, withLifetime(configuration, round+2))
		assert.NilError(t, err)
	}
	orphan := newEditor("bob", &headWriteLoser{Store: store, lost: make(chan struct{})}, manual)
	orphan.base = alice.base
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := orphan.publisher.Publish(ctx, orphan.proposal(configuration))
	assert.Assert(t, err != nil)
	manual.Advance(2 * time.Hour)
	collected, err := alice.publisher.Collect(context.Background(), time.Hour)
	assert.NilError(t, err)
	assert.Assert(t, collected >= 30, "only %d chunks were collected", collected)
	again, err := alice.publisher.Collect(context.Background(), time.Hour)
	assert.NilError(t, err)
	assert.Equal(t, again, 0)
	history, err := revision.ReadHistory(context.Background(), store)
	assert.NilError(t, err)
	assert.Equal(t, len(history.Entries), 100)
	for _, entry := range history.Entries {
		head, err := revision.ReadRevision(context.Background(), store, entry.Revision)
		assert.NilError(t, err)
		_, err = revision.Load(context.Background(), store, head, nil)
		assert.NilError(t, err)
		_, err = revision.ReadFiles(context.Background(), store, head)
		assert.NilError(t, err)
	}
	_, err = alice.publish(t, withLifetime(configuration, 2))
	assert.NilError(t, err, "a chunk that was collected must be written again")
	head, _, err := revision.ReadHead(context.Background(), store)
	assert.NilError(t, err)
	_, err = revision.Load(context.Background(), store, head, nil)
	assert.NilError(t, err)
}

// pausedCollector calls the function meanwhile once, before the first chunk is emptied.
type pausedCollector struct {
	oleandervane.Store
	meanwhile func()
}

func (pausedCollector *pausedCollector) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (oleandervane.StoreEntry, error) {
	if value == nil && pausedCollector.meanwhile != nil {
		meanwhile := pausedCollector.meanwhile
		pausedCollector.meanwhile = nil
		meanwhile()
	}
	return pausedCollector.Store.CompareAndSwap(ctx, key, version, value)
}

// Guards against a collector that pauses and then empties a chunk that a publisher has used during the pause.
func TestCollectMeetsPublisher(t *testing.T) {
	manual := timer.NewManual(start)
	store := storestandin.New(manual)
	configuration := association(t)
	alice := newEditor("alice", store, manual)
	for round := range 110 {
		alice.files["a.toml"] = fmt.Sprint(round)
		_, err := alice.publish(t, withLifetime(configuration, round+2))
		assert.NilError(t, err)
	}
	published := 0
	paused := &pausedCollector{Store: store, meanwhile: func() {
		for round := range 5 {
			alice.files["a.toml"] = fmt.Sprint(round)
			_, err := alice.publish(t, withLifetime(configuration, round+2))
			assert.NilError(t, err)
			published++
		}
	}}
	_, err := revision.NewPublisher(paused, manual).Collect(context.Background(), 0)
	assert.NilError(t, err)
	assert.Equal(t, published, 5)
	for round := range oleandervane.Revision(5) {
		head, err := revision.ReadRevision(context.Background(), store, 111+round)
		assert.NilError(t, err)
		_, err = revision.Load(context.Background(), store, head, nil)
		assert.NilError(t, err)
	}
}
