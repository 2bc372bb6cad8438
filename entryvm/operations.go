package entryvm

import "net/http"

// operationsHandler serves operators: health and metrics.
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
	return mux
}

// serveReady answers 204 when this VM can serve callers, and 503 with the reason when it cannot.
func (entryVM *EntryVM) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if reason := entryVM.unready(); reason != "" {
		http.Error(writer, reason, http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}
