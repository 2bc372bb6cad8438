package ticket

import (
	"net/http"

	"oleandervane.example"
)

// State is the state of a ticket in a ledger.
type State uint8

// The states of a ticket.
const (
	// Malformed: the text is not a ticket of any VM, so no request has ever run with it.
	Malformed State = iota
	// Foreign: another incarnation issued the ticket, or it is not valid for this service and kind. Its request may
	// have run, and only the issuing incarnation can report the outcome.
	Foreign
	// Fresh: Begin has given its caller the only permission to run the request.
	Fresh
	// Unused: the request has not started, but may still start.
	Unused
	// Running: the request has started and has no outcome yet.
	Running
	// Recorded: the outcome is final.
	Recorded
	// Expired: the ticket expired before its request started, so the request can no longer start.
	Expired
	// Forgotten: the ticket expired so long ago that its mark was evicted.
	Forgotten
)

// String returns the state in lower snake case with the prefix ticket_, for reasons and logs.
func (state State) String() string {
	switch state {
	case Malformed:
		return "ticket_malformed"
	case Foreign:
		return "ticket_foreign"
	case Fresh:
		return "ticket_fresh"
	case Unused:
		return "ticket_unused"
	case Running:
		return "ticket_running"
	case Recorded:
		return "ticket_recorded"
	case Expired:
		return "ticket_expired"
	case Forgotten:
		return "ticket_forgotten"
	}
	return "ticket_unknown"
}

// Response is the response of a recorded request. It is immutable, including Header and Body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Complete is true if Body is the whole body. A response that was too large to store has only its status.
	Complete bool
}

func (response Response) size() int {
	size := len(response.Body)
	for name, values := range response.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// Status is the state of a ticket in a ledger at one point in time. It is immutable.
type Status struct {
	State   State
	outcome oleandervane.Outcome
	// Response is the recorded response. Its Complete is false if the response was evicted or was never stored.
	Response Response
	record   *record
}

// Outcome returns the outcome to report to a caller. It returns NotRun only if the request has not run and never will.
func (status Status) Outcome() oleandervane.Outcome {
	switch status.State {
	case Recorded:
		return status.outcome
	case Expired, Malformed:
		return oleandervane.NotRun
	}
	return oleandervane.Unknown
}
