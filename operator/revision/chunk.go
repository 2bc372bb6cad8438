package revision

import (
	"github.com/cespare/xxhash/v2"
)

// MaxChunkBytes is the maximum size of a chunk; the store accepts values of up to 1 MB.
const MaxChunkBytes = 1_000_000

// Chunk is a part of an encoded configuration. It is immutable.
type Chunk struct {
	Digest  Digest
	Content []byte
}

func newChunk(content []byte) Chunk {
	return Chunk{Digest: DigestOf(content), Content: content}
}

// chunker decides where chunks end, by the number of records since the last end and the hash of a record's key.
// The minimum avoids tiny chunks; the maximum limits the bytes that one changed record costs.
type chunker struct {
	minimum, mean, maximum int
}

// maxBlockBytes is the size of encoded blocks at which a chunk ends even if it has few blocks.
const maxBlockBytes = 40_000

var (
	// A block takes about 5 bytes (IPv4) to 15 bytes (IPv6), so a chunk of blocks has about 20 KB, which is the cost of a
	// changed block. Smaller chunks would mean more digests in the head, which is also written with every change.
	blockChunker   = chunker{minimum: 2048, mean: 2048, maximum: 6144}
	settingChunker = chunker{minimum: 32, mean: 64, maximum: 512}
	fileChunker    = chunker{minimum: 64, mean: 128, maximum: 1024}
)

// ends reports whether a chunk ends after its count-th record, which has the given key.
func (chunker chunker) ends(count int, key []byte) bool {
	if count < chunker.minimum {
		return false
	}
	return count >= chunker.maximum || xxhash.Sum64(key)%uint64(chunker.mean) == 0
}

// line is a record of a text chunk, ending with a newline.
type line struct {
	key  string
	text []byte
}

// textChunks packs lines into chunks that each start with a title line.
func textChunks(title string, lines []line, chunker chunker) []Chunk {
	var chunks []Chunk
	content, count := []byte(title), 0
	flush := func() {
		if count > 0 {
			chunks = append(chunks, newChunk(content))
		}
		content, count = []byte(title), 0
	}
	for _, line := range lines {
		if len(content)+len(line.text) > MaxChunkBytes {
			flush()
		}
		content = append(content, line.text...)
		count++
		if chunker.ends(count, []byte(line.key)) {
			flush()
		}
	}
	flush()
	return chunks
}

func digests(chunks []Chunk) []Digest {
	var list []Digest
	for _, chunk := range chunks {
		list = append(list, chunk.Digest)
	}
	return list
}
