package entryvm

import (
	"sync"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/fleet/gossip"
	"oleandervane.example/operator/revision"
)

// typicalChunkBytes replaces the sizes of chunks, which a head does not contain. It is used only to group fetches.
const typicalChunkBytes = 20 << 10

// decoder decodes revisions for the gossip among entry VMs. It keeps client blocks encoded, in the memory that gossip
// uses anyway to serve peers.
type decoder struct {
	mutex sync.Mutex
	// previousChunks has the chunks of client blocks of the revision decoded last.
	previousChunks map[revision.Digest]*revision.BlockChunk
	// pendingBlocks has the client blocks of decoded configurations until popBlocks returns them.
	pendingBlocks map[*oleandervane.Configuration][]*revision.BlockChunk
}

func newDecoder() *decoder {
	return &decoder{pendingBlocks: map[*oleandervane.Configuration][]*revision.BlockChunk{}}
}

// DecodeHead decodes the revision number and the chunk references of a head.
func (*decoder) DecodeHead(content []byte) (gossip.Head, error) {
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

// CheckChunk returns an error unless the content has the given digest.
func (*decoder) CheckChunk(digest string, content []byte) error {
	if actual := revision.DigestOf(content).String(); actual != digest {
		return eris.Errorf("checking chunk %s: its content has digest %s", digest, actual)
	}
	return nil
}

// Decode returns the checked configuration without its client blocks, which popBlocks returns. It decodes only chunks
// of client blocks that the previously decoded revision did not have.
func (decoder *decoder) Decode(content []byte, chunks map[string][]byte) (*oleandervane.Configuration, error) {
	head, err := revision.DecodeHead(content)
	if err != nil {
		return nil, err
	}
	decoder.mutex.Lock()
	defer decoder.mutex.Unlock()
	configuration, blockChunks, err := revision.DecodeCompact(head, func(digest revision.Digest) ([]byte, bool) {
		chunk, found := chunks[digest.String()]
		return chunk, found
	}, func(digest revision.Digest) (*revision.BlockChunk, bool) {
		blockChunk, found := decoder.previousChunks[digest]
		return blockChunk, found
	})
	if err != nil {
		return nil, err
	}
	decoder.previousChunks = make(map[revision.Digest]*revision.BlockChunk, len(blockChunks))
	for _, blockChunk := range blockChunks {
		decoder.previousChunks[blockChunk.Digest()] = blockChunk
	}
	decoder.pendingBlocks[&configuration] = blockChunks
	return &configuration, nil
}

// popBlocks returns and removes the client blocks of a configuration that Decode returned.
func (decoder *decoder) popBlocks(configuration *oleandervane.Configuration) []*revision.BlockChunk {
	decoder.mutex.Lock()
	defer decoder.mutex.Unlock()
	blockChunks := decoder.pendingBlocks[configuration]
	delete(decoder.pendingBlocks, configuration)
	return blockChunks
}
