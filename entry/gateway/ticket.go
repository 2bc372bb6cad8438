package gateway

import (
	"net/http"

	"oleandervane.example"
	"oleandervane.example/entry/ticket"
)

// OutcomeBody is the response body of an outcome query for a ticket.
type OutcomeBody struct {
	Outcome oleandervane.Outcome `json:"outcome"`
	// Status is the status of the backend server's response, or 0 if there is none.
	Status int    `json:"status,omitempty"`
	State  string `json:"state"`
}

func (gateway *Gateway) serveTicket(writer http.ResponseWriter, request *http.Request) {
	serviceName, kind, refusal := gateway.requestedKind(request)
	if refusal != nil {
		refusal.write(writer)
		return
	}
	if kind.Idempotent {
		refuse(http.StatusBadRequest, oleandervane.NotRun, "no_ticket_needed", "requests of this kind are idempotent and need no ticket").write(writer)
		return
	}
	text, err := gateway.dependencies.Tickets.Issue(serviceName, kind.Name)
	if err != nil {
		refuseByOutcome(oleandervane.NotRun, "no_ticket", err.Error()).write(writer)
		return
	}
	writeJSON(writer, http.StatusOK, struct {
		Ticket string `json:"ticket"`
	}{text})
}

func (gateway *Gateway) serveOutcome(writer http.ResponseWriter, request *http.Request) {
	text := request.PathValue("ticket")
	status := gateway.dependencies.Tickets.Query(text)
	if status.State != ticket.Foreign {
		writeOutcome(writer, outcomeBody(status))
		return
	}
	writeOutcome(writer, gateway.queryIssuer(request, text, status))
}

func (gateway *Gateway) serveRevoke(writer http.ResponseWriter, request *http.Request) {
	writeOutcome(writer, outcomeBody(gateway.dependencies.Tickets.Revoke(request.PathValue("ticket"))))
}

// LocalOutcome returns the outcome of a ticket in the ledger of this VM, for entry VMs that query it for their callers.
func (gateway *Gateway) LocalOutcome(text string) OutcomeBody {
	return outcomeBody(gateway.dependencies.Tickets.Query(text))
}

// queryIssuer queries the incarnation that issued the ticket. The outcome stays unknown if it does not respond.
func (gateway *Gateway) queryIssuer(request *http.Request, text string, status ticket.Status) OutcomeBody {
	parsed, err := ticket.Parse(text)
	if err != nil {
		return outcomeBody(status)
	}
	for _, entryVM := range gateway.dependencies.Membership.EntryVMs() {
		if entryVM.ID != parsed.VM || entryVM.Incarnation != parsed.Incarnation {
			continue
		}
		body, err := gateway.dependencies.OutcomeRelay.Outcome(request.Context(), entryVM, text)
		if err == nil {
			return body
		}
	}
	return outcomeBody(status)
}

func outcomeBody(status ticket.Status) OutcomeBody {
	return OutcomeBody{Outcome: status.Outcome(), Status: status.Response.Status, State: status.State.String()}
}

func writeOutcome(writer http.ResponseWriter, body OutcomeBody) {
	writer.Header().Set(oleandervane.HeaderOutcome, string(body.Outcome))
	writeJSON(writer, http.StatusOK, body)
}
