package webserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"oleandervane.example/entry/account"
)

const (
	// headerMargin is added to the configured time for a request's header, because the parts of the header take different times to
	// arrive. The time begins with the first byte: callers open connections ahead and leave them idle.
	headerMargin = 2 * time.Second
	// headerMarginBytes is added to the configured size of a header. Callers count it without the request line, some without line ends.
	headerMarginBytes = 4 << 10
	// readStall ends the wait for a body of which nothing arrives. Links of 10 Mbit/s lose a few seconds at most to retransmissions.
	readStall = 10 * time.Second
	// writeStall and writePieceBytes define the slowest caller that gets its whole response: 6.5 KB/s.
	writeStall      = 5 * time.Second
	writePieceBytes = 32 << 10
	// refusalTimeout bounds the writing of a refusal, which fits in the buffer of the socket.
	refusalTimeout = 50 * time.Millisecond
	// refusalLinger is how long a refused connection stays open, so that the caller sees the response before a reset, and maxLingering
	// bounds the number of such connections.
	refusalLinger = 200 * time.Millisecond
	maxLingering  = 16
	// maxDroppedBytes bounds what is read of a request that was refused.
	maxDroppedBytes = 64 << 10
)

const largeHeaderResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// minRetryAfter and maxRetryAfter bound when refused callers should return. Slow connections are closed for others from 0.25 s on.
const (
	minRetryAfter = 0.3
	maxRetryAfter = 0.8
)

// busyResponse refuses a request. The times are spread, so that callers who are refused together do not return together.
func busyResponse() string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRetry-After: %.2f\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		minRetryAfter+(maxRetryAfter-minRetryAfter)*rand.Float64())
}

// HeaderLimits are the limits of a request's header.
type HeaderLimits struct {
	Bytes   int64
	Timeout time.Duration
}

// DefaultHeaderLimits apply until a configuration sets others.
func DefaultHeaderLimits() HeaderLimits {
	return HeaderLimits{Bytes: 16 << 10, Timeout: 3 * time.Second}
}

// GuardListener accounts for the connections of a listener. It closes those that send or read too slowly or for which there is no room.
type GuardListener struct {
	net.Listener
	account  *account.Account
	kind     account.Listener
	limits   *atomic.Pointer[HeaderLimits]
	lingered chan struct{}
}

// NewGuardListener returns a listener that accounts for the connections of another. The limits may be replaced at any time.
func NewGuardListener(listener net.Listener, kind account.Listener, account *account.Account, limits *atomic.Pointer[HeaderLimits]) *GuardListener {
	return &GuardListener{Listener: listener, account: account, kind: kind, limits: limits, lingered: make(chan struct{}, maxLingering)}
}

// Accept returns the next connection for which there is room.
func (guardListener *GuardListener) Accept() (net.Conn, error) {
	for {
		conn, err := guardListener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		guarded := &guardedConn{Conn: conn, limits: guardListener.limits}
		guarded.account = guardListener.account.Open(guardListener.kind, remoteAddress(conn), guarded.shut)
		if guarded.account != nil {
			return guarded, nil
		}
		guardListener.refuse(conn)
	}
}

func remoteAddress(conn net.Conn) netip.Addr {
	address, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr()
}

// refuse responds that nothing of the connection was or will be run.
func (guardListener *GuardListener) refuse(conn net.Conn) {
	select {
	case guardListener.lingered <- struct{}{}:
	default:
		_ = conn.Close()
		return
	}
	writeRefusal(conn, busyResponse())
	time.AfterFunc(refusalLinger, func() {
		_ = conn.Close()
		<-guardListener.lingered
	})
}

// writeRefusal sends a response without reading the request. The connection is closed after it, so an error is of no interest.
func writeRefusal(conn net.Conn, response string) {
	_ = conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(conn, response)
	if closer, canClose := conn.(interface{ CloseWrite() error }); canClose {
		_ = closer.CloseWrite()
	}
}

var errRefused = errors.New("the request was refused")

// guardedConn is a connection whose server never has to wait long for the caller. The server reads and writes it from one goroutine at
// a time, except for a read of a single byte while a request is served.
type guardedConn struct {
	net.Conn
	account *account.Connection
	limits  *atomic.Pointer[HeaderLimits]
	// headerDeadline is the end of the time for the header that is being read. Only Read uses it.
	headerDeadline time.Time
	// headerSpan finds the end of that header. Only Read and the end of a request use it, one after the other.
	headerSpan headerSpan

	// mutex guards the deadline of the server. limited is set while an earlier one is in force.
	mutex        sync.Mutex
	readDeadline time.Time
	limited      bool
}

// Read reads bytes for the server. A header counts before the server parses it, because a header field takes many times its bytes.
func (guardedConn *guardedConn) Read(buffer []byte) (int, error) {
	serving := guardedConn.beginRead(len(buffer) == 1)
	count, err := guardedConn.Conn.Read(buffer)
	if serving && len(buffer) == 1 {
		return count, err
	}
	guardedConn.endRead(count)
	if serving || count == 0 {
		return count, err
	}
	return guardedConn.checkHeader(buffer[:count], err)
}

// beginRead sets the deadline of a read, and reports whether a request is served. A read of a single byte then waits for the end of the
// connection and has none but that of the server.
func (guardedConn *guardedConn) beginRead(single bool) (serving bool) {
	guardedConn.mutex.Lock()
	defer guardedConn.mutex.Unlock()
	serving, begun := guardedConn.account.Phase()
	if serving && single {
		return true
	}
	var deadline time.Time
	switch {
	case serving:
		deadline = time.Now().Add(readStall)
	case begun && guardedConn.headerDeadline.IsZero():
		guardedConn.headerDeadline = time.Now().Add(guardedConn.limits.Load().Timeout + headerMargin)
		deadline = guardedConn.headerDeadline
	case begun:
		deadline = guardedConn.headerDeadline
	default:
		guardedConn.headerDeadline = time.Time{}
	}
	if !deadline.IsZero() && (guardedConn.readDeadline.IsZero() || deadline.Before(guardedConn.readDeadline)) {
		guardedConn.limited = true
		_ = guardedConn.Conn.SetReadDeadline(deadline)
	}
	guardedConn.account.Block()
	return serving
}

func (guardedConn *guardedConn) endRead(count int) {
	guardedConn.mutex.Lock()
	defer guardedConn.mutex.Unlock()
	guardedConn.restoreDeadline()
	guardedConn.account.Unblock(count)
}

// restoreDeadline puts the deadline of the server in force. The caller must hold the mutex.
func (guardedConn *guardedConn) restoreDeadline() {
	if guardedConn.limited {
		guardedConn.limited = false
		_ = guardedConn.Conn.SetReadDeadline(guardedConn.readDeadline)
	}
}

// beginRequest says that the header of a request is complete. The server waits for the end of the connection in another goroutine, which
// may have begun to read before. That read must not end with the time for the header, because it would cancel the request.
func (guardedConn *guardedConn) beginRequest() {
	guardedConn.mutex.Lock()
	defer guardedConn.mutex.Unlock()
	guardedConn.account.BeginRequest()
	guardedConn.restoreDeadline()
}

// checkHeader refuses a request whose header is too large or for which there is no room, before the server has parsed it.
func (guardedConn *guardedConn) checkHeader(read []byte, err error) (int, error) {
	size, fits := guardedConn.account.AddHeader(guardedConn.headerSpan.measure(read))
	switch {
	case size > guardedConn.limits.Load().Bytes+headerMarginBytes:
		guardedConn.account.RefuseHeader()
		return guardedConn.refuse(largeHeaderResponse)
	case !fits:
		return guardedConn.refuse(busyResponse())
	}
	return len(read), err
}

// refuse responds to a request whose header is read in part. Some of the rest is dropped, because a connection that is closed with
// unread bytes is reset, and the caller may then not see the response. There is no response if a request of the connection has started
// ahead of its turn: a refusal says that it has not run.
func (guardedConn *guardedConn) refuse(response string) (int, error) {
	if ahead, startsAhead := guardedConn.Conn.(interface{ StartedEarly() bool }); startsAhead && ahead.StartedEarly() {
		_ = guardedConn.Conn.Close()
		return 0, errRefused
	}
	writeRefusal(guardedConn.Conn, response)
	_ = guardedConn.Conn.SetReadDeadline(time.Now().Add(refusalLinger))
	_, _ = io.CopyN(io.Discard, guardedConn.Conn, maxDroppedBytes)
	return 0, errRefused
}

// SetReadDeadline sets the deadline of the server.
func (guardedConn *guardedConn) SetReadDeadline(deadline time.Time) error {
	guardedConn.mutex.Lock()
	defer guardedConn.mutex.Unlock()
	guardedConn.readDeadline = deadline
	return guardedConn.Conn.SetReadDeadline(deadline)
}

// Write writes in pieces, each of which the caller has to accept in time.
func (guardedConn *guardedConn) Write(buffer []byte) (written int, err error) {
	for err == nil && written < len(buffer) {
		piece := buffer[written:min(len(buffer), written+writePieceBytes)]
		_ = guardedConn.Conn.SetWriteDeadline(time.Now().Add(writeStall))
		guardedConn.account.Block()
		var count int
		count, err = guardedConn.Conn.Write(piece)
		guardedConn.account.Unblock(count)
		written += count
		if errors.Is(err, os.ErrDeadlineExceeded) {
			_ = guardedConn.Conn.Close()
		}
	}
	return written, err
}

// CloseWrite lets the server end a response without a reset.
func (guardedConn *guardedConn) CloseWrite() error {
	if closer, canClose := guardedConn.Conn.(interface{ CloseWrite() error }); canClose {
		return closer.CloseWrite()
	}
	return nil
}

// shut closes a connection that loses its place to others. The server ends it.
func (guardedConn *guardedConn) shut() {
	_ = guardedConn.Conn.Close()
}

// Close ends the connection.
func (guardedConn *guardedConn) Close() error {
	guardedConn.account.End()
	return guardedConn.Conn.Close()
}

type guardedConnKey struct{}

// NewGuarded returns the same server as NewOnListener, which tells the listener when requests begin and end. The contexts of requests
// have what connContext, if it is not nil, returns for the connection that is guarded.
func NewGuarded(listener *GuardListener, handler http.Handler, connContext func(ctx context.Context, conn net.Conn) context.Context) *khttp.Server {
	server := NewOnListener(listener, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		// The server does not report a request as active if it read all of it together with the one before.
		if guarded, isGuarded := request.Context().Value(guardedConnKey{}).(*guardedConn); isGuarded {
			guarded.beginRequest()
		}
		handler.ServeHTTP(writer, request)
	}))
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if guarded, isGuarded := conn.(*guardedConn); isGuarded && state == http.StateIdle {
			guarded.headerSpan = headerSpan{}
			guarded.account.EndRequest()
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		guarded, isGuarded := conn.(*guardedConn)
		if !isGuarded {
			return ctx
		}
		if connContext != nil {
			ctx = connContext(ctx, guarded.Conn)
		}
		return context.WithValue(ctx, guardedConnKey{}, guarded)
	}
	return server
}
