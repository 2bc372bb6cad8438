package backendstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oleandervane.example"
)

// HeaderFiling names the header in which a test caller sends the identity of a request, by which the journal counts its
// runs.
const HeaderFiling = "X-Filing-Id"

// Settings describe one backend server. They are immutable.
type Settings struct {
	ID          oleandervane.BackendServerID
	Slots       int
	QueueLength int
	ServiceTime time.Duration
	ProbeTime   time.Duration
	// MaxConnections is the number of open connections above which new ones are closed at once; 0 for no limit.
	MaxConnections int
	Seed           uint64
}

// Server is a backend server stand-in. Handler returns its HTTP handler; ConnState and ConnContext must be set on the
// http.Server that uses the handler.
type Server struct {
	settings     Settings
	timerService oleandervane.TimerService
	slots        chan struct{}
	queued       atomic.Int64
	inFlight     atomic.Int64
	faults       atomic.Pointer[Faults]
	coldUntil    atomic.Int64
	journal      *journal
	crash        func()

	mutex           sync.Mutex
	random          *rand.Rand
	connections     map[net.Conn]*connection
	peakConnections int
	lastLoad        loadBody
	lastLoadAt      time.Time
}

// connection is the state of one accepted connection.
type connection struct {
	silent atomic.Bool
}

type connectionKey struct{}

// loadBody is the JSON body of a load report.
type loadBody struct {
	InFlight    int64 `json:"in_flight"`
	Queued      int64 `json:"queued"`
	Slots       int   `json:"slots"`
	Leaving     bool  `json:"leaving"`
	Cold        bool  `json:"cold"`
	Connections int   `json:"connections"`
}

// New returns a backend server stand-in. The server calls crash when CrashOn matches a request.
func New(settings Settings, timerService oleandervane.TimerService, crash func()) *Server {
	server := &Server{
		settings:     settings,
		timerService: timerService,
		slots:        make(chan struct{}, settings.Slots),
		journal:      newJournal(),
		crash:        crash,
		random:       rand.New(rand.NewPCG(settings.Seed, 1)),
		connections:  map[net.Conn]*connection{},
	}
	server.faults.Store(&Faults{})
	return server
}

// SetFaults replaces the fault switches.
func (server *Server) SetFaults(faults Faults) {
	if faults.SilenceConnections {
		server.silenceConnections()
	}
	if faults.ColdFor > 0 {
		server.coldUntil.Store(server.timerService.Now().Add(faults.ColdFor).UnixNano())
	}
	server.faults.Store(&faults)
}

// Runs returns the number of runs of each request with an identity, and the total number of runs of all requests.
func (server *Server) Runs() (runs map[string]int, total int) {
	return server.journal.snapshot()
}

// PeakConnections returns the largest number of connections that were open at the same time.
func (server *Server) PeakConnections() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.peakConnections
}

// ConnState removes closed connections; set it as the ConnState of the http.Server.
func (server *Server) ConnState(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.connections, conn)
}

// ConnContext registers a connection; set it as the ConnContext of the http.Server.
func (server *Server) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	state := &connection{}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.connections[conn] = state
	server.peakConnections = max(server.peakConnections, len(server.connections))
	if server.settings.MaxConnections > 0 && len(server.connections) > server.settings.MaxConnections {
		_ = conn.Close()
	}
	return context.WithValue(ctx, connectionKey{}, state)
}

// Handler returns the HTTP handler: load reports at /load, fault switches at /fault, the journal at /runs, and requests
// of the service at every other path.
func (server *Server) Handler() http.Handler {
	routes := map[string]http.HandlerFunc{
		"GET /load":   server.serveLoad,
		"POST /fault": server.serveFault,
		"GET /runs":   server.serveRuns,
	}
	// http.ServeMux would redirect service requests whose paths are not clean.
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if handle, found := routes[request.Method+" "+request.URL.Path]; found {
			handle(writer, request)
			return
		}
		server.serveWork(writer, request)
	})
}

func (server *Server) silenceConnections() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, state := range server.connections {
		state.silent.Store(true)
	}
}

func (server *Server) serveLoad(writer http.ResponseWriter, request *http.Request) {
	if server.waitIfSilent(request) {
		return
	}
	faults := server.faults.Load()
	if faults.StopLoadReports {
		http.Error(writer, "load reports are stopped", http.StatusServiceUnavailable)
		return
	}
	if server.settings.ProbeTime > 0 && !server.occupySlot(request.Context(), server.settings.ProbeTime) {
		return
	}
	writeJSON(writer, server.load(faults))
}

func (server *Server) load(faults *Faults) loadBody {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	now := server.timerService.Now()
	if faults.LoadLag > 0 && now.Sub(server.lastLoadAt) < faults.LoadLag {
		return server.lastLoad
	}
	body := loadBody{
		InFlight:    server.inFlight.Load(),
		Queued:      server.queued.Load(),
		Slots:       server.settings.Slots,
		Leaving:     faults.Drain,
		Cold:        now.UnixNano() < server.coldUntil.Load(),
		Connections: len(server.connections),
	}
	if faults.UnderstateLoad {
		body.InFlight, body.Queued = 0, 0
	}
	server.lastLoad, server.lastLoadAt = body, now
	return body
}

func (server *Server) serveFault(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		http.Error(writer, "reading faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	server.SetFaults(faults)
	writer.WriteHeader(http.StatusNoContent)
}

func (server *Server) serveRuns(writer http.ResponseWriter, _ *http.Request) {
	runs, total := server.Runs()
	writeJSON(writer, struct {
		Runs  map[string]int `json:"runs"`
		Total int            `json:"total"`
		Peak  int            `json:"peak_connections"`
	}{runs, total, server.PeakConnections()})
}

func (server *Server) serveWork(writer http.ResponseWriter, request *http.Request) {
	if server.waitIfSilent(request) {
		return
	}
	faults := server.faults.Load()
	writer.Header().Set(oleandervane.HeaderRequestID, request.Header.Get(oleandervane.HeaderRequestID))
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if faults.Shed || !server.enterQueue() {
		server.setLoadHeader(writer, faults)
		writer.Header().Set(oleandervane.HeaderShed, "1")
		http.Error(writer, "shed", http.StatusServiceUnavailable)
		return
	}
	if faults.FailFast {
		server.queued.Add(-1)
		http.Error(writer, "internal error", http.StatusInternalServerError)
		return
	}
	if !server.acquireSlot(request.Context(), requestTimeout(request)) {
		writer.Header().Set(oleandervane.HeaderShed, "1")
		http.Error(writer, "deadline passed in queue", http.StatusServiceUnavailable)
		return
	}
	defer server.releaseSlot()
	server.journal.record(request.Header.Get(HeaderFiling))
	if faults.CrashOn != "" && strings.Contains(request.URL.Path, faults.CrashOn) {
		server.crash()
		panic(http.ErrAbortHandler)
	}
	if !server.wait(request.Context(), server.serviceTime(faults)) {
		return
	}
	server.setLoadHeader(writer, faults)
	server.writeResponse(writer, request, body, faults)
}

func (server *Server) writeResponse(writer http.ResponseWriter, request *http.Request, body []byte, faults *Faults) {
	text := fmt.Sprintf("%s %s by %s: %s\n", request.Method, request.URL.Path, server.settings.ID, body)
	if size, err := strconv.Atoi(request.URL.Query().Get("size")); err == nil && size > len(text) {
		text += strings.Repeat(".", size-len(text))
	}
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if faults.TruncateResponses {
		_, _ = io.WriteString(writer, text[:len(text)/2])
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(writer, text)
}

func (server *Server) setLoadHeader(writer http.ResponseWriter, faults *Faults) {
	load := server.load(faults)
	value := fmt.Sprintf("in_flight=%d queued=%d", load.InFlight, load.Queued)
	if load.Leaving {
		value += " leaving=1"
	}
	writer.Header().Set(oleandervane.HeaderLoad, value)
}

// waitIfSilent reports whether the connection of the request is silenced, after waiting until it closes.
func (server *Server) waitIfSilent(request *http.Request) bool {
	state, _ := request.Context().Value(connectionKey{}).(*connection)
	if state == nil || !state.silent.Load() {
		return false
	}
	<-request.Context().Done()
	return true
}

func (server *Server) enterQueue() bool {
	if server.queued.Add(1)+server.inFlight.Load() > int64(server.settings.Slots+server.settings.QueueLength) {
		server.queued.Add(-1)
		return false
	}
	return true
}

// acquireSlot moves a queued request to a slot. It returns false when the timeout passes or ctx ends before a slot is
// free. A timeout of 0 is none.
func (server *Server) acquireSlot(ctx context.Context, timeout time.Duration) bool {
	defer server.queued.Add(-1)
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	select {
	case server.slots <- struct{}{}:
		server.inFlight.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (server *Server) releaseSlot() {
	server.inFlight.Add(-1)
	<-server.slots
}

func (server *Server) occupySlot(ctx context.Context, duration time.Duration) bool {
	server.queued.Add(1)
	if !server.acquireSlot(ctx, 0) {
		return false
	}
	defer server.releaseSlot()
	return server.wait(ctx, duration)
}

// wait returns true after the duration, or false when ctx ends first, as when the caller cancels the request.
func (server *Server) wait(ctx context.Context, duration time.Duration) bool {
	done := make(chan struct{})
	cancel := server.timerService.After(duration, func(time.Time) { close(done) })
	defer cancel()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// serviceTime returns a random, exponentially distributed service time.
func (server *Server) serviceTime(faults *Faults) time.Duration {
	server.mutex.Lock()
	factor := server.random.ExpFloat64()
	server.mutex.Unlock()
	if faults.Slowdown > 1 {
		factor *= faults.Slowdown
	}
	if server.timerService.Now().UnixNano() < server.coldUntil.Load() {
		factor *= coldFactor
	}
	return time.Duration(factor * float64(server.settings.ServiceTime))
}

func requestTimeout(request *http.Request) time.Duration {
	millis, err := strconv.ParseInt(request.Header.Get(oleandervane.HeaderDeadlineMillis), 10, 64)
	if err != nil || millis <= 0 {
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}

func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(body)
}
