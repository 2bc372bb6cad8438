package oleandervane

import (
	"net/http"
	"time"
)

// Attempt is what a backend server is told of one attempt beside the request itself.
type Attempt struct {
	ID string
	// TimeLeft is the time after which nobody waits for the answer.
	TimeLeft time.Duration
	// BackendServer is the server that alone may run the request.
	BackendServer BackendServerID
}

// Answer is what the header of a backend server's answer says. It is immutable.
type Answer struct {
	// EchoedIDs are the ids of the attempts to which the answer claims to belong; there should be one.
	EchoedIDs []string
	// NotRun says that the backend server states that it did not run the request.
	NotRun bool
	// Failed says that the backend server states that it failed; the request may have run.
	Failed bool
	// Misdirected says that another backend server has the address now.
	Misdirected bool
	// Unsigned says that a success lacks the mark that every answer of a backend server has.
	Unsigned bool
	// Load is the load that the backend server reports, if LoadKnown.
	Load      ReportedLoad
	LoadKnown bool
	// ColdLeft is how much longer the backend server stays cold, as far as it says so.
	ColdLeft time.Duration
}

// ReportedLoad is the load of a backend server as its answers state it.
type ReportedLoad struct {
	Running int
	Queued  int
	Slots   int
}

// BackendDialect is how requests to backend servers are marked and their answers are read.
type BackendDialect interface {
	// SetAttemptHeader adds the marks of an attempt to the header of a request.
	SetAttemptHeader(header http.Header, attempt Attempt)
	// ReadAnswer reads the marks of an answer.
	ReadAnswer(status int, header http.Header) Answer
}

// RequestMetadata is what a caller's request says beside method, path and body. It is immutable.
type RequestMetadata struct {
	// RequestID identifies one attempt of the caller.
	RequestID string
	// Timeout is how long the caller waits for the answer; zero when it does not say.
	Timeout time.Duration
	// Object identifies what the request is about; empty when it does not say.
	Object string
}

// CallerDialect reads the requests of callers.
type CallerDialect interface {
	ReadRequest(request *http.Request) RequestMetadata
}
