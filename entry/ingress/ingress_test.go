package ingress

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/entry/bodymemory"
	"oleandervane.example/entry/forward"
	"oleandervane.example/entry/placement"
	"oleandervane.example/timer"
)

const (
	panicObject = "broken"
	// testBodyBytes is the memory for bodies.
	testBodyBytes = 1 << 20
)

// panickingPlacer panics for one object.
type panickingPlacer struct {
	*placement.Placer
}

func (panickingPlacer panickingPlacer) Chooser(request placement.Request) *placement.Chooser {
	if request.Object == string(request.Service)+"\x00/\x00"+panicObject {
		panic("no request is expected to do this")
	}
	return panickingPlacer.Placer.Chooser(request)
}

type headerDialect struct{}

func (headerDialect) SetChallenge(http.Header) {}

func (headerDialect) ReadRequest(request *http.Request) oleandervane.RequestMetadata {
	return oleandervane.RequestMetadata{RequestID: "1", Object: request.Header.Get("Object")}
}

type recorder struct {
	completions chan Completion
}

func (recorder recorder) Finished(completion Completion) { recorder.completions <- completion }

type oneVM struct{}

func (oneVM) EntryVMs() []oleandervane.EntryVM { return []oleandervane.EntryVM{{ID: "vm-1"}} }
func (oneVM) Self() oleandervane.EntryVM       { return oleandervane.EntryVM{ID: "vm-1"} }

func newTestHandler(t *testing.T) (*Handler, recorder) {
	t.Helper()
	forwarder := forward.New(forward.Settings{}, timer.System{})
	t.Cleanup(forwarder.Close)
	recorder := recorder{completions: make(chan Completion, 10)}
	handler := New(Dependencies{
		CallerDialect: headerDialect{},
		Placer:        panickingPlacer{placement.NewPlacer(placement.Settings{TimerService: timer.System{}, Membership: oneVM{}})},
		Forwarder:     forwarder,
		BodyBudget:    bodymemory.New(timer.System{}, testBodyBytes),
		TimerService:  timer.System{},
		Observer:      recorder,
	})
	handler.Publish(&oleandervane.RouteTable{Routes: []oleandervane.Route{{
		Name: "lookup", Host: "127.0.0.1", Prefix: "/", TimeLimit: time.Second, Kind: oleandervane.RouteSafe,
		Split: []oleandervane.SplitPart{{Service: "ledger", Weight: 1}},
	}}})
	return handler, recorder
}

// Guards against a panic in one request that crashes the process, sends a false response, or is not reported.
func TestPanicFailsOnlyItsRequest(t *testing.T) {
	handler, recorder := newTestHandler(t)
	server := httptest.NewServer(handler)
	defer server.Close()
	get := func(object string) (int, error) {
		request, err := http.NewRequest(http.MethodGet, server.URL+"/x", nil)
		assert.NilError(t, err)
		request.Header.Set("Object", object)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, err
		}
		return response.StatusCode, response.Body.Close()
	}
	_, err := get(panicObject)
	assert.ErrorContains(t, err, "EOF")
	completion := <-recorder.completions
	assert.Equal(t, completion.Outcome, oleandervane.Unknown)
	assert.Equal(t, completion.Reason, reasonPanic)
	assert.ErrorContains(t, completion.Err, "no request is expected to do this")
	status, err := get("sound")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, (<-recorder.completions).Reason, forward.ReasonNoBackendServer)
	assert.Equal(t, handler.InFlight(), int64(0))
}

// sendPart sends a request whose body has the given length, but only the first bytes of the body.
func sendPart(t *testing.T, address string, length int) (response *http.Response, took time.Duration) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	startedAt := time.Now()
	_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: %d\r\n\r\nfirst", length)
	assert.NilError(t, err)
	response, err = http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	return response, time.Since(startedAt)
}

// The callers send the beginning of a body and then nothing. Guards against refusals that wait for a body, against a body that is held
// for longer than its request may take, and against a refusal without a time to return.
func TestBodyThatDoesNotArrive(t *testing.T) {
	handler, recorder := newTestHandler(t)
	server := httptest.NewServer(handler)
	defer server.Close()
	budget, address := handler.dependencies.BodyBudget, server.Listener.Addr().String()
	buffer := budget.Acquire(budget.MaxBodyBytes())
	response, took := sendPart(t, address, testBodyBytes/2)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Close && response.Header.Get("Retry-After") != "" && took < time.Second, "%v", took)
	assert.Equal(t, (<-recorder.completions).Reason, reasonNoBodyMemory)
	buffer.Release()
	response, took = sendPart(t, address, testBodyBytes/2)
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.Assert(t, took >= time.Second, "%v", took)
	assert.Equal(t, (<-recorder.completions).Reason, reasonBodyNotReceived)
	assert.Assert(t, budget.Acquire(budget.MaxBodyBytes()) != nil, "the memory is not freed")
	response, _ = sendPart(t, address, defaultMaxBodyBytes+1)
	assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
}
