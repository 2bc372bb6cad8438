package hosted

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"oleandervane.example"
	"oleandervane.example/entryvm/settingsfile"
	"oleandervane.example/standin/loopback"
	"oleandervane.example/standin/storestandin"
	"oleandervane.example/timer"
)

// backend is a backend server whose responses the test can set.
type backend struct {
	*httptest.Server
	runs  atomic.Int64
	serve atomic.Pointer[http.HandlerFunc]
}

func newBackend(t *testing.T) *backend {
	t.Helper()
	backend := &backend{}
	backend.Server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
		if serve := backend.serve.Load(); serve != nil {
			(*serve)(writer, request)
			return
		}
		backend.runs.Add(1)
		writer.Header().Set("X-Response-Signature", "m")
		_, _ = io.WriteString(writer, request.Method+" "+request.Host+request.URL.Path)
	}))
	t.Cleanup(backend.Close)
	return backend
}

func (backend *backend) respondWith(serve http.HandlerFunc) {
	backend.serve.Store(&serve)
}

// lockedBuffer is a log that a test can read while it is written.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (lockedBuffer *lockedBuffer) Write(line []byte) (int, error) {
	lockedBuffer.mutex.Lock()
	defer lockedBuffer.mutex.Unlock()
	return lockedBuffer.buffer.Write(line)
}

func (lockedBuffer *lockedBuffer) text() string {
	lockedBuffer.mutex.Lock()
	defer lockedBuffer.mutex.Unlock()
	return lockedBuffer.buffer.String()
}

func (lockedBuffer *lockedBuffer) lines(requestID string) []map[string]any {
	lockedBuffer.mutex.Lock()
	defer lockedBuffer.mutex.Unlock()
	var lines []map[string]any
	for line := range strings.Lines(lockedBuffer.buffer.String()) {
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) == nil && fields["request_id"] == requestID {
			lines = append(lines, fields)
		}
	}
	return lines
}

// fixture is a VM with a store and backend servers.
type fixture struct {
	store        *storestandin.Store
	settings     Settings
	log          *lockedBuffer
	entryVM      *EntryVM
	timerService oleandervane.TimerService
}

func newFixture(t *testing.T, backends ...*backend) *fixture {
	t.Helper()
	return newFixtureAt(t, timer.System{}, backends...)
}

// newFixtureAt returns a fixture whose VMs use the timer service.
func newFixtureAt(t *testing.T, timerService oleandervane.TimerService, backends ...*backend) *fixture {
	t.Helper()
	fixture := &fixture{store: storestandin.New(timer.System{}), log: &lockedBuffer{}, timerService: timerService}
	storeServer := httptest.NewServer(fixture.store.Handler())
	t.Cleanup(storeServer.CloseClientConnections)
	configuration, err := os.ReadFile("testdata/configuration.json")
	assert.NilError(t, err)
	fixture.write(t, "op/config", string(configuration))
	for i, backend := range backends {
		fixture.write(t, fmt.Sprintf("servers/i-%d", i), fmt.Sprintf(
			`{"service":"ledger","address":%q,"zone":"kigali-a","concurrency_limit":3,"state":"ready"}`, backend.Listener.Addr()))
	}
	fixture.settings = DefaultSettings()
	fixture.settings.ID, fixture.settings.Region, fixture.settings.FailureDomain = "vm-1", "kigali", "kigali-a"
	fixture.settings.FailureDomains = map[oleandervane.FailureDomain]oleandervane.Region{"kigali-a": "kigali"}
	fixture.settings.StoreURL = storeServer.URL
	fixture.settings.Retries.Base = 100
	fixture.settings.ApplyLimit = settingsfile.Duration(100 * time.Millisecond)
	fixture.start(t)
	return fixture
}

// start starts a new VM on its own addresses, without state from an earlier one, and waits until it is ready. The test fails
// with the error of the VM if it ends before.
func (fixture *fixture) start(t *testing.T) {
	t.Helper()
	settings := &fixture.settings
	for _, address := range []*netip.AddrPort{
		&settings.CallerAddress, &settings.DirectoryAddress, &settings.ReadinessAddress, &settings.OperationsAddress, &settings.PeerAddress,
	} {
		var err error
		*address, err = loopback.FreeAddress()
		assert.NilError(t, err)
	}
	entryVM := New(fixture.settings, fixture.timerService, fixture.log)
	fixture.entryVM = entryVM
	ended := make(chan error, 1)
	go func() { ended <- entryVM.Run() }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case err := <-ended:
			return poll.Error(fmt.Errorf("the VM ended before it was ready: %v", err))
		default:
		}
		response, err := http.Get("http://" + fixture.settings.ReadinessAddress.String() + "/oleandervane/readyz")
		if err != nil {
			return poll.Continue("%v", err)
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return poll.Continue("status %d", response.StatusCode)
		}
		return poll.Success()
	})
}

// startAnother starts another VM at the same store.
func startAnother(t *testing.T, another fixture, id oleandervane.VMID) *fixture {
	t.Helper()
	another.log, another.settings.ID = &lockedBuffer{}, id
	another.start(t)
	return &another
}

func (fixture *fixture) write(t *testing.T, key, value string) {
	t.Helper()
	_, err := fixture.store.Commit(context.Background(), oleandervane.StoreTransaction{Writes: []oleandervane.StoreWrite{{Key: key, Value: []byte(value)}}})
	assert.NilError(t, err)
}

// logged waits for the log line of a request, which is written after the response.
func (fixture *fixture) logged(requestID string) func(poll.LogT) poll.Result {
	return func(poll.LogT) poll.Result {
		if len(fixture.log.lines(requestID)) > 0 {
			return poll.Success()
		}
		return poll.Continue("no line of request %s", requestID)
	}
}

// newRequest returns a request about an object for the VM at the address.
func newRequest(ctx context.Context, t *testing.T, method, address, path, id, object string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, http.NoBody)
	assert.Check(t, err)
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Timeout-Ms", "2000")
	request.AddCookie(&http.Cookie{Name: "X-Affinity-Key", Value: object})
	return request
}

func (fixture *fixture) send(t *testing.T, method, path, id string) (status int, body string, header http.Header) {
	t.Helper()
	request := newRequest(context.Background(), t, method, fixture.settings.CallerAddress.String(), path, id, "17")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", nil
	}
	return response.StatusCode, string(text), response.Header
}

// Guards against components that do not work together in one VM: a request, a request without a route, and a query of the
// directory.
func TestRequestIsServed(t *testing.T) {
	fixture := newFixture(t, newBackend(t))
	status, body, header := fixture.send(t, http.MethodGet, "/lohu/1", "r1")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "GET a.example/lohu/1")
	assert.Equal(t, header.Get("X-Response-Signature"), "m")
	status, _, _ = fixture.send(t, http.MethodGet, "/none/1", "r2")
	assert.Equal(t, status, http.StatusNotFound)
	response, err := http.Get("http://" + fixture.settings.DirectoryAddress.String() + "/oleandervane/resolve?name=a.example&region=kigali&zone=kigali-a")
	assert.NilError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, strings.TrimSpace(string(text)), fmt.Sprintf(`{"addresses":[%q],"ttl_s":2}`, fixture.settings.CallerAddress))
}

// All servers break the connection while they run an unsafe request. Guards against a request that runs twice, and against
// the outcome "not run" for one that may have run.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	backends := []*backend{newBackend(t), newBackend(t)}
	fixture := newFixture(t, backends...)
	var runs atomic.Int64
	for _, backend := range backends {
		backend.respondWith(func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		})
	}
	status, _, _ := fixture.send(t, http.MethodPost, "/pufi/1", "r1")
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, runs.Load(), int64(1))
	poll.WaitOn(t, fixture.logged("r1"))
	assert.Equal(t, fixture.log.lines("r1")[0]["outcome"], "unknown")
}

// A server responds to an unsafe request with a status that callers read as "not run", but does not state that it did not run it.
// Guards against a caller that repeats a request which has run.
func TestStatusOfServerIsNoProofThatARequestHasNotRun(t *testing.T) {
	only := newBackend(t)
	fixture := newFixture(t, only)
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		only.respondWith(func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("X-Response-Signature", "m")
			writer.WriteHeader(status)
		})
		got, _, header := fixture.send(t, http.MethodPost, "/pufi/1", fmt.Sprint(status))
		assert.Equal(t, got, http.StatusBadGateway, "%d", status)
		assert.Equal(t, header.Get("X-Response-Signature"), "")
	}
}

// Guards against a safe request that fails although another server could run it, and against a refusal by a full server
// that counts as a run.
func TestRequestGoesToAnotherServer(t *testing.T) {
	for name, serve := range map[string]http.HandlerFunc{
		"full": func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("X-Not-Executed", "1")
			writer.WriteHeader(http.StatusServiceUnavailable)
		},
		"misdirected": func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusMisdirectedRequest) },
	} {
		for _, path := range []string{"/lohu/1", "/pufi/1"} {
			t.Run(name+path, func(t *testing.T) {
				bad, good := newBackend(t), newBackend(t)
				fixture := newFixture(t, bad, good)
				bad.respondWith(serve)
				method := map[string]string{"/lohu/1": http.MethodGet, "/pufi/1": http.MethodPost}[path]
				for i := range 4 {
					status, _, _ := fixture.send(t, method, path, fmt.Sprint(i))
					assert.Equal(t, status, http.StatusOK)
				}
			})
		}
	}
}

// Guards against a wrong response that reaches a caller as a success.
func TestInvalidResponsesAreRejected(t *testing.T) {
	only := newBackend(t)
	fixture := newFixture(t, only)
	only.respondWith(func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "no mark") })
	status, body, _ := fixture.send(t, http.MethodGet, "/lohu/1", "unmarked")
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, body, "")
	only.respondWith(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("X-Request-Id", "another")
		writer.Header().Set("X-Response-Signature", "m")
		_, _ = io.WriteString(writer, "of another request")
	})
	status, body, _ = fixture.send(t, http.MethodGet, "/lohu/1", "foreign")
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, body, "")
}

// Guards against SIGHUP ending the process, and against invalid settings that come into force.
func TestReload(t *testing.T) {
	fixture := newFixture(t, newBackend(t))
	path := t.TempDir() + "/entry.toml"
	settingsText := func(base string) string {
		return fmt.Sprintf("id = \"vm-1\"\nregion = \"kigali\"\nfailure_domain = \"kigali-a\"\ncaller_address = %q\ndirectory_address = %q\n"+
			"readiness_address = %q\npeer_address = %q\noperations_address = %q\nstore_url = %q\n[retries]\nbase = %s\n[failure_domains]\nkigali-a = \"kigali\"\n",
			fixture.settings.CallerAddress, fixture.settings.DirectoryAddress, fixture.settings.ReadinessAddress, fixture.settings.PeerAddress,
			fixture.settings.OperationsAddress, fixture.settings.StoreURL, base)
	}
	for base, want := range map[string]float64{"7": 7, "-1": 100, `"many"`: 100} {
		fixture.settings.Retries.Base = 100
		fixture.entryVM.settings.Store(&fixture.settings)
		assert.NilError(t, os.WriteFile(path, []byte(settingsText(base)), 0o600))
		fixture.entryVM.reload(path, "test")
		assert.Equal(t, fixture.entryVM.settings.Load().Retries.Base, want, base)
	}
}

// Guards against a full standard output that blocks requests.
func TestLogNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	defer reader.Close()
	logWriter := newLogWriter(writer)
	for range 2 * maxQueuedLines {
		_, err := logWriter.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, logWriter.Dropped() > 0)
}

// lineCounter records the total number of lines and the largest number written with one call.
type lineCounter struct {
	total, largest int
}

func (lineCounter *lineCounter) Write(batch []byte) (int, error) {
	lines := bytes.Count(batch, []byte("\n"))
	lineCounter.total += lines
	lineCounter.largest = max(lineCounter.largest, lines)
	return len(batch), nil
}

// Guards against lines that accumulate without a bound in a batch, so that none is dropped (TestLogNeverBlocks failed because
// of this once in seven runs), and against lines that are lost when the writer is closed.
func TestLogBatchesAreBounded(t *testing.T) {
	counter := &lineCounter{}
	logWriter := &logWriter{output: counter, lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	for range maxQueuedLines {
		_, err := logWriter.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	go logWriter.run()
	logWriter.Close()
	assert.Equal(t, counter.total, maxQueuedLines)
	assert.Assert(t, counter.largest <= maxBatchLines, "%d lines at once", counter.largest)
}

// A caller disconnects while its unsafe request waits at a full server. Guards against a second server that runs the request
// although no caller waits for it.
func TestUnsafeRequestIsNotRetriedForADisconnectedCaller(t *testing.T) {
	first, second := newBackend(t), newBackend(t)
	fixture := newFixture(t, first, second)
	var arrivals atomic.Int64
	left := make(chan struct{})
	for _, backend := range []*backend{first, second} {
		backend.respondWith(func(writer http.ResponseWriter, _ *http.Request) {
			arrivals.Add(1)
			<-left
			time.Sleep(50 * time.Millisecond)
			writer.Header().Set("X-Not-Executed", "1")
			writer.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fixture.settings.CallerAddress.String()+"/pufi/1", http.NoBody)
	assert.NilError(t, err)
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", "r1")
	go func() {
		for arrivals.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
		close(left)
	}()
	_, err = http.DefaultClient.Do(request)
	assert.ErrorIs(t, err, context.Canceled)
	poll.WaitOn(t, fixture.logged("r1"))
	assert.Equal(t, arrivals.Load(), int64(1))
}

// Guards against a panic when a part still logs while the VM stops.
func TestLogAfterClose(t *testing.T) {
	logWriter := newLogWriter(io.Discard)
	logWriter.Close()
	_, err := logWriter.Write([]byte("late line\n"))
	assert.NilError(t, err)
}

// A caller sends three requests at once. Guards against the second and third waiting for the end of the one before
// them, and against responses in another order.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	const work, requests = 300 * time.Millisecond, 3
	slow := newBackend(t)
	fixture := newFixture(t, slow)
	slow.respondWith(func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(work)
		writer.Header().Set("X-Response-Signature", "m")
		_, _ = io.WriteString(writer, request.URL.Path)
	})
	conn, err := net.Dial("tcp", fixture.settings.CallerAddress.String())
	assert.NilError(t, err)
	defer conn.Close()
	startedAt := time.Now()
	for number := range requests {
		_, err = fmt.Fprintf(conn, "GET /lohu/%d HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: p%d\r\nX-Timeout-Ms: 3000\r\n\r\n", number, number)
		assert.NilError(t, err)
	}
	reader := bufio.NewReader(conn)
	for number := range requests {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, string(body), fmt.Sprintf("/lohu/%d", number))
		assert.Equal(t, response.Header.Get("X-Request-Id"), fmt.Sprintf("p%d", number))
	}
	assert.Assert(t, time.Since(startedAt) < 2*work, "%v", time.Since(startedAt))
}

// Guards against a truncated response that looks complete to an HTTP/1.0 caller, which detects the end of a response
// only by the end of the connection.
func TestTruncatedResponseToHTTP10Caller(t *testing.T) {
	large := strings.Repeat("x", 300<<10)
	server := newBackend(t)
	fixture := newFixture(t, server)
	for _, cut := range []bool{false, true} {
		server.respondWith(func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("X-Response-Signature", "m")
			writer.WriteHeader(http.StatusOK)
			_, _ = io.WriteString(writer, large)
			writer.(http.Flusher).Flush()
			if cut {
				panic(http.ErrAbortHandler)
			}
		})
		conn, err := net.Dial("tcp", fixture.settings.CallerAddress.String())
		assert.NilError(t, err)
		_, err = fmt.Fprintf(conn, "GET /lohu/%v HTTP/1.0\r\nHost: a.example\r\nX-Request-Id: o%v\r\n\r\n", cut, cut)
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode == http.StatusOK, !cut, "status %d with %d bytes", response.StatusCode, len(body))
		assert.Assert(t, cut || string(body) == large)
		assert.NilError(t, conn.Close())
	}
}

// A server is silent for most of the time limit, as a paused VM is. Guards against its work being started again at another
// server, or aborted before the time limit.
func TestRequestAtASilentServerIsNotRetried(t *testing.T) {
	const silence = 1200 * time.Millisecond
	backends := []*backend{newBackend(t), newBackend(t)}
	fixture := newFixture(t, backends...)
	var runs atomic.Int64
	for _, backend := range backends {
		backend.respondWith(func(writer http.ResponseWriter, request *http.Request) {
			runs.Add(1)
			time.Sleep(silence)
			writer.Header().Set("X-Response-Signature", "m")
			_, _ = io.WriteString(writer, request.Method)
		})
	}
	for number, method := range []string{http.MethodGet, http.MethodPost} {
		path := map[string]string{http.MethodGet: "/lohu/1", http.MethodPost: "/pufi/1"}[method]
		status, body, _ := fixture.send(t, method, path, fmt.Sprintf("s%d", number))
		assert.Equal(t, status, http.StatusOK, method)
		assert.Equal(t, body, method)
		assert.Equal(t, runs.Load(), int64(number+1), method)
	}
}

// Guards against a newly started VM, which has no earlier state, that uses a server that has left.
func TestStartedVMDoesNotUseAServerThatLeft(t *testing.T) {
	stays, leaves := newBackend(t), newBackend(t)
	fixture := newFixture(t, stays, leaves)
	_, err := fixture.store.Commit(context.Background(), oleandervane.StoreTransaction{Removals: []string{"servers/i-1"}})
	assert.NilError(t, err)
	fixture.settings.ID = "vm-2"
	fixture.start(t)
	before := leaves.runs.Load()
	for number := range 20 {
		status, _, _ := fixture.send(t, http.MethodGet, fmt.Sprintf("/lohu/%d", number), fmt.Sprintf("r%d", number))
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, leaves.runs.Load(), before)
	assert.Equal(t, stays.runs.Load(), int64(20))
}
