package revision

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against stored histories, file lists and pending lists that cause a panic when decoded or lose entries when they
// are encoded again.
func FuzzDecodeRecords(f *testing.F) {
	history, err := History{
		Entries: []Entry{{Revision: 1, Author: "alice", PublishedAt: time.Unix(0, 0).UTC(), Changed: []string{"a.toml"}, ChangedCount: 1}, {Revision: 2}},
		Dropped: []Digest{{1}},
	}.encode()
	assert.NilError(f, err)
	f.Add(history.Content)
	f.Add(encodeFiles([]File{{Name: "b.toml"}, {Name: "a.toml"}})[0].Content)
	f.Add([]byte(`[{"digest":"` + Digest{2}.String() + `","at":"2027-01-10T00:00:00Z"}]`))
	f.Fuzz(func(t *testing.T, content []byte) {
		if history, err := decodeHistory(content); err == nil {
			chunk, err := history.encode()
			assert.NilError(t, err)
			again, err := decodeHistory(chunk.Content)
			assert.NilError(t, err)
			assert.Equal(t, len(again.Entries), len(history.Entries))
		}
		if files, err := decodeFiles(content); err == nil {
			var again []byte
			for _, chunk := range encodeFiles(files) {
				again = append(again, chunk.Content...)
			}
			// More files than fit into a chunk are written as several chunks, each with its title.
			assert.Assert(t, len(files) >= fileChunker.minimum || string(again) == string(content) || len(files) == 0)
		}
		_, _ = decodePending(content)
	})
}
