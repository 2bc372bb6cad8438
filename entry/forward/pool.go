package forward

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"oleandervane.example"
	"oleandervane.example/socket"
)

// connection is one HTTP/1.1 connection to a target. It carries one request at a time.
type connection struct {
	address    netip.AddrPort
	generation uint64
	gate       *gate
	idleSince  time.Time
	// keepAlive is how long the peer said that it keeps an idle connection; zero if it did not say.
	keepAlive time.Duration
	// idle is set while the connection is unused. Whoever clears it uses or closes the connection, or has found it broken.
	idle atomic.Bool
	// roundTrip and close are those of an http.ClientConn, which never resends a request: it is one connection.
	roundTrip func(*http.Request) (*http.Response, error)
	usable    func() bool
	close     func()
	// body is the body of the current request. net/http refers to the last request of an idle connection.
	body *bytes.Reader
}

// closeIdle closes a connection that is unused.
func (connection *connection) closeIdle() {
	connection.idle.Store(false)
	connection.close()
}

// bodyReader returns a reader of the body of a request until the connection is released.
func (connection *connection) bodyReader(body []byte) *bytes.Reader {
	connection.body = bytes.NewReader(body)
	return connection.body
}

// dropBody drops the body of a request that was written completely.
func (connection *connection) dropBody() {
	if connection.body != nil {
		connection.body.Reset(nil)
		connection.body = nil
	}
}

// pool stores idle connections per target.
type pool struct {
	timerService oleandervane.TimerService
	idleTimeout  time.Duration
	maxIdle      int
	open         func(ctx context.Context, address netip.AddrPort) (*connection, error)
	// breakObserver is notified when a target ends an idle connection before the time that it named; nil notifies nobody.
	breakObserver oleandervane.BreakObserver

	mutex   sync.Mutex
	targets map[netip.AddrPort]*targetPool
}

type targetPool struct {
	// generation increases when a connection to the target is found silent or broken; connections of an earlier
	// generation are not reused.
	generation uint64
	idle       []*connection
	// retired are idle connections that are not used any more and closed after breakWatch.
	retired []*connection
}

func newPool(timerService oleandervane.TimerService, idleTimeout time.Duration, maxIdle int, tlsConfig *tls.Config) *pool {
	return &pool{
		timerService: timerService,
		idleTimeout:  idleTimeout,
		maxIdle:      maxIdle,
		open:         newOpener(tlsConfig),
		targets:      map[netip.AddrPort]*targetPool{},
	}
}

// maxResponseHeaderBytes bounds how much an entry VM buffers before the body of a response; net/http allows 10 MiB.
const maxResponseHeaderBytes = 64 << 10

type gateKey struct{}

// newOpener returns a function that opens connections. They use HTTP/1.1 only: an HTTP/2 connection would carry several
// requests, and a GOAWAY would make net/http resend one of them. With a TLS configuration the handshake takes place
// below the gate, so that its bytes do not count as bytes of a request.
func newOpener(tlsConfig *tls.Config) func(ctx context.Context, address netip.AddrPort) (*connection, error) {
	dialer := socket.NewDialer()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		Protocols:              protocols,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			conn = socket.NewConn(conn)
			gate := ctx.Value(gateKey{}).(*gate)
			gate.Conn, gate.encrypted = conn, tlsConfig != nil
			if tlsConfig == nil {
				return gate, nil
			}
			tlsConn := tls.Client(conn, tlsConfig)
			if err := tlsConn.HandshakeContext(ctx); err != nil {
				_ = conn.Close()
				return nil, err
			}
			gate.Conn = tlsConn
			return gate, nil
		},
	}
	return func(ctx context.Context, address netip.AddrPort) (*connection, error) {
		gate := &gate{}
		clientConn, err := transport.NewClientConn(context.WithValue(ctx, gateKey{}, gate), "http", address.String())
		if err != nil {
			return nil, fmt.Errorf("opening a connection to %s: %w", address, err)
		}
		return &connection{
			address:   address,
			gate:      gate,
			roundTrip: clientConn.RoundTrip,
			usable:    func() bool { return clientConn.Available() == 1 },
			close:     func() { _ = clientConn.Close() },
		}, nil
	}
}

// acquire returns an idle connection, or opens one if mustOpen is set or none is idle.
func (pool *pool) acquire(ctx context.Context, address netip.AddrPort, mustOpen bool) (connection *connection, reused bool, err error) {
	if !mustOpen {
		if connection := pool.acquireIdle(address); connection != nil {
			return connection, true, nil
		}
	}
	generation := pool.generation(address)
	connection, err = pool.open(ctx, address)
	if err != nil {
		return nil, false, err
	}
	connection.generation = generation
	idleBreak := func() { pool.recordIdleBreak(connection) }
	connection.gate.idleBreak.Store(&idleBreak)
	return connection, false, nil
}

// keepAliveMargin is the time before the end of the time that a target named from which on the end of an idle connection is expected.
// Targets name whole seconds.
const keepAliveMargin = time.Second

// recordIdleBreak notifies the observer unless the target had announced that it would end the connection by now.
func (pool *pool) recordIdleBreak(connection *connection) {
	if pool.breakObserver == nil || !connection.idle.CompareAndSwap(true, false) {
		return
	}
	if pool.timerService.Now().Sub(connection.idleSince) < pool.idleLimit(connection) {
		pool.breakObserver.ObserveBreak(connection.address, true)
	}
}

// idleLimit returns for how long an idle connection is used again.
func (pool *pool) idleLimit(connection *connection) time.Duration {
	if connection.keepAlive == 0 {
		return pool.idleTimeout
	}
	return min(pool.idleTimeout, connection.keepAlive-min(keepAliveMargin, connection.keepAlive/2))
}

func (pool *pool) generation(address netip.AddrPort) uint64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.target(address).generation
}

func (pool *pool) target(address netip.AddrPort) *targetPool {
	target := pool.targets[address]
	if target == nil {
		target = &targetPool{}
		pool.targets[address] = target
	}
	return target
}

// acquireIdle returns the connection that was used last, so that spare ones reach the idle timeout and are evicted.
func (pool *pool) acquireIdle(address netip.AddrPort) *connection {
	now := pool.timerService.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	target := pool.target(address)
	for len(target.idle) > 0 {
		last := len(target.idle) - 1
		connection := target.idle[last]
		target.idle = target.idle[:last]
		if connection.usable() && now.Sub(connection.idleSince) < pool.idleLimit(connection) && connection.idle.CompareAndSwap(true, false) {
			return connection
		}
		connection.closeIdle()
	}
	return nil
}

// release returns a connection to the pool after its response was read completely. A connection that net/http does not
// report as available still writes its request; the gate must not be marked idle before that ends, because the rest of
// that request would count as the first bytes of the next one.
func (pool *pool) release(connection *connection) {
	if !connection.usable() {
		connection.close()
		return
	}
	connection.dropBody()
	connection.idleSince = pool.timerService.Now()
	connection.idle.Store(true)
	connection.gate.markIdle()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	target := pool.target(connection.address)
	if connection.generation != target.generation {
		connection.closeIdle()
		return
	}
	target.idle = append(target.idle, connection)
	if len(target.idle) > pool.maxIdle {
		target.idle[0].closeIdle()
		target.idle = target.idle[1:]
	}
}

// breakWatch is how long idle connections are observed after another one to the same target broke under a request. When a server
// ends, its host ends all its connections within milliseconds.
const breakWatch = 50 * time.Millisecond

// invalidate closes all idle connections to a target, and those in use after their response. Whatever silenced or broke
// one connection has often silenced those that were open at the same time.
func (pool *pool) invalidate(address netip.AddrPort) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.target(address).retireIdle()
	pool.target(address).closeRetired()
}

// invalidateBroken does the same after a connection broke, and closes the idle ones only after it was seen whether they broke too.
func (pool *pool) invalidateBroken(address netip.AddrPort) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	target := pool.target(address)
	target.retireIdle()
	if len(target.retired) == 0 {
		return
	}
	pool.timerService.After(breakWatch, func(time.Time) {
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		target.closeRetired()
	})
}

// retireIdle prevents the use of the connections that are open.
func (target *targetPool) retireIdle() {
	target.generation++
	target.retired = append(target.retired, target.idle...)
	target.idle = nil
}

func (target *targetPool) closeRetired() {
	for _, connection := range target.retired {
		connection.closeIdle()
	}
	target.retired = nil
}

// evictIdle closes connections that were idle for the idle timeout.
func (pool *pool) evictIdle(now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for address, target := range pool.targets {
		target.evictIdle(now.Add(-pool.idleTimeout))
		if len(target.idle) == 0 && target.generation == 0 {
			delete(pool.targets, address)
		}
	}
}

func (target *targetPool) evictIdle(before time.Time) {
	remaining := target.idle[:0]
	for _, connection := range target.idle {
		if connection.idleSince.After(before) {
			remaining = append(remaining, connection)
			continue
		}
		connection.closeIdle()
	}
	clear(target.idle[len(remaining):])
	target.idle = remaining
}

func (pool *pool) closeIdle() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, target := range pool.targets {
		target.evictIdle(pool.timerService.Now())
		target.closeRetired()
	}
}
