package entryvm

import (
	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/fleet/gossip"
	"oleandervane.example/operator/revision"
)

// typicalChunkBytes stands for the sizes of chunks, which a head does not state. It is used only to group fetches.
const typicalChunkBytes = 20 << 10

// decoder reads encoded revisions for the gossip among entry VMs.
type decoder struct{}

// DecodeHead reads the number and the chunks of a head.
func (decoder) DecodeHead(content []byte) (gossip.Head, error) {
	head, err := revision.DecodeHead(content)
	if err != nil {
		return gossip.Head{}, err
	}
	result := gossip.Head{Revision: head.Revision}
	for _, digest := range head.Chunks() {
		result.Chunks = append(result.Chunks, gossip.ChunkReference{Digest: digest.String(), Bytes: typicalChunkBytes})
	}
	return result, nil
}

// CheckChunk returns an error unless the content has the digest.
func (decoder) CheckChunk(digest string, content []byte) error {
	if actual := revision.DigestOf(content).String(); actual != digest {
		return eris.Errorf("checking chunk %s: its content has digest %s", digest, actual)
	}
	return nil
}

// Decode returns the checked configuration.
func (decoder) Decode(content []byte, chunks map[string][]byte) (*oleandervane.Configuration, error) {
	head, err := revision.DecodeHead(content)
	if err != nil {
		return nil, err
	}
	configuration, err := revision.Decode(head, func(digest revision.Digest) ([]byte, bool) {
		chunk, found := chunks[digest.String()]
		return chunk, found
	})
	if err != nil {
		return nil, err
	}
	return &configuration, nil
}
