package forward

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/figure"
	"oleandervane.example/socket"
)

// silencedServer goes silent on the first connections after their first response. Later connections work.
func silencedServer(t testing.TB, id string, silenced int64) *server {
	return newServer(t, id, func(server *server, conn net.Conn, number int64) {
		reader := bufio.NewReader(conn)
		server.runActions(conn, reader, number, "read; "+okAction)
		if number <= silenced {
			server.runActions(conn, reader, number, "read; hang")
			return
		}
		for server.runActions(conn, reader, number, "read; "+okAction) {
		}
	})
}

func forwardInBackground(forwarder *Forwarder, request Request, chooser TargetChooser) chan Result {
	results := make(chan Result, 1)
	go func() { results <- forwarder.Forward(context.Background(), request, chooser) }()
	return results
}

// Guards against requests that fail on a pooled connection that went silent although a new one would serve them, and
// against detection that takes longer than specified.
func TestFigureSilentDetection(t *testing.T) {
	server := silencedServer(t, "b1", 1)
	other := scripted(t, "b2", "read; "+okAction)
	forwarder, manual := newTestForwarder(t)
	allowRetries(forwarder)
	chooser := &targets{list: []Target{server.target, other.target}}
	request := testRequest(true, "GET", "")
	assert.Equal(t, forwarder.Forward(context.Background(), request, chooser).Outcome, oleandervane.Answered)
	<-server.read
	start := manual.Now()
	results := forwardInBackground(forwarder, request, chooser)
	assert.Equal(t, <-server.read, int64(1), "the pooled connection was not used")
	manual.Advance(MaxSilenceTimeout - 1)
	assert.Equal(t, len(results), 0)
	manual.Advance(1)
	result := <-results
	assert.Equal(t, result.Outcome, oleandervane.Answered)
	assert.Equal(t, result.Target.ID, "b2")
	detection := manual.Now().Sub(start).Seconds()
	figure.Require(t, figure.Figure{Name: "request_silent_detection", Value: detection, Unit: "s", Bound: MaxSilenceTimeout.Seconds()})
}

// Guards against a vanished host, which refuses no connection, using up the whole deadline of a request.
func TestVanishedHostLeavesTimeForRetry(t *testing.T) {
	other := scripted(t, "b2", "read; "+okAction)
	forwarder, manual := newTestForwarder(t)
	allowRetries(forwarder)
	open, opening := forwarder.pool.open, make(chan struct{})
	forwarder.pool.open = func(ctx context.Context, address netip.AddrPort) (*connection, error) {
		if address == other.target.Address {
			return open(ctx, address)
		}
		opening <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	results := forwardInBackground(forwarder, testRequest(false, "POST", "x"), &targets{list: []Target{{ID: "b1"}, other.target}})
	<-opening
	manual.Advance(MaxSilenceTimeout)
	result := <-results
	assert.Equal(t, result.Outcome, oleandervane.Answered, "%v", result.Reason)
	assert.Equal(t, result.Attempts, 2)
}

// Guards against a non-idempotent request on a pooled connection: if that is silent, the outcome would be unknown.
func TestNonIdempotentRequestUsesNewConnection(t *testing.T) {
	server := silencedServer(t, "b1", 1)
	forwarder, _ := newTestForwarder(t)
	chooser := &targets{list: []Target{server.target}}
	for _, idempotent := range []bool{true, false} {
		result := forwarder.Forward(context.Background(), testRequest(idempotent, "POST", "x"), chooser)
		assert.Equal(t, result.Outcome, oleandervane.Answered)
	}
	assert.Equal(t, server.requests.Load(), int64(2))
}

// Guards against each silent connection of a pool costing a request: the first one detected invalidates the others.
func TestOneSilentConnectionInvalidatesAll(t *testing.T) {
	const connections = 3
	server := silencedServer(t, "b1", connections)
	forwarder, manual := newTestForwarder(t)
	allowRetries(forwarder)
	chooser := &targets{list: []Target{server.target}}
	for range connections {
		// A non-idempotent request opens a connection and leaves it in the pool.
		forwarder.Forward(context.Background(), testRequest(false, "POST", "x"), chooser)
		<-server.read
	}
	// The silence timeout of this kind is shorter than the idle timeout, which would evict the connections as well.
	request := testRequest(true, "GET", "")
	request.Kind.Deadline = 2 * DefaultIdleTimeout
	results := forwardInBackground(forwarder, request, chooser)
	<-server.read
	manual.Advance(silenceTimeout(request.Kind))
	result := <-results
	assert.Equal(t, result.Outcome, oleandervane.Unknown)
	assert.Equal(t, result.Reason, ReasonSilent)
	for range connections {
		result = forwarder.Forward(context.Background(), testRequest(true, "GET", ""), chooser)
		assert.Equal(t, result.Outcome, oleandervane.Answered)
	}
}

// Guards against connections that stay idle longer than the timeout, both on use and in the periodic sweep.
func TestIdleConnectionsAreClosed(t *testing.T) {
	server := scripted(t, "b1", "read; "+okAction)
	forwarder, manual := newTestForwarder(t)
	chooser := &targets{list: []Target{server.target}}
	request := testRequest(true, "GET", "")
	request.Deadline = manual.Now().Add(time.Hour)
	for _, pause := range []time.Duration{0, DefaultIdleTimeout / 2, DefaultIdleTimeout, 3 * DefaultIdleTimeout} {
		manual.Advance(pause)
		assert.Equal(t, forwarder.Forward(context.Background(), request, chooser).Outcome, oleandervane.Answered)
	}
	assert.Equal(t, server.connections.Load(), int64(3))
	manual.Advance(3 * DefaultIdleTimeout)
	assert.Equal(t, len(forwarder.pool.targets), 0)
}

// Guards against kinds that are inherently slow being treated as silent: they use new connections, which have no
// silence timeout.
func TestSlowKindIsNotTreatedAsSilent(t *testing.T) {
	server := scripted(t, "b1", "read; "+okAction)
	forwarder, _ := newTestForwarder(t)
	chooser := &targets{list: []Target{server.target}}
	request := testRequest(true, "GET", "")
	forwarder.firstBytes.record(request, time.Second)
	forwarder.Forward(context.Background(), request, chooser)
	forwarder.Forward(context.Background(), request, chooser)
	assert.Equal(t, server.connections.Load(), int64(2))
}

// Guards against a request that waits for ever on a dead path, on which the peer accepts no more bytes. The test
// uses real time, so the figure is reported but cannot fail the test. The peer neither closes nor resets and no other
// limit is set, so only the socket option can break the connection; which of net/http's goroutines sees ETIMEDOUT
// first, and which sees EPIPE after it, is not fixed. Without the option this test does not end.
func TestFigureDeadPathIsDetected(t *testing.T) {
	server := newServer(t, "b1", func(_ *server, conn net.Conn, _ int64) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4096)
	})
	forwarder, _ := newTestForwarder(t)
	request := testRequest(false, "POST", strings.Repeat("x", 32<<20))
	start := time.Now()
	result := forwarder.Forward(context.Background(), request, &targets{list: []Target{server.target}})
	assert.Equal(t, result.Outcome, oleandervane.Unknown)
	assert.Equal(t, result.Reason, ReasonBroken)
	bound := (socket.KeepaliveIdle + socket.UnacknowledgedTimeout).Seconds()
	figure.Report(t, figure.Figure{Name: "request_dead_path_detection", Value: time.Since(start).Seconds(), Unit: "s", Bound: bound})
}
