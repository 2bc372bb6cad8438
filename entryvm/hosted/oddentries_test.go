package hosted

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against one odd entry of another writer in the list of backend servers that ends the VM, keeps it from following the list,
// or names a server to use.
func TestOddEntriesOfOtherWritersAreIgnored(t *testing.T) {
	text, err := os.ReadFile("testdata/odd-entries.toml")
	assert.NilError(t, err)
	var table struct {
		Entries []struct {
			Name  string `toml:"name"`
			Value string `toml:"value"`
			Open  string `toml:"open"`
			Times int    `toml:"times"`
			Close string `toml:"close"`
		} `toml:"entry"`
	}
	assert.NilError(t, toml.Unmarshal(text, &table))
	good, later := newBackend(t), newBackend(t)
	fixture := newFixture(t, good)
	for _, entry := range table.Entries {
		value := entry.Value + strings.Repeat(entry.Open, entry.Times) + strings.Repeat(entry.Close, entry.Times)
		fixture.write(t, "servers/odd-"+entry.Name, value)
	}
	fixture.write(t, "servers/later", fmt.Sprintf(`{"service":"ledger","address":%q,"zone":"kigali-a","concurrency_limit":3,"state":"ready"}`, later.Listener.Addr()))
	following := func(poll.LogT) poll.Result {
		if _, found := fixture.entryVM.replica.registry.Load().BackendServers["later"]; !found {
			return poll.Continue("the VM does not follow the list")
		}
		return poll.Success()
	}
	// The VM has watched the list; the other one reads it as a whole.
	for _, id := range []string{"vm-1", "vm-2"} {
		if id == "vm-2" {
			fixture.settings.ID = "vm-2"
			fixture.start(t)
		}
		poll.WaitOn(t, following)
		for server := range fixture.entryVM.replica.registry.Load().BackendServers {
			assert.Check(t, !strings.HasPrefix(string(server), "odd-"), "%s uses %s", id, server)
		}
		for number := range 20 {
			status, _, _ := fixture.send(t, http.MethodPost, "/pufi/1", fmt.Sprintf("%s-%d", id, number))
			assert.Check(t, status == http.StatusOK, "%s: status %d", id, status)
		}
	}
	assert.Check(t, !strings.Contains(fixture.log.text(), "panic"))
	for line := range strings.Lines(fixture.log.text()) {
		assert.Check(t, len(line) < 64<<10, "a log line has %d bytes", len(line))
	}
}
