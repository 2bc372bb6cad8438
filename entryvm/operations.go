package entryvm

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"slices"
	"strings"
	"time"

	"oleandervane.example"
	"oleandervane.example/operator/status"
)

// operationsHandler serves operators: health, metrics, status, explanations, the counters of the burn report and
// profiles.
func (entryVM *EntryVM) operationsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health/live", func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /health/ready", entryVM.serveReady)
	mux.HandleFunc("GET /metrics", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "text/plain; version=0.0.4")
		entryVM.observer.Write(writer)
	})
	mux.HandleFunc("GET /v1/status", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, entryVM.status())
	})
	mux.HandleFunc("GET /v1/explain", func(writer http.ResponseWriter, request *http.Request) {
		query := request.URL.Query()
		flow := oleandervane.Flow{
			Service: oleandervane.ServiceName(query.Get("service")),
			Home:    oleandervane.Region(query.Get("home")),
		}
		writeJSON(writer, entryVM.explain(flow))
	})
	mux.HandleFunc("GET /v1/burn", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, entryVM.recorder.Response())
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return mux
}

func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	// Encoding fails only when the connection is closed, and then nobody can receive the error.
	_ = json.NewEncoder(writer).Encode(body)
}

// serveReady responds with 204 if this VM can serve callers, and with 503 and the reason if it cannot.
func (entryVM *EntryVM) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if reason := entryVM.notReadyReason(); reason != "" {
		http.Error(writer, reason, http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

// notReadyReason returns why this VM cannot serve callers, or an empty string if it can.
func (entryVM *EntryVM) notReadyReason() string {
	node := entryVM.daemon.Node
	if node.Configuration() == nil {
		return "no configuration is in force"
	}
	if backendServers, _ := node.BackendServers(); len(backendServers) == 0 {
		return "no backend server of this region is known"
	}
	if !entryVM.steerer.Restored() {
		return "the shares of this region are not known yet"
	}
	return ""
}

func (entryVM *EntryVM) status() status.Status {
	node := entryVM.daemon.Node
	self := node.Membership().Self()
	result := status.Status{
		ID:            self.ID,
		Incarnation:   self.Incarnation,
		Region:        self.Region,
		FailureDomain: self.FailureDomain,
		State:         self.State.String(),
		Peers:         map[string]int{},
		Store:         entryVM.storeHealth(),
	}
	if configuration := node.Configuration(); configuration != nil {
		result.Revision = configuration.Revision
	}
	for _, other := range node.Membership().EntryVMs() {
		if other.ID != self.ID {
			result.Peers[other.State.String()]++
		}
	}
	for flow, shares := range entryVM.steerer.PeerShares().Shares {
		result.Shares = append(result.Shares, status.FlowShares{Service: flow.Service, Home: flow.Home, Shares: shares})
	}
	slices.SortFunc(result.Shares, func(a, b status.FlowShares) int {
		return strings.Compare(string(a.Service)+" "+string(a.Home), string(b.Service)+" "+string(b.Home))
	})
	return result
}

// maxStoreCheckAge is the age up to which a read of the store shows that the store is reachable. Watchers read the
// store each minute or more often.
const maxStoreCheckAge = 2 * time.Minute

func (entryVM *EntryVM) storeHealth() status.StoreHealth {
	age, known := entryVM.daemon.Node.StoreCheckAge()
	if !known {
		return status.StoreHealth{AgeSeconds: -1, Detail: "no read of the store is known"}
	}
	return status.StoreHealth{Reachable: age <= maxStoreCheckAge, AgeSeconds: age.Seconds()}
}

func (entryVM *EntryVM) explain(flow oleandervane.Flow) status.Explanation {
	explanation := status.Explanation{
		ID:      entryVM.self.ID,
		Service: flow.Service,
		Home:    flow.Home,
		Shares:  entryVM.steerer.PeerShares().Shares[flow],
		Reasons: []string{"no decision has been made for this flow yet"},
	}
	if configuration := entryVM.daemon.Node.Configuration(); configuration != nil {
		explanation.Revision = configuration.Revision
	}
	if reason, found := entryVM.steerer.Explain()[flow]; found {
		explanation.Reasons = []string{reason}
	}
	explanation.Reasons = append(explanation.Reasons, entryVM.inputs.explain(flow)...)
	return explanation
}
