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

const brokenObject = "broken"

// brokenPlacer panics for one object.
type brokenPlacer struct {
	*placement.Placer
}

func (brokenPlacer brokenPlacer) Chooser(need placement.Request) *placement.Chooser {
	if need.Object == string(need.Service)+"\x00/\x00"+brokenObject {
		panic("no request is expected to do this")
	}
	return brokenPlacer.Placer.Chooser(need)
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

func newTestReception(t *testing.T) (*Handler, recorder) {
	t.Helper()
	forwarder := forward.New(forward.Settings{}, timer.System{})
	t.Cleanup(forwarder.Close)
	recorder := recorder{completions: make(chan Completion, 10)}
	reception := New(Dependencies{
		CallerDialect: headerDialect{},
		Placer:        brokenPlacer{placement.NewPlacer(placement.Settings{TimerService: timer.System{}, Membership: oneVM{}})},
		Forwarder:     forwarder,
		TimerService:  timer.System{},
		Observer:      recorder,
	})
	reception.Publish(&oleandervane.RouteTable{Routes: []oleandervane.Route{{
		Name: "lookup", Host: "127.0.0.1", Prefix: "/", TimeLimit: time.Second, Kind: oleandervane.RouteSafe,
		Split: []oleandervane.SplitPart{{Service: "ledger", Weight: 1}},
	}}})
	return reception, recorder
}

// Guards against an unexpected error in one request that takes the process down, answers something that is not true, or
// is not told to anybody.
func TestPanicCostsOneRequest(t *testing.T) {
	reception, recorder := newTestReception(t)
	server := httptest.NewServer(reception)
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
	_, err := get(brokenObject)
	assert.ErrorContains(t, err, "EOF")
	completion := <-recorder.completions
	assert.Equal(t, completion.Outcome, oleandervane.Unknown)
	assert.Equal(t, completion.Reason, reasonPanic)
	assert.ErrorContains(t, completion.Err, "no request is expected to do this")
	status, err := get("sound")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, (<-recorder.completions).Reason, forward.ReasonNoBackendServer)
	assert.Equal(t, reception.InFlight(), int64(0))
}
