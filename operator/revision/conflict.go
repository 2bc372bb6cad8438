package revision

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"oleandervane.example"
)

// ConflictKind says how a file of a proposal stands against the revision in force.
type ConflictKind string

// The ways in which a file clashes.
const (
	// BothChanged: the file was changed in the store and, differently, in the folder.
	BothChanged ConflictKind = "both_changed"
	// Stale: the folder still has the content of its base, which the store has replaced.
	Stale ConflictKind = "stale"
	// Missing: the store has a file that the folder lacks.
	Missing ConflictKind = "missing"
	// Removed: the store no longer has the file.
	Removed ConflictKind = "removed"
)

// FileConflict is one file whose publication would undo what others published. It is immutable.
type FileConflict struct {
	Name  string `json:"name"`
	Kind ConflictKind  `json:"clash"`
	// Revision, Author and PublishedAt are of the last revision that changed the file, if the history has it.
	Revision    oleandervane.Revision `json:"revision,omitempty"`
	Author      string                `json:"author,omitempty"`
	PublishedAt time.Time             `json:"published_at,omitzero"`
}

// String returns the conflict in words.
func (fileConflict FileConflict) String() string {
	what := map[ConflictKind]string{
		BothChanged: "changed there and, differently, here",
		Stale:       "changed there, unchanged here",
		Missing:     "there, but not here",
		Removed:     "removed there, still here",
	}[fileConflict.Kind]
	if fileConflict.Revision == 0 {
		return fileConflict.Name + ": " + what
	}
	return fmt.Sprintf("%s: %s; last by %s in revision %d", fileConflict.Name, what, fileConflict.Author, fileConflict.Revision)
}

// ConflictError says that a proposal would undo what others published. Nothing was published.
type ConflictError struct {
	Base    oleandervane.Revision
	InForce oleandervane.Revision
	Files   []FileConflict
}

// Error returns the conflict with all files.
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

// StaleStoreError says that the store has older content than was seen before. Nothing was published.
type StaleStoreError struct {
	Stored oleandervane.Revision
	Seen   oleandervane.Revision
	// Diverged says that the store has the revision that was seen, but with other content.
	Diverged bool
}

// Error says what was seen and what is stored.
func (olderError *StaleStoreError) Error() string {
	if olderError.Diverged {
		return fmt.Sprintf("the store has a revision %d that is not the one seen before: it came back with older content and went on from there",
			olderError.Stored)
	}
	return fmt.Sprintf("the store is at revision %d, but revision %d was in force: it came back with older content; entry VMs bring it forward",
		olderError.Stored, olderError.Seen)
}

// UnknownOutcomeError says that it is not known whether a proposal was accepted.
type UnknownOutcomeError struct {
	Revision oleandervane.Revision
	Reason   string
}

// Error says what to do.
func (undecidedError *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is not known whether revision %d was accepted (%s): look at the history before publishing again",
		undecidedError.Revision, undecidedError.Reason)
}

// conflicts compares three lists of files: of the base, of the head in force, and of the proposal. A file conflicts
// when the head changed it since the base and the proposal does not have the head's content.
func conflicts(base, head, proposed map[string]Digest) []FileConflict {
	names := map[string]bool{}
	for _, files := range []map[string]Digest{base, head} {
		for name := range files {
			names[name] = true
		}
	}
	var found []FileConflict
	for _, name := range slices.Sorted(maps.Keys(names)) {
		inBase, wasThere := base[name]
		inHead, isThere := head[name]
		mine, isHere := proposed[name]
		unchanged := wasThere == isThere && inBase == inHead
		same := isThere == isHere && inHead == mine
		if unchanged || same {
			continue
		}
		clash := BothChanged
		switch {
		case !isThere && mine == inBase:
			clash = Removed
		case !isHere && !wasThere:
			clash = Missing
		case isHere && wasThere && mine == inBase:
			clash = Stale
		}
		found = append(found, FileConflict{Name: name, Kind: clash})
	}
	return found
}

// attribute adds to each conflict the last revision that changed the file.
func attribute(found []FileConflict, history History) []FileConflict {
	for index := range found {
		for _, entry := range history.Entries {
			if slices.Contains(entry.Changed, found[index].Name) {
				found[index].Revision, found[index].Author, found[index].PublishedAt = entry.Revision, entry.Author, entry.PublishedAt
			}
		}
	}
	return found
}

// changedFiles returns the names of files that differ, sorted.
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
