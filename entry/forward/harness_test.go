package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/timer"
)

// server is a target on a real socket that runs a script on each connection.
type server struct {
	target      Target
	requests    atomic.Int64
	bytes       atomic.Int64
	connections atomic.Int64
	// closedWhileSending counts the connections that the forwarder closed while the server was still sending.
	closedWhileSending atomic.Int64
	// read receives the number of the connection after each request that was read.
	read chan int64
}

func newServer(t testing.TB, id string, serve func(server *server, conn net.Conn, number int64)) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.2:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	server := &server{
		target: Target{ID: id, Address: netip.MustParseAddrPort(listener.Addr().String())},
		read:   make(chan int64, 10_000),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go serve(server, conn, server.connections.Add(1))
		}
	}()
	return server
}

// scripted returns a server that runs the actions for each request, one request after another.
func scripted(t testing.TB, id, actions string) *server {
	return newServer(t, id, func(server *server, conn net.Conn, number int64) { server.script(conn, number, actions) })
}

func (server *server) script(conn net.Conn, number int64, actions string) {
	reader := bufio.NewReader(conn)
	for server.runActions(conn, reader, number, actions) {
	}
}

// runActions runs the actions for one request and reports whether the connection can be used for another one.
func (server *server) runActions(conn net.Conn, reader *bufio.Reader, number int64, actions string) bool {
	requestID := ""
	for action := range strings.SplitSeq(actions, "; ") {
		verb, text, _ := strings.Cut(strings.TrimSpace(action), " ")
		switch verb {
		case "read":
			request, err := http.ReadRequest(reader)
			if err != nil {
				return false
			}
			server.requests.Add(1)
			count, _ := io.Copy(io.Discard, request.Body)
			server.bytes.Add(count)
			requestID = request.Header.Get(oleandervane.HeaderRequestID)
			server.read <- number
		case "send":
			unquoted, err := strconv.Unquote(text)
			if err != nil {
				panic(err)
			}
			_, _ = io.WriteString(conn, strings.ReplaceAll(unquoted, "ID", requestID))
		case "repeat":
			unquoted, err := strconv.Unquote(text)
			if err != nil {
				panic(err)
			}
			for batch := []byte(strings.Repeat(unquoted, 64)); err == nil; {
				_, err = conn.Write(batch)
			}
			server.closedWhileSending.Add(1)
			return false
		case "reset":
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			return false
		case "close":
			_ = conn.Close()
			return false
		case "hang":
			_, _ = io.Copy(io.Discard, reader)
			return false
		}
	}
	return true
}

const okAction = `send "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nOleandervane-Request-Id: ID\r\n\r\nok"`

// targets is a chooser over fixed targets that records the results of attempts.
type targets struct {
	list     []Target
	mutex    sync.Mutex
	released []oleandervane.AttemptResult
}

func (targets *targets) Choose(excluded []string) (Reservation, error) {
	for _, target := range targets.list {
		if !slices.Contains(excluded, target.ID) {
			return &testReservation{target: target, targets: targets}, nil
		}
	}
	return nil, oleandervane.ErrNoBackendServer
}

type testReservation struct {
	target  Target
	targets *targets
}

func (reservation *testReservation) Target() Target { return reservation.target }

func (reservation *testReservation) Release(result oleandervane.AttemptResult) {
	reservation.targets.mutex.Lock()
	defer reservation.targets.mutex.Unlock()
	reservation.targets.released = append(reservation.targets.released, result)
}

func newTestForwarder(t testing.TB) (*Forwarder, *timer.Manual) {
	manual := timer.NewManual(time.Unix(1000, 0))
	forwarder := New(Settings{}, manual)
	t.Cleanup(forwarder.Close)
	return forwarder, manual
}

func testRequest(idempotent bool, method string, body string) Request {
	return Request{
		Service:  "ledger",
		Kind:     oleandervane.Kind{Name: "filing", Idempotent: idempotent, Deadline: 8 * time.Second},
		Method:   method,
		Path:     "/allocations/2026%2F12",
		RawQuery: "a=1",
		Header:   http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}},
		Body:     []byte(body),
		Deadline: time.Unix(1008, 0),
	}
}

// allowRetries fills the retry budget, so that it does not refuse retries in tests of other rules.
func allowRetries(forwarder *Forwarder) {
	for range 1000 {
		forwarder.budget.RecordRequest("ledger")
	}
}

// readTable returns the fields of each line of a file, except comments.
func readTable(t *testing.T, path string) [][]string {
	t.Helper()
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	var table [][]string
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, "|")
		for index := range fields {
			fields[index] = strings.TrimSpace(fields[index])
		}
		table = append(table, fields)
	}
	return table
}
