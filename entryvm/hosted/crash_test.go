package hosted

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"oleandervane.example"
	"oleandervane.example/entryvm/settingsfile"
	"oleandervane.example/standin/serverstandin"
)

type crashCase struct {
	Name              string                `toml:"name"`
	Method            string                `toml:"method"`
	Path              string                `toml:"path"`
	Crash             serverstandin.Crash   `toml:"crash"`
	Restart           string                `toml:"restart"`
	CallerLeavesAfter settingsfile.Duration `toml:"caller_leaves_after"`
	TimeoutMillis     int                   `toml:"timeout_ms"`
	FailEverySecond   bool                  `toml:"fail_every_second"`
	// Callers is the number of addresses from which the request is sent in turn; zero selects the default one.
	Callers int `toml:"callers"`
	// Objects is the number of objects that the request names in turn; zero selects one.
	Objects int `toml:"objects"`
}

// A request crashes each server that runs it, and its caller sends it again. Guards against a VM that goes on sending it after
// three servers have ended, because it did not notice a crash, counted two as one, or forgot one.
func TestCrashingRequestIsRefused(t *testing.T) {
	testCrashCases(t, "testdata/crashing-requests.toml")
}

// Guards against a request that may crash some servers for each of its callers, because their addresses or objects differ.
func TestCrashingRequestOfSeveralCallersIsRefused(t *testing.T) {
	testCrashCases(t, "testdata/crashing-requests-of-several-callers.toml")
}

func testCrashCases(t *testing.T, path string) {
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	var table struct {
		Cases []crashCase `toml:"case"`
	}
	assert.NilError(t, toml.Unmarshal(text, &table))
	for _, crashCase := range table.Cases {
		t.Run(crashCase.Name, func(t *testing.T) {
			fixture := newFixture(t, newBackend(t))
			servers := serverstandin.New(fixture.store, serverstandin.Settings{
				Crash: crashCase.Crash, KeepID: crashCase.Restart == "same_id", FailEverySecond: crashCase.FailEverySecond,
			})
			t.Cleanup(servers.Close)
			_, err := fixture.store.Commit(t.Context(), oleandervane.StoreTransaction{Removals: []string{"servers/i-0"}})
			assert.NilError(t, err)
			for i, serviceName := range []oleandervane.ServiceName{"ledger", "reports", "ledger", "reports"} {
				assert.NilError(t, servers.Start(fmt.Sprintf("i-%d", i+1), serviceName))
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				for range 2 {
					if status, _, _ := fixture.send(t, http.MethodPost, "/parted/harmless", "ready"); status != http.StatusOK {
						return poll.Continue("status %d", status)
					}
				}
				return poll.Success()
			})
			for number := range 10 {
				crashCase.send(t, fixture, number)
				// The VM learns of the restart from the store.
				time.Sleep(400 * time.Millisecond)
			}
			ended := servers.Ended()
			assert.Assert(t, ended >= 1 && ended <= 3, "%d servers ended", ended)
		})
	}
}

// send sends the request of the case as its caller does.
func (crashCase crashCase) send(t *testing.T, fixture *fixture, number int) {
	ctx := context.Background()
	if crashCase.CallerLeavesAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(crashCase.CallerLeavesAfter))
		defer cancel()
	}
	object := fmt.Sprint(17 + number%max(1, crashCase.Objects))
	request := newRequest(ctx, t, crashCase.Method, fixture.settings.CallerAddress.String(), crashCase.Path, fmt.Sprint("deadly-", number), object)
	request.Close = true
	if crashCase.TimeoutMillis > 0 {
		request.Header.Set("X-Timeout-Ms", fmt.Sprint(crashCase.TimeoutMillis))
	}
	if response, err := crashCase.client(number).Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// client returns the client from whose address the request is sent this time.
func (crashCase crashCase) client(number int) *http.Client {
	if crashCase.Callers == 0 {
		return http.DefaultClient
	}
	address := net.IPv4(127, 0, 0, byte(2+number%crashCase.Callers))
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: address}}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
}
