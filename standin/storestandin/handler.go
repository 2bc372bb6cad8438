package storestandin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"oleandervane.example"
	storeclient "oleandervane.example/platform/store"
)

// pageItems is the number of items in one page of a listing.
const pageItems = 500

// Handler returns an HTTP handler that serves the store with the protocol of package store. In addition,
// GET and PUT /v1/faults read and set the fault switches, and POST /v1/lapse_leases ends all leases.
func (store *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /oleandervane/kv-key", store.serveKey)
	mux.HandleFunc("GET /oleandervane/kv-range", store.serveRange)
	mux.HandleFunc("GET /oleandervane/kv-watch", store.serveWatch)
	mux.HandleFunc("POST /oleandervane/kv-txn", store.serveTransaction)
	mux.HandleFunc("POST /oleandervane/kv-lease", store.serveGrant)
	mux.HandleFunc("POST /oleandervane/kv-keep/{lease}", store.serveRenew)
	mux.HandleFunc("DELETE /oleandervane/kv-lease-end/{lease}", store.serveEnd)
	mux.HandleFunc("GET /v1/faults", func(writer http.ResponseWriter, _ *http.Request) { writeJSON(writer, store.Faults()) })
	mux.HandleFunc("PUT /v1/faults", store.serveSetFaults)
	mux.HandleFunc("POST /v1/lapse_leases", func(http.ResponseWriter, *http.Request) { store.LapseLeases() })
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		mux.ServeHTTP(&eraWriter{ResponseWriter: writer, store: store}, request)
	})
}

// eraWriter adds the era to each response, as it is when the response is written.
type eraWriter struct {
	http.ResponseWriter
	store *Store
}

func (eraWriter *eraWriter) WriteHeader(status int) {
	// Handlers that return a state set the era of the state.
	if eraWriter.Header().Get(eraHeader) == "" {
		setEra(eraWriter, eraWriter.store.Era())
	}
	eraWriter.ResponseWriter.WriteHeader(status)
}

func (eraWriter *eraWriter) Write(body []byte) (int, error) {
	if eraWriter.Header().Get(eraHeader) == "" {
		setEra(eraWriter, eraWriter.store.Era())
	}
	return eraWriter.ResponseWriter.Write(body)
}

const eraHeader = "Store-Era"

func setEra(writer http.ResponseWriter, era oleandervane.StoreEra) {
	writer.Header().Set(eraHeader, strconv.FormatUint(uint64(era), 10))
}

// item is an entry or a removal on the wire.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func itemOf(storeEntry oleandervane.StoreEntry, removed bool) item {
	return item{Key: storeEntry.Key, Value: storeEntry.Value, Revision: storeEntry.Version, Tombstone: removed}
}

func (store *Store) serveKey(writer http.ResponseWriter, request *http.Request) {
	storeEntry, err := store.Get(request.Context(), request.URL.Query().Get("key"))
	if err != nil {
		writeError(writer, err)
		return
	}
	if storeEntry.Version == 0 {
		http.NotFound(writer, request)
		return
	}
	writeJSON(writer, itemOf(storeEntry, false))
}

func (store *Store) serveRange(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	entries, revision, err := store.List(request.Context(), query.Get("prefix"))
	if err != nil {
		writeError(writer, err)
		return
	}
	setEra(writer, revision.Era)
	items := []item{}
	more := false
	for _, storeEntry := range entries {
		if storeEntry.Key <= query.Get("after") {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, itemOf(storeEntry, false))
	}
	writeJSON(writer, struct {
		Items    []item `json:"items"`
		HasMore  bool   `json:"has_more"`
		Revision uint64 `json:"current_rev"`
	}{items, more, revision.Number})
}

func (store *Store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(writer, "after is not a number", http.StatusBadRequest)
		return
	}
	waitMillis, err := strconv.ParseUint(query.Get("wait_ms"), 10, 32)
	if err != nil {
		http.Error(writer, "wait_ms is not a number", http.StatusBadRequest)
		return
	}
	changes, err := store.WatchPrefix(request.Context(), query.Get("prefix"), oleandervane.StoreRevision{Era: store.Era(), Number: after}, time.Duration(waitMillis)*time.Millisecond)
	if err != nil {
		writeError(writer, err)
		return
	}
	setEra(writer, changes.Revision.Era)
	events := []item{}
	for _, storeChange := range changes.Changes {
		events = append(events, itemOf(storeChange.Entry, storeChange.Removed))
	}
	writeJSON(writer, struct {
		Events   []item `json:"events"`
		Revision uint64 `json:"current_rev"`
	}{events, changes.Revision.Number})
}

func (store *Store) serveTransaction(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Conditions []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Removals []string `json:"remove"`
	}
	if !readJSON(writer, request, &body) {
		return
	}
	storeTransaction := oleandervane.StoreTransaction{Conditions: map[string]uint64{}, Removals: body.Removals}
	for _, condition := range body.Conditions {
		storeTransaction.Conditions[condition.Key] = condition.Revision
	}
	for _, write := range body.Writes {
		storeTransaction.Writes = append(storeTransaction.Writes, oleandervane.StoreWrite{Key: write.Key, Value: write.Value, Lease: store.leaseOf(write.Lease)})
	}
	revision, err := store.Commit(request.Context(), storeTransaction)
	if err != nil {
		writeError(writer, err)
		return
	}
	writeJSON(writer, struct {
		Revision uint64 `json:"revision"`
	}{revision})
}

func (store *Store) serveGrant(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Seconds float64 `json:"ttl_s_time"`
	}
	if !readJSON(writer, request, &body) {
		return
	}
	granted, err := store.GrantLease(request.Context(), time.Duration(body.Seconds*float64(time.Second)))
	if err != nil {
		writeError(writer, err)
		return
	}
	writeJSON(writer, struct {
		Lease   uint64  `json:"lease"`
		Seconds float64 `json:"ttl_s_time"`
	}{granted.Number, body.Seconds})
}

func (store *Store) serveRenew(writer http.ResponseWriter, request *http.Request) {
	if err := store.RenewLease(request.Context(), store.leaseIn(request)); err != nil {
		writeError(writer, err)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

func (store *Store) serveEnd(writer http.ResponseWriter, request *http.Request) {
	if err := store.EndLease(request.Context(), store.leaseIn(request)); err != nil {
		writeError(writer, err)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// leaseOf returns the lease with a number, 0 for none.
func (store *Store) leaseOf(number uint64) oleandervane.LeaseID {
	if number == 0 {
		return oleandervane.LeaseID{}
	}
	return oleandervane.LeaseID{Era: store.Era(), Number: number}
}

// leaseIn returns the lease whose number is in the path, or none if it is not a number.
func (store *Store) leaseIn(request *http.Request) oleandervane.LeaseID {
	number, err := strconv.ParseUint(request.PathValue("lease"), 10, 64)
	if err != nil {
		return oleandervane.LeaseID{}
	}
	return store.leaseOf(number)
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

func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	// The status has been sent, so the only possible failure is a broken connection.
	_ = json.NewEncoder(writer).Encode(body)
}

// writeError responds with the status code of the error. For an unavailable store it aborts the connection, so that the
// client cannot tell a lost request from a lost response.
func writeError(writer http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, oleandervane.ErrVersionConflict):
		http.Error(writer, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, oleandervane.ErrHistoryGone):
		http.Error(writer, err.Error(), http.StatusGone)
	case errors.Is(err, oleandervane.ErrLeaseGone):
		http.Error(writer, err.Error(), http.StatusNotFound)
	case errors.Is(err, oleandervane.ErrValueTooLarge):
		http.Error(writer, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		panic(http.ErrAbortHandler)
	}
}
