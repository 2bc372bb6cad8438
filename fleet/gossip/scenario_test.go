package gossip_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a fleet that does not find itself from a few seeds, or misses a death or a revision.
func TestFleetJoinsAndSeesDeathAndRevision(t *testing.T) {
	fabric := newFabric(1)
	fabric.startAll(20, 3)
	t.Log("joined after", fabric.until(t, 30*time.Second, "join", fabric.agreement))
	fabric.store.publish(1, []byte("one"))
	t.Log("in force after", fabric.until(t, 4*time.Second, "revision", func() error { return fabric.inForce(1) }))
	fabric.vms[7].kill()
	t.Log("dead after", fabric.until(t, 7*time.Second, "death", fabric.agreement))
	fabric.clock.Advance(5 * time.Minute)
	assert.NilError(t, fabric.agreement())
	t.Log(fabric.bytes, fabric.calls, fabric.store.calls)
}
