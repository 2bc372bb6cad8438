package forward

import (
	"net/http"

	"oleandervane.example"
)

// RetryPolicy determines after which attempts a request may be retried. It is immutable.
type RetryPolicy struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	// RetryFailures retries an idempotent request when a backend server responds with a status of 500 or higher.
	RetryFailures bool
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
}

// RetryState is the state of a request after an attempt. It is immutable.
type RetryState struct {
	Outcome oleandervane.Outcome
	Reason  Reason
	// Status and Streamed describe the response of the backend server, if there is one.
	Status   int
	Streamed bool
	// MayHaveRun says that some attempt may have run.
	MayHaveRun bool
	// Abandoned says that the caller has disconnected.
	Abandoned   bool
	Quarantined bool
	Attempts    int
}

// MayRetryFailure reports whether a response is a failure that may not occur on another backend server.
func (retryPolicy RetryPolicy) MayRetryFailure(retryState RetryState) bool {
	return retryState.Outcome == oleandervane.Answered && retryPolicy.RetryFailures && retryPolicy.Idempotent &&
		retryState.Status >= http.StatusInternalServerError && !retryState.Streamed
}

// MayRetry reports whether the request may be sent to another backend server.
func (retryPolicy RetryPolicy) MayRetry(retryState RetryState) bool {
	if retryState.Outcome == oleandervane.Answered || retryState.Abandoned || retryState.Quarantined {
		return false
	}
	if retryState.MayHaveRun && !retryPolicy.Idempotent {
		return false
	}
	switch retryState.Reason {
	case ReasonDeadline, ReasonCancelled, ReasonRefused, ReasonQuarantined:
		return false
	}
	return retryState.Attempts < retryPolicy.MaxAttempts
}
