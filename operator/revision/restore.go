package revision

import (
	"context"

	"github.com/rotisserie/eris"
)

// Restore writes a head that is newer than the store's back, for a store that came back with older content. The chunks
// come from the given function; those it lacks, such as the history, are left out. It returns the head in force
// afterwards, which may be one that others wrote meanwhile.
func (publisher *Publisher) Restore(ctx context.Context, head Head, chunk func(digest Digest) ([]byte, bool)) (Head, error) {
	stored, version, err := ReadHead(ctx, publisher.store)
	if err != nil || stored.Revision >= head.Revision {
		return stored, eris.Wrap(err, "restore")
	}
	var chunks []Chunk
	for _, digest := range head.AllChunks() {
		if content, found := chunk(digest); found && DigestOf(content) == digest {
			chunks = append(chunks, Chunk{digest, content})
		}
	}
	// The settings and blocks must be there, or entry VMs that start would read a head without its content.
	if _, err := Decode(head, chunk); err != nil {
		return stored, eris.Wrap(err, "restore")
	}
	if err := publisher.writeChunks(ctx, chunks, stored); err != nil {
		return stored, eris.Wrap(err, "restore")
	}
	encoded, err := head.Encode()
	if err != nil {
		return stored, err
	}
	if _, err := publisher.store.CompareAndSwap(ctx, HeadKey, version, encoded); err != nil {
		return stored, eris.Wrapf(err, "restore revision %d", head.Revision)
	}
	return head, nil
}
