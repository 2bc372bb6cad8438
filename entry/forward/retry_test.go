package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/figure"
	"oleandervane.example/timer"
)

// failingOpener opens connections on which every request breaks after it was written, and counts the requests.
func failingOpener(attempts *int) opener {
	return func(context.Context, netip.AddrPort) (*connection, error) {
		gate := &gate{}
		return &connection{
			gate:  gate,
			close: func() {},
			roundTrip: func(*http.Request) (*http.Response, error) {
				*attempts++
				gate.state.Store(gateWritten)
				return nil, io.ErrUnexpectedEOF
			},
		}, nil
	}
}

// countingBudget allows all retries and counts them.
type countingBudget struct {
	retries int
}

func (*countingBudget) RecordRequest(oleandervane.ServiceName) {}

func (countingBudget *countingBudget) AcquireRetry(oleandervane.ServiceName) bool {
	countingBudget.retries++
	return true
}

func (countingBudget *countingBudget) ReturnRetry(oleandervane.ServiceName) {
	countingBudget.retries--
}

// amplification returns the attempts per request when every backend server fails, under random bursts and pauses.
func amplification(t *testing.T, prepare func(*Forwarder)) float64 {
	const requests = 5000
	random := rand.New(rand.NewPCG(20261204, 1))
	forwarder, manual := newTestForwarder(t)
	prepare(forwarder)
	attempts := 0
	forwarder.pool.open = failingOpener(&attempts)
	chooser := &targets{list: []Target{{ID: "b1"}, {ID: "b2"}, {ID: "b3"}, {ID: "b4"}}}
	for number := range requests {
		if random.IntN(20) == 0 {
			manual.Advance(time.Duration(random.IntN(4000)) * time.Millisecond)
		}
		request := testRequest(true, "GET", "")
		request.Path = "/" + strconv.Itoa(number)
		request.Deadline = manual.Now().Add(time.Minute)
		forwarder.Forward(context.Background(), request, chooser)
	}
	return float64(attempts) / requests
}

// Guards against retries that increase the load by more than a tenth while every backend server fails.
func TestFigureRetryAmplification(t *testing.T) {
	unbounded := amplification(t, func(forwarder *Forwarder) { forwarder.budget = &countingBudget{} })
	assert.Assert(t, unbounded > 1.1, "without the budget, the amplification is only %v", unbounded)
	value := amplification(t, func(*Forwarder) {})
	assert.Assert(t, value > 1.01, "there are too few retries to test the budget: the amplification is %v", value)
	figure.Require(t, figure.Figure{Name: "request_retry_amplification", Value: value, Unit: "ratio", Bound: 1.1})
}

// Guards against wrong retries: of requests that may have run, on the same target, and with the outcome "not run" after
// an attempt that may have run.
func TestRetries(t *testing.T) {
	const shed = `read; send "HTTP/1.1 503 Busy\r\nOleandervane-Shed: 1\r\nContent-Length: 0\r\n\r\n"`
	for _, test := range []struct {
		first, second string
		idempotent    bool
		outcome       oleandervane.Outcome
		attempts      int
	}{
		{"read; close", "read; " + okAction, false, oleandervane.Unknown, 1},
		{"read; close", "read; " + okAction, true, oleandervane.Answered, 2},
		{shed, "read; " + okAction, false, oleandervane.Answered, 2},
		{shed, shed, false, oleandervane.NotRun, 2},
		{"read; close", shed, true, oleandervane.Unknown, 2},
		{shed, "read; close", false, oleandervane.Unknown, 2},
	} {
		first, second := scripted(t, "b1", test.first), scripted(t, "b2", test.second)
		forwarder, _ := newTestForwarder(t)
		allowRetries(forwarder)
		unreachable := Target{ID: "b0", Address: netip.MustParseAddrPort("127.0.0.2:1")}
		for _, list := range [][]Target{{first.target, second.target}, {unreachable, first.target, second.target}} {
			forwarder.quarantine.recordAnswered(IdentityOf(testRequest(test.idempotent, "POST", "x")))
			result := forwarder.Forward(context.Background(), testRequest(test.idempotent, "POST", "x"), &targets{list: list})
			assert.Equal(t, result.Outcome, test.outcome, "%+v", test)
			assert.Equal(t, result.Attempts, test.attempts+len(list)-2, "%+v", test)
		}
	}
}

// Guards against a request that crashes one backend server after another, whether the system retries it or its caller
// sends it again, and against a quarantine that does not reach peers, affects other requests or does not end.
func TestQuarantine(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		list := []Target{scripted(t, "b1", "read; close").target, scripted(t, "b2", "read; close").target, scripted(t, "b3", "read; "+okAction).target}
		forwarder, manual := newTestForwarder(t)
		allowRetries(forwarder)
		request := testRequest(idempotent, "POST", "deadly")
		request.Deadline = manual.Now().Add(time.Hour)
		forwarder.Forward(context.Background(), request, &targets{list: list})
		forwarder.Forward(context.Background(), request, &targets{list: list[1:]})
		result := forwarder.Forward(context.Background(), request, &targets{list: list[2:]})
		assert.Equal(t, result.Reason, ReasonQuarantined)
		assert.Equal(t, result.Outcome, oleandervane.NotRun)
		peer, peerManual := newTestForwarder(t)
		exported := forwarder.Quarantine().Export()
		exported[0].TimeLeft = time.Hour
		peer.Quarantine().Import(exported)
		assert.Equal(t, peer.Forward(context.Background(), request, &targets{list: list[2:]}).Reason, ReasonQuarantined)
		other := testRequest(idempotent, "POST", "harmless")
		assert.Equal(t, peer.Forward(context.Background(), other, &targets{list: list[2:]}).Outcome, oleandervane.Answered)
		peerManual.Advance(maxQuarantinePeriods * DefaultQuarantinePeriod)
		assert.Equal(t, peer.Forward(context.Background(), request, &targets{list: list[2:]}).Outcome, oleandervane.Answered)
		assert.Equal(t, len(peer.Quarantine().Export()), 0)
	}
}

// Guards against quarantining a request because of one bad backend server, or because it broke connections of two
// backend servers but was answered in between.
func TestQuarantineNeedsTwoServersInARow(t *testing.T) {
	forwarder, _ := newTestForwarder(t)
	quarantine, fingerprint := forwarder.Quarantine(), Fingerprint{1}
	for _, event := range []string{"b1", "b1", "", "b2", "b2", "", "b1"} {
		if event == "" {
			quarantine.recordAnswered(identity(fingerprint))
		} else {
			quarantine.recordBroken(identity(fingerprint), ServerHash(event))
		}
		assert.Assert(t, !quarantine.Contains(fingerprint))
	}
	quarantine.recordBroken(identity(fingerprint), ServerHash("b2"))
	assert.Assert(t, quarantine.Contains(fingerprint))
}

// Guards against a deadline or a cancellation that does not reach the backend server, and against an attempt that
// starts after the deadline, as on a VM that was paused.
func TestDeadlineAndCancellationPropagate(t *testing.T) {
	started, ended := make(chan string, 1), make(chan struct{}, 1)
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		started <- request.Header.Get(oleandervane.HeaderDeadlineMillis) + " " + request.URL.EscapedPath() + "?" + request.URL.RawQuery
		<-request.Context().Done()
		ended <- struct{}{}
	}))
	defer backend.Close()
	target := Target{ID: "b1", Address: netip.MustParseAddrPort(backend.Listener.Addr().String()), PathPrefix: "/v1"}
	for _, cause := range []string{"cancellation", "deadline"} {
		forwarder, manual := newTestForwarder(t)
		chooser := &targets{list: []Target{target}}
		ctx, cancel := context.WithCancel(context.Background())
		results := make(chan Result, 1)
		go func() { results <- forwarder.Forward(ctx, testRequest(false, "GET", ""), chooser) }()
		assert.Equal(t, <-started, "8000 /v1/allocations/2026%2F12?a=1")
		if cause == "deadline" {
			manual.Advance(8 * time.Second)
		} else {
			cancel()
		}
		<-ended
		assert.Equal(t, (<-results).Outcome, oleandervane.Unknown)
		cancel()
		manual.Advance(8 * time.Second)
		late := forwarder.Forward(context.Background(), testRequest(true, "GET", ""), chooser)
		assert.Equal(t, late.Outcome, oleandervane.NotRun)
		assert.Equal(t, late.Reason, ReasonDeadline)
	}
}

// Guards against a paused VM that writes a request whose ticket has expired in the meantime.
func TestRefusedBeforeWrite(t *testing.T) {
	server := scripted(t, "b1", "read; "+okAction)
	forwarder, _ := newTestForwarder(t)
	request := testRequest(false, "POST", "x")
	errExpired := errors.New("expired")
	calls := 0
	request.BeforeWrite = func() error {
		if calls++; calls < 2 {
			return nil
		}
		return errExpired
	}
	result := forwarder.Forward(context.Background(), request, &targets{list: []Target{server.target}})
	assert.Equal(t, result.Outcome, oleandervane.NotRun)
	assert.Equal(t, result.Reason, ReasonRefused)
	assert.ErrorIs(t, result.Err, errExpired)
	assert.Equal(t, server.requests.Load(), int64(0))
}

// Guards against a large response that was truncated but reaches the caller as complete, and against a complete
// response that is changed on its way.
func TestStreamedResponse(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", DefaultMaxBufferedBytes/4)
	half := large[:len(large)/2]
	length := fmt.Sprintf("Content-Length: %d", len(large))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(half), half)
	for _, test := range []struct {
		header, body string
		whole        bool
	}{
		{length, large, true},
		{length, half, false},
		{"Transfer-Encoding: chunked", chunk + chunk + "0\r\n\r\n", true},
		{"Transfer-Encoding: chunked", chunk + chunk, false},
		{"Transfer-Encoding: chunked", chunk + chunk[:len(chunk)/2], false},
	} {
		server := scripted(t, "b1", fmt.Sprintf("read; send %q; close", "HTTP/1.1 200 OK\r\n"+test.header+"\r\n\r\n"+test.body))
		forwarder, _ := newTestForwarder(t)
		chooser := &targets{list: []Target{server.target}}
		sent := make(chan error, 1)
		entry := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			result := forwarder.Forward(request.Context(), testRequest(true, "GET", ""), chooser)
			assert.Check(t, result.Response.Streamed())
			err := result.Response.Send(writer)
			sent <- err
			if err != nil {
				panic(http.ErrAbortHandler)
			}
		}))
		response, err := http.Get(entry.URL)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		sendErr := <-sent
		entry.Close()
		assert.Equal(t, err == nil, test.whole, "%s", test.header)
		assert.Equal(t, errors.Is(sendErr, ErrTruncated), !test.whole)
		// Without its last chunk, a body may have all bytes and still not be known to be complete.
		assert.Assert(t, bytes.HasPrefix([]byte(large), body) && (len(body) == len(large) || !test.whole))
		assert.Equal(t, len(chooser.released), 1)
	}
}

// Guards against bytes left over from one exchange that are mistaken for the response to the next request on the same
// connection, whether they arrive with the first response or after the second request.
func TestStrayResponseIsNotDelivered(t *testing.T) {
	const stray = `send "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nXX"`
	for _, actions := range []string{"read; " + okAction + "; " + stray, "read; " + okAction + "; read; " + stray} {
		forwarder, _ := newTestForwarder(t)
		server := scripted(t, "b1", actions)
		for range 20 {
			result := forwarder.Forward(context.Background(), testRequest(true, "GET", ""), &targets{list: []Target{server.target}})
			assert.Assert(t, result.Response == nil || string(result.Response.Body) == "ok")
		}
	}
}

// Guards against forwarding hop-by-hop headers, and against a backend server that states an outcome.
func TestHeaders(t *testing.T) {
	own := http.Header{"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "X-End": {"1"}, "Upgrade": {"x"}, oleandervane.HeaderOutcome: {"not_run"}}
	passed := withoutHopHeaders(own)
	assert.DeepEqual(t, passed, http.Header{"X-End": {"1"}, oleandervane.HeaderOutcome: {"not_run"}})
	assert.DeepEqual(t, responseHeader(Target{}, own), http.Header{"X-End": {"1"}})
	assert.DeepEqual(t, responseHeader(Target{Relay: true}, own), passed)
}

// sameTargetChooser returns the same target again, even when it is excluded.
type sameTargetChooser struct{ targets }

func (chooser *sameTargetChooser) Choose([]string) (Reservation, error) {
	return chooser.targets.Choose(nil)
}

type emptyChooser struct {
	excluded []oleandervane.BackendServerID
}

func (chooser *emptyChooser) Choose(_ oleandervane.ServiceName, excluded []oleandervane.BackendServerID) (oleandervane.Reservation, error) {
	chooser.excluded = excluded
	return nil, oleandervane.ErrNoBackendServer
}

// Guards against a retry on the same target, a budget that is spent on retries that were not sent, and a wrong outcome
// when there is no target.
func TestChoosers(t *testing.T) {
	empty := &emptyChooser{}
	_, err := BackendServers(empty, "ledger").Choose([]string{"b1"})
	assert.ErrorIs(t, err, oleandervane.ErrNoBackendServer)
	assert.DeepEqual(t, empty.excluded, []oleandervane.BackendServerID{"b1"})
	relay := RelayVMs([]oleandervane.EntryVM{{ID: "vm1"}, {ID: "vm2"}}, "/v1/relay/ledger/filing")
	reservation, err := relay.Choose([]string{"vm1"})
	assert.NilError(t, err)
	assert.Equal(t, reservation.Target(), Target{ID: "vm2", PathPrefix: "/v1/relay/ledger/filing", Relay: true})
	forwarder, _ := newTestForwarder(t)
	result := forwarder.Forward(context.Background(), testRequest(true, "GET", ""), RelayVMs(nil, ""))
	assert.Equal(t, result.Outcome, oleandervane.NotRun)
	assert.Equal(t, result.Reason, ReasonNoBackendServer)
	counting := &countingBudget{}
	forwarder.budget = counting
	sameTarget := &sameTargetChooser{targets{list: []Target{scripted(t, "b1", "read; close").target}}}
	assert.Equal(t, forwarder.Forward(context.Background(), testRequest(true, "GET", ""), sameTarget).Attempts, 1)
	assert.Equal(t, counting.retries, 0)
}

// Measures the cost of a new connection for a non-idempotent request, compared with an idempotent request on a pooled
// connection.
func BenchmarkFigureNewConnection(b *testing.B) {
	forwarder, _ := newTestForwarder(b)
	server := newServer(b, "b1", func(server *server, conn net.Conn, number int64) {
		for reader := bufio.NewReader(conn); server.runActions(conn, reader, number, "read; "+okAction); {
			<-server.read
		}
	})
	for name, idempotent := range map[string]bool{"pooled": true, "new": false} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				forwarder.Forward(context.Background(), testRequest(idempotent, "POST", "x"), &targets{list: []Target{server.target}})
			}
			microseconds := float64(b.Elapsed().Microseconds()) / float64(b.N)
			figure.Report(b, figure.Figure{Name: "request_forward_" + name + "_connection", Value: microseconds, Unit: "us", Bound: 2000})
		})
	}
}

// Guards against a request that crashes one server at each VM before it is refused: two crashes at two VMs are enough,
// and a crash that is received twice counts once.
func TestQuarantineImportsSuspectsOfPeers(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	first, second := newQuarantine(manual, time.Minute), newQuarantine(manual, time.Minute)
	fingerprint := Fingerprint{1}
	first.recordBroken(identity(fingerprint), ServerHash("i-1"))
	for range 2 {
		second.ImportSuspects(first.ExportSuspects())
		assert.Assert(t, !second.Contains(fingerprint))
	}
	second.recordBroken(identity(fingerprint), ServerHash("i-2"))
	assert.Assert(t, second.Contains(fingerprint))
	first.Import(second.Export())
	assert.Assert(t, first.Contains(fingerprint))
	manual.Advance(suspectExportPeriod + time.Second)
	assert.Equal(t, len(first.ExportSuspects()), 0)
}
