package responsehead

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"oleandervane.example/socket"
)

// Conn checks the responses on a connection that carries one request at a time.
type Conn struct {
	net.Conn
	// begins is set when a request is about to be written.
	begins  atomic.Bool
	checker Checker
}

// Begin says that a request is about to be written.
func (conn *Conn) Begin() {
	conn.begins.Store(true)
}

// Read fails with ErrInvalid at an invalid head.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		if conn.begins.CompareAndSwap(true, false) {
			conn.checker.Begin()
		}
		if err := conn.checker.Check(buffer[:count]); err != nil {
			return 0, err
		}
	}
	return count, err
}

// Transport is an http.RoundTripper for HTTP/1 without TLS that rejects responses with invalid heads, and whose connections are
// socket.Conns.
type Transport struct {
	transport *http.Transport
}

// NewTransport returns a round tripper that uses a transport, of which it replaces DialContext.
func NewTransport(transport *http.Transport) Transport {
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: socket.NewConn(conn)}, nil
	}
	return Transport{transport: transport}
}

// RoundTrip sends a request.
func (transport Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, isChecked := info.Conn.(*Conn); isChecked {
			conn.Begin()
		}
	}}
	return transport.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

// CloseIdleConnections closes connections that are not in use.
func (transport Transport) CloseIdleConnections() {
	transport.transport.CloseIdleConnections()
}
