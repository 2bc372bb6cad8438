package gossip

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a candidate whose last source is gone and that still blocks the older head of the same number that all
// other VMs have.
func TestStalledCandidateIsReplaced(t *testing.T) {
	now := time.Unix(0, 0)
	source := netip.MustParseAddrPort("10.0.0.1:7000")
	revisions := newRevisions(nil, now)
	larger, smaller := mark{revision: 2, hash: 9}, mark{revision: 2, hash: 4}
	assert.Assert(t, revisions.offer(larger, source, now))
	assert.Assert(t, revisions.offer(smaller, source, now))
	assert.Equal(t, revisions.pending.mark, larger, "a candidate with a source must not be replaced")
	revisions.pending.sources = nil
	assert.Assert(t, revisions.offer(smaller, source, now))
	assert.Equal(t, revisions.pending.mark, smaller)
}

// Guards against a change that is delayed although it fits the burst, and against a large transfer without a rate
// limit.
func TestTransferRateLimit(t *testing.T) {
	now := time.Unix(0, 0)
	revisions := newRevisions(nil, now)
	revisions.current = &acceptedRevision{}
	assert.Equal(t, revisions.reserve(64<<10, now), time.Duration(0))
	assert.Assert(t, revisions.reserve(2<<20, now) > time.Minute)
	assert.Equal(t, revisions.reserve(64<<10, now.Add(time.Hour)), time.Duration(0))
}
