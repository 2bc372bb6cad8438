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
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const settled = 50 * time.Millisecond

// work is a handler whose requests end when the test lets them.
type work struct {
	reader *Dispatcher
	// release lets one request after the other end; closed, it lets all.
	release chan struct{}

	mutex   sync.Mutex
	begun   []string
	running int
	most    int
	ended   int
	// contexts are those of the requests by their path.
	contexts map[string]context.Context
	answer   func(writer http.ResponseWriter, request *http.Request)
}

func newWork(t *testing.T, maxAhead int) (work *work, address string) {
	t.Helper()
	work = newWorkWithoutServer(maxAhead)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: work.reader, ConnContext: ConnContext}
	go func() { _ = server.Serve(work.reader.WrapListener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return work, listener.Addr().String()
}

func newWorkWithoutServer(maxAhead int) *work {
	work := &work{release: make(chan struct{}), contexts: map[string]context.Context{}}
	work.reader = NewDispatcher(work, maxAhead)
	work.answer = func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(writer, request.Method+" "+request.URL.Path)
	}
	return work
}

func (work *work) Idempotent(request *http.Request) bool { return request.URL.Path != "/once" }

func (work *work) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	if work.reader.stopped.Load() && MayClose(request.Context()) {
		writer.Header().Set("Connection", "close")
	}
	work.note(func() {
		work.contexts[request.URL.Path] = request.Context()
		work.begun = append(work.begun, request.URL.Path)
		work.running++
		work.most = max(work.most, work.running)
	})
	defer work.note(func() { work.running--; work.ended++ })
	select {
	case <-work.release:
	case <-request.Context().Done():
		return
	}
	work.answer(writer, request)
}

func (work *work) note(change func()) {
	work.mutex.Lock()
	defer work.mutex.Unlock()
	change()
}

func (work *work) waitFor(t *testing.T, what string, reached func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		work.mutex.Lock()
		defer work.mutex.Unlock()
		if reached() {
			return poll.Success()
		}
		return poll.Continue("%s: %d begun, %d running, %d ended", what, len(work.begun), work.running, work.ended)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// readAnswer reads a whole answer.
func readAnswer(t *testing.T, reader *bufio.Reader) (response *http.Response, body string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(text)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// Guards against requests that begin before their turn although they may run once only, nobody sent them, or the connection
// ends before them.
func TestWhatBeginsEarly(t *testing.T) {
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
			work, address := newWork(t, DefaultMaxAhead)
			_, err = io.WriteString(dial(t, address), text)
			assert.NilError(t, err)
			early, wanted := strings.Fields(fields[2]), map[string]int{"/1": 1}
			if len(early) == 1 && early[0] == "refused" {
				early, wanted = nil, map[string]int{}
			}
			work.waitFor(t, "begin", func() bool { return len(work.begun) >= len(wanted)+len(early) })
			time.Sleep(settled)
			work.mutex.Lock()
			defer work.mutex.Unlock()
			begun := map[string]int{}
			for _, path := range work.begun {
				begun[path]++
			}
			for _, path := range early {
				wanted[path]++
			}
			assert.DeepEqual(t, begun, wanted)
		})
	}
}

// Replays a caller whose first request takes long: guards against requests behind it that wait for its end, and against
// answers in another order, whether the requests come together or one by one.
func TestRequestsOfAConnectionRunSideBySide(t *testing.T) {
	for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
		work, address := newWork(t, DefaultMaxAhead)
		conn := dial(t, address)
		const requests = 6
		for number := range requests {
			_, err := io.WriteString(conn, get(fmt.Sprintf("/%d", number)))
			assert.NilError(t, err)
			time.Sleep(pause)
		}
		work.waitFor(t, "all run", func() bool { return work.running == requests })
		close(work.release)
		reader := bufio.NewReader(conn)
		for number := range requests {
			_, body := readAnswer(t, reader)
			assert.Equal(t, body, fmt.Sprintf("GET /%d", number))
		}
		assert.Equal(t, work.reader.StartedEarly(), uint64(requests-1))
	}
}

// Guards against a caller that leaves while its requests run: all of them end.
func TestCallerThatLeavesEndsAllItsRequests(t *testing.T) {
	work, address := newWork(t, DefaultMaxAhead)
	conn := dial(t, address)
	_, err := io.WriteString(conn, get("/1")+get("/2"))
	assert.NilError(t, err)
	work.waitFor(t, "two run", func() bool { return work.running == 2 })
	_, err = io.WriteString(conn, get("/3"))
	assert.NilError(t, err)
	work.waitFor(t, "three run", func() bool { return work.running == 3 })
	assert.NilError(t, conn.Close())
	work.waitFor(t, "all end", func() bool { return work.running == 0 })
	assert.Equal(t, len(work.begun), 3)
}

// Guards against a caller that occupies a VM by thousands of pipelined requests.
func TestRequestsAheadAreBounded(t *testing.T) {
	const maxAhead, requests = 4, 2000
	work, address := newWork(t, maxAhead)
	conn := dial(t, address)
	go func() {
		for number := range requests {
			if _, err := io.WriteString(conn, get("/"+strconv.Itoa(number))); err != nil {
				return
			}
		}
	}()
	work.waitFor(t, "as many as may run", func() bool { return work.running == 1+maxAhead })
	time.Sleep(settled)
	close(work.release)
	reader := bufio.NewReader(conn)
	for number := range requests {
		_, body := readAnswer(t, reader)
		assert.Equal(t, body, "GET /"+strconv.Itoa(number))
	}
	assert.Assert(t, work.most <= 1+maxAhead, "%d ran at once", work.most)
}

// Guards against a planned stop that closes a connection behind whose request others have begun, and against others that
// begin when it will be closed.
func TestStopDeliversWhatHasBegun(t *testing.T) {
	work, address := newWork(t, DefaultMaxAhead)
	work.answer = func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(writer, request.URL.Path)
	}
	conn := dial(t, address)
	_, err := io.WriteString(conn, get("/1")+get("/2"))
	assert.NilError(t, err)
	work.waitFor(t, "two run", func() bool { return work.running == 2 })
	work.reader.Stop()
	assert.Assert(t, !MayClose(work.contexts["/1"]), "a request behind this one has begun")
	_, err = io.WriteString(conn, get("/3"))
	assert.NilError(t, err)
	time.Sleep(settled)
	assert.Equal(t, len(work.begun), 2)
	close(work.release)
	reader := bufio.NewReader(conn)
	for _, path := range []string{"/1", "/2", "/3"} {
		response, body := readAnswer(t, reader)
		assert.Equal(t, body, path)
		assert.Equal(t, response.Close, path == "/3", path)
	}
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against an answer that broke off and reaches the caller as a whole one, and against one that is larger than what
// is held until its turn.
func TestAnswersThatBreakOffOrAreLarge(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", maxHeldBytes/8)
	for _, breaks := range []bool{false, true} {
		work, address := newWork(t, DefaultMaxAhead)
		work.answer = func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path != "/2" {
				_, _ = io.WriteString(writer, request.URL.Path)
				return
			}
			_, _ = io.WriteString(writer, large[:maxHeldBytes/2])
			_, _ = io.WriteString(writer, large[maxHeldBytes/2:])
			if breaks {
				panic(http.ErrAbortHandler)
			}
		}
		conn := dial(t, address)
		_, err := io.WriteString(conn, get("/1")+get("/2")+get("/3"))
		assert.NilError(t, err)
		work.waitFor(t, "all run", func() bool { return work.running == 3 })
		close(work.release)
		reader := bufio.NewReader(conn)
		first, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, first.Body)
		assert.NilError(t, err)
		second, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(second.Body)
		assert.Equal(t, errors.Is(err, io.ErrUnexpectedEOF), breaks, "%v", err)
		assert.Assert(t, strings.HasPrefix(large, string(body)) && (breaks || len(body) == len(large)))
		_, err = http.ReadResponse(reader, nil)
		assert.Equal(t, err != nil, breaks, "%v", err)
	}
}

// Guards against a handler that needs a connection which is read ahead.
func TestOtherConnectionsAreServed(t *testing.T) {
	assert.Assert(t, MayClose(context.Background()))
	work := newWorkWithoutServer(DefaultMaxAhead)
	close(work.release)
	server := &http.Server{Handler: work.reader}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	response, err := http.Get("http://" + listener.Addr().String() + "/1")
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// Guards against a scanner that finds a request where the HTTP library, which reads the connection, finds another one or none.
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
		var found []*http.Request
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
