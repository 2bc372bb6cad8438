package gossip

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a candidate whose last source is gone, and that thereby keeps out the older head of the same number
// that all other VMs hold.
func TestStalledCandidateGivesWay(t *testing.T) {
	now := time.Unix(0, 0)
	source := netip.MustParseAddrPort("10.0.0.1:7000")
	revisions := newRevisions(nil, now)
	larger, smaller := mark{revision: 2, hash: 9}, mark{revision: 2, hash: 4}
	assert.Assert(t, revisions.offer(larger, source, now))
	assert.Assert(t, revisions.offer(smaller, source, now))
	assert.Equal(t, revisions.pending.mark, larger, "a candidate that can be had is kept")
	revisions.pending.sources = nil
	assert.Assert(t, revisions.offer(smaller, source, now))
	assert.Equal(t, revisions.pending.mark, smaller)
}

// Guards against a change that is held back although it fits the burst, and a large transfer that is not paced.
func TestPace(t *testing.T) {
	now := time.Unix(0, 0)
	revisions := newRevisions(nil, now)
	revisions.current = &accepted{}
	assert.Equal(t, revisions.pay(64<<10, now), time.Duration(0))
	assert.Assert(t, revisions.pay(2<<20, now) > time.Minute)
	assert.Equal(t, revisions.pay(64<<10, now.Add(time.Hour)), time.Duration(0))
}
