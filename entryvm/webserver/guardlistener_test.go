package webserver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example/entry/account"
	"oleandervane.example/timer"
)

type noObserver struct{}

func (noObserver) Refused(account.Listener, netip.Addr, account.Cause) {}
func (noObserver) Closed(account.Closed, account.Cause)                {}

// newGuardedServer starts a server on a guarded listener of a VM of 136 MB.
func newGuardedServer(t *testing.T, headerLimits HeaderLimits, handler http.HandlerFunc) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	limits := &atomic.Pointer[HeaderLimits]{}
	limits.Store(&headerLimits)
	guarded := NewGuardListener(listener, account.CallerListener, account.New(account.NewLimits(136<<20, 2870), timer.System{}, noObserver{}), limits)
	server := NewGuarded(guarded, handler, nil)
	go func() { _ = server.Server.Serve(guarded) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// Guards against requests that are cancelled when the time for their header ends, because the server began to wait for the end of the
// connection before the request counted as served.
func TestRequestsOutlastTheTimeForTheirHeader(t *testing.T) {
	const callers, rounds = 16, 25
	var cancelled atomic.Int64
	address := newGuardedServer(t, HeaderLimits{Bytes: 16 << 10, Timeout: 50*time.Millisecond - headerMargin},
		func(_ http.ResponseWriter, request *http.Request) {
			select {
			case <-request.Context().Done():
				cancelled.Add(1)
			case <-time.After(100 * time.Millisecond):
			}
		})
	var callersLeft sync.WaitGroup
	for range callers {
		callersLeft.Go(func() {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer conn.Close()
			for range rounds {
				_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
				_, _ = conn.Read(make([]byte, 1024))
			}
		})
	}
	callersLeft.Wait()
	assert.Equal(t, cancelled.Load(), int64(0))
}

// Guards against headers of the permitted size that are refused because the beginning of the body was read with them.
func TestBodyDoesNotCountAsHeader(t *testing.T) {
	address := newGuardedServer(t, DefaultHeaderLimits(), func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
	})
	body := strings.Repeat("x", 32<<10)
	fields := fmt.Sprintf("Host: a\r\nContent-Length: %d\r\n", len(body))
	for number := 0; len(fields) < 16<<10-70; number++ {
		fields += fmt.Sprintf("X-Field-%03d: %s\r\n", number, strings.Repeat("f", 40))
	}
	message := "POST /" + strings.Repeat("p", 300) + " HTTP/1.1\r\n" + fields + "\r\n" + body
	for first := 350; first <= 1200; first += 50 {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, err = io.WriteString(conn, message[:first])
		assert.NilError(t, err)
		time.Sleep(5 * time.Millisecond)
		_, err = io.WriteString(conn, message[first:])
		assert.NilError(t, err)
		response := make([]byte, len("HTTP/1.1 200"))
		_, err = io.ReadFull(conn, response)
		assert.NilError(t, err)
		assert.Equal(t, string(response), "HTTP/1.1 200", "first piece of %d bytes", first)
		assert.NilError(t, conn.Close())
	}
}

// slowConn accepts a piece of a response each 100 ms.
type slowConn struct{ net.Conn }

func (slowConn) SetWriteDeadline(time.Time) error { return nil }

func (slowConn) Write(piece []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return len(piece), nil
}

// Guards against callers that lose their connections to others while they read a large response steadily.
func TestSteadyReaderKeepsItsConnection(t *testing.T) {
	limits := account.NewLimits(136<<20, 2870)
	limits.Connections[account.CallerListener] = 1
	callers := account.New(limits, timer.System{}, noObserver{})
	guarded := &guardedConn{Conn: slowConn{}}
	guarded.account = callers.Open(account.CallerListener, netip.Addr{}, func() { t.Error("the connection was closed") })
	guarded.account.BeginRequest()
	go func() { _, _ = guarded.Write(make([]byte, 8*writePieceBytes)) }()
	time.Sleep(450 * time.Millisecond)
	assert.Assert(t, callers.Open(account.CallerListener, netip.Addr{}, func() {}) == nil)
}

// earlyConn is a connection whose next request has started ahead of its turn.
type earlyConn struct{ net.Conn }

func (earlyConn) StartedEarly() bool { return true }

// Guards against refusals of requests that have started ahead of their turn, because a refusal says that a request has not run.
func TestRequestsThatStartedAreNotRefused(t *testing.T) {
	server, caller := net.Pipe()
	defer caller.Close()
	go func() {
		_, err := (&guardedConn{Conn: earlyConn{server}}).refuse(busyResponse())
		assert.Check(t, err != nil)
	}()
	response, err := io.ReadAll(caller)
	assert.NilError(t, err)
	assert.Equal(t, string(response), "")
}

// Guards against connections that are closed because their callers opened them ahead of the first request.
func TestTimeForAHeaderBeginsWithItsFirstByte(t *testing.T) {
	address := newGuardedServer(t, HeaderLimits{Bytes: 16 << 10, Timeout: 50*time.Millisecond - headerMargin}, func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	time.Sleep(150 * time.Millisecond)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	_, err = io.ReadFull(conn, make([]byte, len("HTTP/1.1 200")))
	assert.NilError(t, err)
}
