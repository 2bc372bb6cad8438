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
	// Idempotent reports whether a request may run more than once.
	Idempotent(request *http.Request) bool
}

// Dispatcher is the http.Handler of a server; it reads the server's connections ahead and starts pipelined requests
// early.
type Dispatcher struct {
	handler  Handler
	maxAhead int
	// reserve returns a function that releases what an early response takes, or nil if there is no room for it.
	reserve func() (release func())
	// stopped says that no further requests start early.
	stopped      atomic.Bool
	startedEarly atomic.Uint64
}

// NewDispatcher returns a dispatcher that lets at most maxAhead requests of a connection run before their turn.
func NewDispatcher(handler Handler, maxAhead int) *Dispatcher {
	return &Dispatcher{handler: handler, maxAhead: maxAhead, reserve: func() func() { return func() {} }}
}

// WithReserve returns the dispatcher with a function that is called before a request starts early. It returns a function that is called
// when the response is sent, or nil if the request must not start early.
func (dispatcher *Dispatcher) WithReserve(reserve func() (release func())) *Dispatcher {
	return &Dispatcher{handler: dispatcher.handler, maxAhead: dispatcher.maxAhead, reserve: reserve}
}

// StartedEarly returns the number of requests that started before their turn.
func (dispatcher *Dispatcher) StartedEarly() uint64 {
	return dispatcher.startedEarly.Load()
}

// Stop prevents further requests from starting early. The responses of those that run are sent.
func (dispatcher *Dispatcher) Stop() {
	dispatcher.stopped.Store(true)
}

// WrapListener returns a listener for the server, whose connections the dispatcher reads ahead.
func (dispatcher *Dispatcher) WrapListener(listener net.Listener) net.Listener {
	return readAheadListener{Listener: listener, dispatcher: dispatcher}
}

type readAheadListener struct {
	net.Listener
	dispatcher *Dispatcher
}

// Accept returns the next connection.
func (listener readAheadListener) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConnection(listener.dispatcher, accepted), nil
}

type connectionKey struct{}

// ConnContext is the ConnContext of the server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if connection, readsAhead := conn.(*connection); readsAhead {
		return context.WithValue(ctx, connectionKey{}, connection)
	}
	return ctx
}

// ServeHTTP sends the response of a request that started early, or serves the request now.
func (dispatcher *Dispatcher) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	connection, readsAhead := request.Context().Value(connectionKey{}).(*connection)
	if !readsAhead {
		dispatcher.handler.ServeHTTP(writer, request)
		return
	}
	early := connection.beginServing(request)
	defer connection.endServing()
	if early == nil {
		dispatcher.handler.ServeHTTP(writer, request)
		return
	}
	early.deliver(writer, request)
}

// MayClose reports whether the connection of a request may be closed after the response. It may not while requests
// behind it have started; otherwise MayClose also prevents further ones from starting early.
func MayClose(ctx context.Context) bool {
	connection, readsAhead := ctx.Value(connectionKey{}).(*connection)
	return !readsAhead || connection.disableEarlyStarts()
}
