package revision

import (
	"github.com/cespare/xxhash/v2"
)

// MaxChunkBytes is the largest chunk; the store takes values of 1 MB.
const MaxChunkBytes = 1_000_000

// Chunk is a part of an encoded configuration. It is immutable.
type Chunk struct {
	Digest  Digest
	Content []byte
}

func newChunk(content []byte) Chunk {
	return Chunk{Digest: DigestOf(content), Content: content}
}

// cutter decides where chunks end, by the number of records since the last end and the hash of a record's key.
// The least number keeps chunks from being tiny; the most bounds what one changed record costs.
type cutter struct {
	least, mean, most int
}

// maxBlockBytes ends a chunk of blocks early when its blocks take more bytes than usual.
const maxBlockBytes = 40_000

var (
	// A block takes about 5 bytes (IPv4) to 15 bytes (IPv6), so a chunk of blocks has about 20 KB and a changed block
	// costs that much. Smaller chunks would be more digests in the head, which every change costs as well.
	blockCutter   = cutter{least: 2048, mean: 2048, most: 6144}
	settingCutter = cutter{least: 32, mean: 64, most: 512}
	fileCutter    = cutter{least: 64, mean: 128, most: 1024}
)

// ends says whether a chunk ends after its count-th record, which has the given key.
func (cutter cutter) ends(count int, key []byte) bool {
	if count < cutter.least {
		return false
	}
	return count >= cutter.most || xxhash.Sum64(key)%uint64(cutter.mean) == 0
}

// line is a record of a text chunk, ending with a newline.
type line struct {
	key  string
	text []byte
}

// textChunks joins lines to chunks that start with a title line.
func textChunks(title string, lines []line, cutter cutter) []Chunk {
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
		if cutter.ends(count, []byte(line.key)) {
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
