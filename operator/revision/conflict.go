package revision

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"oleandervane.example"
)

// ConflictKind is the way in which a file of a proposal conflicts with the revision in force.
type ConflictKind string

// The kinds of conflicts.
const (
	// BothChanged: the file was changed in the store and, differently, in the folder.
	BothChanged ConflictKind = "both_changed"
	// Stale: the folder has the content of its base, which another revision has replaced in the store.
	Stale ConflictKind = "stale"
	// Missing: the store has a file that the folder lacks.
	Missing ConflictKind = "missing"
	// Removed: the store no longer has the file.
	Removed ConflictKind = "removed"
)

// FileConflict is a file whose publication would undo a change that others published. It is immutable.
type FileConflict struct {
	Name string       `json:"name"`
	Kind ConflictKind `json:"clash"`
	// Revision, Author and PublishedAt are of the last revision that changed the file, if the history has it.
	Revision    oleandervane.Revision `json:"revision,omitempty"`
	Author      string                `json:"author,omitempty"`
	PublishedAt time.Time             `json:"published_at,omitzero"`
}

// String returns the conflict as text for an operator.
func (fileConflict FileConflict) String() string {
	description := map[ConflictKind]string{
		BothChanged: "changed there and, differently, here",
		Stale:       "changed there, unchanged here",
		Missing:     "there, but not here",
		Removed:     "removed there, still here",
	}[fileConflict.Kind]
	if fileConflict.Revision == 0 {
		return fileConflict.Name + ": " + description
	}
	return fmt.Sprintf("%s: %s; last by %s in revision %d", fileConflict.Name, description, fileConflict.Author, fileConflict.Revision)
}

// ConflictError is returned if a proposal would undo changes that others published. Nothing was published.
type ConflictError struct {
	Base    oleandervane.Revision
	InForce oleandervane.Revision
	Files   []FileConflict
}

// Error returns the revisions and all conflicting files.
func (conflictError *ConflictError) Error() string {
	var text strings.Builder
	base := fmt.Sprintf("revision %d", conflictError.Base)
	if conflictError.Base == 0 {
		base = "no known revision"
	}
	fmt.Fprintf(&text, "the folder was taken from %s, but revision %d is in force and %d files conflict:",
		base, conflictError.InForce, len(conflictError.Files))
	for _, file := range conflictError.Files {
		text.WriteString("\n  " + file.String())
	}
	return text.String()
}

// StaleStoreError is returned if the store has older content than was seen before. Nothing was published.
type StaleStoreError struct {
	Stored oleandervane.Revision
	Seen   oleandervane.Revision
	// Diverged is set if the store has the revision that was seen, but with other content.
	Diverged bool
}

// Error returns the revision in the store and the revision that was seen.
func (staleStoreError *StaleStoreError) Error() string {
	if staleStoreError.Diverged {
		return fmt.Sprintf("the store has a revision %d that differs from the one seen before: it was restored with older content and has accepted other revisions since",
			staleStoreError.Stored)
	}
	return fmt.Sprintf("the store is at revision %d, but revision %d was in force: it was restored with older content; entry VMs will write the newer revision back",
		staleStoreError.Stored, staleStoreError.Seen)
}

// UnknownOutcomeError is returned if it is not known whether a proposal was accepted.
type UnknownOutcomeError struct {
	Revision oleandervane.Revision
	Reason   string
}

// Error returns the revision, the reason, and what the operator should do.
func (unknownOutcomeError *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is not known whether revision %d was accepted (%s): check the history before publishing again",
		unknownOutcomeError.Revision, unknownOutcomeError.Reason)
}

// conflicts compares three lists of files: of the base, of the head in force, and of the proposal. A file conflicts
// if it changed between base and head and the proposal does not have the head's content.
func conflicts(base, head, proposed map[string]Digest) []FileConflict {
	names := map[string]bool{}
	for _, files := range []map[string]Digest{base, head} {
		for name := range files {
			names[name] = true
		}
	}
	var found []FileConflict
	for _, name := range slices.Sorted(maps.Keys(names)) {
		baseDigest, inBase := base[name]
		headDigest, inHead := head[name]
		proposedDigest, inProposal := proposed[name]
		unchanged := inBase == inHead && baseDigest == headDigest
		same := inHead == inProposal && headDigest == proposedDigest
		if unchanged || same {
			continue
		}
		conflictKind := BothChanged
		switch {
		case !inHead && proposedDigest == baseDigest:
			conflictKind = Removed
		case !inProposal && !inBase:
			conflictKind = Missing
		case inProposal && inBase && proposedDigest == baseDigest:
			conflictKind = Stale
		}
		found = append(found, FileConflict{Name: name, Kind: conflictKind})
	}
	return found
}

// addLastChange adds to each conflict the last revision in the history that changed the file.
func addLastChange(found []FileConflict, history History) []FileConflict {
	for index := range found {
		for _, entry := range history.Entries {
			if slices.Contains(entry.Changed, found[index].Name) {
				found[index].Revision, found[index].Author, found[index].PublishedAt = entry.Revision, entry.Author, entry.PublishedAt
			}
		}
	}
	return found
}

// changedFiles returns the names of files that were added, changed or removed, sorted.
func changedFiles(before, after map[string]Digest) []string {
	var changed []string
	for name, digest := range after {
		if old, found := before[name]; !found || old != digest {
			changed = append(changed, name)
		}
	}
	for name := range before {
		if _, found := after[name]; !found {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}
