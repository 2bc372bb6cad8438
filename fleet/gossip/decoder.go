package gossip

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
)

// ChunkReference names a chunk of a revision.
type ChunkReference struct {
	Digest string
	Bytes  int
}

// Head is the decoded head of a revision. It is immutable.
type Head struct {
	Revision oleandervane.Revision
	Chunks   []ChunkReference
}

// Decoder decodes revisions, whose format this package does not depend on.
type Decoder interface {
	// DecodeHead returns the number and the chunks of a revision.
	DecodeHead(head []byte) (Head, error)
	// CheckChunk returns an error unless the content has the digest.
	CheckChunk(digest string, content []byte) error
	// Decode returns the validated configuration, which then comes into force. chunks has all chunks that the head
	// names, by digest; their contents are never changed, so the decoder may retain them. Configurations stay in memory
	// as long as they are in force, so they should have no ClientBlocks. Decode is not called concurrently.
	Decode(head []byte, chunks map[string][]byte) (*oleandervane.Configuration, error)
}

// mark identifies a revision and defines an order. The hash decides only between two heads with the same number, which
// exist after operators published to a store that had lost revisions: all VMs then settle on the same head.
type mark struct {
	revision oleandervane.Revision
	hash     uint64
}

func markOf(revision oleandervane.Revision, head []byte) mark {
	return mark{revision: revision, hash: xxhash.Sum64(head)}
}

func (first mark) compare(second mark) int {
	return cmp.Or(cmp.Compare(first.revision, second.revision), cmp.Compare(first.hash, second.hash))
}

func (first mark) wire() *peer.RevisionMark {
	return &peer.RevisionMark{Revision: uint64(first.revision), HeadHash: first.hash}
}

func markFromWire(message *peer.RevisionMark) mark {
	return mark{revision: oleandervane.Revision(message.GetRevision()), hash: message.GetHeadHash()}
}
