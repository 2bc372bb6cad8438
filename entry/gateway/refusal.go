package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
)

// retryAfterSeconds is the value of the header Retry-After for a request that was not run.
const retryAfterSeconds = 1

// refusal is a response that the gateway itself generates, as opposed to the response of a backend server.
type refusal struct {
	Status      int                  `json:"-"`
	Outcome     oleandervane.Outcome `json:"outcome"`
	Reason      forward.Reason       `json:"reason"`
	Detail      string               `json:"detail,omitempty"`
	TicketState string               `json:"ticket_state,omitempty"`
}

func refuse(status int, outcome oleandervane.Outcome, reason forward.Reason, detail string) *refusal {
	return &refusal{Status: status, Outcome: outcome, Reason: reason, Detail: detail}
}

// refuseByOutcome returns a refusal with the status for the outcome: 503 for NotRun, otherwise 504.
func refuseByOutcome(outcome oleandervane.Outcome, reason forward.Reason, detail string) *refusal {
	status := http.StatusGatewayTimeout
	if outcome == oleandervane.NotRun {
		status = http.StatusServiceUnavailable
	}
	return refuse(status, outcome, reason, detail)
}

func (refusal *refusal) withTicketState(state string) *refusal {
	result := *refusal
	result.TicketState = state
	return &result
}

func (refusal *refusal) write(writer http.ResponseWriter) {
	header := writer.Header()
	header.Set(oleandervane.HeaderOutcome, string(refusal.Outcome))
	header.Set(oleandervane.HeaderReason, string(refusal.Reason))
	if refusal.Outcome == oleandervane.NotRun && refusal.Status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	writeJSON(writer, refusal.Status, refusal)
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// An error here means that the connection has failed, so it cannot be reported to the caller.
	_ = json.NewEncoder(writer).Encode(body)
}
