package lookup

import (
	"testing"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/figure"
)

// Measures the time of a decision with a table of full size, and guards against allocations in it.
func BenchmarkFigureDecide(b *testing.B) {
	const blockCount = 1_500_000
	blocks := randomBlocks(1, blockCount)
	lookup, err := newLookup(blocks, fleet(450, 11), 11)
	assert.NilError(b, err)
	entryVMs := make([]oleandervane.EntryVM, 4)
	allocations := testing.AllocsPerRun(1000, func() { lookup.Decide(blocks[7].Prefix.Addr(), entryVMs) })
	position := 0
	for b.Loop() {
		position = (position + 7919) % blockCount
		lookup.Decide(blocks[position].Prefix.Addr(), entryVMs)
	}
	figure.Require(b, figure.Figure{Name: "lookup_decision_allocations", Value: allocations, Unit: "allocs/op", Bound: 0})
	perDecision := float64(b.Elapsed().Nanoseconds()) / float64(b.N) / 1000
	figure.Report(b, figure.Figure{Name: "lookup_decision_time", Value: perDecision, Unit: "us", Bound: 2})
}
