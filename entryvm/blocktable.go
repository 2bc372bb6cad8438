package entryvm

import (
	"errors"
	"iter"
	"net/netip"

	"oleandervane.example"
	"oleandervane.example/entry/lookup"
	"oleandervane.example/operator/check"
	"oleandervane.example/operator/revision"
)

// editsPerStep bounds the decoded blocks that are in memory while a table is made: 1.5 million of them take 72 MB.
const editsPerStep = 1 << 13

// blockTable is the look-up table of a revision with the chunks that it was made of. It is immutable.
type blockTable struct {
	table  *lookup.Table
	chunks []*revision.BlockChunk
}

// with returns the table of other chunks. It changes only the blocks that differ, unless most chunks do: then a full
// build costs less. It fails with lookup.ErrTooManySites.
func (blockTable blockTable) with(chunks []*revision.BlockChunk) (blockTable, error) {
	gone, fresh := without(blockTable.chunks, chunks), without(chunks, blockTable.chunks)
	unchanged := len(chunks) - len(fresh)
	if blockTable.table == nil || 2*unchanged < max(len(chunks), len(blockTable.chunks)) {
		return newBlockTable(chunks)
	}
	table, err := edited(blockTable.table, gone, fresh)
	if errors.Is(err, lookup.ErrTooManySites) {
		// An edited table keeps the sites that no block has any more; a new one has room.
		return newBlockTable(chunks)
	}
	blockTable.table, blockTable.chunks = table, chunks
	return blockTable, err
}

func newBlockTable(chunks []*revision.BlockChunk) (blockTable, error) {
	table, err := edited(&lookup.Table{}, nil, chunks)
	return blockTable{table: table, chunks: chunks}, err
}

// without returns the chunks that others lack, in their order.
func without(chunks, others []*revision.BlockChunk) []*revision.BlockChunk {
	digests := make(map[revision.Digest]bool, len(others))
	for _, other := range others {
		digests[other.Digest()] = true
	}
	var rest []*revision.BlockChunk
	for _, chunk := range chunks {
		if !digests[chunk.Digest()] {
			rest = append(rest, chunk)
		}
	}
	return rest
}

// blocksOf returns the blocks of chunks, ordered as the chunks are.
func blocksOf(chunks []*revision.BlockChunk) iter.Seq[oleandervane.ClientBlock] {
	return func(yield func(oleandervane.ClientBlock) bool) {
		for _, chunk := range chunks {
			for block := range chunk.All() {
				if !yield(block) {
					return
				}
			}
		}
	}
}

// edited returns a table with the blocks of the fresh chunks in place of those of the chunks that are gone.
func edited(table *lookup.Table, gone, fresh []*revision.BlockChunk) (*lookup.Table, error) {
	editor := editor{table: table}
	nextGone, stop := iter.Pull(blocksOf(gone))
	defer stop()
	old, found := nextGone()
	for block := range blocksOf(fresh) {
		for found && check.ComparePrefixes(old.Prefix, block.Prefix) < 0 {
			editor.remove(old.Prefix)
			old, found = nextGone()
		}
		same := false
		if found && old.Prefix == block.Prefix {
			same = old.Site == block.Site
			old, found = nextGone()
		}
		if !same {
			editor.change(block)
		}
		if editor.err != nil {
			return nil, editor.err
		}
	}
	for found {
		editor.remove(old.Prefix)
		old, found = nextGone()
	}
	editor.apply()
	return editor.table, editor.err
}

// editor edits a table in steps of bounded memory. No prefix may be edited twice.
type editor struct {
	table   *lookup.Table
	changed []oleandervane.ClientBlock
	removed []netip.Prefix
	err     error
}

func (editor *editor) change(block oleandervane.ClientBlock) {
	editor.changed = append(editor.changed, block)
	editor.applyWhenFull()
}

func (editor *editor) remove(prefix netip.Prefix) {
	editor.removed = append(editor.removed, prefix)
	editor.applyWhenFull()
}

func (editor *editor) applyWhenFull() {
	if len(editor.changed)+len(editor.removed) >= editsPerStep {
		editor.apply()
	}
}

func (editor *editor) apply() {
	if editor.err != nil || len(editor.changed)+len(editor.removed) == 0 {
		return
	}
	table, err := editor.table.With(editor.changed, editor.removed)
	if err != nil {
		editor.err = err
		return
	}
	editor.table = table
	editor.changed, editor.removed = editor.changed[:0], editor.removed[:0]
}
