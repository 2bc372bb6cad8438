package installation

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Slots is the number of requests that a backend server runs at once.
const Slots = 9

// Arrival is a request that reached a backend server.
type Arrival struct {
	Server, RequestID string
	At                time.Time
	// Ran says that the server ran the request.
	Ran bool
}

// Server is a backend server that follows the platform's pages.
type Server struct {
	ID      string
	Service string
	Place   Place
	RunTime time.Duration
	// RunTimes has the run times of paths with another one.
	RunTimes map[string]time.Duration
	Address  string
	BornAt   time.Time
	arrivals *Arrivals
	record   *Record
	listener net.Listener
	server   *http.Server
	slots    chan struct{}
	// Answer is the body of answers, if set. BreakOff, if set, says whether the next one ends after BrokenAfter bytes.
	Answer      []byte
	BreakOff    func() bool
	BrokenAfter int
	// ReadBody, if set, reads the body of a request. The run begins before.
	ReadBody func(body io.Reader) ([]byte, error)

	mutex   sync.Mutex
	leaving bool
}

// Arrivals has the requests that reached any server.
type Arrivals struct {
	mutex sync.Mutex
	list  []Arrival
}

// All returns a copy of the list.
func (arrivals *Arrivals) All() []Arrival {
	arrivals.mutex.Lock()
	defer arrivals.mutex.Unlock()
	return append([]Arrival(nil), arrivals.list...)
}

func (arrivals *Arrivals) add(arrival Arrival) {
	arrivals.mutex.Lock()
	defer arrivals.mutex.Unlock()
	arrivals.list = append(arrivals.list, arrival)
}

// StartServer starts a backend server that runs each request for a time.
func (installation *Installation) StartServer(id, service string, place Place, runTime time.Duration, arrivals *Arrivals) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &Server{
		ID: id, Service: service, Place: place, RunTime: runTime, Address: listener.Addr().String(), BornAt: time.Now(),
		arrivals: arrivals, record: installation.Record, listener: listener, slots: make(chan struct{}, Slots),
	}
	server.server = &http.Server{Handler: server, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.server.Serve(listener) }()
	installation.OnClose(server.Stop)
	return server, nil
}

// Entry returns the entry of the server in the store.
func (server *Server) Entry(state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","concurrency_limit":%d,"state":%q,"warmup_left_s":0,"sequence":1,"born":%d}`,
		server.Service, server.Address, server.Place.Zone, Slots, state, server.BornAt.UnixMilli())
}

// Key returns the key of the entry.
func (server *Server) Key() string {
	return "servers/" + server.ID
}

// Leave has all further responses say that the server leaves.
func (server *Server) Leave() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.leaving = true
	server.record.Say("server %s begins to leave and says so in all responses", server.ID)
}

// sayLeaving sets the header of a response if the server leaves, and reports whether it does.
func (server *Server) sayLeaving(header http.Header) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.leaving {
		header.Set("Server-Leaving", "1")
	}
	return server.leaving
}

// Stop ends the server.
func (server *Server) Stop() {
	_ = server.server.Close()
}

// ServeHTTP runs a request, or states that it did not.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	header := writer.Header()
	header.Set("X-Server-Load", strconv.Itoa(len(server.slots))+",0,"+strconv.Itoa(Slots))
	if request.URL.Path == "/healthz" {
		header.Set("X-Served-By", server.ID)
		if server.sayLeaving(header) {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if target := request.Header.Get("X-Target-Instance"); target != "" && target != server.ID {
		server.refuse(writer, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		server.refuse(writer, http.StatusBadRequest)
		return
	}
	header.Set("X-Request-Id", id)
	select {
	case server.slots <- struct{}{}:
		defer func() { <-server.slots }()
	default:
		server.arrivals.add(Arrival{Server: server.ID, RequestID: id, At: time.Now()})
		server.refuse(writer, http.StatusServiceUnavailable)
		return
	}
	server.arrivals.add(Arrival{Server: server.ID, RequestID: id, At: time.Now(), Ran: true})
	server.record.Add("run      %s at %s: %s %s", id, server.ID, request.Method, request.RequestURI)
	readBody := server.ReadBody
	if readBody == nil {
		readBody = io.ReadAll
	}
	body, err := readBody(request.Body)
	if err != nil {
		server.record.Add("cut      %s at %s: after %d bytes of the body: %v", id, server.ID, len(body), err)
		return
	}
	runTime, found := server.RunTimes[request.URL.Path]
	if !found {
		runTime = server.RunTime
	}
	time.Sleep(runTime)
	header.Set("X-Response-Signature", "mac-"+id)
	server.sayLeaving(header)
	server.record.Add("done     %s at %s: body of %d bytes", id, server.ID, len(body))
	answer := server.Answer
	if answer == nil {
		answer = fmt.Appendf(nil, "%s ran %s", server.ID, id)
	}
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	if server.BreakOff != nil && server.BreakOff() {
		server.record.Add("breaks   the answer to %s at %s", id, server.ID)
		_, _ = writer.Write(answer[:server.BrokenAfter])
		panic(http.ErrAbortHandler)
	}
	_, _ = writer.Write(answer)
}

func (server *Server) refuse(writer http.ResponseWriter, status int) {
	server.sayLeaving(writer.Header())
	writer.Header().Set("X-Not-Executed", "1")
	writer.WriteHeader(status)
}
