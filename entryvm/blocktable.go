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

// maxEditsPerStep bounds the decoded blocks that are in memory while a table is built: 1.5 million of them take 72 MB.
const maxEditsPerStep = 1 << 13

// blockTable is the look-up table of a revision with the chunks from which it was built. It is immutable.
type blockTable struct {
	table  *lookup.Table
	chunks []*revision.BlockChunk
}

// withChunks returns the table of the given chunks. It edits only the blocks that differ, unless most chunks differ:
// then a full build costs less. It fails with lookup.ErrTooManySites.
func (blockTable blockTable) withChunks(chunks []*revision.BlockChunk) (blockTable, error) {
	removed, added := missingFrom(blockTable.chunks, chunks), missingFrom(chunks, blockTable.chunks)
	unchanged := len(chunks) - len(added)
	if blockTable.table == nil || 2*unchanged < max(len(chunks), len(blockTable.chunks)) {
		return newBlockTable(chunks)
	}
	table, err := editTable(blockTable.table, removed, added)
	if errors.Is(err, lookup.ErrTooManySites) {
		// An edited table keeps sites that no block uses any more; a newly built one has room for other sites.
		return newBlockTable(chunks)
	}
	blockTable.table, blockTable.chunks = table, chunks
	return blockTable, err
}

func newBlockTable(chunks []*revision.BlockChunk) (blockTable, error) {
	table, err := editTable(&lookup.Table{}, nil, chunks)
	return blockTable{table: table, chunks: chunks}, err
}

// missingFrom returns the chunks that others lack, in the order of chunks.
func missingFrom(chunks, others []*revision.BlockChunk) []*revision.BlockChunk {
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

// blocksOf returns the blocks of the chunks, in the order of the chunks.
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

// editTable returns a table in which the blocks of the added chunks replace those of the removed chunks.
func editTable(table *lookup.Table, removed, added []*revision.BlockChunk) (*lookup.Table, error) {
	tableEditor := tableEditor{table: table}
	nextRemoved, stop := iter.Pull(blocksOf(removed))
	defer stop()
	old, found := nextRemoved()
	for block := range blocksOf(added) {
		for found && check.ComparePrefixes(old.Prefix, block.Prefix) < 0 {
			tableEditor.remove(old.Prefix)
			old, found = nextRemoved()
		}
		unchanged := false
		if found && old.Prefix == block.Prefix {
			unchanged = old.Site == block.Site
			old, found = nextRemoved()
		}
		if !unchanged {
			tableEditor.change(block)
		}
		if tableEditor.err != nil {
			return nil, tableEditor.err
		}
	}
	for found {
		tableEditor.remove(old.Prefix)
		old, found = nextRemoved()
	}
	tableEditor.apply()
	return tableEditor.table, tableEditor.err
}

// tableEditor edits a table in steps of bounded memory. No prefix may be edited twice.
type tableEditor struct {
	table   *lookup.Table
	changed []oleandervane.ClientBlock
	removed []netip.Prefix
	err     error
}

func (tableEditor *tableEditor) change(block oleandervane.ClientBlock) {
	tableEditor.changed = append(tableEditor.changed, block)
	tableEditor.applyWhenFull()
}

func (tableEditor *tableEditor) remove(prefix netip.Prefix) {
	tableEditor.removed = append(tableEditor.removed, prefix)
	tableEditor.applyWhenFull()
}

func (tableEditor *tableEditor) applyWhenFull() {
	if len(tableEditor.changed)+len(tableEditor.removed) >= maxEditsPerStep {
		tableEditor.apply()
	}
}

func (tableEditor *tableEditor) apply() {
	if tableEditor.err != nil || len(tableEditor.changed)+len(tableEditor.removed) == 0 {
		return
	}
	table, err := tableEditor.table.With(tableEditor.changed, tableEditor.removed)
	if err != nil {
		tableEditor.err = err
		return
	}
	tableEditor.table = table
	tableEditor.changed, tableEditor.removed = tableEditor.changed[:0], tableEditor.removed[:0]
}
