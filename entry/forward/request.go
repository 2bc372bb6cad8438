package forward

import (
	"errors"
	"net/http"
	"time"

	"oleandervane.example"
)

// Request is a request to forward. It is immutable. The body is buffered completely, so that it is never written partly
// because its caller stopped sending.
type Request struct {
	// ID is the id of every attempt; if it is empty, each attempt gets its own.
	ID string
	// Caller identifies the sender of the request. A request whose content servers answer to others is refused only to the caller
	// whose sends crash servers.
	Caller  string
	Service oleandervane.ServiceName
	Kind    oleandervane.Kind
	Method  string
	// Host is the host that the caller requested; if it is empty, the address of the target is sent.
	Host string
	// Path is the escaped path from the first slash on; RawQuery has no question mark.
	Path     string
	RawQuery string
	Header   http.Header
	Body     []byte
	// ReplacesOrganisation and Organisation are those of oleandervane.Attempt.
	ReplacesOrganisation bool
	Organisation         oleandervane.OrganisationName
	// Deadline is by the clock of the timer service.
	Deadline time.Time
	// BeforeWrite, if set, is called immediately before the first byte of an attempt is written. When it fails, nothing
	// is written and the request has not run. An example is ticket.Run.CheckExpiry.
	BeforeWrite func() error
	// MaxAttempts bounds the attempts; zero selects the forwarder's setting. A VM that serves a relayed request sets 1,
	// so that retries of two VMs do not multiply.
	MaxAttempts int
	// Abandoned, if set, reports whether the caller has disconnected. Then no further attempt starts; a running one
	// continues.
	Abandoned func() bool
	// RetryFailures retries an idempotent request when a backend server responds with a status of 500 or higher.
	RetryFailures bool
}

// Reason says in lower snake case why a request has its outcome.
type Reason string

// The reasons of outcomes. A relay target may state others.
const (
	ReasonNoBackendServer Reason = "no_backend_server"
	ReasonQuarantined     Reason = "quarantined"
	ReasonUnreachable     Reason = "unreachable"
	ReasonShed            Reason = "shed_by_backend_server"
	ReasonMisdirected     Reason = "another_backend_server_at_the_address"
	ReasonDeadline        Reason = "deadline"
	ReasonCancelled       Reason = "cancelled"
	ReasonRefused         Reason = "refused_before_write"
	ReasonBroken          Reason = "connection_broken"
	ReasonSilent          Reason = "connection_silent"
	ReasonTruncated       Reason = "response_truncated"
	ReasonTooLong         Reason = "response_too_long"
	ReasonInvalid         Reason = "response_invalid"
	ReasonMismatch        Reason = "response_of_another_request"
	ReasonNoOutcome       Reason = "no_outcome_stated"
	// ReasonReconsidered is the reason of attempts that end before anything was sent, because another target is better.
	ReasonReconsidered Reason = "reconsidered"
)

// Errors of a Result or a streamed response.
var (
	ErrDeadline  = errors.New("the deadline of the request has passed")
	ErrSilent    = errors.New("the connection went silent")
	ErrTruncated = errors.New("the response was cut off")
	ErrTooLong   = errors.New("the response is longer than the size limit")
	ErrMismatch  = errors.New("the response belongs to another request")
)

// AttemptSummary describes one attempt, for logs. It is immutable.
type AttemptSummary struct {
	Target  string
	Outcome oleandervane.Outcome
	Reason  Reason
	// SentAfter is the time since the start of the first attempt.
	SentAfter time.Duration
}

// Result is the result of forwarding a request.
type Result struct {
	Outcome oleandervane.Outcome
	// Reason is empty when the outcome is Answered.
	Reason Reason
	// Response is set when the outcome is Answered. It must be closed.
	Response *Response
	// Identity identifies the request, for logs.
	Identity Identity
	// Target is the target of the last attempt.
	Target   Target
	Attempts int
	// AttemptSummaries describes all attempts in order.
	AttemptSummaries []AttemptSummary
	// Err is the error of the last attempt, for logs.
	Err error
}
