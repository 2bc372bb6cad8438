package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// settleTime is how long a test waits for requests that must not start.
const settleTime = 50 * time.Millisecond

// testHandler is a handler whose requests end when the test releases them.
type testHandler struct {
	dispatcher *Dispatcher
	// release lets one request after another end; when it is closed, all requests end.
	release chan struct{}

	mutex      sync.Mutex
	started    []string
	running    int
	maxRunning int
	ended      int
	// contexts are the contexts of the requests by path.
	contexts map[string]context.Context
	respond  func(writer http.ResponseWriter, request *http.Request)
}

func newTestServer(t *testing.T, maxAhead int) (testHandler *testHandler, address string) {
	t.Helper()
	testHandler = newTestHandler(maxAhead)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: testHandler.dispatcher, ConnContext: ConnContext}
	go func() { _ = server.Serve(testHandler.dispatcher.WrapListener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return testHandler, listener.Addr().String()
}

func newTestHandler(maxAhead int) *testHandler {
	testHandler := &testHandler{release: make(chan struct{}), contexts: map[string]context.Context{}}
	testHandler.dispatcher = NewDispatcher(testHandler, maxAhead)
	testHandler.respond = func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(writer, request.Method+" "+request.URL.Path)
	}
	return testHandler
}

func (testHandler *testHandler) Idempotent(request *http.Request) bool {
	return request.URL.Path != "/once"
}

func (testHandler *testHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	if testHandler.dispatcher.stopped.Load() && MayClose(request.Context()) {
		writer.Header().Set("Connection", "close")
	}
	testHandler.update(func() {
		testHandler.contexts[request.URL.Path] = request.Context()
		testHandler.started = append(testHandler.started, request.URL.Path)
		testHandler.running++
		testHandler.maxRunning = max(testHandler.maxRunning, testHandler.running)
	})
	defer testHandler.update(func() { testHandler.running--; testHandler.ended++ })
	select {
	case <-testHandler.release:
	case <-request.Context().Done():
		return
	}
	testHandler.respond(writer, request)
}

func (testHandler *testHandler) update(change func()) {
	testHandler.mutex.Lock()
	defer testHandler.mutex.Unlock()
	change()
}

func (testHandler *testHandler) waitFor(t *testing.T, what string, reached func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		testHandler.mutex.Lock()
		defer testHandler.mutex.Unlock()
		if reached() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s: %d started, %d running, %d ended", what, len(testHandler.started), testHandler.running, testHandler.ended)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// readResponse reads a complete response.
func readResponse(t *testing.T, reader *bufio.Reader) (response *http.Response, body string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(text)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// Guards against requests that start before their turn although they may run only once, were not sent by the caller, or
// follow a request that closes the connection.
func TestWhichRequestsStartEarly(t *testing.T) {
	table, err := os.ReadFile("testdata/ahead.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(table)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, "|")
		t.Run(strings.TrimSpace(fields[0]), func(t *testing.T) {
			text, err := strconv.Unquote(strings.TrimSpace(fields[1]))
			assert.NilError(t, err)
			testHandler, address := newTestServer(t, DefaultMaxAhead)
			_, err = io.WriteString(dial(t, address), text)
			assert.NilError(t, err)
			early, want := strings.Fields(fields[2]), map[string]int{"/1": 1}
			if len(early) == 1 && early[0] == "refused" {
				early, want = nil, map[string]int{}
			}
			testHandler.waitFor(t, "requests start", func() bool { return len(testHandler.started) >= len(want)+len(early) })
			time.Sleep(settleTime)
			testHandler.mutex.Lock()
			defer testHandler.mutex.Unlock()
			started := map[string]int{}
			for _, path := range testHandler.started {
				started[path]++
			}
			for _, path := range early {
				want[path]++
			}
			assert.DeepEqual(t, started, want)
		})
	}
}

// The first request of a caller takes long. Guards against requests behind it that wait for its end, and against
// responses in the wrong order, whether the requests arrive together or one by one.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
		testHandler, address := newTestServer(t, DefaultMaxAhead)
		conn := dial(t, address)
		const requests = 6
		for number := range requests {
			_, err := io.WriteString(conn, get(fmt.Sprintf("/%d", number)))
			assert.NilError(t, err)
			time.Sleep(pause)
		}
		testHandler.waitFor(t, "all run", func() bool { return testHandler.running == requests })
		close(testHandler.release)
		reader := bufio.NewReader(conn)
		for number := range requests {
			_, body := readResponse(t, reader)
			assert.Equal(t, body, fmt.Sprintf("GET /%d", number))
		}
		assert.Equal(t, testHandler.dispatcher.StartedEarly(), uint64(requests-1))
	}
}

// Guards against requests that continue after their caller has disconnected: all of them end.
func TestDisconnectEndsAllRequests(t *testing.T) {
	testHandler, address := newTestServer(t, DefaultMaxAhead)
	conn := dial(t, address)
	_, err := io.WriteString(conn, get("/1")+get("/2"))
	assert.NilError(t, err)
	testHandler.waitFor(t, "two run", func() bool { return testHandler.running == 2 })
	_, err = io.WriteString(conn, get("/3"))
	assert.NilError(t, err)
	testHandler.waitFor(t, "three run", func() bool { return testHandler.running == 3 })
	assert.NilError(t, conn.Close())
	testHandler.waitFor(t, "all end", func() bool { return testHandler.running == 0 })
	assert.Equal(t, len(testHandler.started), 3)
}

// Guards against a caller that overloads a VM with thousands of pipelined requests.
func TestEarlyStartsAreBounded(t *testing.T) {
	const maxAhead, requests = 4, 2000
	testHandler, address := newTestServer(t, maxAhead)
	conn := dial(t, address)
	go func() {
		for number := range requests {
			if _, err := io.WriteString(conn, get("/"+strconv.Itoa(number))); err != nil {
				return
			}
		}
	}()
	testHandler.waitFor(t, "as many as allowed run", func() bool { return testHandler.running == 1+maxAhead })
	time.Sleep(settleTime)
	close(testHandler.release)
	reader := bufio.NewReader(conn)
	for number := range requests {
		_, body := readResponse(t, reader)
		assert.Equal(t, body, "GET /"+strconv.Itoa(number))
	}
	assert.Assert(t, testHandler.maxRunning <= 1+maxAhead, "%d ran concurrently", testHandler.maxRunning)
}

// Guards against a graceful stop that closes a connection although requests behind the current one have started, and
// against requests that start when the connection is about to be closed.
func TestStopDeliversStartedRequests(t *testing.T) {
	testHandler, address := newTestServer(t, DefaultMaxAhead)
	testHandler.respond = func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(writer, request.URL.Path)
	}
	conn := dial(t, address)
	_, err := io.WriteString(conn, get("/1")+get("/2"))
	assert.NilError(t, err)
	testHandler.waitFor(t, "two run", func() bool { return testHandler.running == 2 })
	testHandler.dispatcher.Stop()
	assert.Assert(t, !MayClose(testHandler.contexts["/1"]), "a request behind this one has started")
	_, err = io.WriteString(conn, get("/3"))
	assert.NilError(t, err)
	time.Sleep(settleTime)
	assert.Equal(t, len(testHandler.started), 2)
	close(testHandler.release)
	reader := bufio.NewReader(conn)
	for _, path := range []string{"/1", "/2", "/3"} {
		response, body := readResponse(t, reader)
		assert.Equal(t, body, path)
		assert.Equal(t, response.Close, path == "/3", path)
	}
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against an aborted response that looks complete to the caller, and against a response that is larger than the
// buffer for responses whose turn has not come.
func TestAbortedAndLargeResponses(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", maxBufferedResponseBytes/8)
	for _, aborts := range []bool{false, true} {
		testHandler, address := newTestServer(t, DefaultMaxAhead)
		testHandler.respond = func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path != "/2" {
				_, _ = io.WriteString(writer, request.URL.Path)
				return
			}
			_, _ = io.WriteString(writer, large[:maxBufferedResponseBytes/2])
			_, _ = io.WriteString(writer, large[maxBufferedResponseBytes/2:])
			if aborts {
				panic(http.ErrAbortHandler)
			}
		}
		conn := dial(t, address)
		_, err := io.WriteString(conn, get("/1")+get("/2")+get("/3"))
		assert.NilError(t, err)
		testHandler.waitFor(t, "all run", func() bool { return testHandler.running == 3 })
		close(testHandler.release)
		reader := bufio.NewReader(conn)
		first, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, first.Body)
		assert.NilError(t, err)
		second, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(second.Body)
		assert.Equal(t, errors.Is(err, io.ErrUnexpectedEOF), aborts, "%v", err)
		assert.Assert(t, strings.HasPrefix(large, string(body)) && (aborts || len(body) == len(large)))
		_, err = http.ReadResponse(reader, nil)
		assert.Equal(t, err != nil, aborts, "%v", err)
	}
}

// Guards against a handler that works only on connections that are read ahead.
func TestConnectionsWithoutReadAheadAreServed(t *testing.T) {
	assert.Assert(t, MayClose(context.Background()))
	testHandler := newTestHandler(DefaultMaxAhead)
	close(testHandler.release)
	server := &http.Server{Handler: testHandler.dispatcher}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	response, err := http.Get("http://" + listener.Addr().String() + "/1")
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// Guards against a scanner that finds a request where the HTTP library, which reads the connection, finds a different
// one or none.
func FuzzScanner(f *testing.F) {
	table, err := os.ReadFile("testdata/ahead.txt")
	assert.NilError(f, err)
	for line := range strings.Lines(string(table)) {
		if fields := strings.Split(line, "|"); len(fields) == 3 {
			if text, err := strconv.Unquote(strings.TrimSpace(fields[1])); err == nil {
				f.Add([]byte(text), uint8(7))
			}
		}
	}
	f.Fuzz(func(t *testing.T, text []byte, step uint8) {
		var found []scannedRequest
		scanner := &scanner{}
		for rest := text; len(rest) > 0; {
			size := min(len(rest), 1+int(step))
			found = append(found, scanner.feed(rest[:size])...)
			rest = rest[size:]
		}
		reader := bufio.NewReader(bytes.NewReader(text))
		for _, request := range found {
			read, err := http.ReadRequest(reader)
			assert.NilError(t, err)
			assert.Equal(t, request.Method+" "+request.RequestURI+" "+request.Host, read.Method+" "+read.RequestURI+" "+read.Host)
			_, _ = io.Copy(io.Discard, read.Body)
		}
	})
}

// countingContext counts the functions that wait for its end.
type countingContext struct {
	context.Context
	done    chan struct{}
	waiting atomic.Int64
}

func (countingContext *countingContext) Done() <-chan struct{} { return countingContext.done }

func (countingContext *countingContext) AfterFunc(func()) (stop func() bool) {
	countingContext.waiting.Add(1)
	return func() bool { return countingContext.waiting.Add(-1) >= 0 }
}

// Guards against memory that grows with each request that started early on a kept connection.
func TestConnectionKeepsNothingOfSentResponses(t *testing.T) {
	ctx := &countingContext{Context: context.Background(), done: make(chan struct{})}
	request := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
	startEarly(ctx, http.NotFoundHandler(), request, func() {}).deliver(httptest.NewRecorder(), request)
	assert.Equal(t, ctx.waiting.Load(), int64(0))
}
