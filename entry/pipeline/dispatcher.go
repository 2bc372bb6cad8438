package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

const (
	// DefaultMaxAhead bounds the requests of a connection that run before their turn.
	DefaultMaxAhead = 8
	// maxBufferedBytes bounds the bytes of a connection that are read while a request is served.
	maxBufferedBytes = 16 << 10
)

// Handler serves requests.
type Handler interface {
	http.Handler
	// Idempotent says whether a request may run more than once.
	Idempotent(request *http.Request) bool
}

// Dispatcher is the http.Handler of a server whose connections it reads ahead.
type Dispatcher struct {
	handler  Handler
	maxAhead int
	// stopped says that no further requests begin early.
	stopped atomic.Bool
	begun   atomic.Uint64
}

// NewDispatcher returns a reader that lets at most maxAhead requests of a connection run before their turn.
func NewDispatcher(handler Handler, maxAhead int) *Dispatcher {
	return &Dispatcher{handler: handler, maxAhead: maxAhead}
}

// StartedEarly returns the number of requests that began before their turn.
func (reader *Dispatcher) StartedEarly() uint64 {
	return reader.begun.Load()
}

// Stop lets no further requests begin early. Those that run are delivered.
func (reader *Dispatcher) Stop() {
	reader.stopped.Store(true)
}

// WrapListener returns a listener for the server.
func (reader *Dispatcher) WrapListener(listener net.Listener) net.Listener {
	return readingListener{Listener: listener, reader: reader}
}

type readingListener struct {
	net.Listener
	reader *Dispatcher
}

// Accept returns the next connection.
func (listener readingListener) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConnection(listener.reader, accepted), nil
}

type connectionKey struct{}

// ConnContext is the ConnContext of the server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if connection, reads := conn.(*connection); reads {
		return context.WithValue(ctx, connectionKey{}, connection)
	}
	return ctx
}

// ServeHTTP delivers the answer of a request that began early, or serves the request now.
func (reader *Dispatcher) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	connection, reads := request.Context().Value(connectionKey{}).(*connection)
	if !reads {
		reader.handler.ServeHTTP(writer, request)
		return
	}
	early := connection.next(request)
	defer connection.served()
	if early == nil {
		reader.handler.ServeHTTP(writer, request)
		return
	}
	early.deliver(writer, request)
}

// MayClose says whether the connection of a request may be closed after its answer. It may not while requests behind it
// have begun; else no further ones begin.
func MayClose(ctx context.Context) bool {
	connection, reads := ctx.Value(connectionKey{}).(*connection)
	return !reads || connection.quiesce()
}
