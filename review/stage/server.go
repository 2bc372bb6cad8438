package stage

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Arrival is a request that reached a backend server.
type Arrival struct {
	At                              time.Time
	ID, Method, Path, RawPath, Note string
	Ran                             bool
}

// SortByTime sorts arrivals by their times.
func SortByTime(arrivals []Arrival) {
	slices.SortFunc(arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
}

// Server is a backend server that follows the pages: it runs requests that are addressed to it, signs its responses and echoes ids.
type Server struct {
	ID, Service, Zone string
	Slots             int
	// Work is how long a request runs.
	Work func(request *http.Request) time.Duration
	// Answer, if set, may answer a request in place of running it and reports whether it did. It may set headers otherwise.
	Answer func(writer http.ResponseWriter, request *http.Request) bool

	// Lose, if set, reports whether the answer to a request that has run is lost: its connection is reset.
	Lose func() bool

	stage    *Stage
	address  string
	http     *http.Server
	running  atomic.Int64
	born     atomic.Int64
	crashed  bool
	mutex    sync.Mutex
	arrivals []Arrival
}

// AddServer starts a backend server and registers it.
func (stage *Stage) AddServer(server *Server) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server.stage, server.address = stage, listener.Addr().String()
	server.http = &http.Server{Handler: server, IdleTimeout: 10 * time.Second}
	go func() { _ = server.http.Serve(listener) }()
	stage.servers = append(stage.servers, server)
	return server.Register("ready")
}

// Crash ends the server and all its connections, unless it is down already, and reports whether it did. The server is back after the
// duration, as another run under its id.
func (server *Server) Crash(down time.Duration) bool {
	server.mutex.Lock()
	if server.crashed {
		server.mutex.Unlock()
		return false
	}
	server.crashed = true
	former := server.http
	server.mutex.Unlock()
	server.stage.Log("%s crashes", server.ID)
	_ = former.Close()
	time.AfterFunc(down, func() {
		listener, err := net.Listen("tcp", server.address)
		if err != nil {
			server.stage.Log("%s does not start again: %v", server.ID, err)
			return
		}
		next := &http.Server{Handler: server, IdleTimeout: 10 * time.Second}
		server.mutex.Lock()
		server.http, server.crashed = next, false
		server.mutex.Unlock()
		server.born.Add(1000)
		if err := server.Register("ready"); err != nil {
			server.stage.Log("%s does not register: %v", server.ID, err)
		}
		_ = next.Serve(listener)
	})
	return true
}

// Register writes the entry of the server.
func (server *Server) Register(state string) error {
	return server.stage.Write("servers/"+server.ID, map[string]any{
		"service": server.Service, "address": server.address, "zone": server.Zone, "version": "v1", "concurrency_limit": server.Slots,
		"state": state, "warmup_left_s": 0, "sequence": 1, "born": 1774429256000 + server.born.Load(),
	})
}

// ServeHTTP serves a request.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	id := request.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", id)
	if request.URL.Path == "/healthz" {
		header.Set("X-Served-By", server.ID)
		return
	}
	if target := request.Header.Get("X-Target-Instance"); target != "" && target != server.ID {
		header.Set("X-Served-By", server.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	index := server.recordArrival(Arrival{At: time.Now(), ID: id, Method: request.Method, Path: request.URL.Path, RawPath: request.URL.EscapedPath()})
	if server.Answer != nil && server.Answer(writer, request) {
		return
	}
	running := server.running.Add(1)
	defer server.running.Add(-1)
	if int(running) > 4*server.Slots {
		header.Set("X-Not-Executed", "1")
		header.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", server.Slots, 3*server.Slots, server.Slots))
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	size, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		return
	}
	server.markRan(index)
	time.Sleep(server.Work(request))
	if server.Lose != nil && server.Lose() {
		panic(http.ErrAbortHandler)
	}
	now := min(int(server.running.Load()), server.Slots)
	header.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", now, int(server.running.Load())-now, server.Slots))
	header.Set("X-Response-Signature", "m-"+server.ID+"-"+id)
	fmt.Fprintf(writer, "%s ran %s, %d bytes", server.ID, id, size)
}

func (server *Server) recordArrival(arrival Arrival) int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.arrivals = append(server.arrivals, arrival)
	return len(server.arrivals) - 1
}

func (server *Server) markRan(index int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.arrivals[index].Ran = true
}

// Arrivals returns the requests that have reached the server.
func (server *Server) Arrivals() []Arrival {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return append([]Arrival(nil), server.arrivals...)
}

func (server *Server) close() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	_ = server.http.Close()
}
