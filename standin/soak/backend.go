package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// journal records the requests and runs at all backend servers.
type journal struct {
	mutex sync.Mutex
	runs  map[string]int
	// runTimes has the start times of the runs at each server.
	runTimes map[string][]time.Time
	// seen has the ids of the requests that arrived at any server, whether they were run or refused.
	seen map[string]bool
	// arrivals has the times of the requests that arrived at each server, crashes those of the crashes under each request.
	arrivals map[string][]time.Time
	crashes  map[string][]time.Time
	// first has the times of the first arrivals of requests, and repeated those of their further arrivals.
	first, repeated []time.Time
}

func newJournal() *journal {
	return &journal{
		runs: map[string]int{}, runTimes: map[string][]time.Time{}, seen: map[string]bool{},
		arrivals: map[string][]time.Time{}, crashes: map[string][]time.Time{},
	}
}

func (journal *journal) recordArrival(server, requestID string, at time.Time) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.arrivals[server] = append(journal.arrivals[server], at)
	if journal.seen[requestID] {
		journal.repeated = append(journal.repeated, at)
		return
	}
	journal.seen[requestID] = true
	journal.first = append(journal.first, at)
}

// arrivalsBetween returns the times of the requests that arrived at a server after from and before until.
func (journal *journal) arrivalsBetween(server string, from, until time.Time) []time.Time {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return timesBetween(journal.arrivals[server], from, until)
}

func (journal *journal) recordCrash(request string, at time.Time) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.crashes[request] = append(journal.crashes[request], at)
}

// crashesOf returns the times at which a request crashed servers.
func (journal *journal) crashesOf(request string) []time.Time {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return slices.Clone(journal.crashes[request])
}

// runsBetween returns the start times of the runs at a server after from and before until.
func (journal *journal) runsBetween(server string, from, until time.Time) []time.Time {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return timesBetween(journal.runTimes[server], from, until)
}

func timesBetween(times []time.Time, from, until time.Time) []time.Time {
	var within []time.Time
	for _, at := range times {
		if at.After(from) && at.Before(until) {
			within = append(within, at)
		}
	}
	return within
}

func (journal *journal) recordRun(server, requestID string) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.runs[requestID]++
	journal.runTimes[server] = append(journal.runTimes[server], time.Now())
}

func (journal *journal) runsOf(requestID string) int {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.runs[requestID]
}

// lastRun returns the start time of the last run at a server, or the zero time if there was none.
func (journal *journal) lastRun(server string) time.Time {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	runTimes := journal.runTimes[server]
	if len(runTimes) == 0 {
		return time.Time{}
	}
	return runTimes[len(runTimes)-1]
}

const (
	// healthPath is the path of health checks in the configuration of the soak.
	healthPath   = "/healthz"
	backendSlots = 8
	// maxRunTime is the upper bound of the random run time of a request at a backend server.
	maxRunTime = 40 * time.Millisecond
	// lostResponseShare is the share of responses that are lost after the run.
	lostResponseShare = 0.01
	// refusedShare is the share of requests that a server with free slots refuses without running them.
	refusedShare = 0.02
)

// backend is a backend server that uses the headers of the platform.
type backend struct {
	id      string
	domain  string
	journal *journal
	server  *httptest.Server
	proxy   *proxy
	slots   chan struct{}
	// leaving is set from the start of a drain until the restarted server is no longer cold, while the server sends a signal, and
	// while it is down. Only one of these happens at a time, because each is checked by its requests.
	leaving atomic.Bool
	signals signalState
	// crash ends the server and starts it again. born is the start of the current run in Unix milliseconds.
	crash func(backend *backend)
	born  atomic.Int64
	// coldUntil is the end of the slow start of the current run in Unix milliseconds. Responses to health checks state it.
	coldUntil atomic.Int64
}

func newBackend(id, domain string, journal *journal) (*backend, error) {
	backend := &backend{id: id, domain: domain, journal: journal, slots: make(chan struct{}, backendSlots)}
	backend.server = httptest.NewServer(backend)
	proxy, err := newProxy(backend.server.Listener.Addr().String())
	backend.proxy = proxy
	return backend, err
}

// entry returns the store entry of the current run of the backend server, not cold.
func (backend *backend) entry(state string) string {
	return backend.coldEntry(state, 0, backend.born.Load())
}

// coldEntry returns the store entry of a process of the server that started at born, in Unix milliseconds, and stays cold
// for the duration cold.
func (backend *backend) coldEntry(state string, cold time.Duration, born int64) string {
	backend.born.Store(born)
	return fmt.Sprintf(`{"service":"ledger","address":%q,"zone":%q,"concurrency_limit":%d,"state":%q,"warmup_left_s":%v,"born":%d}`,
		backend.proxy.address(), backend.domain, backendSlots, state, cold.Seconds(), born)
}

// bodyOf returns the response body for a request, by which callers check that the response is theirs.
func bodyOf(requestID string) string {
	return "answer to " + requestID
}

// ServeHTTP runs a request or refuses it.
func (backend *backend) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	requestID := request.Header.Get("X-Request-Id")
	writer.Header().Set("X-Request-Id", requestID)
	if request.Header.Get("X-Target-Instance") != backend.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == healthPath {
		backend.respondHealth(writer)
		return
	}
	backend.journal.recordArrival(backend.id, requestID, time.Now())
	if backend.signals.apply(writer.Header()) {
		backend.refuse(writer)
		return
	}
	if _, name, deadly := strings.Cut(request.URL.Path, "safe/deadly-"); deadly {
		if backend.leaving.Swap(true) {
			backend.refuse(writer)
			return
		}
		backend.journal.recordCrash("deadly-"+name, time.Now())
		time.Sleep(crashDelay)
		backend.crash(backend)
		backend.leaving.Store(false)
		panic(http.ErrAbortHandler)
	}
	select {
	case backend.slots <- struct{}{}:
		defer func() { <-backend.slots }()
	default:
		backend.refuse(writer)
		return
	}
	if rand.Float64() < refusedShare {
		backend.refuse(writer)
		return
	}
	// A request whose body is truncated is not run.
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	backend.journal.recordRun(backend.id, requestID)
	time.Sleep(rand.N(maxRunTime))
	if rand.Float64() < lostResponseShare {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("X-Response-Signature", "m")
	backend.setLoad(writer)
	_, _ = io.WriteString(writer, bodyOf(requestID))
}

func (backend *backend) respondHealth(writer http.ResponseWriter) {
	if left := backend.coldUntil.Load() - time.Now().UnixMilli(); left > 0 {
		writer.Header().Set("X-Slow-Start-Ms", strconv.FormatInt(left, 10))
	}
	backend.setLoad(writer)
}

func (backend *backend) setLoad(writer http.ResponseWriter) {
	writer.Header().Set("X-Server-Load", strconv.Itoa(len(backend.slots))+",0,"+strconv.Itoa(backendSlots))
}

func (backend *backend) refuse(writer http.ResponseWriter) {
	writer.Header().Set("X-Not-Executed", "1")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

func (backend *backend) close() {
	backend.proxy.close()
	backend.server.CloseClientConnections()
	backend.server.Close()
}
