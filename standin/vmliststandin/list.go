// Package vmliststandin is a stand-in for the platform's list of live and leaving VMs, in process or over HTTP.
// Fault switches make it lag, freeze or fail.
package vmliststandin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/platform/vmlist"
)

// Faults are the fault switches of a list stand-in. The zero value is a healthy list without lag.
type Faults struct {
	// Down makes every read fail.
	Down bool `json:"down"`
	// Lag is the age of the listing that a read returns.
	Lag time.Duration `json:"lag"`
	// Frozen makes reads return the listing as of the time when the switch was set.
	Frozen bool `json:"frozen"`
}

// List is an in-memory oleandervane.VMList. It is safe for concurrent use.
type List struct {
	timerService oleandervane.TimerService

	mutex    sync.Mutex
	faults   Faults
	frozenAt time.Time
	// history has the listings in the order in which they were set, oldest first.
	history []oleandervane.VMListing
	reads   uint64
}

// maxHistory is the number of listings that are kept to serve Lag; older ones are dropped.
const maxHistory = 10_000

// New returns an empty list.
func New(timerService oleandervane.TimerService) *List {
	return &List{timerService: timerService}
}

// Set replaces the listing.
func (list *List) Set(listing oleandervane.VMListing) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	listing.ReadAt = list.timerService.Now()
	list.history = append(list.history, listing)
	if len(list.history) > maxHistory {
		list.history = list.history[1:]
	}
}

// Faults returns the current switches.
func (list *List) Faults() Faults {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.faults
}

// SetFaults sets all switches.
func (list *List) SetFaults(faults Faults) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	if faults.Frozen && !list.faults.Frozen {
		list.frozenAt = list.timerService.Now()
	}
	list.faults = faults
}

// Reads returns the number of reads so far.
func (list *List) Reads() uint64 {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.reads
}

// Read returns the listing as of Lag before now, or before the freeze if the list is frozen.
func (list *List) Read(ctx context.Context) (oleandervane.VMListing, error) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.reads++
	if list.faults.Down || ctx.Err() != nil {
		return oleandervane.VMListing{}, eris.Wrap(vmlist.ErrUnavailable, "read VM list")
	}
	now := list.timerService.Now()
	asOf := now
	if list.faults.Frozen {
		asOf = list.frozenAt
	}
	listing := list.listingAt(asOf.Add(-list.faults.Lag))
	listing.ReadAt = now
	return listing, nil
}

func (list *List) listingAt(asOf time.Time) oleandervane.VMListing {
	for index := len(list.history) - 1; index >= 0; index-- {
		if !list.history[index].ReadAt.After(asOf) {
			return list.history[index]
		}
	}
	return oleandervane.VMListing{}
}

// Handler returns an HTTP handler that serves the list with the protocol of package vmlist. In addition,
// GET and PUT /v1/faults read and set the fault switches, and PUT /v1/vms replaces the listing.
func (list *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", list.serveRead)
	mux.HandleFunc("PUT /v1/vms", list.serveSet)
	mux.HandleFunc("GET /v1/faults", func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(list.Faults())
	})
	mux.HandleFunc("PUT /v1/faults", list.serveSetFaults)
	return mux
}

func (list *List) serveRead(writer http.ResponseWriter, request *http.Request) {
	listing, err := list.Read(request.Context())
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	body, err := vmlist.Encode(listing)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body)
}

func (list *List) serveSet(writer http.ResponseWriter, request *http.Request) {
	var body json.RawMessage
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	listing, err := vmlist.Decode(body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	list.Set(listing)
}

func (list *List) serveSetFaults(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	list.SetFaults(faults)
}
