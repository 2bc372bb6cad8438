package hosted

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"oleandervane.example"
)

type crashCase struct {
	Name              string `toml:"name"`
	Method            string `toml:"method"`
	Path              string `toml:"path"`
	Crash             string `toml:"crash"`
	Restart           string `toml:"restart"`
	CallerLeavesAfter string `toml:"caller_leaves_after"`
	TimeoutMillis     int    `toml:"timeout_ms"`
	FailEverySecond   bool   `toml:"fail_every_second"`
}

// crashingServers are servers that end when they run the request of a case, and start again.
type crashingServers struct {
	t         *testing.T
	fixture   *fixture
	crashCase crashCase

	mutex sync.Mutex
	// sent is the number of times that the request reached a server, crashes how often one ended, starts the number of starts
	// of servers.
	sent, crashes, starts int
}

// start starts a server and registers it.
func (servers *crashingServers) start(id, serviceName string) {
	servers.mutex.Lock()
	servers.starts++
	born := servers.starts
	servers.mutex.Unlock()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(servers.t, err)
	server := httptest.NewUnstartedServer(nil)
	server.Listener = listener
	crash := sync.OnceFunc(func() { servers.crash(server, id, serviceName) })
	server.Config.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
		writer.Header().Set("X-Response-Signature", "m")
		if !strings.Contains(request.URL.Path, "deadly") {
			return
		}
		if servers.failsInstead() {
			writer.WriteHeader(http.StatusInternalServerError)
			return
		}
		if servers.crashCase.Crash == "late" {
			time.Sleep(150 * time.Millisecond)
		}
		crash()
		if servers.crashCase.Crash == "silent" {
			<-servers.t.Context().Done()
		}
		panic(http.ErrAbortHandler)
	})
	server.Start()
	servers.fixture.write(servers.t, "servers/"+id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"kigali-a","concurrency_limit":3,"state":"ready","born":%d}`, serviceName, listener.Addr(), born))
}

// failsInstead counts a send and reports whether the server responds with an error instead of ending.
func (servers *crashingServers) failsInstead() bool {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	servers.sent++
	if servers.crashCase.FailEverySecond && servers.sent%2 == 0 {
		return true
	}
	servers.crashes++
	return false
}

// crash ends a server and starts it again.
func (servers *crashingServers) crash(server *httptest.Server, id, serviceName string) {
	_ = server.Listener.Close()
	if servers.crashCase.Restart == "same_id" {
		servers.start(id, serviceName)
		return
	}
	_, err := servers.fixture.store.Commit(context.Background(), oleandervane.StoreTransaction{Removals: []string{"servers/" + id}})
	assert.NilError(servers.t, err)
	servers.start(id+"x", serviceName)
}

func (servers *crashingServers) count() (crashes int) {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	return servers.crashes
}

// A request crashes each server that runs it, and its caller sends it again. Guards against a VM that goes on sending it after
// three servers have ended, because it did not notice a crash, counted two as one, or forgot one.
func TestCrashingRequestIsRefused(t *testing.T) {
	text, err := os.ReadFile("testdata/crashing-requests.toml")
	assert.NilError(t, err)
	var table struct {
		Cases []crashCase `toml:"case"`
	}
	assert.NilError(t, toml.Unmarshal(text, &table))
	for _, crashCase := range table.Cases {
		t.Run(crashCase.Name, func(t *testing.T) {
			servers := &crashingServers{t: t, crashCase: crashCase, fixture: newFixture(t, newBackend(t))}
			_, err := servers.fixture.store.Commit(context.Background(), oleandervane.StoreTransaction{Removals: []string{"servers/i-0"}})
			assert.NilError(t, err)
			for i, serviceName := range []string{"ledger", "reports", "ledger", "reports"} {
				servers.start(fmt.Sprintf("i-%d", i+1), serviceName)
			}
			poll.WaitOn(t, servers.allServicesAnswer)
			for range 10 {
				servers.send()
				// The VM learns of the restart from the store.
				time.Sleep(400 * time.Millisecond)
			}
			crashes := servers.count()
			assert.Assert(t, crashes >= 1 && crashes <= 3, "%d servers ended", crashes)
		})
	}
}

func (servers *crashingServers) allServicesAnswer(poll.LogT) poll.Result {
	for range 2 {
		if status, _, _ := servers.fixture.send(servers.t, http.MethodPost, "/parted/harmless", "ready"); status != http.StatusOK {
			return poll.Continue("status %d", status)
		}
	}
	return poll.Success()
}

// send sends the request of the case as its caller does.
func (servers *crashingServers) send() {
	ctx := context.Background()
	if after, err := time.ParseDuration(servers.crashCase.CallerLeavesAfter); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, after)
		defer cancel()
	}
	request, err := http.NewRequestWithContext(ctx, servers.crashCase.Method, "http://"+servers.fixture.settings.CallerAddress.String()+servers.crashCase.Path, http.NoBody)
	assert.NilError(servers.t, err)
	request.Host, request.Close = "a.example", true
	request.Header.Set("X-Request-Id", fmt.Sprint(time.Now().UnixNano()))
	if servers.crashCase.TimeoutMillis > 0 {
		request.Header.Set("X-Timeout-Ms", fmt.Sprint(servers.crashCase.TimeoutMillis))
	}
	request.AddCookie(&http.Cookie{Name: "X-Affinity-Key", Value: "17"})
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
}
