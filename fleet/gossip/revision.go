package gossip

import (
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
)

// Limits of the transfer of revisions.
const (
	// fetchTimeout covers a chunk of the largest size between the regions that are farthest apart.
	fetchTimeout = 2 * time.Second
	// fetchBytes is the size of the chunks asked for in one call; a larger chunk comes alone.
	fetchBytes = 256 << 10
	// paceBytesPerSecond and paceBurst bound the chunks that a VM takes in while a revision is in force. The burst
	// lets an ordinary change pass at once; over an hour the mean stays at half of the 20 KB/s for control.
	paceBytesPerSecond = 10 << 10
	paceBurst          = 1 << 20
	// coldBytesPerSecond bounds them while the VM has no revision at all.
	coldBytesPerSecond = 4 << 20
	// refusedKept is how long a head that the decoder refused is not fetched again.
	refusedKept = time.Minute
	// oldHeads is the number of earlier heads that differences are made against.
	oldHeads = 4
)

// accepted is a revision in force. It is immutable.
type accepted struct {
	mark          mark
	head          []byte
	chunks        map[string][]byte
	configuration *oleandervane.Configuration
}

// candidate is a revision that is being fetched.
type candidate struct {
	mark    mark
	head    []byte
	parsed  Head
	sources []netip.AddrPort
	busy    bool
	// fromStore says that the store named it, so that the chunks may be read there.
	fromStore bool
}

// revisions keeps the revision in force on this VM, which never goes backwards.
type revisions struct {
	decoder Decoder
	current *accepted
	pending *candidate
	// chunks has the content of the current revision, the one before it, and what was fetched of the pending one.
	chunks  map[string][]byte
	heads   [][]byte
	refused map[uint64]time.Time
	budget  float64
	paidAt  time.Time
}

func newRevisions(decoder Decoder, now time.Time) *revisions {
	return &revisions{
		decoder: decoder,
		chunks:  map[string][]byte{},
		refused: map[uint64]time.Time{},
		budget:  paceBurst,
		paidAt:  now,
	}
}

func (revisions *revisions) mark() mark {
	if revisions.current == nil {
		return mark{}
	}
	return revisions.current.mark
}

// offer notes that a source holds a revision and says whether there is something to fetch.
func (revisions *revisions) offer(offered mark, source netip.AddrPort, now time.Time) bool {
	if offered.compare(revisions.mark()) <= 0 {
		return false
	}
	if refusedAt, found := revisions.refused[offered.hash]; found && now.Sub(refusedAt) < refusedKept {
		return false
	}
	pending := revisions.pending
	// A candidate that nobody can give any more must not keep out an older one that is still newer than what is in
	// force: the VMs that had accepted it may all be gone.
	if pending == nil || offered.compare(pending.mark) > 0 || pending.stalled() {
		pending = &candidate{mark: offered}
		revisions.pending = pending
	}
	if offered == pending.mark && source.IsValid() && !slices.Contains(pending.sources, source) {
		pending.sources = append(pending.sources, source)
	}
	return !pending.busy
}

// stalled says whether no peer is known that gives the candidate, and none is being asked.
func (candidate *candidate) stalled() bool {
	return !candidate.busy && len(candidate.sources) == 0
}

// setHead takes the encoded head of the pending revision or of a later one.
func (revisions *revisions) setHead(head []byte, fromStore bool, now time.Time) (*candidate, error) {
	parsed, err := revisions.decoder.DecodeHead(head)
	if err != nil {
		return nil, eris.Wrap(err, "decoding a head")
	}
	found := markOf(parsed.Revision, head)
	revisions.offer(found, netip.AddrPort{}, now)
	pending := revisions.pending
	if pending == nil || pending.mark != found {
		return nil, nil
	}
	pending.head = head
	pending.parsed = parsed
	pending.fromStore = pending.fromStore || fromStore
	return pending, nil
}

// missing returns the chunks of the pending revision that are not held.
func (revisions *revisions) missing() []ChunkReference {
	var result []ChunkReference
	for _, reference := range revisions.pending.parsed.Chunks {
		if _, held := revisions.chunks[reference.Digest]; !held {
			result = append(result, reference)
		}
	}
	return result
}

// addChunk takes a chunk that the pending revision names.
func (revisions *revisions) addChunk(digest string, content []byte) error {
	if revisions.pending == nil {
		return nil
	}
	named := slices.ContainsFunc(revisions.pending.parsed.Chunks, func(reference ChunkReference) bool {
		return reference.Digest == digest
	})
	if !named {
		return eris.Errorf("chunk %q does not belong to revision %d", digest, revisions.pending.mark.revision)
	}
	if err := revisions.decoder.CheckChunk(digest, content); err != nil {
		return eris.Wrapf(err, "checking chunk %q", digest)
	}
	revisions.chunks[digest] = content
	return nil
}

// accept puts the pending revision in force when it is complete, newer and valid.
func (revisions *revisions) accept(now time.Time) (*accepted, error) {
	pending := revisions.pending
	if pending == nil || pending.head == nil || len(revisions.missing()) > 0 {
		return nil, nil
	}
	revisions.pending = nil
	if pending.mark.compare(revisions.mark()) <= 0 {
		return nil, nil
	}
	fresh := &accepted{mark: pending.mark, head: pending.head, chunks: map[string][]byte{}}
	for _, reference := range pending.parsed.Chunks {
		fresh.chunks[reference.Digest] = revisions.chunks[reference.Digest]
	}
	configuration, err := revisions.decoder.Decode(fresh.head, fresh.chunks)
	if err != nil {
		revisions.refused[pending.mark.hash] = now
		return nil, eris.Wrapf(err, "decoding revision %d", pending.mark.revision)
	}
	fresh.configuration = configuration
	if revisions.current == nil {
		// What the cold start took is not set against the budget of later changes.
		revisions.budget = paceBurst
		revisions.paidAt = now
	}
	revisions.prune(fresh)
	revisions.current = fresh
	return fresh, nil
}

// prune drops chunks that belong to neither the new nor the earlier revision.
func (revisions *revisions) prune(fresh *accepted) {
	for digest := range revisions.chunks {
		_, used := fresh.chunks[digest]
		if !used && revisions.current != nil {
			_, used = revisions.current.chunks[digest]
		}
		if !used {
			delete(revisions.chunks, digest)
		}
	}
	revisions.heads = append(revisions.heads, fresh.head)
	revisions.heads = revisions.heads[max(0, len(revisions.heads)-oldHeads):]
}

// pay takes bytes out of the budget for transfers and returns how long to wait before them.
func (revisions *revisions) pay(bytes int, now time.Time) time.Duration {
	rate := float64(paceBytesPerSecond)
	if revisions.current == nil {
		rate = coldBytesPerSecond
	}
	revisions.budget = min(paceBurst, revisions.budget+rate*now.Sub(revisions.paidAt).Seconds())
	revisions.paidAt = now
	revisions.budget -= float64(bytes)
	if revisions.budget >= 0 {
		return 0
	}
	return time.Duration(-revisions.budget / rate * float64(time.Second))
}

// nextFetch returns the digests and bytes of the chunks to ask for in one call.
func (revisions *revisions) nextFetch() (digests []string, size int) {
	for _, reference := range revisions.missing() {
		if len(digests) > 0 && (size+reference.Bytes > fetchBytes || len(digests) == peer.MaxFetchDigests) {
			break
		}
		digests = append(digests, reference.Digest)
		size += reference.Bytes
	}
	return digests, size
}

// fetch answers a peer that asks for the head or for chunks.
func (revisions *revisions) fetch(request *peer.FetchRequest) *peer.FetchResponse {
	response := &peer.FetchResponse{Revision: revisions.mark().wire()}
	current := revisions.current
	if current != nil && request.Revision > 0 && uint64(current.mark.revision) >= request.Revision {
		revisions.fillHead(response, request.BaseHash)
	}
	size := 0
	for _, digest := range request.Digests {
		content, held := revisions.chunks[digest]
		if !held {
			continue
		}
		if size > 0 && size+len(content) > peer.MaxFetchBytes/2 {
			break
		}
		size += len(content)
		response.Chunks = append(response.Chunks, &peer.Chunk{Digest: digest, Content: content})
	}
	return response
}

// fillHead sends the head, as a difference if the peer's head is one that this VM remembers.
func (revisions *revisions) fillHead(response *peer.FetchResponse, baseHash uint64) {
	head := revisions.current.head
	base := revisions.headByHash(baseHash)
	if base == nil {
		response.HeadMiddle = head
		return
	}
	prefix, suffix := 0, 0
	for prefix < min(len(base), len(head)) && base[prefix] == head[prefix] {
		prefix++
	}
	for suffix < min(len(base), len(head))-prefix && base[len(base)-1-suffix] == head[len(head)-1-suffix] {
		suffix++
	}
	response.BaseHash = baseHash
	response.Prefix = uint32(prefix)
	response.Suffix = uint32(suffix)
	response.HeadMiddle = head[prefix : len(head)-suffix]
}

func (revisions *revisions) headByHash(hash uint64) []byte {
	if hash == 0 {
		return nil
	}
	for _, head := range revisions.heads {
		if markOf(0, head).hash == hash {
			return head
		}
	}
	return nil
}

// readHead rebuilds a head from a response.
func (revisions *revisions) readHead(response *peer.FetchResponse) ([]byte, error) {
	if response.BaseHash == 0 {
		return response.HeadMiddle, nil
	}
	base := revisions.headByHash(response.BaseHash)
	prefix, suffix := int(response.Prefix), int(response.Suffix)
	if base == nil || prefix+suffix > len(base) {
		return nil, eris.Errorf("head of revision %d is a difference to an unknown head", response.Revision.GetRevision())
	}
	head := slices.Concat(base[:prefix], response.HeadMiddle, base[len(base)-suffix:])
	if markOf(0, head).hash != response.Revision.GetHeadHash() {
		return nil, eris.Errorf("head of revision %d does not have its hash", response.Revision.GetRevision())
	}
	return head, nil
}
