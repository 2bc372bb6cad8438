package forward

import (
	"net/http"

	"oleandervane.example"
)

// RetryPolicy says which attempts of a request may be followed by another one. It is immutable.
type RetryPolicy struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	// RetryFailures sends an idempotent request again when a backend server answers with a status from 500 on.
	RetryFailures bool
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
}

// RetryState is what is known of a request after an attempt. It is immutable.
type RetryState struct {
	Outcome oleandervane.Outcome
	Reason  Reason
	// Status and Streamed describe the answer of the backend server, if there is one.
	Status   int
	Streamed bool
	// MayHaveRun says that some attempt may have run.
	MayHaveRun bool
	// Abandoned says that the caller has left.
	Abandoned   bool
	Quarantined bool
	Attempts    int
}

// MayRetryFailure says whether an answer is a failure that another backend server may not have.
func (retryRule RetryPolicy) MayRetryFailure(attempted RetryState) bool {
	return attempted.Outcome == oleandervane.Answered && retryRule.RetryFailures && retryRule.Idempotent &&
		attempted.Status >= http.StatusInternalServerError && !attempted.Streamed
}

// MayRetry says whether the request may be sent to another backend server.
func (retryRule RetryPolicy) MayRetry(attempted RetryState) bool {
	if attempted.Outcome == oleandervane.Answered || attempted.Abandoned || attempted.Quarantined {
		return false
	}
	if attempted.MayHaveRun && !retryRule.Idempotent {
		return false
	}
	switch attempted.Reason {
	case ReasonDeadline, ReasonCancelled, ReasonRefused, ReasonQuarantined:
		return false
	}
	return attempted.Attempts < retryRule.MaxAttempts
}
