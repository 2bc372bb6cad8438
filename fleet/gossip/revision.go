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
	// fetchTimeout is enough for a chunk of the largest size between the regions that are farthest apart.
	fetchTimeout = 2 * time.Second
	// fetchBytes is the total size of the chunks requested in one call; a larger chunk is requested alone.
	fetchBytes = 256 << 10
	// transferBytesPerSecond and transferBurstBytes are the rate and size of the token bucket that limits how many
	// bytes of chunks a VM fetches while a revision is in force. The burst lets an ordinary change through at once;
	// over an hour, the mean stays at half of the 20 KB/s for control traffic.
	transferBytesPerSecond = 10 << 10
	transferBurstBytes     = 1 << 20
	// coldStartBytesPerSecond is the rate while the VM has no revision at all.
	coldStartBytesPerSecond = 4 << 20
	// rejectedHeadBackoff is how long a head that the decoder rejected is not fetched again.
	rejectedHeadBackoff = time.Minute
	// maxHeads is the number of the latest heads that are stored as bases for differences.
	maxHeads = 4
)

// acceptedRevision is a revision in force. It is immutable.
type acceptedRevision struct {
	mark          mark
	head          []byte
	chunks        map[string][]byte
	configuration *oleandervane.Configuration
}

// candidate is a revision that is being fetched.
type candidate struct {
	mark     mark
	head     []byte
	parsed   Head
	sources  []netip.AddrPort
	fetching bool
	// fromStore is set if the head was read from the store, so that its chunks can be read there too.
	fromStore bool
}

// revisions stores the revision in force on this VM, whose number never decreases.
type revisions struct {
	decoder Decoder
	current *acceptedRevision
	pending *candidate
	// chunks has the chunks of the current and the previous revision, and those already fetched for the pending one.
	chunks     map[string][]byte
	heads      [][]byte
	rejectedAt map[uint64]time.Time
	tokens     float64
	refilledAt time.Time
}

func newRevisions(decoder Decoder, now time.Time) *revisions {
	return &revisions{
		decoder:    decoder,
		chunks:     map[string][]byte{},
		rejectedAt: map[uint64]time.Time{},
		tokens:     transferBurstBytes,
		refilledAt: now,
	}
}

func (revisions *revisions) mark() mark {
	if revisions.current == nil {
		return mark{}
	}
	return revisions.current.mark
}

// offer records that a source has a revision and reports whether there is something to fetch.
func (revisions *revisions) offer(offered mark, source netip.AddrPort, now time.Time) bool {
	if offered.compare(revisions.mark()) <= 0 {
		return false
	}
	if failedAt, found := revisions.rejectedAt[offered.hash]; found && now.Sub(failedAt) < rejectedHeadBackoff {
		return false
	}
	pending := revisions.pending
	// A candidate without sources must not block an older one that is still newer than the revision in force: all VMs
	// that had accepted the candidate may be gone.
	if pending == nil || offered.compare(pending.mark) > 0 || pending.stalled() {
		pending = &candidate{mark: offered}
		revisions.pending = pending
	}
	if offered == pending.mark && source.IsValid() && !slices.Contains(pending.sources, source) {
		pending.sources = append(pending.sources, source)
	}
	return !pending.fetching
}

// stalled reports whether no peer is known that has the candidate and no request for it is in flight.
func (candidate *candidate) stalled() bool {
	return !candidate.fetching && len(candidate.sources) == 0
}

// setHead stores the encoded head of the pending revision or of a later one.
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

// missingChunks returns the chunks of the pending revision that this VM does not have.
func (revisions *revisions) missingChunks() []ChunkReference {
	var result []ChunkReference
	for _, reference := range revisions.pending.parsed.Chunks {
		if _, present := revisions.chunks[reference.Digest]; !present {
			result = append(result, reference)
		}
	}
	return result
}

// addChunk stores a chunk that the pending revision names.
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

// accept puts the pending revision in force if it is complete, newer and valid.
func (revisions *revisions) accept(now time.Time) (*acceptedRevision, error) {
	pending := revisions.pending
	if pending == nil || pending.head == nil || len(revisions.missingChunks()) > 0 {
		return nil, nil
	}
	revisions.pending = nil
	if pending.mark.compare(revisions.mark()) <= 0 {
		return nil, nil
	}
	fresh := &acceptedRevision{mark: pending.mark, head: pending.head, chunks: map[string][]byte{}}
	for _, reference := range pending.parsed.Chunks {
		fresh.chunks[reference.Digest] = revisions.chunks[reference.Digest]
	}
	configuration, err := revisions.decoder.Decode(fresh.head, fresh.chunks)
	if err != nil {
		revisions.rejectedAt[pending.mark.hash] = now
		return nil, eris.Wrapf(err, "decoding revision %d", pending.mark.revision)
	}
	fresh.configuration = configuration
	if revisions.current == nil {
		// Bytes fetched during the cold start are not charged against the budget of later changes.
		revisions.tokens = transferBurstBytes
		revisions.refilledAt = now
	}
	revisions.prune(fresh)
	revisions.current = fresh
	return fresh, nil
}

// prune drops the chunks that belong to neither the new nor the previous revision.
func (revisions *revisions) prune(fresh *acceptedRevision) {
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
	revisions.heads = revisions.heads[max(0, len(revisions.heads)-maxHeads):]
}

// reserve takes tokens for a transfer out of the bucket and returns how long to wait before the transfer.
func (revisions *revisions) reserve(bytes int, now time.Time) time.Duration {
	rate := float64(transferBytesPerSecond)
	if revisions.current == nil {
		rate = coldStartBytesPerSecond
	}
	revisions.tokens = min(transferBurstBytes, revisions.tokens+rate*now.Sub(revisions.refilledAt).Seconds())
	revisions.refilledAt = now
	revisions.tokens -= float64(bytes)
	if revisions.tokens >= 0 {
		return 0
	}
	return time.Duration(-revisions.tokens / rate * float64(time.Second))
}

// nextChunks returns the digests and the total size of the chunks to request in one call.
func (revisions *revisions) nextChunks() (digests []string, size int) {
	for _, reference := range revisions.missingChunks() {
		if len(digests) > 0 && (size+reference.Bytes > fetchBytes || len(digests) == peer.MaxFetchDigests) {
			break
		}
		digests = append(digests, reference.Digest)
		size += reference.Bytes
	}
	return digests, size
}

// handleFetch responds to a peer that requests the head or chunks.
func (revisions *revisions) handleFetch(request *peer.FetchRequest) *peer.FetchResponse {
	response := &peer.FetchResponse{Revision: revisions.mark().wire()}
	current := revisions.current
	if current != nil && request.Revision > 0 && uint64(current.mark.revision) >= request.Revision {
		revisions.fillHead(response, request.BaseHash)
	}
	size := 0
	for _, digest := range request.Digests {
		content, present := revisions.chunks[digest]
		if !present {
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

// fillHead adds the head to the response, as a difference if this VM still has the peer's base head.
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

// rebuildHead returns the head that a response encodes, in full or as a difference.
func (revisions *revisions) rebuildHead(response *peer.FetchResponse) ([]byte, error) {
	if response.BaseHash == 0 {
		return response.HeadMiddle, nil
	}
	base := revisions.headByHash(response.BaseHash)
	prefix, suffix := int(response.Prefix), int(response.Suffix)
	if base == nil || prefix+suffix > len(base) {
		return nil, eris.Errorf("head of revision %d is encoded as a difference from an unknown head", response.Revision.GetRevision())
	}
	head := slices.Concat(base[:prefix], response.HeadMiddle, base[len(base)-suffix:])
	if markOf(0, head).hash != response.Revision.GetHeadHash() {
		return nil, eris.Errorf("head of revision %d does not match its hash", response.Revision.GetRevision())
	}
	return head, nil
}
