package revision

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

// Proposal is a configuration that an operator wants accepted. It is immutable.
type Proposal struct {
	Configuration oleandervane.Configuration
	Files         []File
	Author        string
	// Base is the revision that the folder was taken from, as far as the folder knows.
	Base Base
	// Seen is the newest revision known to have been in force, for example on an entry VM.
	Seen oleandervane.Revision
	// Attempt is a random text that no other proposal has.
	Attempt string
}

// Publication is an accepted proposal. It is immutable.
type Publication struct {
	Head Head
	// Unchanged says that the same files and configuration were in force already, so nothing was written.
	Unchanged bool
	// Superseded says that the proposal was accepted and that others have published since.
	Superseded bool
	Changed    []string
}

// Publisher publishes proposals to the store. It is safe for concurrent use.
type Publisher struct {
	store        oleandervane.Store
	timerService oleandervane.TimerService
	parallel     int
}

const (
	// maxRounds bounds how often a publish starts over because the head's version moved without a conflict.
	maxRounds = 8
	// settleReads bounds the reads that find out what became of a write without an answer.
	settleReads = 6
	// settlePause is the first pause between them; each later one is twice as long, 6.2 s in all.
	settlePause = 200 * time.Millisecond
)

// NewPublisher returns a publisher.
func NewPublisher(store oleandervane.Store, timerService oleandervane.TimerService) *Publisher {
	return &Publisher{store: store, timerService: timerService, parallel: parallelCalls}
}

// WithParallel returns a copy that has at most the given number of calls under way at a time.
func (publisher *Publisher) WithParallel(parallel int) *Publisher {
	result := *publisher
	result.parallel = parallel
	return &result
}

// Publish writes the chunks of a proposal and then, by compare-and-swap on the head that it was checked against, the
// head. It fails with a ConflictError when it would undo what others published, with an OlderError when the store has
// lost content, with an UndecidedError when the answer to the head's write was lost and reading does not settle it,
// and with oleandervane.ErrStoreUnavailable, before the head was written, when the store does not answer.
func (publisher *Publisher) Publish(ctx context.Context, proposal Proposal) (Publication, error) {
	content, err := Encode(proposal.Configuration)
	if err != nil {
		return Publication{}, err
	}
	for range maxRounds {
		publication, again, err := publisher.round(ctx, proposal, content)
		if !again {
			return publication, err
		}
	}
	return Publication{}, eris.Wrapf(oleandervane.ErrVersionConflict, "publish: the head moved %d times", maxRounds)
}

// round tries once. It asks for another round when the head's write was refused.
func (publisher *Publisher) round(ctx context.Context, proposal Proposal, content Content) (publication Publication, again bool, err error) {
	head, version, err := ReadHead(ctx, publisher.store)
	if err != nil {
		return Publication{}, false, eris.Wrap(err, "publish")
	}
	if head.Attempt == proposal.Attempt && head.Revision > 0 {
		return Publication{Head: head}, false, nil
	}
	if err := older(head, proposal); err != nil {
		return Publication{}, false, err
	}
	draft, err := publisher.draft(ctx, proposal, content, head)
	if err != nil || draft.unchanged {
		return Publication{Head: head, Unchanged: draft.unchanged}, false, err
	}
	if err := publisher.writeChunks(ctx, draft.chunks, head); err != nil {
		return Publication{}, false, eris.Wrap(err, "publish")
	}
	encoded, err := draft.head.Encode()
	if err != nil {
		return Publication{}, false, err
	}
	publication = Publication{Head: draft.head, Changed: draft.changed}
	_, err = publisher.store.CompareAndSwap(ctx, HeadKey, version, encoded)
	if errors.Is(err, oleandervane.ErrVersionConflict) {
		return Publication{}, true, nil
	}
	if err != nil {
		return publisher.settle(ctx, publication, version, err)
	}
	return publication, false, nil
}

// older refuses a store that lost a revision which the proposal builds on or which was seen in force.
func older(head Head, proposal Proposal) error {
	if seen := max(proposal.Base.Revision, proposal.Seen); head.Revision < seen {
		return &StaleStoreError{Stored: head.Revision, Seen: seen}
	}
	if head.Revision > 0 && head.Revision == proposal.Base.Revision && proposal.Base.Identity != (Digest{}) && head.Identity() != proposal.Base.Identity {
		return &StaleStoreError{Stored: head.Revision, Seen: proposal.Base.Revision, Diverged: true}
	}
	return nil
}

// settle finds out by reading what became of a head whose write got no answer. It never writes: the first write may
// still be on its way.
func (publisher *Publisher) settle(ctx context.Context, publication Publication, version uint64, cause error) (Publication, bool, error) {
	undecided := &UnknownOutcomeError{Revision: publication.Head.Revision, Reason: "the store does not answer"}
	pause := settlePause
	for range settleReads {
		head, stored, err := ReadHead(ctx, publisher.store)
		switch {
		case err != nil:
		case head.Attempt == publication.Head.Attempt:
			return publication, false, nil
		case stored == version:
			undecided.Reason = "it is not in force, but its write may still be on its way"
		default:
			history, err := readHistory(ctx, publisher.store, head)
			if err == nil && history.hasAttempt(publication.Head.Attempt) {
				publication.Superseded = true
				return publication, false, nil
			}
			if err == nil && reachesBack(history, publication.Head.Revision) {
				// The head has another version, so the write was refused or will be.
				return Publication{}, true, nil
			}
		}
		if !publisher.pause(ctx, pause) {
			break
		}
		pause *= 2
	}
	return Publication{}, false, errors.Join(undecided, cause)
}

// reachesBack says whether a history would have the attempt of a revision, had it been accepted.
func reachesBack(history History, revision oleandervane.Revision) bool {
	return len(history.Entries) > 0 && history.Entries[0].Revision <= revision
}

// pause waits, and says whether ctx still goes on.
func (publisher *Publisher) pause(ctx context.Context, duration time.Duration) bool {
	due := make(chan struct{})
	defer publisher.timerService.After(duration, func(time.Time) { close(due) })()
	select {
	case <-due:
		return true
	case <-ctx.Done():
		return false
	}
}

// draft is a head in the making with the chunks it needs written.
type draft struct {
	head      Head
	chunks    []Chunk
	changed   []string
	unchanged bool
}

func (publisher *Publisher) draft(ctx context.Context, proposal Proposal, content Content, before Head) (draft, error) {
	history, historyErr := readHistory(ctx, publisher.store, before)
	if errors.Is(historyErr, oleandervane.ErrStoreUnavailable) {
		return draft{}, eris.Wrap(historyErr, "publish")
	}
	// A history or list of files that the store lost does not stop a publish: without them every file conflicts,
	// unless the base is the head itself.
	files := encodeFiles(proposal.Files)
	proposed := fileMap(proposal.Files)
	inForce, err := publisher.filesInForce(ctx, before, files)
	if err != nil {
		return draft{}, err
	}
	if err := publisher.judge(ctx, proposal, before, history, inForce, proposed); err != nil {
		return draft{}, err
	}
	next := draft{changed: changedFiles(inForce, proposed)}
	next.unchanged = slices.Equal(before.Files, digests(files)) && slices.Equal(before.Chunks(), digests(content.Chunks()))
	if next.unchanged {
		return next, nil
	}
	next.head = Head{
		Format: headFormat, Revision: before.Revision + 1, Base: before.AsBase(), Attempt: proposal.Attempt, Author: proposal.Author,
		PublishedAt: publisher.timerService.Now().UTC(), Settings: digests(content.Settings), Blocks: digests(content.Blocks),
		Files: digests(files), Collecting: before.Collecting,
	}
	chunks := slices.Concat(content.Chunks(), files)
	return next.complete(before, history, chunks)
}

// complete adds the history, and keeps of the chunks those that the store may lack.
func (draft draft) complete(before Head, history History, chunks []Chunk) (draft, error) {
	var beforeChunk Chunk
	if before.Revision > 0 {
		encoded, err := before.Encode()
		if err != nil {
			return draft, err
		}
		beforeChunk = newChunk(encoded)
		chunks = append(chunks, beforeChunk)
	}
	historyChunk, err := history.with(before, beforeChunk.Digest, Entry{
		Revision: draft.head.Revision, Base: before.Revision, Attempt: draft.head.Attempt, Author: draft.head.Author,
		PublishedAt: draft.head.PublishedAt, Changed: draft.changed[:min(len(draft.changed), maxChangedNames)], ChangedCount: len(draft.changed),
	}).encode()
	if err != nil {
		return draft, err
	}
	draft.head.History = historyChunk.Digest
	chunks = append(chunks, historyChunk)
	// Chunks of the head in force that are being collected were written again by whoever published that head.
	stored := map[Digest]bool{}
	for _, digest := range before.AllChunks() {
		stored[digest] = true
	}
	for _, chunk := range chunks {
		if !stored[chunk.Digest] {
			stored[chunk.Digest] = true
			draft.chunks = append(draft.chunks, chunk)
		}
	}
	return draft, nil
}

// filesInForce returns the files of a head. Chunks that the proposal shares with it are not fetched.
func (publisher *Publisher) filesInForce(ctx context.Context, head Head, proposed []Chunk) (map[string]Digest, error) {
	known := map[Digest][]byte{}
	for _, chunk := range proposed {
		known[chunk.Digest] = chunk.Content
	}
	return publisher.filesOf(ctx, head, known)
}

func (publisher *Publisher) filesOf(ctx context.Context, head Head, known map[Digest][]byte) (map[string]Digest, error) {
	chunks, err := fetchAll(ctx, publisher.store, publisher.parallel, head.Files, func(digest Digest) ([]byte, bool) {
		content, found := known[digest]
		return content, found
	})
	if errors.Is(err, oleandervane.ErrStoreUnavailable) {
		return nil, eris.Wrap(err, "publish")
	}
	files := map[string]Digest{}
	for _, digest := range head.Files {
		part, err := decodeFiles(chunks[digest])
		if err != nil {
			continue
		}
		for _, file := range part {
			files[file.Name] = file.Digest
		}
	}
	return files, nil
}

// judge refuses a proposal that would undo what was published since its base.
func (publisher *Publisher) judge(ctx context.Context, proposal Proposal, head Head, history History, inForce, proposed map[string]Digest) error {
	if head.Revision == 0 || proposal.Base.Revision == head.Revision {
		return nil
	}
	base := map[string]Digest{}
	entry, found := history.Find(proposal.Base.Revision)
	if found && proposal.Base.Identity != (Digest{}) && entry.Identity != proposal.Base.Identity {
		return &StaleStoreError{Stored: head.Revision, Seen: proposal.Base.Revision, Diverged: true}
	}
	if found {
		baseHead, err := ReadRevision(ctx, publisher.store, proposal.Base.Revision)
		if errors.Is(err, oleandervane.ErrStoreUnavailable) {
			return eris.Wrap(err, "publish")
		}
		if err == nil {
			base, err = publisher.filesOf(ctx, baseHead, nil)
		}
		if err != nil {
			return eris.Wrap(err, "publish")
		}
	}
	if clashes := conflicts(base, inForce, proposed); len(clashes) > 0 {
		return &ConflictError{Base: proposal.Base.Revision, InForce: head.Revision, Files: attribute(clashes, history)}
	}
	return nil
}

// writeChunks notes the chunks for collection, in case the publisher dies, and writes them.
func (publisher *Publisher) writeChunks(ctx context.Context, chunks []Chunk, before Head) error {
	if err := publisher.notePending(ctx, chunks, before); err != nil {
		return err
	}
	return each(ctx, publisher.parallel, chunks, func(ctx context.Context, chunk Chunk) error {
		return publisher.writeChunk(ctx, chunk, slices.Contains(before.Collecting, chunk.Digest))
	})
}

// writeChunk writes one chunk. A chunk that is there already is left as it is, unless it is being collected: then it
// is written again, so that its version is no longer the one that the collector means to empty.
func (publisher *Publisher) writeChunk(ctx context.Context, chunk Chunk, collecting bool) error {
	key := ChunkKey(chunk.Digest)
	version := uint64(0)
	if collecting {
		entry, err := publisher.store.Get(ctx, key)
		if err != nil {
			return err
		}
		version = entry.Version
	}
	var err error
	for range 3 {
		_, err = publisher.store.CompareAndSwap(ctx, key, version, chunk.Content)
		if err == nil {
			return nil
		}
		entry, readErr := publisher.store.Get(ctx, key)
		if readErr != nil {
			return errors.Join(err, readErr)
		}
		if bytes.Equal(entry.Value, chunk.Content) && (!collecting || entry.Version != version) {
			return nil
		}
		version = entry.Version
	}
	return eris.Wrapf(err, "write chunk %s", chunk.Digest)
}
