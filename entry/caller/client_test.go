package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/entry/ticket"
	"oleandervane.example/timer"
)

// entryVM is a stand-in for an entry VM on a real socket, with a real ledger. The script has the behaviours for the
// next requests: "" is a normal response, and serveRequest implements the others.
type entryVM struct {
	server   *httptest.Server
	ledger   *ticket.Ledger
	lookup   atomic.Pointer[string]
	script   chan string
	silent   chan struct{}
	requests atomic.Int64
	runs     atomic.Int64
	lookups  atomic.Int64
}

func newEntryVM(t *testing.T, name string, timerService oleandervane.TimerService, script ...string) *entryVM {
	vm := &entryVM{
		ledger: ticket.NewLedger(ticket.Settings{VM: oleandervane.VMID(name), Incarnation: 1}, timerService),
		script: make(chan string, 100),
		silent: make(chan struct{}, 1),
	}
	for _, behaviour := range script {
		vm.script <- behaviour
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/lookup", func(writer http.ResponseWriter, _ *http.Request) {
		vm.lookups.Add(1)
		_, _ = io.WriteString(writer, *vm.lookup.Load())
	})
	mux.HandleFunc("POST /v1/ticket", func(writer http.ResponseWriter, _ *http.Request) {
		text, _ := vm.ledger.Issue("ledger", "filing")
		_, _ = fmt.Fprintf(writer, `{"ticket":%q}`, text)
	})
	mux.HandleFunc("GET /v1/outcome/{ticket}", func(writer http.ResponseWriter, request *http.Request) {
		status := vm.ledger.Query(request.PathValue("ticket"))
		_, _ = fmt.Fprintf(writer, `{"outcome":%q,"status":%d}`, status.Outcome(), status.Response.Status)
	})
	mux.HandleFunc("POST /v1/outcome/{ticket}/revoke", func(writer http.ResponseWriter, request *http.Request) {
		_, _ = fmt.Fprintf(writer, `{"outcome":%q}`, vm.ledger.Revoke(request.PathValue("ticket")).Outcome())
	})
	mux.HandleFunc("/v1/request/ledger/filing/{path...}", vm.serveRequest)
	vm.server = httptest.NewServer(mux)
	t.Cleanup(vm.server.Close)
	return vm
}

func (vm *entryVM) serveRequest(writer http.ResponseWriter, request *http.Request) {
	vm.requests.Add(1)
	behaviour := ""
	select {
	case behaviour = <-vm.script:
	default:
	}
	switch behaviour {
	case "lost before begin":
		panic(http.ErrAbortHandler)
	case "silent":
		vm.silent <- struct{}{}
		<-request.Context().Done()
		return
	}
	if request.Method == http.MethodPost {
		if !request.Close {
			// The filing arrived on a connection that may have been open before.
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		_, run := vm.ledger.Begin(request.Header.Get(oleandervane.HeaderTicket), "ledger", "filing")
		if run == nil {
			writer.Header().Set(oleandervane.HeaderOutcome, string(oleandervane.Unknown))
			return
		}
		outcome := oleandervane.Answered
		switch behaviour {
		case "leaving", "shed":
			outcome = oleandervane.NotRun
		case "unknown":
			outcome = oleandervane.Unknown
		}
		if outcome != oleandervane.NotRun {
			vm.runs.Add(1)
		}
		run.Finish(outcome, ticket.Response{Status: http.StatusCreated})
	}
	switch behaviour {
	case "response lost":
		panic(http.ErrAbortHandler)
	case "response cut":
		writer.Header().Set("Content-Length", "100")
		writer.Header().Set(oleandervane.HeaderOutcome, string(oleandervane.Answered))
		_, _ = io.WriteString(writer, "part")
		return
	case "leaving", "shed":
		writer.Header().Set(oleandervane.HeaderOutcome, string(oleandervane.NotRun))
		if behaviour == "shed" {
			writer.Header().Set(oleandervane.HeaderReason, behaviour)
		}
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case "unknown":
		writer.Header().Set(oleandervane.HeaderOutcome, string(oleandervane.Unknown))
		writer.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	writer.Header().Set(oleandervane.HeaderOutcome, string(oleandervane.Answered))
	writer.WriteHeader(http.StatusCreated)
	_, _ = io.WriteString(writer, request.URL.EscapedPath()+" "+request.Header.Get(oleandervane.HeaderDeadlineMillis))
}

func (vm *entryVM) address() netip.AddrPort {
	return netip.MustParseAddrPort(vm.server.Listener.Addr().String())
}

// newTestClient returns a client whose look-up returns the VMs in order. Each VM is also a seed.
func newTestClient(t *testing.T, timerService oleandervane.TimerService, vms ...*entryVM) *Client {
	settings := Settings{OutcomeQueryInterval: time.Nanosecond}
	var entries []string
	for number, vm := range vms {
		entries = append(entries, fmt.Sprintf(`{"id":"vm%d","address":%q}`, number, vm.address()))
		settings.Seeds = append(settings.Seeds, vm.address())
	}
	lookupResponse := `{"entry_vms":[` + strings.Join(entries, ",") + `],"lifetime_ms":10000,"revision":7,"tickets":[]}`
	for _, vm := range vms {
		vm.lookup.Store(&lookupResponse)
	}
	client := New(settings, timerService)
	t.Cleanup(client.Close)
	return client
}

func filing() Request {
	return Request{Service: "ledger", Kind: "filing", Path: "/a%2Fb", Body: []byte("x"), Timeout: 5 * time.Second}
}

// Guards against a filing that is sent again although it may have run, against one that is not sent again although it
// has not run, and against reporting a wrong outcome to the caller.
func TestFilings(t *testing.T) {
	for _, test := range []struct {
		behaviour string
		err       error
		outcome   oleandervane.Outcome
		requests  int64
		runs      int64
	}{
		{"", nil, oleandervane.Answered, 1, 1},
		{"leaving", nil, oleandervane.Answered, 2, 1},
		{"unknown", ErrUnknown, oleandervane.Unknown, 1, 1},
		{"lost before begin", ErrUnknown, oleandervane.Unknown, 1, 0},
		{"response lost", ErrResponseLost, oleandervane.Answered, 1, 1},
		{"response cut", ErrResponseLost, oleandervane.Answered, 1, 1},
	} {
		t.Run(test.behaviour, func(t *testing.T) {
			first, second := newEntryVM(t, "vm0", timer.System{}, test.behaviour), newEntryVM(t, "vm1", timer.System{})
			client := newTestClient(t, timer.System{}, first, second)
			request := filing()
			request.Header = http.Header{"Idempotency-Key": {"k"}}
			response, err := client.Do(context.Background(), request)
			assert.Assert(t, errors.Is(err, test.err), "%v", err)
			assert.Equal(t, response.Outcome, test.outcome)
			assert.Equal(t, first.requests.Load()+second.requests.Load(), test.requests)
			assert.Equal(t, first.runs.Load()+second.runs.Load(), test.runs)
			filingOutcome, err := client.Revoke(context.Background(), response.Filing)
			assert.NilError(t, err)
			assert.Equal(t, filingOutcome.Outcome == oleandervane.NotRun, test.runs == 0)
		})
	}
}

// Guards against callers that fail when one entry VM is unavailable, or when no look-up succeeds after the first.
func TestUnavailableVMs(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	first, second := newEntryVM(t, "vm0", manual), newEntryVM(t, "vm1", manual)
	client := newTestClient(t, manual, first, second)
	do := func() Response {
		t.Helper()
		response, err := client.Do(context.Background(), filing())
		assert.NilError(t, err)
		return response
	}
	assert.Equal(t, string(do().Body), "/v1/request/ledger/filing/a%2Fb 5000")
	do()
	assert.Equal(t, first.lookups.Load(), int64(1), "the list was not cached")
	first.server.Close()
	assert.Equal(t, do().Filing.EntryVM, second.address())
	manual.Advance(10 * time.Second)
	do()
	assert.Equal(t, second.lookups.Load(), int64(1), "no look-up followed the expiry of the list")
	broken := "not JSON"
	second.lookup.Store(&broken)
	manual.Advance(10 * time.Second)
	do()
	second.server.Close()
	_, err := client.Do(context.Background(), filing())
	assert.ErrorIs(t, err, ErrNotRun)
	withoutVMs := New(Settings{Seeds: []netip.AddrPort{first.address()}}, manual)
	_, err = withoutVMs.Do(context.Background(), filing())
	assert.ErrorIs(t, err, ErrNoEntryVM)
}

// Guards against using a ticket of the look-up twice, or at a VM that did not issue it.
func TestTicketsOfLookup(t *testing.T) {
	first, second := newEntryVM(t, "vm0", timer.System{}, "leaving"), newEntryVM(t, "vm1", timer.System{})
	client := newTestClient(t, timer.System{}, first, second)
	text, err := first.ledger.Issue("ledger", "filing")
	assert.NilError(t, err)
	lookupResponse := strings.Replace(*first.lookup.Load(), `"tickets":[]`, fmt.Sprintf(`"tickets":[%q]`, text), 1)
	first.lookup.Store(&lookupResponse)
	response, err := client.Do(context.Background(), filing())
	assert.NilError(t, err)
	assert.Equal(t, response.Filing.EntryVM, second.address())
	assert.Equal(t, first.ledger.Query(text).Outcome(), oleandervane.NotRun)
	_, err = client.Do(context.Background(), filing())
	assert.NilError(t, err)
	assert.Equal(t, first.requests.Load(), int64(1), "the leaving VM was not moved to the end of the list")
}

// Guards against idempotent requests that fail when the response of the first VM is lost.
func TestIdempotentRequestUsesNextVM(t *testing.T) {
	for _, behaviour := range []string{"response lost", "response cut", "leaving", "unknown"} {
		first, second := newEntryVM(t, "vm0", timer.System{}, behaviour), newEntryVM(t, "vm1", timer.System{})
		client := newTestClient(t, timer.System{}, first, second)
		request := filing()
		request.Idempotent, request.Body = true, nil
		response, err := client.Do(context.Background(), request)
		assert.NilError(t, err, behaviour)
		assert.Equal(t, response.Status, http.StatusCreated)
		assert.Equal(t, first.requests.Load(), int64(1))
	}
}

// Guards against callers that switch to another entry VM because theirs shed a request. During a drain, this moved a
// third of a region's callers to entry VMs of other regions.
func TestShedRequestKeepsOrderOfVMs(t *testing.T) {
	first, second := newEntryVM(t, "vm0", timer.System{}, "shed"), newEntryVM(t, "vm1", timer.System{})
	client := newTestClient(t, timer.System{}, first, second)
	for range 2 {
		_, err := client.Do(context.Background(), filing())
		assert.NilError(t, err)
	}
	assert.Equal(t, first.requests.Load(), int64(2))
	assert.Equal(t, second.requests.Load(), int64(1))
}

// Guards against an unresponsive entry VM using up the whole timeout of an idempotent request.
func TestUnresponsiveVMLeavesTimeForAnother(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	first, second := newEntryVM(t, "vm0", manual, "silent"), newEntryVM(t, "vm1", manual)
	client := newTestClient(t, manual, first, second)
	request := filing()
	request.Idempotent, request.Body = true, nil
	responses := make(chan Response, 1)
	go func() {
		response, err := client.Do(context.Background(), request)
		assert.Check(t, err)
		responses <- response
	}()
	<-first.silent
	manual.Advance(request.Timeout / 2)
	assert.Equal(t, string((<-responses).Body), "/v1/request/ledger/filing/a%2Fb 2500")
}

// Guards against net/http resending a filing on its own when a connection that was open before fails.
func TestFilingIsNotResentOnOpenConnection(t *testing.T) {
	vm := newEntryVM(t, "vm0", timer.System{}, "", "lost before begin")
	client := newTestClient(t, timer.System{}, vm)
	request := filing()
	request.Body, request.Header = nil, http.Header{"Idempotency-Key": {"k"}}
	_, err := client.Do(context.Background(), request)
	assert.NilError(t, err)
	_, err = client.Do(context.Background(), request)
	assert.ErrorIs(t, err, ErrUnknown)
	assert.Equal(t, vm.requests.Load(), int64(2))
}
