package revision

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

// Keys of the store.
const (
	HeadKey    = "config/head"
	PendingKey = "config/pending"
	chunkKeys  = "config/chunk/"
)

// ChunkKey returns the key of a chunk.
func ChunkKey(digest Digest) string {
	return chunkKeys + digest.String()
}

const (
	// headFormat is incremented when older programs cannot read the new format of a head.
	headFormat = 1
	// maxHeadBytes is the maximum size of a head: 8 million client blocks have about 2,000 chunks at 67 bytes each.
	maxHeadBytes  = MaxChunkBytes
	maxAuthor     = 200
	maxHeadChunks = 14_000
)

// Base identifies the revision from which a proposal was made. The zero value means no known revision.
type Base struct {
	Revision oleandervane.Revision `json:"revision"`
	// Identity distinguishes two revisions with the same number, which exist after the store lost one of them.
	Identity Digest `json:"identity"`
}

// Head is the entry point of an accepted revision. It is immutable.
type Head struct {
	Format   int                   `json:"format"`
	Revision oleandervane.Revision `json:"revision"`
	Base     Base                  `json:"base"`
	// Attempt is a random text by which a publisher recognises its own head.
	Attempt     string    `json:"attempt"`
	Author      string    `json:"author"`
	PublishedAt time.Time `json:"published_at"`
	// Settings and Blocks are the chunks of the configuration, in order.
	Settings []Digest `json:"settings"`
	Blocks   []Digest `json:"blocks"`
	// Files are the chunks of the list of files.
	Files []Digest `json:"files"`
	// History is the chunk of the revisions up to this one.
	History Digest `json:"history"`
	// Collecting are chunks that a garbage collection may empty at any moment; a publisher that needs such a chunk writes
	// it again.
	Collecting []Digest `json:"collecting,omitempty"`
}

// Encode returns the head as it is stored.
func (head Head) Encode() ([]byte, error) {
	content, err := json.Marshal(head)
	if err == nil && len(content) > maxHeadBytes {
		err = eris.Errorf("%d bytes are more than %d", len(content), maxHeadBytes)
	}
	return content, eris.Wrapf(err, "encode head of revision %d", head.Revision)
}

// Identity returns a digest of all fields except History and Collecting, which garbage collection changes.
func (head Head) Identity() Digest {
	head.History, head.Collecting = Digest{}, nil
	// Marshal cannot fail: all fields of a head can be encoded.
	content, _ := json.Marshal(head)
	return DigestOf(content)
}

// AsBase returns the head as the base of a proposal.
func (head Head) AsBase() Base {
	if head.Revision == 0 {
		return Base{}
	}
	return Base{Revision: head.Revision, Identity: head.Identity()}
}

// Chunks returns the chunks that an entry VM needs: settings, then blocks.
func (head Head) Chunks() []Digest {
	return slices.Concat(head.Settings, head.Blocks)
}

// AllChunks returns all chunks that the head refers to.
func (head Head) AllChunks() []Digest {
	return slices.Concat(head.Settings, head.Blocks, head.Files, []Digest{head.History})
}

// DecodeHead decodes a stored head. It accepts only the output of Encode.
func DecodeHead(content []byte) (Head, error) {
	if len(content) > maxHeadBytes {
		return Head{}, eris.Errorf("decode head: %d bytes are more than %d", len(content), maxHeadBytes)
	}
	var format struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(content, &format); err != nil {
		return Head{}, eris.Wrap(err, "decode head")
	}
	if format.Format != headFormat {
		return Head{}, eris.Errorf("decode head: format %d is not %d, which this program reads", format.Format, headFormat)
	}
	var head Head
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&head); err != nil {
		return Head{}, eris.Wrap(err, "decode head")
	}
	if err := head.validate(); err != nil {
		return Head{}, eris.Wrap(err, "decode head")
	}
	reencoded, err := head.Encode()
	if err != nil || !bytes.Equal(reencoded, content) {
		return Head{}, eris.New("decode head: it is not in canonical form")
	}
	return head, nil
}

func (head Head) validate() error {
	switch {
	case head.Revision == 0:
		return eris.New("the revision is 0")
	case head.Base.Revision >= head.Revision:
		return eris.Errorf("the base %d is not before revision %d", head.Base.Revision, head.Revision)
	case len(head.Author) > maxAuthor || len(head.Attempt) > maxAuthor:
		return eris.New("the author or attempt is too long")
	case len(head.Settings) == 0:
		return eris.New("there are no settings")
	case len(head.AllChunks())+len(head.Collecting) > maxHeadChunks:
		return eris.New("there are too many chunks")
	}
	return nil
}
