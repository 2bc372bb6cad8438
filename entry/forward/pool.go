package forward

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
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
	// roundTrip and close are those of an http.ClientConn, which has no resend rule: it is one connection.
	roundTrip func(*http.Request) (*http.Response, error)
	usable    func() bool
	close     func()
}

// pool keeps idle connections per target.
type pool struct {
	timerService oleandervane.TimerService
	idleLimit    time.Duration
	maxIdle      int
	open         func(ctx context.Context, address netip.AddrPort) (*connection, error)

	mutex   sync.Mutex
	targets map[netip.AddrPort]*targetPool
}

type targetPool struct {
	// generation grows when a connection to the target is found silent or broken; connections of an earlier
	// generation are used no more.
	generation uint64
	idle       []*connection
}

func newPool(timerService oleandervane.TimerService, idleLimit time.Duration, maxIdle int, tlsConfig *tls.Config) *pool {
	return &pool{
		timerService: timerService,
		idleLimit:    idleLimit,
		maxIdle:      maxIdle,
		open:         newOpener(tlsConfig),
		targets:      map[netip.AddrPort]*targetPool{},
	}
}

// maxResponseHeaderBytes bounds what a target can make an entry VM hold before the body; net/http allows 10 MiB.
const maxResponseHeaderBytes = 64 << 10

type gateKey struct{}

// newOpener returns a function that opens connections. They speak HTTP/1.1 only: an HTTP/2 connection would carry
// several requests, and a GOAWAY would make net/http send one of them again. With a TLS configuration the handshake is
// done below the gate, so that its bytes do not count as bytes of a request.
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

// take returns an idle connection, unless fresh is set or there is none; then it opens one.
func (pool *pool) take(ctx context.Context, address netip.AddrPort, fresh bool) (connection *connection, reused bool, err error) {
	if !fresh {
		if connection := pool.takeIdle(address); connection != nil {
			return connection, true, nil
		}
	}
	generation := pool.generation(address)
	connection, err = pool.open(ctx, address)
	if err != nil {
		return nil, false, err
	}
	connection.generation = generation
	return connection, false, nil
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

// takeIdle returns the connection that was used last, so that spare ones grow old and are retired.
func (pool *pool) takeIdle(address netip.AddrPort) *connection {
	now := pool.timerService.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	target := pool.target(address)
	for len(target.idle) > 0 {
		last := len(target.idle) - 1
		connection := target.idle[last]
		target.idle = target.idle[:last]
		if connection.usable() && now.Sub(connection.idleSince) < pool.idleLimit {
			return connection
		}
		connection.close()
	}
	return nil
}

// put keeps a connection whose response was read completely for other requests. A connection that net/http does
// not call available still writes its request; only afterwards may the gate rest, or the rest of that request would
// pass for the first bytes of the next.
func (pool *pool) put(connection *connection) {
	if !connection.usable() {
		connection.close()
		return
	}
	connection.gate.rest()
	connection.idleSince = pool.timerService.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	target := pool.target(connection.address)
	if connection.generation != target.generation {
		connection.close()
		return
	}
	target.idle = append(target.idle, connection)
	if len(target.idle) > pool.maxIdle {
		target.idle[0].close()
		target.idle = target.idle[1:]
	}
}

// invalidate closes all idle connections to a target and has those in use closed after their response. What silenced
// or broke one connection has often silenced those that were open with it.
func (pool *pool) invalidate(address netip.AddrPort) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	target := pool.target(address)
	target.generation++
	for _, connection := range target.idle {
		connection.close()
	}
	target.idle = nil
}

// retire closes connections that were idle for the idle limit.
func (pool *pool) retire(now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for address, target := range pool.targets {
		target.retire(now.Add(-pool.idleLimit))
		if len(target.idle) == 0 && target.generation == 0 {
			delete(pool.targets, address)
		}
	}
}

func (target *targetPool) retire(before time.Time) {
	kept := target.idle[:0]
	for _, connection := range target.idle {
		if connection.idleSince.After(before) {
			kept = append(kept, connection)
			continue
		}
		connection.close()
	}
	clear(target.idle[len(kept):])
	target.idle = kept
}

func (pool *pool) closeIdle() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, target := range pool.targets {
		target.retire(pool.timerService.Now())
	}
}
