package webserver

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example/entry/account"
	"oleandervane.example/timer"
)

type noObserver struct{ account.Observer }

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
