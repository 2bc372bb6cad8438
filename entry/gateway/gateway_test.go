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

// world is a gateway before one backend server stand-in, with fakes for the other parts.
type world struct {
	manual  *timer.Manual
	tickets *ticket.Ledger
	backend *backendstandin.Server
	server  oleandervane.BackendServer
	room    bool
	gateway *gateway.Gateway
}

func newWorld(t *testing.T) *world {
	t.Helper()
	world := &world{manual: timer.NewManual(time.Unix(1_800_000_000, 0)), room: true}
	world.backend = backendstandin.New(backendstandin.Settings{ID: "ledger-1", Slots: 3, QueueLength: 3}, timer.System{}, func() {})
	backend := httptest.NewServer(world.backend.Handler())
	t.Cleanup(backend.Close)
	world.server = oleandervane.BackendServer{ID: "ledger-1", Service: "ledger", Region: "kigali", Address: netip.MustParseAddrPort(backend.Listener.Addr().String())}
	world.tickets = ticket.NewLedger(ticket.Settings{VM: "kigali-a-1", Incarnation: 2, Lifetime: ticketLifetime}, world.manual)
	forwarder := forward.New(forward.Settings{MaxAttempts: 1}, timer.System{})
	t.Cleanup(forwarder.Close)
	world.gateway = gateway.New(gateway.Settings{MaxBodyBytes: 1 << 10}, gateway.Dependencies{
		Membership: world, Configuration: world, Lookup: world, Tickets: world.tickets, Admission: world, Regions: world,
		Backends: world, Forwarder: forwarder, Grants: world, OutcomeRelay: world, Observer: world, Points: world, TimerService: timer.System{},
	})
	return world
}

func (world *world) Self() oleandervane.EntryVM {
	return oleandervane.EntryVM{ID: "kigali-a-1", Incarnation: 2, Region: "kigali", CallerAddress: netip.MustParseAddrPort("127.0.0.1:8080")}
}

func (world *world) EntryVMs() []oleandervane.EntryVM { return []oleandervane.EntryVM{world.Self()} }

func (world *world) Configuration() *oleandervane.Configuration {
	kinds := map[oleandervane.KindName]oleandervane.Kind{
		"balance": {Name: "balance", Idempotent: true, Deadline: time.Minute},
		"filing":  {Name: "filing", Deadline: time.Minute},
	}
	configuration := oleandervane.Configuration{Revision: 7, LookupLifetime: 2 * time.Second}.WithService(oleandervane.Service{Name: "ledger", Kinds: kinds})
	return &configuration
}

func (world *world) Decide(_ netip.Addr, entryVMs []oleandervane.EntryVM) lookup.Decision {
	entryVMs[0] = world.Self()
	return lookup.Decision{Home: "kigali", Region: "kigali", Count: 1}
}

func (world *world) Admit(context.Context, oleandervane.ServiceName, oleandervane.Kind) (func(), error) {
	return func() {}, nil
}

func (world *world) ChooseRegion(oleandervane.ServiceName, oleandervane.Region, float64) (oleandervane.Region, error) {
	return "kigali", nil
}

func (world *world) Choose(_ oleandervane.ServiceName, excluded []oleandervane.BackendServerID) (oleandervane.Reservation, error) {
	if len(excluded) > 0 {
		return nil, oleandervane.ErrNoBackendServer
	}
	return world, nil
}

func (world *world) BackendServer() oleandervane.BackendServer { return world.server }
func (world *world) Release(oleandervane.AttemptResult)        {}
func (world *world) TryAdmit(time.Time, oleandervane.ServiceName, oleandervane.Region) bool {
	return world.room
}

func (world *world) Point(oleandervane.ServiceName, oleandervane.Kind) float64                { return 0.5 }
func (world *world) LookupServed(oleandervane.ServiceName)                                    {}
func (world *world) Arrived(oleandervane.ServiceName, oleandervane.Kind, oleandervane.Region) {}
func (world *world) Finished(gateway.Completion)                                              {}
func (world *world) LoadReported(oleandervane.ServiceName, oleandervane.LoadReport)           {}
func (world *world) Outcome(context.Context, oleandervane.EntryVM, string) (gateway.OutcomeBody, error) {
	return gateway.OutcomeBody{}, context.DeadlineExceeded
}

// serve sends a request to the address that the path belongs to.
func (world *world) serve(method, path, ticketText string) *httptest.ResponseRecorder {
	handler := world.gateway.CallerHandler()
	if strings.HasPrefix(path, gateway.RelayPrefix) {
		handler = world.gateway.RelayHandler()
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

// ticketOf returns a ticket of the given sort for a filing.
func (world *world) ticketOf(t *testing.T, sort, path string) string {
	t.Helper()
	ledger := world.tickets
	if sort == "foreign" {
		ledger = ticket.NewLedger(ticket.Settings{VM: "kigali-a-1", Incarnation: 1, Lifetime: ticketLifetime}, world.manual)
	}
	text, err := ledger.Issue("ledger", "filing")
	assert.NilError(t, err)
	switch sort {
	case "none":
		return ""
	case "garbage":
		return "garbage"
	case "used":
		assert.Equal(t, world.serve(http.MethodPost, path, text).Code, http.StatusOK)
	case "expired":
		world.manual.Advance(ticketLifetime)
	case "revoked":
		assert.Equal(t, world.serve(http.MethodPost, "/v1/outcome/"+text+"/revoke", "").Header().Get(oleandervane.HeaderOutcome), "not_run")
	}
	return text
}

func faultsOf(name string) backendstandin.Faults {
	return map[string]backendstandin.Faults{
		"healthy": {}, "shed": {Shed: true}, "crash": {CrashOn: "/"}, "truncate": {TruncateResponses: true},
	}[name]
}

// Guards what callers are told, in status, header and reason, against the runs that the backend server counted.
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
			world := newWorld(t)
			world.backend.SetFaults(faultsOf(fields[1]))
			world.room = fields[2] == "yes"
			method, path, _ := strings.Cut(fields[3], " ")
			response := world.serve(method, path, world.ticketOf(t, fields[4], path))
			assert.Equal(t, strconv.Itoa(response.Code), fields[5], response.Body.String())
			assert.Equal(t, response.Header().Get(oleandervane.HeaderOutcome), fields[6])
			assert.Equal(t, response.Header().Get(oleandervane.HeaderReason), strings.Trim(fields[7], "-"))
			if strings.HasPrefix(path, gateway.RelayPrefix) && response.Code == http.StatusOK {
				assert.Equal(t, response.Header().Get(oleandervane.HeaderRequestID), "attempt-7")
			}
			_, total := world.backend.Runs()
			assert.Equal(t, strconv.Itoa(total), fields[8])
		})
	}
}

// Guards a caller that asks for the outcome of a ticket at each stage of its life.
func TestOutcomeOfTicket(t *testing.T) {
	world := newWorld(t)
	for sort, outcome := range map[string]string{"fresh": "unknown", "used": "answered", "revoked": "not_run", "garbage": "not_run", "foreign": "unknown", "expired": "not_run"} {
		text := world.ticketOf(t, sort, "/v1/request/ledger/filing/f")
		response := world.serve(http.MethodGet, "/v1/outcome/"+text, "")
		assert.Equal(t, response.Header().Get(oleandervane.HeaderOutcome), outcome, sort)
	}
}

// Guards against a look-up that names no VM, no lifetime, or hands out no ticket of the VM that will be used.
func TestLookupHandsOutTickets(t *testing.T) {
	world := newWorld(t)
	body := world.serve(http.MethodGet, "/v1/lookup?service=ledger&kind=filing", "").Body.String()
	assert.Assert(t, strings.HasPrefix(body, `{"entry_vms":[{"id":"kigali-a-1","address":"127.0.0.1:8080"}],"lifetime_ms":2000,"revision":7,"home":"kigali","tickets":["`), body)
	body = world.serve(http.MethodGet, "/v1/lookup?service=ledger&kind=balance", "").Body.String()
	assert.Assert(t, !strings.Contains(body, "tickets"), body)
}
