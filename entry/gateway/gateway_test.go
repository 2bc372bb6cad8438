package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
	"oleandervane.example/entry/gateway"
	"oleandervane.example/entry/lookup"
	"oleandervane.example/entry/ticket"
	"oleandervane.example/standin/backendstandin"
	"oleandervane.example/timer"
)

const ticketLifetime = time.Minute

// fixture is a gateway with one backend server stand-in and fakes for its other dependencies.
type fixture struct {
	manual  *timer.Manual
	tickets *ticket.Ledger
	backend *backendstandin.Server
	server  oleandervane.BackendServer
	granted bool
	gateway *gateway.Gateway
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	fixture := &fixture{manual: timer.NewManual(time.Unix(1_800_000_000, 0)), granted: true}
	fixture.backend = backendstandin.New(backendstandin.Settings{ID: "ledger-1", Slots: 3, QueueLength: 3}, timer.System{}, func() {})
	backend := httptest.NewServer(fixture.backend.Handler())
	t.Cleanup(backend.Close)
	fixture.server = oleandervane.BackendServer{ID: "ledger-1", Service: "ledger", Region: "kigali", Address: netip.MustParseAddrPort(backend.Listener.Addr().String())}
	fixture.tickets = ticket.NewLedger(ticket.Settings{VM: "kigali-a-1", Incarnation: 2, Lifetime: ticketLifetime}, fixture.manual)
	forwarder := forward.New(forward.Settings{MaxAttempts: 1}, timer.System{})
	t.Cleanup(forwarder.Close)
	fixture.gateway = gateway.New(gateway.Settings{MaxBodyBytes: 1 << 10}, gateway.Dependencies{
		Membership: fixture, Configuration: fixture, Lookup: fixture, Tickets: fixture.tickets, Admission: fixture, Regions: fixture,
		Backends: fixture, Forwarder: forwarder, Grants: fixture, OutcomeRelay: fixture, Observer: fixture, Points: fixture, TimerService: timer.System{},
	})
	return fixture
}

func (fixture *fixture) Self() oleandervane.EntryVM {
	return oleandervane.EntryVM{ID: "kigali-a-1", Incarnation: 2, Region: "kigali", CallerAddress: netip.MustParseAddrPort("127.0.0.1:8080")}
}

func (fixture *fixture) EntryVMs() []oleandervane.EntryVM {
	return []oleandervane.EntryVM{fixture.Self()}
}

func (fixture *fixture) Configuration() *oleandervane.Configuration {
	kinds := map[oleandervane.KindName]oleandervane.Kind{
		"balance": {Name: "balance", Idempotent: true, Deadline: time.Minute},
		"filing":  {Name: "filing", Deadline: time.Minute},
	}
	configuration := oleandervane.Configuration{Revision: 7, LookupLifetime: 2 * time.Second}.WithService(oleandervane.Service{Name: "ledger", Kinds: kinds})
	return &configuration
}

func (fixture *fixture) Decide(_ netip.Addr, entryVMs []oleandervane.EntryVM) lookup.Decision {
	entryVMs[0] = fixture.Self()
	return lookup.Decision{Home: "kigali", Region: "kigali", Count: 1}
}

func (fixture *fixture) Admit(context.Context, oleandervane.ServiceName, oleandervane.Kind) (func(), error) {
	return func() {}, nil
}

func (fixture *fixture) ChooseRegion(oleandervane.ServiceName, oleandervane.Region, float64) (oleandervane.Region, error) {
	return "kigali", nil
}

func (fixture *fixture) Choose(_ oleandervane.ServiceName, excluded []oleandervane.BackendServerID) (oleandervane.Reservation, error) {
	if len(excluded) > 0 {
		return nil, oleandervane.ErrNoBackendServer
	}
	return fixture, nil
}

func (fixture *fixture) BackendServer() oleandervane.BackendServer { return fixture.server }
func (fixture *fixture) Release(oleandervane.AttemptResult)        {}
func (fixture *fixture) TryAdmit(time.Time, oleandervane.ServiceName, oleandervane.Region) bool {
	return fixture.granted
}

func (fixture *fixture) Point(oleandervane.ServiceName, oleandervane.Kind) float64                { return 0.5 }
func (fixture *fixture) LookupServed(oleandervane.ServiceName)                                    {}
func (fixture *fixture) Arrived(oleandervane.ServiceName, oleandervane.Kind, oleandervane.Region) {}
func (fixture *fixture) Finished(gateway.Completion)                                              {}
func (fixture *fixture) LoadReported(oleandervane.ServiceName, oleandervane.LoadReport)           {}
func (fixture *fixture) Outcome(context.Context, oleandervane.EntryVM, string) (gateway.OutcomeBody, error) {
	return gateway.OutcomeBody{}, context.DeadlineExceeded
}

// serve sends a request to the handler for its path.
func (fixture *fixture) serve(method, path, ticketText string) *httptest.ResponseRecorder {
	handler := fixture.gateway.CallerHandler()
	if strings.HasPrefix(path, gateway.RelayPrefix) {
		handler = fixture.gateway.RelayHandler()
	}
	request := httptest.NewRequest(method, path, strings.NewReader("hours=8"))
	request.Header.Set(backendstandin.HeaderFiling, "filing-7")
	request.Header.Set(oleandervane.HeaderRequestID, "attempt-7")
	if ticketText != "" {
		request.Header.Set(oleandervane.HeaderTicket, ticketText)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// ticketOf returns a ticket for a filing in the given condition.
func (fixture *fixture) ticketOf(t *testing.T, condition, path string) string {
	t.Helper()
	ledger := fixture.tickets
	if condition == "foreign" {
		ledger = ticket.NewLedger(ticket.Settings{VM: "kigali-a-1", Incarnation: 1, Lifetime: ticketLifetime}, fixture.manual)
	}
	text, err := ledger.Issue("ledger", "filing")
	assert.NilError(t, err)
	switch condition {
	case "none":
		return ""
	case "garbage":
		return "garbage"
	case "used":
		assert.Equal(t, fixture.serve(http.MethodPost, path, text).Code, http.StatusOK)
	case "expired":
		fixture.manual.Advance(ticketLifetime)
	case "revoked":
		assert.Equal(t, fixture.serve(http.MethodPost, "/v1/outcome/"+text+"/revoke", "").Header().Get(oleandervane.HeaderOutcome), "not_run")
	}
	return text
}

func faultsOf(name string) backendstandin.Faults {
	return map[string]backendstandin.Faults{
		"healthy": {}, "shed": {Shed: true}, "crash": {CrashOn: "/"}, "truncate": {TruncateResponses: true},
	}[name]
}

// Guards against a status, outcome or reason in a response that contradicts the runs that the backend server counted.
func TestExchanges(t *testing.T) {
	text, err := os.ReadFile("testdata/exchanges.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, "|")
		for i := range fields {
			fields[i] = strings.TrimSpace(fields[i])
		}
		t.Run(fields[0], func(t *testing.T) {
			fixture := newFixture(t)
			fixture.backend.SetFaults(faultsOf(fields[1]))
			fixture.granted = fields[2] == "yes"
			method, path, _ := strings.Cut(fields[3], " ")
			response := fixture.serve(method, path, fixture.ticketOf(t, fields[4], path))
			assert.Equal(t, strconv.Itoa(response.Code), fields[5], response.Body.String())
			assert.Equal(t, response.Header().Get(oleandervane.HeaderOutcome), fields[6])
			assert.Equal(t, response.Header().Get(oleandervane.HeaderReason), strings.Trim(fields[7], "-"))
			if strings.HasPrefix(path, gateway.RelayPrefix) && response.Code == http.StatusOK {
				assert.Equal(t, response.Header().Get(oleandervane.HeaderRequestID), "attempt-7")
			}
			_, total := fixture.backend.Runs()
			assert.Equal(t, strconv.Itoa(total), fields[8])
		})
	}
}

// Guards against a wrong outcome for a ticket in any of its conditions.
func TestOutcomeOfTicket(t *testing.T) {
	fixture := newFixture(t)
	for condition, outcome := range map[string]string{"fresh": "unknown", "used": "answered", "revoked": "not_run", "garbage": "not_run", "foreign": "unknown", "expired": "not_run"} {
		text := fixture.ticketOf(t, condition, "/v1/request/ledger/filing/f")
		response := fixture.serve(http.MethodGet, "/v1/outcome/"+text, "")
		assert.Equal(t, response.Header().Get(oleandervane.HeaderOutcome), outcome, condition)
	}
}

// Guards against a look-up without an entry VM, without a lifetime, or without a ticket of the VM that it names.
func TestLookupHandsOutTickets(t *testing.T) {
	fixture := newFixture(t)
	body := fixture.serve(http.MethodGet, "/v1/lookup?service=ledger&kind=filing", "").Body.String()
	assert.Assert(t, strings.HasPrefix(body, `{"entry_vms":[{"id":"kigali-a-1","address":"127.0.0.1:8080"}],"lifetime_ms":2000,"revision":7,"home":"kigali","tickets":["`), body)
	body = fixture.serve(http.MethodGet, "/v1/lookup?service=ledger&kind=balance", "").Body.String()
	assert.Assert(t, !strings.Contains(body, "tickets"), body)
}
