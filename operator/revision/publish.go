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

// Proposal is a configuration that an operator publishes. It is immutable.
type Proposal struct {
	Configuration oleandervane.Configuration
	Files         []File
	Author        string
	// Base is the revision that the folder was taken from, or zero if that is not known.
	Base Base
	// Seen is the newest revision that is known to have been in force, for example on an entry VM.
	Seen oleandervane.Revision
	// Attempt is a random text that is unique to this proposal.
	Attempt string
}

// Publication is an accepted proposal. It is immutable.
type Publication struct {
	Head Head
	// Unchanged is set if the same files and configuration were in force already, so that nothing was written.
	Unchanged bool
	// Superseded is set if the proposal was accepted and others have published since.
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
	// maxTries is how often a publish is tried when the version of the head changes without a conflict.
	maxTries = 8
	// maxOutcomeReads is the maximum number of reads for finding the outcome of a write without a response.
	maxOutcomeReads = 6
	// outcomeReadDelay is the delay after the first of these reads; it doubles after each read. The delays between the
	// reads sum to 6.2 s; another 6.4 s follow the last read.
	outcomeReadDelay = 200 * time.Millisecond
)

// NewPublisher returns a publisher that has at most parallelCalls store calls in flight at a time.
func NewPublisher(store oleandervane.Store, timerService oleandervane.TimerService) *Publisher {
	return &Publisher{store: store, timerService: timerService, parallel: parallelCalls}
}

// WithParallel returns a copy that has at most the given number of store calls in flight at a time.
func (publisher *Publisher) WithParallel(parallel int) *Publisher {
	result := *publisher
	result.parallel = parallel
	return &result
}

// Publish writes the chunks of a proposal and then, by compare-and-swap on the head that it was checked against, the
// head. It returns a ConflictError if the proposal would undo changes that others published, a StaleStoreError if the
// store has lost content, an UnknownOutcomeError if the response to the write of the head was lost and reading does not
// show the outcome, and oleandervane.ErrStoreUnavailable if the store does not respond before the head is written.
func (publisher *Publisher) Publish(ctx context.Context, proposal Proposal) (Publication, error) {
	content, err := Encode(proposal.Configuration)
	if err != nil {
		return Publication{}, err
	}
	for range maxTries {
		publication, retry, err := publisher.tryPublish(ctx, proposal, content)
		if !retry {
			return publication, err
		}
	}
	return Publication{}, eris.Wrapf(oleandervane.ErrVersionConflict, "publish: the head moved %d times", maxTries)
}

// tryPublish tries to publish once. It returns true in retry if the write of the head was refused.
func (publisher *Publisher) tryPublish(ctx context.Context, proposal Proposal, content Content) (publication Publication, retry bool, err error) {
	head, version, err := ReadHead(ctx, publisher.store)
	if err != nil {
		return Publication{}, false, eris.Wrap(err, "publish")
	}
	if head.Attempt == proposal.Attempt && head.Revision > 0 {
		return Publication{Head: head}, false, nil
	}
	if err := checkStoreRevision(head, proposal); err != nil {
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
		return publisher.resolveOutcome(ctx, publication, version, err)
	}
	return publication, false, nil
}

// checkStoreRevision returns an error if the store lost a revision that is the base of the proposal or was seen in force.
func checkStoreRevision(head Head, proposal Proposal) error {
	if seen := max(proposal.Base.Revision, proposal.Seen); head.Revision < seen {
		return &StaleStoreError{Stored: head.Revision, Seen: seen}
	}
	if head.Revision > 0 && head.Revision == proposal.Base.Revision && proposal.Base.Identity != (Digest{}) && head.Identity() != proposal.Base.Identity {
		return &StaleStoreError{Stored: head.Revision, Seen: proposal.Base.Revision, Diverged: true}
	}
	return nil
}

// resolveOutcome finds by reading the outcome of a write of the head that got no response. It never writes, because the
// first write may still be in flight.
func (publisher *Publisher) resolveOutcome(ctx context.Context, publication Publication, version uint64, cause error) (Publication, bool, error) {
	unknownOutcome := &UnknownOutcomeError{Revision: publication.Head.Revision, Reason: "the store does not respond"}
	delay := outcomeReadDelay
	for range maxOutcomeReads {
		head, stored, err := ReadHead(ctx, publisher.store)
		switch {
		case err != nil:
		case head.Attempt == publication.Head.Attempt:
			return publication, false, nil
		case stored == version:
			unknownOutcome.Reason = "it is not in force, but its write may still be in flight"
		default:
			history, err := readHistory(ctx, publisher.store, head)
			if err == nil && history.hasAttempt(publication.Head.Attempt) {
				publication.Superseded = true
				return publication, false, nil
			}
			if err == nil && covers(history, publication.Head.Revision) {
				// The head has another version, so the store refused the write or will refuse it.
				return Publication{}, true, nil
			}
		}
		if !publisher.wait(ctx, delay) {
			break
		}
		delay *= 2
	}
	return Publication{}, false, errors.Join(unknownOutcome, cause)
}

// covers reports whether a history is long enough to have the attempt of a revision if that was accepted.
func covers(history History, revision oleandervane.Revision) bool {
	return len(history.Entries) > 0 && history.Entries[0].Revision <= revision
}

// wait waits for the duration. It returns false if ctx ends first.
func (publisher *Publisher) wait(ctx context.Context, duration time.Duration) bool {
	due := make(chan struct{})
	defer publisher.timerService.After(duration, func(time.Time) { close(due) })()
	select {
	case <-due:
		return true
	case <-ctx.Done():
		return false
	}
}

// draft is a new head with the chunks that must be written before it.
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
	// A publish continues if the store lost the history or the list of files: without them every file conflicts, unless
	// the base is the head itself.
	files := encodeFiles(proposal.Files)
	proposed := fileMap(proposal.Files)
	inForce, err := publisher.filesInForce(ctx, before, files)
	if err != nil {
		return draft{}, err
	}
	if err := publisher.checkConflicts(ctx, proposal, before, history, inForce, proposed); err != nil {
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

// complete adds the history, and selects the chunks that the store may not have.
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
	// Chunks of the head in force that are being collected were written again by the publisher of that head.
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

// checkConflicts returns an error if a proposal would undo changes published since its base.
func (publisher *Publisher) checkConflicts(ctx context.Context, proposal Proposal, head Head, history History, inForce, proposed map[string]Digest) error {
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
	if conflicting := conflicts(base, inForce, proposed); len(conflicting) > 0 {
		return &ConflictError{Base: proposal.Base.Revision, InForce: head.Revision, Files: addLastChange(conflicting, history)}
	}
	return nil
}

// writeChunks records the chunks as pending, for collection if the publisher fails, and writes them.
func (publisher *Publisher) writeChunks(ctx context.Context, chunks []Chunk, before Head) error {
	if err := publisher.addPending(ctx, chunks, before); err != nil {
		return err
	}
	return forEach(ctx, publisher.parallel, chunks, func(ctx context.Context, chunk Chunk) error {
		return publisher.writeChunk(ctx, chunk, slices.Contains(before.Collecting, chunk.Digest))
	})
}

// writeChunk writes one chunk. A chunk that is already stored is not changed, unless it is being collected: then it is
// written again, so that its version is no longer the version at which the collector empties it.
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
