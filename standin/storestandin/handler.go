package storestandin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"oleandervane.example"
	storeclient "oleandervane.example/platform/store"
)

// Handler returns the stand-in as an HTTP service with the protocol of package store. In addition
// GET and PUT /v1/faults read and set the fault switches, and POST /v1/lapse_leases ends all leases.
func (store *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/value", store.serveValue)
	mux.HandleFunc("POST /v1/compare_and_swap", store.serveCompareAndSwap)
	mux.HandleFunc("GET /v1/watch", store.serveWatch)
	mux.HandleFunc("POST /v1/lease", store.serveAcquireLease)
	mux.HandleFunc("POST /v1/lease/release", store.serveReleaseLease)
	mux.HandleFunc("GET /v1/faults", func(writer http.ResponseWriter, _ *http.Request) { writeJSON(writer, store.Faults()) })
	mux.HandleFunc("PUT /v1/faults", store.serveSetFaults)
	mux.HandleFunc("POST /v1/lapse_leases", func(http.ResponseWriter, *http.Request) { store.LapseLeases() })
	return mux
}

func (store *Store) serveValue(writer http.ResponseWriter, request *http.Request) {
	entry, err := store.Get(request.Context(), request.URL.Query().Get("key"))
	if err != nil {
		writeError(writer, err)
		return
	}
	writeEntry(writer, entry)
}

func (store *Store) serveCompareAndSwap(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	}
	if !readJSON(writer, request, &body) {
		return
	}
	entry, err := store.CompareAndSwap(request.Context(), body.Key, body.Version, body.Value)
	if err != nil {
		writeError(writer, err)
		return
	}
	writeJSON(writer, struct {
		Version uint64 `json:"version"`
	}{entry.Version})
}

func (store *Store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	version, err := strconv.ParseUint(query.Get("version"), 10, 64)
	if err != nil {
		http.Error(writer, "version is not a number", http.StatusBadRequest)
		return
	}
	waitMs, err := strconv.ParseUint(query.Get("wait_ms"), 10, 32)
	if err != nil {
		http.Error(writer, "wait_ms is not a number", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	defer store.timerService.After(time.Duration(waitMs)*time.Millisecond, func(time.Time) { cancel() })()
	entry, err := store.Watch(ctx, query.Get("key"), version)
	if err != nil && ctx.Err() != nil {
		writer.WriteHeader(http.StatusNoContent)
		return
	}
	if err != nil {
		writeError(writer, err)
		return
	}
	writeEntry(writer, entry)
}

func (store *Store) serveAcquireLease(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Name       string `json:"name"`
		Holder     string `json:"holder"`
		DurationMs int64  `json:"duration_ms"`
	}
	if !readJSON(writer, request, &body) {
		return
	}
	lease, err := store.AcquireLease(request.Context(), body.Name, body.Holder, time.Duration(body.DurationMs)*time.Millisecond)
	if err != nil {
		writeError(writer, err)
		return
	}
	writeJSON(writer, struct {
		Token uint64 `json:"token"`
	}{lease.Token})
}

func (store *Store) serveReleaseLease(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Name   string `json:"name"`
		Holder string `json:"holder"`
		Token  uint64 `json:"token"`
	}
	if !readJSON(writer, request, &body) {
		return
	}
	lease := oleandervane.Lease{Name: body.Name, Holder: body.Holder, Token: body.Token}
	if err := store.ReleaseLease(request.Context(), lease); err != nil {
		writeError(writer, err)
	}
}

func (store *Store) serveSetFaults(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if readJSON(writer, request, &faults) {
		store.SetFaults(faults)
	}
}

func readJSON(writer http.ResponseWriter, request *http.Request, body any) bool {
	reader := http.MaxBytesReader(writer, request.Body, storeclient.MaxValueBytes*2)
	if err := json.NewDecoder(reader).Decode(body); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeEntry(writer http.ResponseWriter, entry oleandervane.StoreEntry) {
	writeJSON(writer, struct {
		Key     string `json:"key"`
		Value   []byte `json:"value"`
		Version uint64 `json:"version"`
	}{entry.Key, entry.Value, entry.Version})
}

func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	// The status is sent by then; a broken connection is all that can fail.
	_ = json.NewEncoder(writer).Encode(body)
}

// writeError answers with the status of the error. An unavailable store breaks the connection, so that the
// client cannot tell a lost request from a lost answer.
func writeError(writer http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, oleandervane.ErrVersionConflict), errors.Is(err, oleandervane.ErrLeaseHeld):
		http.Error(writer, err.Error(), http.StatusConflict)
	case errors.Is(err, oleandervane.ErrValueTooLarge):
		http.Error(writer, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		panic(http.ErrAbortHandler)
	}
}
