package revision

import (
	"context"

	"github.com/rotisserie/eris"
)

// Restore writes a head that is newer than the head in the store, after the store was restored with older content. The
// chunks come from the given function; chunks that it does not have, such as the history, are left out. Restore returns
// the head in force afterwards, which others may have written in the meantime.
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
	// Without the settings and blocks, starting entry VMs would read a head whose content is missing.
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
