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

// Head is what the encoded head of a revision says. It is immutable.
type Head struct {
	Revision oleandervane.Revision
	Chunks   []ChunkReference
}

// Decoder reads encoded revisions, whose format this package does not know.
type Decoder interface {
	// DecodeHead reads the number and the chunks of a head.
	DecodeHead(head []byte) (Head, error)
	// CheckChunk returns an error unless the content has the digest.
	CheckChunk(digest string, content []byte) error
	// Decode returns the checked configuration, which then comes into force. chunks has all that the head names, by
	// digest; contents stay as they are, so that the decoder may keep them. Configurations are held as long as they are
	// in force, so they should have no ClientBlocks. Decode is called for one revision at a time.
	Decode(head []byte, chunks map[string][]byte) (*oleandervane.Configuration, error)
}

// mark names a revision and orders two of them. The hash decides only between two heads of the same number, which
// exist after operators published to a store that had lost revisions: all VMs then settle on the same one.
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
