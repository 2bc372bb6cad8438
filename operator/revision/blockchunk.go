package revision

import (
	"bytes"
	"iter"
	"net/netip"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/operator/check"
)

// BlockChunk is a verified chunk of client blocks in encoded form, which takes about a tenth of the memory of the decoded
// blocks. It is immutable.
type BlockChunk struct {
	digest      Digest
	content     []byte
	first, last netip.Prefix
	count       int
}

// ReadBlockChunk verifies the digest and the content of a chunk of client blocks. The result refers to content, which must
// not be modified afterwards.
func ReadBlockChunk(digest Digest, content []byte) (*BlockChunk, error) {
	content, err := verifyChunk(digest, func(Digest) ([]byte, bool) { return content, len(content) > 0 })
	if err != nil {
		return nil, err
	}
	blocks, err := decodeBlocks(content, nil)
	if err != nil {
		return nil, eris.Wrapf(err, "chunk %s", digest)
	}
	return &BlockChunk{
		digest: digest, content: content, first: blocks[0].Prefix, last: blocks[len(blocks)-1].Prefix, count: len(blocks),
	}, nil
}

// Digest returns the digest of the chunk.
func (blockChunk *BlockChunk) Digest() Digest {
	return blockChunk.digest
}

// Sites returns the sites of the chunk's blocks.
func (blockChunk *BlockChunk) Sites() []oleandervane.Site {
	return blockChunk.reader().sites()
}

// All decodes the blocks one by one, ordered by check.ComparePrefixes. It cannot fail, because ReadBlockChunk verified the
// content.
func (blockChunk *BlockChunk) All() iter.Seq[oleandervane.ClientBlock] {
	return func(yield func(oleandervane.ClientBlock) bool) {
		reader := blockChunk.reader()
		sites := reader.sites()
		for range reader.number(maxBlocksPerChunk) {
			prefix := reader.prefix()
			site := sites[reader.number(uint64(len(sites))-1)]
			if !yield(oleandervane.ClientBlock{Prefix: prefix, Site: site}) {
				return
			}
		}
	}
}

func (blockChunk *BlockChunk) reader() *blockReader {
	return &blockReader{rest: bytes.TrimPrefix(blockChunk.content, []byte(blocksTitle))}
}

// DecodeCompact is like Decode, but leaves client blocks encoded: the configuration has no ClientBlocks, and the chunks of
// blocks are returned separately. It makes the same checks. A chunk that known returns was verified before and is not
// decoded again; known may be nil.
func DecodeCompact(head Head, chunk func(digest Digest) ([]byte, bool), known func(digest Digest) (*BlockChunk, bool)) (oleandervane.Configuration, []*BlockChunk, error) {
	configuration, err := decodeAllSettings(head, chunk)
	if err != nil {
		return oleandervane.Configuration{}, nil, err
	}
	if err := checkCanonical(head, configuration); err != nil {
		return oleandervane.Configuration{}, nil, err
	}
	blockChunks, err := readBlockChunks(head.Blocks, chunk, known)
	if err != nil {
		return oleandervane.Configuration{}, nil, err
	}
	if err := checkSites(configuration, blockChunks); err != nil {
		return oleandervane.Configuration{}, nil, eris.Wrapf(err, "revision %d is invalid", head.Revision)
	}
	return configuration, blockChunks, nil
}

// readBlockChunks reads chunks and checks the order of blocks across chunks and the number of all blocks. Blocks are in
// order within a chunk, so comparing the last block of a chunk with the first of the next finds duplicates.
func readBlockChunks(digests []Digest, chunk func(digest Digest) ([]byte, bool), known func(digest Digest) (*BlockChunk, bool)) ([]*BlockChunk, error) {
	blockChunks := make([]*BlockChunk, 0, len(digests))
	count := 0
	for index, digest := range digests {
		blockChunk, err := readUnlessKnown(digest, chunk, known)
		if err != nil {
			return nil, err
		}
		if index > 0 && check.ComparePrefixes(blockChunks[index-1].last, blockChunk.first) >= 0 {
			return nil, eris.Errorf("chunk %s: block %s is out of order", digest, blockChunk.first)
		}
		count += blockChunk.count
		if count > check.MaxClientBlocks {
			return nil, eris.New("there are too many client blocks")
		}
		blockChunks = append(blockChunks, blockChunk)
	}
	return blockChunks, nil
}

func readUnlessKnown(digest Digest, chunk func(digest Digest) ([]byte, bool), known func(digest Digest) (*BlockChunk, bool)) (*BlockChunk, error) {
	if known != nil {
		if blockChunk, found := known(digest); found {
			return blockChunk, nil
		}
	}
	content, found := chunk(digest)
	if !found {
		return nil, eris.Errorf("chunk %s is missing", digest)
	}
	return ReadBlockChunk(digest, content)
}

// checkSites returns an error if a block belongs to a site that is not in the settings. All chunks are checked with each
// revision, because new settings may lack a site that a known chunk still uses.
func checkSites(configuration oleandervane.Configuration, blockChunks []*BlockChunk) error {
	sites := map[oleandervane.Site]bool{}
	for _, region := range configuration.Regions {
		for site := range region.Sites {
			sites[site] = true
		}
	}
	for _, blockChunk := range blockChunks {
		for _, site := range blockChunk.Sites() {
			if !sites[site] {
				return eris.Errorf("chunk %s: site %q does not exist", blockChunk.digest, site)
			}
		}
	}
	return nil
}
