package ticket

import (
	"net/http"

	"oleandervane.example"
)

// State is what a ledger knows of a ticket.
type State uint8

// The states of a ticket.
const (
	// Malformed: the text is no ticket of any VM, so no request ever ran with it.
	Malformed State = iota
	// Foreign: another incarnation issued the ticket, or it is not valid for this service and kind. Its request
	// may have run, so only the issuing incarnation may say more.
	Foreign
	// Fresh: the caller of Begin holds the only permission to run the request.
	Fresh
	// Unused: the request has not begun, but may still begin.
	Unused
	// Running: the request has begun and has no outcome yet.
	Running
	// Recorded: the outcome is final.
	Recorded
	// Expired: the ticket expired before its request began, and it can no longer begin.
	Expired
	// Forgotten: the ticket expired so long ago that its mark was dropped.
	Forgotten
)

// String returns the state in lower snake case, for reasons and logs.
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

// Response is the response of a recorded request. It is immutable: nobody changes Header or Body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Complete says that Body is the whole body. A response that was too large to keep has its status only.
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

// Answer is what a ledger says of a ticket at one moment. It is immutable.
type Answer struct {
	State   State
	outcome oleandervane.Outcome
	// Response is the recorded response. Its Complete is false when the response was dropped or never kept.
	Response Response
	record   *record
}

// Outcome returns what a caller may be told. NotRun is only for a request that has not run and never will.
func (answer Answer) Outcome() oleandervane.Outcome {
	switch answer.State {
	case Recorded:
		return answer.outcome
	case Expired, Malformed:
		return oleandervane.NotRun
	}
	return oleandervane.Unknown
}
