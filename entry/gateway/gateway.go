package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
	"oleandervane.example/entry/lookup"
	"oleandervane.example/entry/ticket"
)

// Lookup decides which entry VMs a caller should use, and which region is the caller's home region.
type Lookup interface {
	Decide(address netip.Addr, entryVMs []oleandervane.EntryVM) lookup.Decision
}

// Forwarder sends requests to backend servers and entry VMs of other regions.
type Forwarder interface {
	Forward(ctx context.Context, request forward.Request, chooser forward.TargetChooser) forward.Result
}

// GrantController admits relayed requests within the grants of this VM to the home regions of their callers.
type GrantController interface {
	// TryAdmit deducts one request from the grant and reports whether the grant allowed it.
	TryAdmit(now time.Time, serviceName oleandervane.ServiceName, home oleandervane.Region) bool
}

// OutcomeRelay queries the entry VM that issued a ticket for the outcome of its request.
type OutcomeRelay interface {
	Outcome(ctx context.Context, issuer oleandervane.EntryVM, ticketText string) (OutcomeBody, error)
}

// Observer is notified of every look-up and request. Its methods are called while a request is served and must not
// block.
type Observer interface {
	LookupServed(serviceName oleandervane.ServiceName)
	Arrived(serviceName oleandervane.ServiceName, kind oleandervane.Kind, home oleandervane.Region)
	Finished(completion Completion)
	// LoadReported is called with the load that a backend server reported in a response.
	LoadReported(serviceName oleandervane.ServiceName, report oleandervane.LoadReport)
}

// PointSource returns the point in [0, 1) that selects the region of a request from the shares of its flow.
type PointSource interface {
	Point(serviceName oleandervane.ServiceName, kind oleandervane.Kind) float64
}

// Completion describes how a request ended. It is immutable.
type Completion struct {
	Service oleandervane.ServiceName
	Kind    oleandervane.Kind
	Home    oleandervane.Region
	// ServedIn is the region whose backend server answered the request, or empty if none did.
	ServedIn oleandervane.Region
	Outcome  oleandervane.Outcome
	Reason   forward.Reason
	Status   int
	Latency  time.Duration
	Attempts int
	// Relayed is true if another entry VM received the request from its caller.
	Relayed bool
}

// Settings are the settings of a Gateway. They are immutable.
type Settings struct {
	MaxBodyBytes int64
	// TrustCallerAddressHeader makes the gateway read the caller's address from X-Forwarded-For.
	TrustCallerAddressHeader bool
}

// Dependencies are the components that a Gateway uses. All are required.
type Dependencies struct {
	Membership    oleandervane.Membership
	Configuration oleandervane.ConfigurationSource
	Lookup        Lookup
	Tickets       *ticket.Ledger
	Admission     oleandervane.AdmissionController
	Regions       oleandervane.RegionChooser
	Backends      oleandervane.BackendChooser
	Forwarder     Forwarder
	Grants        GrantController
	OutcomeRelay  OutcomeRelay
	Observer      Observer
	TimerService  oleandervane.TimerService
	Points        PointSource
}

// Gateway serves requests of callers and relayed requests. It is safe for concurrent use.
type Gateway struct {
	settings     Settings
	dependencies Dependencies
	inFlight     inFlight
}

// New returns a gateway with the given dependencies.
func New(settings Settings, dependencies Dependencies) *Gateway {
	return &Gateway{settings: settings, dependencies: dependencies}
}

// CallerHandler returns the handler for the address that callers use.
func (gateway *Gateway) CallerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/lookup", gateway.serveLookup)
	mux.HandleFunc("POST /v1/ticket", gateway.serveTicket)
	mux.HandleFunc("GET /v1/outcome/{ticket}", gateway.serveOutcome)
	mux.HandleFunc("POST /v1/outcome/{ticket}/revoke", gateway.serveRevoke)
	// Requests are matched by prefix, because the mux would clean their paths and redirect.
	return PrefixHandler(requestPrefix, http.HandlerFunc(gateway.serveRequest), mux)
}

// RelayHandler returns the handler for requests that entry VMs of other regions relay.
func (gateway *Gateway) RelayHandler() http.Handler {
	return http.HandlerFunc(gateway.serveRelay)
}

// InFlight returns the number of requests that are being served.
func (gateway *Gateway) InFlight() int64 {
	return gateway.inFlight.count()
}

// Drain waits until no request is in flight, or ctx ends.
func (gateway *Gateway) Drain(ctx context.Context) error {
	return gateway.inFlight.wait(ctx, gateway.dependencies.TimerService)
}
