package revision

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

const (
	// maxPending is the maximum number of pending chunks; beyond it the oldest are removed from the list and are never
	// collected.
	maxPending = 8_000
	// maxCollected is the maximum number of chunks of one collection, which limits the size of the head during it.
	maxCollected = 500
)

// pendingChunk is a chunk that a publisher was about to write.
type pendingChunk struct {
	Digest Digest    `json:"digest"`
	At     time.Time `json:"at"`
}

func decodePending(content []byte) ([]pendingChunk, error) {
	if len(content) == 0 {
		return nil, nil
	}
	var pending []pendingChunk
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&pending); err != nil {
		return nil, eris.Wrap(err, "decode pending chunks")
	}
	if len(pending) > maxPending {
		return nil, eris.New("decode pending chunks: there are too many")
	}
	return pending, nil
}

// addPending adds chunks to the pending chunks and removes pending chunks that the head in force refers to.
func (publisher *Publisher) addPending(ctx context.Context, chunks []Chunk, head Head) error {
	now := publisher.timerService.Now().UTC()
	return publisher.updatePending(ctx, func(pending []pendingChunk) []pendingChunk {
		inForce := map[Digest]bool{}
		for _, digest := range head.AllChunks() {
			inForce[digest] = true
		}
		for _, chunk := range chunks {
			inForce[chunk.Digest] = true
		}
		pending = slices.DeleteFunc(pending, func(chunk pendingChunk) bool { return inForce[chunk.Digest] })
		for _, chunk := range chunks {
			pending = append(pending, pendingChunk{chunk.Digest, now})
		}
		return pending[max(0, len(pending)-maxPending):]
	})
}

func (publisher *Publisher) updatePending(ctx context.Context, change func(pending []pendingChunk) []pendingChunk) error {
	var err error
	var written []byte
	for range maxTries {
		entry, readErr := publisher.store.Get(ctx, PendingKey)
		if readErr != nil {
			return errors.Join(err, readErr)
		}
		if written != nil && bytes.Equal(entry.Value, written) {
			// The write was applied, but its response was lost.
			return nil
		}
		pending, decodeErr := decodePending(entry.Value)
		if decodeErr != nil {
			// Without the list, some chunks are not collected; nothing else depends on it.
			pending = nil
		}
		content, marshalErr := json.Marshal(change(pending))
		if marshalErr != nil {
			return eris.Wrap(marshalErr, "encode pending chunks")
		}
		_, err = publisher.store.CompareAndSwap(ctx, PendingKey, entry.Version, content)
		if err == nil {
			return nil
		}
		written = content
	}
	return eris.Wrap(err, "record pending chunks")
}

// Collect empties chunks that no revision of the history refers to, and that a publisher recorded as pending at least the
// given age ago or that belong to dropped revisions. It returns how many chunks it emptied.
//
// A publisher may need such a chunk at the same time. So Collect first reads the versions of the chunks, then writes the
// head with their digests, and only then empties each chunk at the version read. A publisher that read the previous head
// fails to write its own; a publisher that reads the new head writes the chunk again, which changes its version.
func (publisher *Publisher) Collect(ctx context.Context, age time.Duration) (int, error) {
	head, version, err := ReadHead(ctx, publisher.store)
	if err != nil || head.Revision == 0 {
		return 0, eris.Wrap(err, "collect")
	}
	history, err := readHistory(ctx, publisher.store, head)
	if err != nil {
		return 0, eris.Wrap(err, "collect")
	}
	referenced, err := publisher.referenced(ctx, head, history)
	if err != nil {
		return 0, eris.Wrap(err, "collect")
	}
	garbage, err := publisher.garbage(ctx, head, history, referenced, age)
	if err != nil {
		return 0, eris.Wrap(err, "collect")
	}
	if len(garbage) == 0 && len(head.Collecting) == 0 {
		return 0, nil
	}
	versions, err := publisher.versions(ctx, garbage)
	if err != nil {
		return 0, eris.Wrap(err, "collect")
	}
	entry, err := publisher.markCollecting(ctx, head, version, garbage)
	if err != nil {
		return 0, eris.Wrap(err, "collect")
	}
	collected, err := publisher.emptyChunks(ctx, versions)
	if err != nil {
		return collected, eris.Wrap(err, "collect")
	}
	head.Collecting = slices.DeleteFunc(slices.Clone(head.Collecting), func(digest Digest) bool { return referenced[digest] })
	return collected, eris.Wrap(publisher.finishCollection(ctx, head, history, entry.Version, garbage, age), "collect")
}

// garbage returns the chunks to empty, sorted, and marks them as referenced, so that they are removed from the head's
// Collecting afterwards. Chunks of an interrupted collection have priority.
func (publisher *Publisher) garbage(ctx context.Context, head Head, history History, referenced map[Digest]bool, age time.Duration) ([]Digest, error) {
	entry, err := publisher.store.Get(ctx, PendingKey)
	if err != nil {
		return nil, err
	}
	pending, err := decodePending(entry.Value)
	if err != nil {
		return nil, err
	}
	candidates := slices.Clone(head.Collecting)
	for _, dropped := range history.Dropped {
		chunks, err := publisher.headChunks(ctx, dropped)
		if err != nil {
			return nil, err
		}
		candidates = append(append(candidates, chunks...), dropped)
	}
	now := publisher.timerService.Now()
	for _, chunk := range pending {
		if now.Sub(chunk.At) >= age {
			candidates = append(candidates, chunk.Digest)
		}
	}
	var garbage []Digest
	for _, digest := range candidates {
		if !referenced[digest] && len(garbage) < maxCollected {
			referenced[digest] = true
			garbage = append(garbage, digest)
		}
	}
	slices.SortFunc(garbage, compareDigests)
	return garbage, nil
}

func compareDigests(a, b Digest) int {
	return bytes.Compare(a[:], b[:])
}

// referenced returns the chunks of the head in force and of all revisions of the history.
func (publisher *Publisher) referenced(ctx context.Context, head Head, history History) (map[Digest]bool, error) {
	referenced := map[Digest]bool{}
	for _, digest := range head.AllChunks() {
		referenced[digest] = true
	}
	for _, entry := range history.Entries {
		if entry.Head == (Digest{}) {
			continue
		}
		chunks, err := publisher.headChunks(ctx, entry.Head)
		if err != nil {
			return nil, err
		}
		referenced[entry.Head] = true
		for _, digest := range chunks {
			referenced[digest] = true
		}
	}
	return referenced, nil
}

// headChunks returns the chunks of a head that is stored as a chunk, or none if that chunk was collected.
func (publisher *Publisher) headChunks(ctx context.Context, digest Digest) ([]Digest, error) {
	content, err := Fetch(ctx, publisher.store, digest)
	if errors.Is(err, oleandervane.ErrStoreUnavailable) {
		return nil, err
	}
	if err != nil {
		return nil, nil
	}
	head, err := DecodeHead(content)
	if err != nil {
		return nil, err
	}
	return head.AllChunks(), nil
}

// versions reads the versions of the chunks that are not empty.
func (publisher *Publisher) versions(ctx context.Context, list []Digest) (map[Digest]uint64, error) {
	versions := map[Digest]uint64{}
	for _, digest := range list {
		entry, err := publisher.store.Get(ctx, ChunkKey(digest))
		if err != nil {
			return nil, err
		}
		if len(entry.Value) > 0 {
			versions[digest] = entry.Version
		}
	}
	return versions, nil
}

// markCollecting writes the head with the chunks that are about to be emptied, and with those of earlier collections that
// publishers must still write again.
func (publisher *Publisher) markCollecting(ctx context.Context, head Head, version uint64, garbage []Digest) (oleandervane.StoreEntry, error) {
	head.Collecting = slices.Compact(slices.SortedFunc(slices.Values(slices.Concat(head.Collecting, garbage)), compareDigests))
	encoded, err := head.Encode()
	if err != nil {
		return oleandervane.StoreEntry{}, err
	}
	return publisher.store.CompareAndSwap(ctx, HeadKey, version, encoded)
}

// emptyChunks empties chunks at the versions read, in the order of their digests. A chunk that was written again in the
// meantime is not changed.
func (publisher *Publisher) emptyChunks(ctx context.Context, versions map[Digest]uint64) (collected int, err error) {
	for _, digest := range slices.SortedFunc(maps.Keys(versions), compareDigests) {
		_, err := publisher.store.CompareAndSwap(ctx, ChunkKey(digest), versions[digest], nil)
		if err == nil {
			collected++
		} else if !errors.Is(err, oleandervane.ErrVersionConflict) {
			return collected, err
		}
	}
	return collected, nil
}

// finishCollection writes the head without the chunks that were emptied, and removes dropped revisions and pending
// chunks. If the head has changed in the meantime, the next collection does this.
func (publisher *Publisher) finishCollection(ctx context.Context, head Head, history History, version uint64, garbage []Digest, age time.Duration) error {
	if len(garbage) < maxCollected && len(history.Dropped) > 0 {
		history.Dropped = nil
		chunk, err := history.encode()
		if err != nil {
			return err
		}
		if err := publisher.writeChunks(ctx, []Chunk{chunk}, head); err != nil {
			return err
		}
		head.History = chunk.Digest
	}
	encoded, err := head.Encode()
	if err != nil {
		return err
	}
	_, err = publisher.store.CompareAndSwap(ctx, HeadKey, version, encoded)
	if errors.Is(err, oleandervane.ErrVersionConflict) {
		return nil
	}
	if err != nil {
		return err
	}
	now := publisher.timerService.Now()
	return publisher.updatePending(ctx, func(pending []pendingChunk) []pendingChunk {
		return slices.DeleteFunc(pending, func(chunk pendingChunk) bool {
			return slices.Contains(garbage, chunk.Digest) && now.Sub(chunk.At) >= age
		})
	})
}
