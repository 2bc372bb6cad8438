package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// journal is what all backend servers saw of each request.
type journal struct {
	mutex sync.Mutex
	runs  map[string]int
	// arrivals are the times of runs at each server.
	arrivals map[string][]time.Time
	// first and repeated are the times at which requests came for the first time, and again, to be run or rejected.
	seen            map[string]bool
	first, repeated []time.Time
}

func newJournal() *journal {
	return &journal{runs: map[string]int{}, arrivals: map[string][]time.Time{}, seen: map[string]bool{}}
}

func (journal *journal) noteArrival(requestID string, at time.Time) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if journal.seen[requestID] {
		journal.repeated = append(journal.repeated, at)
		return
	}
	journal.seen[requestID] = true
	journal.first = append(journal.first, at)
}

// between returns the times of runs at a server from one moment until another.
func (journal *journal) between(server string, from, until time.Time) []time.Time {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return between(journal.arrivals[server], from, until)
}

func between(times []time.Time, from, until time.Time) []time.Time {
	var within []time.Time
	for _, at := range times {
		if at.After(from) && at.Before(until) {
			within = append(within, at)
		}
	}
	return within
}

func (journal *journal) noteRun(server, requestID string) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.runs[requestID]++
	journal.arrivals[server] = append(journal.arrivals[server], time.Now())
}

func (journal *journal) runsOf(requestID string) int {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.runs[requestID]
}

// lastArrival returns when a server last began to run a request.
func (journal *journal) lastArrival(server string) time.Time {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	arrivals := journal.arrivals[server]
	if len(arrivals) == 0 {
		return time.Time{}
	}
	return arrivals[len(arrivals)-1]
}

const (
	backendSlots = 8
	// maxWork bounds the time of a request at a backend server.
	maxWork = 40 * time.Millisecond
	// lostAnswers is the share of answers that are lost after the run.
	lostAnswers = 0.01
	// rejected is the share of requests that a server rejects without running them.
	rejected = 0.02
)

// backend is one backend server with the marks of the platform.
type backend struct {
	id      string
	domain  string
	journal *journal
	server  *httptest.Server
	proxy   *proxy
	slots   chan struct{}
	// leaving is set from the beginning of a drain until the server is warm again.
	leaving atomic.Bool
}

func newBackend(id, domain string, journal *journal) (*backend, error) {
	backend := &backend{id: id, domain: domain, journal: journal, slots: make(chan struct{}, backendSlots)}
	backend.server = httptest.NewServer(backend)
	proxy, err := newProxy(backend.server.Listener.Addr().String())
	backend.proxy = proxy
	return backend, err
}

// entry is the backend server's entry in the store.
func (backend *backend) entry(state string) string {
	return backend.coldEntry(state, 0, 1)
}

// coldEntry is the entry of a run of the server that started at a time in Unix milliseconds and is cold for a while.
func (backend *backend) coldEntry(state string, cold time.Duration, born int64) string {
	return fmt.Sprintf(`{"service":"ledger","address":%q,"zone":%q,"concurrency_limit":%d,"state":%q,"warmup_left_s":%v,"born":%d}`,
		backend.proxy.address(), backend.domain, backendSlots, state, cold.Seconds(), born)
}

// bodyOf is the answer to a request, by which callers recognize it.
func bodyOf(requestID string) string {
	return "answer to " + requestID
}

// ServeHTTP runs a request, or rejects it.
func (backend *backend) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	requestID := request.Header.Get("X-Request-Id")
	writer.Header().Set("X-Request-Id", requestID)
	if request.Header.Get("X-Target-Instance") != backend.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	backend.journal.noteArrival(requestID, time.Now())
	select {
	case backend.slots <- struct{}{}:
		defer func() { <-backend.slots }()
	default:
		backend.reject(writer)
		return
	}
	if rand.Float64() < rejected {
		backend.reject(writer)
		return
	}
	// A body that is cut off is not a request.
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	backend.journal.noteRun(backend.id, requestID)
	time.Sleep(rand.N(maxWork))
	if rand.Float64() < lostAnswers {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("X-Response-Signature", "m")
	writer.Header().Set("X-Server-Load", strconv.Itoa(len(backend.slots))+",0,"+strconv.Itoa(backendSlots))
	_, _ = io.WriteString(writer, bodyOf(requestID))
}

func (backend *backend) reject(writer http.ResponseWriter) {
	writer.Header().Set("X-Not-Executed", "1")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

func (backend *backend) close() {
	backend.proxy.close()
	backend.server.CloseClientConnections()
	backend.server.Close()
}
