package forward

import (
	"errors"
	"net/http"
	"time"

	"oleandervane.example"
)

// Request is a request to forward. It is immutable. The body is held as a whole, so that it is never written half
// because its caller stopped sending.
type Request struct {
	// ID is the id of every attempt; empty gives each attempt one of its own.
	ID string
	// Caller identifies who sends the request; a request that crashes backend servers is refused to its caller only.
	Caller  string
	Service oleandervane.ServiceName
	Kind    oleandervane.Kind
	Method  string
	// Host is the host that the caller asked for; empty sends the address of the target.
	Host string
	// Path is the escaped path from the first slash on; RawQuery has no question mark.
	Path     string
	RawQuery string
	Header   http.Header
	Body     []byte
	// Deadline is by the clock of the timer service.
	Deadline time.Time
	// BeforeWrite, if set, is called immediately before the first byte of an attempt is written. When it fails,
	// nothing is written and the request was not run. ticket.Run.CheckExpiry is one.
	BeforeWrite func() error
	// MaxAttempts bounds the attempts; zero takes the forwarder's setting. A VM that serves a relayed request sets
	// 1, so that retries of two VMs do not multiply.
	MaxAttempts int
	// Abandoned, if set, says whether the caller has left. Then no further attempt begins; one that runs goes on.
	Abandoned func() bool
	// RetryFailures sends an idempotent request again when a backend server answers with a status from 500 on.
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
	ReasonMismatch        Reason = "response_of_another_request"
	ReasonNoOutcome       Reason = "no_outcome_stated"
)

// Errors that a Result or a streamed response carries.
var (
	ErrDeadline  = errors.New("the deadline of the request has passed")
	ErrSilent    = errors.New("the connection went silent")
	ErrTruncated = errors.New("the response was cut off")
	ErrTooLong   = errors.New("the response is longer than the largest one that is passed on")
	ErrMismatch  = errors.New("the response belongs to another request")
)

// AttemptSummary tells what became of one attempt. It is immutable.
type AttemptSummary struct {
	Target  string
	Outcome oleandervane.Outcome
	Reason  Reason
	// SentAfter is the time from the start of the first attempt.
	SentAfter time.Duration
}

// Result tells what became of a request.
type Result struct {
	Outcome oleandervane.Outcome
	// Reason is empty when the outcome is Answered.
	Reason Reason
	// Response is set when the outcome is Answered. It must be closed.
	Response *Response
	// Target is the target of the last attempt.
	Target   Target
	Attempts int
	// AttemptSummaries tells of all attempts in order.
	AttemptSummaries []AttemptSummary
	// Err is the error of the last attempt, for logs.
	Err error
}
