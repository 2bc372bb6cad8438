package ingress

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
	"oleandervane.example/entry/placement"
	"oleandervane.example/timer"
)

const panicObject = "broken"

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
