// Package serverstandin provides backend servers of the users' platform that end when they run certain requests. They register
// themselves in a stand-in of the store and start again after they have ended.
package serverstandin

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"oleandervane.example"
	"oleandervane.example/standin/storestandin"
)

// Deadly is the text in the path of requests under which servers end.
const Deadly = "deadly"

// healthPath is the path of health checks in the configurations of tests.
const healthPath = "/healthz"

// lateCrash is the time between the arrival of a request and the end of a server in CrashLate.
const lateCrash = 150 * time.Millisecond

// Crash is the way in which servers end.
type Crash string

// The ways in which servers end.
const (
	// CrashReset breaks the connections immediately, CrashLate after 150 ms.
	CrashReset Crash = "reset"
	CrashLate  Crash = "late"
	// CrashSilent leaves the connections open, as after a loss of power.
	CrashSilent Crash = "silent"
)

// Settings describe how servers end and start again. They are immutable.
type Settings struct {
	Crash Crash
	// KeepID has a server start again under its id. Otherwise its entry is removed, and it gets another id.
	KeepID bool
	// Work is the time that a request takes.
	Work time.Duration
	// FailEverySecond has every second deadly request end with status 500 instead, without harm to the server.
	FailEverySecond bool
}

// Servers are the servers of a test. All methods are safe for concurrent use.
type Servers struct {
	store    *storestandin.Store
	settings Settings
	ctx      context.Context
	close    context.CancelFunc

	mutex                sync.Mutex
	sent, ended, started int
	// running has the newest run of each server.
	running map[string]*run
}

// run is a run of a server.
type run struct {
	service  oleandervane.ServiceName
	server   *httptest.Server
	arrivals []time.Time
	// coldUntil is the end of the slow start, which responses to health checks state. healthChecks counts these.
	coldUntil    time.Time
	healthChecks int
	// idle has the connections that wait for a request.
	idle map[net.Conn]bool
}

// New returns servers that register in the store. Start starts the first ones.
func New(store *storestandin.Store, settings Settings) *Servers {
	servers := &Servers{store: store, settings: settings, running: map[string]*run{}}
	servers.ctx, servers.close = context.WithCancel(context.Background())
	return servers
}

// Close ends the requests that silent servers still hold.
func (servers *Servers) Close() {
	servers.close()
}

// Ended returns how often a server has ended.
func (servers *Servers) Ended() int {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	return servers.ended
}

// Start starts a server of a service and registers it.
func (servers *Servers) Start(id string, serviceName oleandervane.ServiceName) error {
	run, err := servers.listen(id, serviceName, "127.0.0.1:0", 0)
	if err != nil {
		return err
	}
	return servers.register(id, run, 0)
}

// listen starts a run of a server at the address, which is cold for a time.
func (servers *Servers) listen(id string, serviceName oleandervane.ServiceName, address string, cold time.Duration) (*run, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("starting server %s: %w", id, err)
	}
	run := &run{service: serviceName, server: httptest.NewUnstartedServer(nil), coldUntil: time.Now().Add(cold), idle: map[net.Conn]bool{}}
	run.server.Listener = listener
	end := sync.OnceFunc(func() { servers.restart(listener, id, serviceName) })
	run.server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		servers.mutex.Lock()
		defer servers.mutex.Unlock()
		delete(run.idle, conn)
		if state == http.StateIdle {
			run.idle[conn] = true
		}
	}
	run.server.Config.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Keep-Alive", "timeout=10")
		if request.URL.Path == healthPath {
			servers.respondHealth(writer, run)
			return
		}
		servers.mutex.Lock()
		run.arrivals = append(run.arrivals, time.Now())
		servers.mutex.Unlock()
		servers.serve(writer, request, end)
	})
	run.server.Start()
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	servers.running[id] = run
	return run, nil
}

// register writes the entry of a run that stays cold for a time.
func (servers *Servers) register(id string, run *run, coldLeft time.Duration) error {
	servers.mutex.Lock()
	servers.started++
	born := servers.started
	servers.mutex.Unlock()
	entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"kigali-a","concurrency_limit":3,"state":"ready","born":%d,"warmup_left_s":%v}`,
		run.service, run.server.Listener.Addr(), born, coldLeft.Seconds())
	return servers.commit(oleandervane.StoreTransaction{Writes: []oleandervane.StoreWrite{{Key: "servers/" + id, Value: []byte(entry)}}})
}

// Return describes how a server starts again under its id and at its address. It is immutable.
type Return struct {
	// Absence is the time between its end and its start, EntryDelay that between its start and its new entry.
	Absence, EntryDelay time.Duration
	// Cold is how long it is cold after its start.
	Cold time.Duration
}

// Return ends a server and starts it again. It returns when the server has written its new entry.
func (servers *Servers) Return(id string, how Return) error {
	servers.mutex.Lock()
	former := servers.running[id]
	servers.mutex.Unlock()
	if err := former.server.Config.Close(); err != nil {
		return fmt.Errorf("ending server %s: %w", id, err)
	}
	time.Sleep(how.Absence)
	run, err := servers.listen(id, former.service, former.server.Listener.Addr().String(), how.Cold)
	if err != nil {
		return err
	}
	time.Sleep(how.EntryDelay)
	return servers.register(id, run, max(0, how.Cold-how.EntryDelay))
}

// DropIdle closes the idle connections of a server, which goes on to run, and returns how many it closed.
func (servers *Servers) DropIdle(id string) int {
	servers.mutex.Lock()
	idle := slices.Collect(maps.Keys(servers.running[id].idle))
	servers.mutex.Unlock()
	for _, conn := range idle {
		_ = conn.Close()
	}
	return len(idle)
}

// HealthChecks returns the number of health checks that the newest run of a server got.
func (servers *Servers) HealthChecks(id string) int {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	return servers.running[id].healthChecks
}

func (servers *Servers) respondHealth(writer http.ResponseWriter, run *run) {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	run.healthChecks++
	if left := time.Until(run.coldUntil); left > 0 {
		writer.Header().Set("X-Slow-Start-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
	writer.Header().Set("X-Server-Load", "0,0,3")
}

// Arrivals returns the times at which requests arrived at the newest run of a server.
func (servers *Servers) Arrivals(id string) []time.Time {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	return slices.Clone(servers.running[id].arrivals)
}

func (servers *Servers) commit(storeTransaction oleandervane.StoreTransaction) error {
	_, err := servers.store.Commit(servers.ctx, storeTransaction)
	return err
}

func (servers *Servers) serve(writer http.ResponseWriter, request *http.Request, end func()) {
	writer.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	writer.Header().Set("X-Response-Signature", "m")
	if !strings.Contains(request.URL.Path, Deadly) {
		time.Sleep(servers.settings.Work)
		return
	}
	if !servers.endsNow() {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	if servers.settings.Crash == CrashLate {
		time.Sleep(lateCrash)
	}
	end()
	if servers.settings.Crash == CrashSilent {
		<-servers.ctx.Done()
	}
	panic(http.ErrAbortHandler)
}

// endsNow counts a deadly request and reports whether it ends the server.
func (servers *Servers) endsNow() bool {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	servers.sent++
	if servers.settings.FailEverySecond && servers.sent%2 == 0 {
		return false
	}
	servers.ended++
	return true
}

// restart ends a server and starts it again. A server that cannot start again stays away.
func (servers *Servers) restart(listener net.Listener, id string, serviceName oleandervane.ServiceName) {
	_ = listener.Close()
	if !servers.settings.KeepID {
		if servers.commit(oleandervane.StoreTransaction{Removals: []string{"servers/" + id}}) != nil {
			return
		}
		id += "x"
	}
	_ = servers.Start(id, serviceName)
}
