package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"oleandervane.example"
	"oleandervane.example/timer"
)

const (
	// maxEndlessBytes is the largest response that is forwarded in these tests.
	maxEndlessBytes = 1 << 20
	// endlessTimeout is the time limit of the requests. A response that does not end must be cut off long before it.
	endlessTimeout = 5 * time.Second
)

func newEndlessForwarder(t *testing.T) *Forwarder {
	forwarder := New(Settings{AllowUnframedBodies: true, MaxResponseBytes: maxEndlessBytes}, timer.System{})
	t.Cleanup(forwarder.Close)
	return forwarder
}

func endlessRequest() Request {
	request := testRequest(true, "GET", "")
	request.Deadline = time.Now().Add(endlessTimeout)
	return request
}

// sendThroughEntryVM sends one request through an entry VM. It returns the result, the status and number of body bytes
// that the caller received, and whether the response looked complete.
func sendThroughEntryVM(t *testing.T, forwarder *Forwarder, target Target) (result Result, status int, received int64, whole bool) {
	t.Helper()
	entry := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		result = forwarder.Forward(request.Context(), endlessRequest(), &targets{list: []Target{target}})
		if result.Response == nil {
			panic(http.ErrAbortHandler)
		}
		if result.Err = result.Response.Send(writer); result.Err != nil {
			panic(http.ErrAbortHandler)
		}
	}))
	defer entry.Close()
	response, err := http.Get(entry.URL)
	if err != nil {
		return result, 0, 0, false
	}
	defer response.Body.Close()
	received, err = io.Copy(io.Discard, response.Body)
	return result, response.StatusCode, received, err == nil
}

// Guards against responses that do not end: a caller that waits for its whole time limit, a response without a size
// limit, a truncated response that looks complete, and a connection that stays open.
func TestEndlessResponses(t *testing.T) {
	for _, fields := range readTable(t, "testdata/endless.txt") {
		t.Run(fields[0], func(t *testing.T) { checkEndless(t, fields) })
	}
}

func checkEndless(t *testing.T, fields []string) {
	t.Helper()
	server := scripted(t, "b1", fields[1])
	wanted, err := strconv.Atoi(fields[4])
	assert.NilError(t, err)
	startedAt := time.Now()
	result, status, received, whole := sendThroughEntryVM(t, newEndlessForwarder(t), server.target)
	took := time.Since(startedAt)
	outcomes := strings.Fields(fields[2])
	which := slices.Index(outcomes, string(result.Outcome))
	assert.Assert(t, which >= 0, "%s: %v", result.Outcome, result.Err)
	if fields[3] == string(ReasonTooLong) {
		assert.ErrorIs(t, result.Err, ErrTooLong)
	} else {
		reasons := append(strings.Fields(fields[3]), "")
		assert.Equal(t, string(result.Reason), reasons[which])
	}
	assert.Equal(t, status, wanted)
	assert.Equal(t, whole, wanted != 0 && fields[3] == "", "whether the response looked complete")
	assert.Assert(t, received <= maxEndlessBytes, "%d bytes were forwarded", received)
	assert.Assert(t, took < endlessTimeout/2, "the caller waited for %v", took)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if server.closedWhileSending.Load() == 1 {
			return poll.Success()
		}
		return poll.Continue("the connection is still open")
	})
}

// Guards against a refusal whose body does not end and delays the request: it is retried on another server.
func TestEndlessRefusalIsRetriedImmediately(t *testing.T) {
	refusing := scripted(t, "b1", `read; send "HTTP/1.1 503 Busy\r\nOleandervane-Shed: 1\r\nContent-Length: 100\r\n\r\nslow"; hang`)
	other := scripted(t, "b2", "read; "+okAction)
	forwarder := newEndlessForwarder(t)
	allowRetries(forwarder)
	startedAt := time.Now()
	result := forwarder.Forward(context.Background(), endlessRequest(), &targets{list: []Target{refusing.target, other.target}})
	assert.Equal(t, result.Outcome, oleandervane.Answered)
	assert.Equal(t, result.Attempts, 2)
	assert.Assert(t, time.Since(startedAt) < endlessTimeout/4)
}

// Guards against memory that grows with the number of servers whose responses do not end, and against such servers
// delaying others.
func TestManyConcurrentEndlessResponses(t *testing.T) {
	const servers, growthBound = 50, 64 << 20
	forwarder := newEndlessForwarder(t)
	healthy := scripted(t, "sound", "read; "+okAction)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var group sync.WaitGroup
	for range servers {
		endless := scripted(t, "endless", `read; send "HTTP/1.1 200 OK\r\n\r\n"; repeat "0123456789abcdef"`)
		group.Go(func() {
			result := forwarder.Forward(context.Background(), endlessRequest(), &targets{list: []Target{endless.target}})
			_, err := io.Copy(io.Discard, result.Response.Reader())
			assert.Check(t, errors.Is(err, ErrTooLong), "%v", err)
			result.Response.Close()
		})
	}
	for range 20 {
		startedAt := time.Now()
		result := forwarder.Forward(context.Background(), endlessRequest(), &targets{list: []Target{healthy.target}})
		assert.Equal(t, result.Outcome, oleandervane.Answered)
		assert.Assert(t, time.Since(startedAt) < endlessTimeout/2)
	}
	group.Wait()
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Assert(t, after.HeapInuse < before.HeapInuse+growthBound, "the heap grew by %d bytes", after.HeapInuse-before.HeapInuse)
}
