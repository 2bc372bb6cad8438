package forward

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/figure"
)

// opener opens the connections of a forwarder.
type opener func(ctx context.Context, address netip.AddrPort) (*connection, error)

// plainTransport opens connections without the guards: http.Transport with its own pool and its own resends, and with
// GetBody set as http.NewRequest sets it.
func plainTransport(t testing.TB, http2 bool) opener {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(transport.CloseIdleConnections)
	return func(_ context.Context, address netip.AddrPort) (*connection, error) {
		return &connection{
			address: address,
			gate:    &gate{},
			close:   func() {},
			usable:  func() bool { return true },
			roundTrip: func(request *http.Request) (*http.Response, error) {
				if request.Body != nil {
					body, _ := io.ReadAll(request.Body)
					request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
					request.Body, _ = request.GetBody()
				}
				return transport.RoundTrip(request)
			},
		}, nil
	}
}

// closingServer responds to the first request of a connection and closes it after it has read the second.
func closingServer(t testing.TB) *server {
	return newServer(t, "b1", func(server *server, conn net.Conn, number int64) {
		reader := bufio.NewReader(conn)
		server.runActions(conn, reader, number, "read; "+okAction)
		server.runActions(conn, reader, number, "read; close")
	})
}

// goAwayServer serves HTTP/2: it refuses the stream of the first connection with GOAWAY and responds on the next. An
// HTTP/1.1 connection is closed.
func goAwayServer(t testing.TB) *server {
	const settingsFrame = "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	const goAwayFrame = "\x00\x00\x08\x07\x00\x00\x00\x00\x00" + "\x00\x00\x00\x00" + "\x00\x00\x00\x00"
	const okFrameStart, okFrameEnd = "\x00\x00\x01\x01\x05", "\x88"
	const headersType = 1
	return newServer(t, "b1", func(server *server, conn net.Conn, number int64) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		beginning, _ := reader.Peek(4)
		if string(beginning) != "PRI " {
			server.requests.Add(1)
			return
		}
		_, _ = reader.Discard(24)
		_, _ = io.WriteString(conn, settingsFrame)
		for header := make([]byte, 9); ; {
			if _, err := io.ReadFull(reader, header); err != nil {
				return
			}
			_, _ = reader.Discard(int(header[0])<<16 | int(header[1])<<8 | int(header[2]))
			if header[3] != headersType {
				continue
			}
			server.requests.Add(1)
			response := okFrameStart + string(header[5:]) + okFrameEnd
			if number == 1 {
				response = goAwayFrame
			}
			_, _ = io.WriteString(conn, response)
		}
	})
}

// hiddenResends sends two requests and returns how many more requests reached the server than the forwarder sent.
func hiddenResends(t *testing.T, open opener, server *server, request Request) int {
	t.Helper()
	forwarder, _ := newTestForwarder(t)
	if open != nil {
		forwarder.pool.open = open
	}
	attempts := 0
	for range 2 {
		result := forwarder.Forward(context.Background(), request, &targets{list: []Target{server.target}})
		attempts += result.Attempts
	}
	return int(server.requests.Load()) - attempts
}

// Guards against requests that net/http resends by itself: on a kept-alive connection that closes before the first byte
// of the response, for methods and headers that it considers idempotent, and on GOAWAY. The same check must find
// resends when the guards are removed.
func TestFigureHiddenResends(t *testing.T) {
	guarded := 0
	for _, method := range []string{"GET", "POST", "PUT"} {
		for _, body := range []string{"", "body"} {
			for _, idempotent := range []bool{false, true} {
				request := testRequest(idempotent, method, body)
				guarded += hiddenResends(t, nil, closingServer(t), request)
				unguarded := hiddenResends(t, plainTransport(t, false), closingServer(t), request)
				assert.Check(t, unguarded > 0, "%s %q: no resend found without the guard", method, body)
			}
		}
	}
	get := testRequest(false, "GET", "")
	guarded += hiddenResends(t, nil, goAwayServer(t), get)
	assert.Check(t, hiddenResends(t, plainTransport(t, true), goAwayServer(t), get) > 0, "no resend on GOAWAY found without the guard")
	figure.Require(t, figure.Figure{Name: "request_hidden_resends", Value: float64(guarded), Unit: "requests", Bound: 0})
}

// Guards against a request that was written only partly and is reported as not run or sent again.
func TestPartlyWrittenBodyIsNotResent(t *testing.T) {
	server := newServer(t, "b1", func(_ *server, conn net.Conn, _ int64) {
		_, _ = io.ReadFull(conn, make([]byte, 1000))
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	forwarder, _ := newTestForwarder(t)
	allowRetries(forwarder)
	request := testRequest(false, "POST", strings.Repeat("x", 16<<20))
	other := scripted(t, "b2", "read; "+okAction)
	result := forwarder.Forward(context.Background(), request, &targets{list: []Target{server.target, other.target}})
	assert.Equal(t, result.Outcome, oleandervane.Unknown)
	assert.Equal(t, server.connections.Load()+other.connections.Load(), int64(1))
}

// Guards against a write after seal has found that nothing was written: between the last check and the write, after the
// end of the attempt, and before its start; and against reading bytes that arrived before the request was written.
func TestGateWritesNothingAfterSeal(t *testing.T) {
	client, peer := net.Pipe()
	received := make(chan int, 1)
	gate := &gate{Conn: client}
	_, err := gate.Write([]byte("early"))
	assert.ErrorIs(t, err, errSealed)
	go func() { _, _ = peer.Write([]byte("HTTP/1.1 200 OK")) }()
	_, err = gate.Read(make([]byte, 100))
	assert.ErrorIs(t, err, errUnsolicited)
	go func() {
		all, _ := io.ReadAll(peer)
		received <- len(all)
	}()
	gate.arm(func() error {
		assert.Check(t, !gate.seal())
		return nil
	})
	for range 2 {
		_, err = gate.Write([]byte("late"))
		assert.ErrorIs(t, err, errSealed)
	}
	_ = client.Close()
	assert.Equal(t, <-received, 0)
}

// Guards against a request that is written although its caller cancelled it during the last check before the write.
func TestCancelledDuringLastCheck(t *testing.T) {
	received := make(chan int64, 1)
	server := newServer(t, "b1", func(_ *server, conn net.Conn, _ int64) {
		count, _ := io.Copy(io.Discard, conn)
		received <- count
	})
	forwarder, _ := newTestForwarder(t)
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	request := testRequest(false, "POST", "body")
	request.BeforeWrite = func() error {
		if calls++; calls == 2 {
			cancel()
		}
		return nil
	}
	result := forwarder.Forward(ctx, request, &targets{list: []Target{server.target}})
	assert.Equal(t, result.Outcome, oleandervane.NotRun)
	assert.Equal(t, result.Reason, ReasonCancelled)
	assert.Equal(t, <-received, int64(0))
}

// runCounter is a backend server that counts runs by request body, responds with the body, and breaks the connection of
// every fifth request after running it.
type runCounter struct {
	connections sync.WaitGroup
	mutex       sync.Mutex
	runs        map[string]int
}

func (counter *runCounter) serve(_ *server, conn net.Conn, _ int64) {
	defer counter.connections.Done()
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		counter.mutex.Lock()
		counter.runs[string(body)]++
		counter.mutex.Unlock()
		if body[0]%5 == 0 {
			return
		}
		id := request.Header.Get(oleandervane.HeaderRequestID)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nOleandervane-Request-Id: %s\r\n\r\n%s", len(body), id, body)
	}
}

// Guards against a false "not run", double runs and responses of other requests when many callers send at the same time
// and cancel at any moment, on real sockets.
func TestFigureCancelledAtRandom(t *testing.T) {
	const seed, workers, requests = 20261204, 8, 250
	t.Logf("seed %d", seed)
	counter := &runCounter{runs: map[string]int{}}
	target := newServer(t, "b1", counter.serve).target
	forwarder, _ := newTestForwarder(t)
	open := forwarder.pool.open
	forwarder.pool.open = func(ctx context.Context, address netip.AddrPort) (*connection, error) {
		// Without cancellation here, each counted connection is one that the server accepts.
		counter.connections.Add(1)
		return open(context.WithoutCancel(ctx), address)
	}
	var outcomes sync.Map
	var group sync.WaitGroup
	for worker := range workers {
		random := rand.New(rand.NewPCG(seed, uint64(worker)))
		group.Go(func() {
			for number := range requests {
				request := testRequest(number%2 == 0, "POST", fmt.Sprintf("%c%d", 'a'+worker, number))
				request.MaxAttempts = 1
				ctx, cancel := context.WithCancel(context.Background())
				yields := 1 << random.IntN(16)
				go func() {
					for range yields {
						runtime.Gosched()
					}
					cancel()
				}()
				result := forwarder.Forward(ctx, request, &targets{list: []Target{target}})
				outcomes.Store(string(request.Body), result.Outcome)
				assert.Check(t, result.Response == nil || bytes.Equal(result.Response.Body, request.Body), "response of another request")
			}
		})
	}
	group.Wait()
	forwarder.Close()
	counter.connections.Wait()
	counts, doubleRuns, falseNotRun := map[oleandervane.Outcome]int{}, 0, 0
	outcomes.Range(func(body, value any) bool {
		outcome := value.(oleandervane.Outcome)
		counts[outcome]++
		doubleRuns += max(0, counter.runs[body.(string)]-1)
		if outcome == oleandervane.NotRun {
			falseNotRun += counter.runs[body.(string)]
		}
		return true
	})
	t.Logf("outcomes: %v", counts)
	figure.Require(t, figure.Figure{Name: "request_cancelled_double_runs", Value: float64(doubleRuns), Unit: "requests", Bound: 0})
	figure.Require(t, figure.Figure{Name: "request_cancelled_false_not_run", Value: float64(falseNotRun), Unit: "requests", Bound: 0})
}
