package revision

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

// parallelCalls is the number of store calls that a load or a publish has in flight at a time. The first publish of
// 1.5 million client blocks writes about 500 chunks, which one by one at 70 ms between regions would take over half a
// minute.
const parallelCalls = 8

// ReadHead returns the head in force and its version in the store; if the store has none, the head has revision 0.
func ReadHead(ctx context.Context, store oleandervane.Store) (Head, uint64, error) {
	entry, err := store.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, 0, eris.Wrap(err, "read head")
	}
	if entry.Version == 0 {
		return Head{}, 0, nil
	}
	head, err := DecodeHead(entry.Value)
	return head, entry.Version, err
}

// Fetch reads a chunk from the store and verifies its content.
func Fetch(ctx context.Context, store oleandervane.Store, digest Digest) ([]byte, error) {
	entry, err := store.Get(ctx, ChunkKey(digest))
	if err != nil {
		return nil, eris.Wrapf(err, "fetch chunk %s", digest)
	}
	return verifyChunk(digest, func(Digest) ([]byte, bool) { return entry.Value, len(entry.Value) > 0 })
}

// Load returns the configuration of a head. It fetches the chunks that known does not return; known may be nil.
func Load(ctx context.Context, store oleandervane.Store, head Head, known func(digest Digest) ([]byte, bool)) (oleandervane.Configuration, error) {
	chunks, err := fetchAll(ctx, store, parallelCalls, head.Chunks(), known)
	if err != nil {
		return oleandervane.Configuration{}, eris.Wrapf(err, "load revision %d", head.Revision)
	}
	return Decode(head, func(digest Digest) ([]byte, bool) {
		content, found := chunks[digest]
		return content, found
	})
}

func fetchAll(ctx context.Context, store oleandervane.Store, parallel int, list []Digest, known func(digest Digest) ([]byte, bool)) (map[Digest][]byte, error) {
	chunks := map[Digest][]byte{}
	var missing []Digest
	for _, digest := range list {
		if known != nil {
			if content, found := known(digest); found {
				chunks[digest] = content
				continue
			}
		}
		missing = append(missing, digest)
	}
	var mutex sync.Mutex
	err := forEach(ctx, parallel, missing, func(ctx context.Context, digest Digest) error {
		content, err := Fetch(ctx, store, digest)
		mutex.Lock()
		defer mutex.Unlock()
		chunks[digest] = content
		return err
	})
	return chunks, err
}

// forEach calls work for every item, at most parallel at a time, and returns the first error. After an error it starts no
// more calls.
func forEach[Item any](ctx context.Context, parallel int, items []Item, work func(ctx context.Context, item Item) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	next := make(chan Item)
	var workers sync.WaitGroup
	for range min(parallel, len(items)) {
		workers.Go(func() {
			for item := range next {
				if err := work(ctx, item); err != nil {
					cancel(err)
				}
			}
		})
	}
	for _, item := range items {
		if ctx.Err() != nil {
			break
		}
		next <- item
	}
	close(next)
	workers.Wait()
	return context.Cause(ctx)
}

func readHistory(ctx context.Context, store oleandervane.Store, head Head) (History, error) {
	if head.Revision == 0 {
		return History{}, nil
	}
	content, err := Fetch(ctx, store, head.History)
	if err != nil {
		return History{}, err
	}
	return decodeHistory(content)
}

// ReadHistory returns the last accepted revisions.
func ReadHistory(ctx context.Context, store oleandervane.Store) (History, error) {
	head, _, err := ReadHead(ctx, store)
	if err != nil {
		return History{}, err
	}
	return readHistory(ctx, store, head)
}

// ReadRevision returns the head of a revision that is in force or in the history.
func ReadRevision(ctx context.Context, store oleandervane.Store, revision oleandervane.Revision) (Head, error) {
	head, _, err := ReadHead(ctx, store)
	if err != nil || head.Revision == revision {
		return head, err
	}
	history, err := readHistory(ctx, store, head)
	if err != nil {
		return Head{}, err
	}
	entry, found := history.Find(revision)
	if !found {
		return Head{}, eris.Errorf("revision %d is not in the history, which has %d revisions up to %d", revision, len(history.Entries), head.Revision)
	}
	content, err := Fetch(ctx, store, entry.Head)
	if err != nil {
		return Head{}, err
	}
	return DecodeHead(content)
}

// ReadFiles returns the files of a head.
func ReadFiles(ctx context.Context, store oleandervane.Store, head Head) ([]File, error) {
	chunks, err := fetchAll(ctx, store, parallelCalls, head.Files, nil)
	if err != nil {
		return nil, err
	}
	var files []File
	for _, digest := range head.Files {
		part, err := decodeFiles(chunks[digest])
		if err != nil {
			return nil, eris.Wrapf(err, "chunk %s", digest)
		}
		files = append(files, part...)
	}
	return files, nil
}
