package lookup

import "slices"

// edit adds, replaces or removes an entry.
type edit struct {
	entry  entry
	remove bool
}

// sortEdits sorts edits in the order of entries. Of several edits for the same prefix, only the last remains.
func sortEdits(edits []edit) []edit {
	slices.SortStableFunc(edits, func(left, right edit) int { return left.entry.compare(right.entry) })
	kept := edits[:0]
	for index, edit := range edits {
		if index+1 < len(edits) && edit.entry.compare(edits[index+1].entry) == 0 {
			continue
		}
		kept = append(kept, edit)
	}
	return kept
}

// with returns a family with the edits applied, and the change in the number of entries. Its cost is proportional to
// the number of chunks plus the size of the chunks that an edit touches.
func (family family) with(is4 bool, edits []edit) (result family, change int) {
	if len(edits) == 0 {
		return family, 0
	}
	edits = sortEdits(edits)
	old := family.chunks
	if len(old) == 0 {
		old = []*chunk{{}}
	}
	chunks := make([]*chunk, 0, len(old))
	// covering has the edits that start before the boundary of the chunk and contain it, with the shortest prefix
	// first.
	var covering []edit
	for index, chunk := range old {
		covering = popCovering(covering, chunk.boundary)
		own := len(edits)
		if index+1 < len(old) {
			next := old[index+1].boundary
			own, _ = slices.BinarySearchFunc(edits, next, func(edit edit, next key) int { return edit.entry.start.compare(next) })
		}
		edited := editChunk(chunk, covering, edits[:own])
		if len(edited) == 0 && index == 0 {
			edited = append(edited, newChunk(chunk.boundary, nil, nil))
		}
		for _, chunk := range edited {
			change += len(chunk.high)
		}
		change -= len(chunk.high)
		chunks = append(chunks, edited...)
		for _, edit := range edits[:own] {
			covering = append(popCovering(covering, edit.entry.start), edit)
		}
		edits = edits[own:]
	}
	return newFamily(is4, chunks), change
}

// popCovering removes the edits at the end that do not contain the address. Prefixes are nested or disjoint, so all
// remaining edits contain it.
func popCovering(covering []edit, address key) []edit {
	for len(covering) > 0 && !covering[len(covering)-1].entry.contains(address) {
		covering = covering[:len(covering)-1]
	}
	return covering
}

// editChunk returns the chunks that replace a chunk, or the chunk itself if no edit affects it.
func editChunk(old *chunk, covering, own []edit) []*chunk {
	if len(covering) == 0 && len(own) == 0 {
		return []*chunk{old}
	}
	covers := old.covers
	if len(covering) > 0 {
		ascending := slices.Clone(covers)
		slices.Reverse(ascending)
		covers = mergeEdits(ascending, covering)
		slices.Reverse(covers)
	}
	if len(own) == 0 {
		copied := *old
		copied.covers = covers
		return []*chunk{&copied}
	}
	entries := make([]entry, len(old.high))
	for index := range entries {
		entries[index] = old.entry(index)
	}
	entries = mergeEdits(entries, own)
	if len(entries) <= chunkLimit && len(entries) > 0 {
		return []*chunk{newChunk(old.boundary, covers, entries)}
	}
	return newChunks(old.boundary, covers, entries)
}

// mergeEdits applies sorted edits to sorted entries.
func mergeEdits(entries []entry, edits []edit) []entry {
	result := make([]entry, 0, len(entries)+len(edits))
	for _, edit := range edits {
		for len(entries) > 0 && entries[0].compare(edit.entry) < 0 {
			result = append(result, entries[0])
			entries = entries[1:]
		}
		if len(entries) > 0 && entries[0].compare(edit.entry) == 0 {
			entries = entries[1:]
		}
		if !edit.remove {
			result = append(result, edit.entry)
		}
	}
	return append(result, entries...)
}
