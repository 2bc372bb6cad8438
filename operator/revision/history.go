package revision

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

const (
	// maxHistory is the number of revisions in the history; at 340 changes a day they cover some hours, which is longer
	// than any copy of the folder should go without an update.
	maxHistory = 100
	// maxDropped is the maximum number of dropped revisions that wait for collection. Chunks of older revisions are never
	// collected.
	maxDropped = 2_000
	// maxChangedNames is the maximum number of file names recorded for each revision.
	maxChangedNames = 20
)

// Entry is one accepted revision of the history. It is immutable.
type Entry struct {
	Revision    oleandervane.Revision `json:"revision"`
	Base        oleandervane.Revision `json:"base"`
	Attempt     string                `json:"attempt"`
	Author      string                `json:"author"`
	PublishedAt time.Time             `json:"published_at"`
	// Changed has up to maxChangedNames names of files that differ from the previous revision; ChangedCount is the number
	// of all of them.
	Changed      []string `json:"changed,omitempty"`
	ChangedCount int      `json:"changed_count"`
	// Head is the chunk with the head of the revision. Identity distinguishes the revision from another one with the same
	// number. Both are zero for the newest revision, whose head is at HeadKey.
	Head     Digest `json:"head"`
	Identity Digest `json:"identity"`
}

// History has the last accepted revisions, oldest first. It is immutable.
type History struct {
	Entries []Entry `json:"entries"`
	// Dropped are the heads of revisions that are no longer in Entries and wait for collection.
	Dropped []Digest `json:"dropped,omitempty"`
}

// Find returns the entry of a revision.
func (history History) Find(revision oleandervane.Revision) (Entry, bool) {
	index := slices.IndexFunc(history.Entries, func(entry Entry) bool { return entry.Revision == revision })
	if index < 0 {
		return Entry{}, false
	}
	return history.Entries[index], true
}

// hasAttempt reports whether a publisher's attempt was accepted.
func (history History) hasAttempt(attempt string) bool {
	return slices.ContainsFunc(history.Entries, func(entry Entry) bool { return entry.Attempt == attempt })
}

// with returns the history with the entry of a new revision. The entry of the previous revision now refers to the chunk
// with that revision's head.
func (history History) with(before Head, chunk Digest, entry Entry) History {
	entries := slices.Clone(history.Entries)
	if count := len(entries); count > 0 && entries[count-1].Revision == before.Revision {
		entries[count-1].Head = chunk
		entries[count-1].Identity = before.Identity()
	}
	entries = append(entries, entry)
	dropped := slices.Clone(history.Dropped)
	for len(entries) > maxHistory {
		dropped = append(dropped, entries[0].Head)
		entries = entries[1:]
	}
	return History{Entries: entries, Dropped: dropped[max(0, len(dropped)-maxDropped):]}
}

func (history History) encode() (Chunk, error) {
	content, err := json.Marshal(history)
	if err == nil && len(content) > MaxChunkBytes {
		err = eris.Errorf("%d bytes do not fit into a chunk", len(content))
	}
	return newChunk(content), eris.Wrap(err, "encode history")
}

func decodeHistory(content []byte) (History, error) {
	var history History
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&history); err != nil {
		return History{}, eris.Wrap(err, "decode history")
	}
	if len(history.Entries) > maxHistory || len(history.Dropped) > maxDropped {
		return History{}, eris.New("decode history: it has too many entries")
	}
	for index, entry := range history.Entries {
		if index > 0 && entry.Revision <= history.Entries[index-1].Revision {
			return History{}, eris.New("decode history: the revisions are not ascending")
		}
	}
	return history, nil
}
