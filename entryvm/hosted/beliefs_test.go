package hosted

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/fleet/registrywatch"
	"oleandervane.example/fleet/roster"
	"oleandervane.example/platform/catalog"
	"oleandervane.example/standin/storestandin"
	"oleandervane.example/timer"
)

const serverEntry = `{"service":"ledger","address":"10.0.0.1:80","zone":"kigali-a","concurrency_limit":3,"state":"ready"}`

func newTestBeliefs(manual *timer.Manual) *beliefs {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	self := oleandervane.EntryVM{ID: "vm-1", CallerAddress: netip.MustParseAddrPort("127.0.0.1:1")}
	roster := roster.New(self, storestandin.New(manual), manual, &observer{}, func() bool { return false })
	reader := catalog.New(map[oleandervane.FailureDomain]oleandervane.Region{"kigali-a": "kigali"})
	return newBeliefs(reader, roster, manual, logrus.NewEntry(logger), func(oleandervane.Registry) {})
}

func written(key string) oleandervane.StoreChange {
	return oleandervane.StoreChange{Entry: oleandervane.StoreEntry{Key: key, Value: []byte(serverEntry)}}
}

func removed(key string) oleandervane.StoreChange {
	return oleandervane.StoreChange{Entry: oleandervane.StoreEntry{Key: key}, Removed: true}
}

func (beliefs *beliefs) knows(id oleandervane.BackendServerID) bool {
	_, found := beliefs.registry.Load().BackendServers[id]
	return found
}

// Replays an outage in which all entries lapse: guards against a VM that has no backend servers at the store's return,
// and against one that keeps those that do not come back.
func TestLapsedEntriesAreKeptUntilTheirOwnersReturn(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	beliefs := newTestBeliefs(manual)
	beliefs.Apply(oleandervane.StoreChanges{Changes: []oleandervane.StoreChange{written("servers/back"), written("servers/gone")}})
	beliefs.StoreUnavailable(oleandervane.ErrStoreUnavailable)
	beliefs.StoreRecovered(5 * time.Second)
	beliefs.Replace(nil, 9)
	assert.Assert(t, beliefs.knows("back") && beliefs.knows("gone"))
	manual.Advance(time.Second)
	beliefs.Apply(oleandervane.StoreChanges{Changes: []oleandervane.StoreChange{written("servers/back")}})
	manual.Advance(registrywatch.RemovalDelay)
	assert.Assert(t, beliefs.knows("back"))
	assert.Assert(t, !beliefs.knows("gone"))
}

// Guards against a server that gets work after it has left while the store was well.
func TestRemovalCountsAtOnceWhileTheStoreIsThere(t *testing.T) {
	beliefs := newTestBeliefs(timer.NewManual(time.Unix(1000, 0)))
	beliefs.Apply(oleandervane.StoreChanges{Changes: []oleandervane.StoreChange{written("servers/a"), written("servers/b")}})
	beliefs.Apply(oleandervane.StoreChanges{Changes: []oleandervane.StoreChange{removed("servers/a")}})
	assert.Assert(t, !beliefs.knows("a") && beliefs.knows("b"))
	beliefs.Replace(nil, 9)
	assert.Assert(t, !beliefs.knows("b"))
}
