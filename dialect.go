package oleandervane

import (
	"net/http"
	"time"
)

// Attempt is the metadata of one attempt that a backend server receives with the request.
type Attempt struct {
	ID string
	// TimeLeft is the time after which nobody waits for the response any more.
	TimeLeft time.Duration
	// BackendServer is the only server that may run the request.
	BackendServer BackendServerID
	// ReplacesOrganisation is set if the installation has organisations. The key of the caller is then not passed on, and
	// Organisation, which is empty if the caller has none, replaces what the caller says about it.
	ReplacesOrganisation bool
	Organisation         OrganisationName
}

// ResponseMetadata is the metadata in the header of a backend server's response. It is immutable.
type ResponseMetadata struct {
	// EchoedIDs are the attempt ids that the response echoes; there should be exactly one.
	EchoedIDs []string
	// NotRun is set if the backend server states that it did not run the request.
	NotRun bool
	// Failed is set if the backend server states that it failed; the request may have run.
	Failed bool
	// Misdirected is set if the address belongs to another backend server now.
	Misdirected bool
	// Unsigned is set if a successful response lacks the signature that every response of a backend server has.
	Unsigned bool
	// Load is the load that the backend server reports; it is valid if LoadKnown is set.
	Load      ReportedLoad
	LoadKnown bool
	// ColdLeft is how much longer the backend server stays cold; zero if the response does not state it.
	ColdLeft time.Duration
	// RateLimit is the number of requests a second that the backend server accepts from all VMs together; zero if it states
	// none.
	RateLimit float64
	// Leaving is set if the backend server states that it leaves.
	Leaving bool
	// ServedBy is the id with which a backend server answers a request for its state; empty if the response does not state it.
	ServedBy BackendServerID
	// RetryAfter is how long a backend server that refused a request wants none from this VM; zero if the response does not state it.
	RetryAfter time.Duration
	// KeepAlive is how long the backend server keeps an idle connection; zero if the response does not state it.
	KeepAlive time.Duration
	// Invalid names the headers that are ignored because their values make no sense.
	Invalid []string
}

// ReportedLoad is the load that a backend server reports in its responses.
type ReportedLoad struct {
	Running int
	Queued  int
	Slots   int
	// Slowness is how many times longer than usual work takes on the machine of the server at this moment; zero if the server does not
	// state it.
	Slowness float64
}

// BackendDialect writes the headers of requests to backend servers and reads those of their responses.
type BackendDialect interface {
	// SetAttemptHeader adds the metadata of an attempt to the header of a request.
	SetAttemptHeader(header http.Header, attempt Attempt)
	// ReadResponse reads the metadata of a response.
	ReadResponse(status int, header http.Header) ResponseMetadata
}

// RequestMetadata is the metadata of a caller's request besides its method, path and body. It is immutable.
type RequestMetadata struct {
	// RequestID identifies one attempt of the caller.
	RequestID string
	// Timeout is how long the caller waits for the response; zero if the request does not state it.
	Timeout time.Duration
	// Object identifies the object that the request is about; empty if the request does not state it.
	Object string
	// Key is the digest of the key of the caller's organisation if KeyState is KeyPresent.
	Key      KeyDigest
	KeyState KeyState
}

// CallerDialect reads the metadata of callers' requests.
type CallerDialect interface {
	ReadRequest(request *http.Request) RequestMetadata
	// SetChallenge adds to the header of a response that its request needs a key.
	SetChallenge(header http.Header)
}
