package forward

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/timer"
)

// recordedBreaks records whether the connections that broke were idle.
type recordedBreaks chan bool

func (recordedBreaks recordedBreaks) ObserveBreak(_ netip.AddrPort, idle bool) {
	recordedBreaks <- idle
}

// keepAliveDialect has servers say that they keep idle connections for 10 s.
type keepAliveDialect struct{ nativeDialect }

func (dialect keepAliveDialect) ReadResponse(status int, header http.Header) oleandervane.ResponseMetadata {
	metadata := dialect.nativeDialect.ReadResponse(status, header)
	metadata.KeepAlive = 10 * time.Second
	return metadata
}

// Guards against an idle connection whose end nobody notices, and against connections that count although this VM closed them or the
// server had named the time of their end.
func TestEndOfIdleConnectionIsObserved(t *testing.T) {
	for _, testCase := range []struct {
		name    string
		idleFor time.Duration
		end     func(forwarder *Forwarder, conn net.Conn)
		want    int
	}{
		{"closed by the server", time.Second, func(_ *Forwarder, conn net.Conn) { _ = conn.Close() }, 1},
		{"closed by the server as announced", 9500 * time.Millisecond, func(_ *Forwarder, conn net.Conn) { _ = conn.Close() }, 0},
		{"closed by this VM", time.Second, func(forwarder *Forwarder, _ net.Conn) { forwarder.Close() }, 0},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			conns := make(chan net.Conn, 1)
			server := newServer(t, "b1", func(server *server, conn net.Conn, number int64) {
				conns <- conn
				server.script(conn, number, "read; "+okAction)
			})
			manual, breaks := timer.NewManual(time.Unix(1000, 0)), make(recordedBreaks, 4)
			forwarder := New(Settings{BreakObserver: breaks, Dialect: keepAliveDialect{}, IdleTimeout: time.Minute}, manual)
			t.Cleanup(forwarder.Close)
			result := forwarder.Forward(context.Background(), testRequest(true, "GET", ""), &targets{list: []Target{server.target}})
			assert.Equal(t, result.Outcome, oleandervane.Answered)
			manual.Advance(testCase.idleFor)
			testCase.end(forwarder, <-conns)
			got := 0
			select {
			case idle := <-breaks:
				assert.Check(t, idle)
				got++
			case <-time.After(time.Duration(1+9*testCase.want) * 200 * time.Millisecond):
			}
			assert.Equal(t, got, testCase.want)
		})
	}
}

// Guards against a server that counts as ended, and is probed, because it sends what this VM cannot read.
func TestOnlyEndsByTheServerAreObserved(t *testing.T) {
	for actions, want := range map[string]int{
		"read; reset":                    1,
		`read; send "no HTTP\r\n"; hang`: 0,
	} {
		server := scripted(t, "b1", actions)
		breaks := make(recordedBreaks, 4)
		forwarder := New(Settings{BreakObserver: breaks}, timer.NewManual(time.Unix(1000, 0)))
		t.Cleanup(forwarder.Close)
		result := forwarder.Forward(context.Background(), testRequest(false, "POST", ""), &targets{list: []Target{server.target}})
		assert.Equal(t, result.Outcome, oleandervane.Unknown)
		assert.Equal(t, len(breaks), want, actions)
	}
}
