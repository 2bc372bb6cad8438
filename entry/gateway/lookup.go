package gateway

import (
	"net/http"

	"oleandervane.example"
	"oleandervane.example/entry/lookup"
)

// entryVMsInLookup is how many entry VMs a look-up returns: one to use and two as alternatives.
const entryVMsInLookup = 3

// ticketsInLookup is how many tickets a look-up returns when it directs the caller to this VM.
const ticketsInLookup = 1

type namedEntryVM struct {
	ID      oleandervane.VMID `json:"id"`
	Address string            `json:"address"`
}

func (gateway *Gateway) serveLookup(writer http.ResponseWriter, request *http.Request) {
	serviceName, kind, refusal := gateway.requestedKind(request)
	if refusal != nil {
		refusal.write(writer)
		return
	}
	gateway.dependencies.Observer.LookupServed(serviceName)
	var entryVMs [lookup.MaxEntryVMs]oleandervane.EntryVM
	decision := gateway.dependencies.Lookup.Decide(gateway.callerAddress(request), entryVMs[:entryVMsInLookup])
	if decision.Count == 0 {
		refuse(http.StatusServiceUnavailable, oleandervane.NotRun, "no_entry_vm", "no entry VM is known to be alive").write(writer)
		return
	}
	configuration := gateway.dependencies.Configuration.Configuration()
	writeJSON(writer, http.StatusOK, struct {
		EntryVMs       []namedEntryVM        `json:"entry_vms"`
		LifetimeMillis int64                 `json:"lifetime_ms"`
		Revision       oleandervane.Revision `json:"revision"`
		Home           oleandervane.Region   `json:"home"`
		Tickets        []string              `json:"tickets,omitempty"`
	}{
		EntryVMs:       toNamedEntryVMs(entryVMs[:decision.Count]),
		LifetimeMillis: configuration.LookupLifetime.Milliseconds(),
		Revision:       configuration.Revision,
		Home:           decision.Home,
		Tickets:        gateway.ticketsFor(entryVMs[0], serviceName, kind),
	})
}

func toNamedEntryVMs(entryVMs []oleandervane.EntryVM) []namedEntryVM {
	result := make([]namedEntryVM, 0, len(entryVMs))
	for _, entryVM := range entryVMs {
		result = append(result, namedEntryVM{ID: entryVM.ID, Address: entryVM.CallerAddress.String()})
	}
	return result
}

// ticketsFor returns tickets if the look-up directs the caller to this VM for a non-idempotent kind. Another VM does
// not accept tickets of this VM.
func (gateway *Gateway) ticketsFor(first oleandervane.EntryVM, serviceName oleandervane.ServiceName, kind oleandervane.Kind) []string {
	if kind.Idempotent || first.ID != gateway.dependencies.Membership.Self().ID {
		return nil
	}
	var tickets []string
	for range ticketsInLookup {
		text, err := gateway.dependencies.Tickets.Issue(serviceName, kind.Name)
		if err != nil {
			return tickets
		}
		tickets = append(tickets, text)
	}
	return tickets
}

// requestedKind returns the service and kind that the query names.
func (gateway *Gateway) requestedKind(request *http.Request) (oleandervane.ServiceName, oleandervane.Kind, *refusal) {
	query := request.URL.Query()
	serviceName := oleandervane.ServiceName(query.Get("service"))
	kind, refusal := gateway.findKind(serviceName, oleandervane.KindName(query.Get("kind")))
	return serviceName, kind, refusal
}

func (gateway *Gateway) findKind(serviceName oleandervane.ServiceName, kindName oleandervane.KindName) (oleandervane.Kind, *refusal) {
	configuration := gateway.dependencies.Configuration.Configuration()
	if configuration == nil {
		return oleandervane.Kind{}, refuse(http.StatusServiceUnavailable, oleandervane.NotRun, "no_configuration", "this entry VM has no configuration yet")
	}
	kind, found := configuration.Kind(serviceName, kindName)
	if !found {
		return oleandervane.Kind{}, refuse(http.StatusNotFound, oleandervane.NotRun, "unknown_kind", "the configuration has no such service and kind of request")
	}
	return kind, nil
}
