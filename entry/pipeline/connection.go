package pipeline

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
)

// readAheadBytes is the size of a read while a request is served.
const readAheadBytes = 1 << 10

// connection is a caller's connection. The server reads it from one goroutine at a time.
type connection struct {
	net.Conn
	dispatcher *Dispatcher
	// ctx ends when the connection is closed.
	ctx    context.Context
	cancel context.CancelFunc
	// buffered are bytes that were read ahead and that the server has not read yet.
	buffered []byte
	// delivered is the number of bytes that the server has read.
	delivered int64
	scanner   scanner

	mutex sync.Mutex
	// pending are the requests that the server has not started to serve, in order.
	pending             []*pendingRequest
	serving             bool
	earlyStartsDisabled bool
}

// pendingRequest is a request whose turn has not come.
type pendingRequest struct {
	method, target, host string
	// headEnd is the number of bytes of the connection up to the end of the request's head.
	headEnd int64
	// early is nil if the request has not started.
	early *earlyResponse
}

func newConnection(dispatcher *Dispatcher, conn net.Conn) *connection {
	connection := &connection{Conn: conn, dispatcher: dispatcher}
	connection.ctx, connection.cancel = context.WithCancel(context.WithValue(context.Background(), connectionKey{}, connection))
	return connection
}

// Read reads bytes for the server. While a request is served, the server reads a single byte to notice when the caller
// disconnects. Such a read also reads the requests behind the current one, and continues until the connection ends or
// the server cancels the read by its deadline.
func (connection *connection) Read(buffer []byte) (int, error) {
	if len(buffer) == 1 && connection.isWatched() {
		return connection.readAhead(buffer)
	}
	if count := connection.readBuffered(buffer); count > 0 {
		return count, nil
	}
	count, err := connection.Conn.Read(buffer)
	connection.scan(buffer[:count])
	connection.delivered += int64(count)
	return count, connection.cancelOnEnd(err)
}

// isWatched reports whether the server has read a whole request and only waits for the end of the connection. Otherwise a read of a
// single byte is for the last free byte of the server's buffer, in the middle of a long head.
func (connection *connection) isWatched() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.scanner.stopped {
		return false
	}
	return connection.serving || len(connection.pending) > 0 && connection.pending[0].headEnd <= connection.delivered
}

func (connection *connection) readAhead(buffer []byte) (int, error) {
	ahead := make([]byte, readAheadBytes)
	for len(connection.buffered) < maxBufferedBytes {
		count, err := connection.Conn.Read(ahead)
		connection.scan(ahead[:count])
		connection.buffered = append(connection.buffered, ahead[:count]...)
		if err != nil {
			return 0, connection.cancelOnEnd(err)
		}
	}
	return connection.readBuffered(buffer), nil
}

// cancelOnEnd cancels the requests that have started early when the caller has disconnected. An exceeded deadline does
// not mean that: the server sets one to end a read.
func (connection *connection) cancelOnEnd(err error) error {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		connection.cancel()
	}
	return err
}

func (connection *connection) readBuffered(buffer []byte) int {
	count := copy(buffer, connection.buffered)
	connection.delivered += int64(count)
	connection.buffered = connection.buffered[count:]
	if len(connection.buffered) == 0 {
		connection.buffered = nil
	}
	return count
}

// CloseWrite lets the server end a response without a reset.
func (connection *connection) CloseWrite() error {
	if closer, canClose := connection.Conn.(interface{ CloseWrite() error }); canClose {
		return closer.CloseWrite()
	}
	return nil
}

// Close closes the connection and cancels requests that started early.
func (connection *connection) Close() error {
	connection.cancel()
	return connection.Conn.Close()
}

// scan finds requests in bytes of the connection, and starts those that are queued behind others.
func (connection *connection) scan(bytes []byte) {
	for _, request := range connection.scanner.feed(bytes) {
		connection.add(request)
	}
}

func (connection *connection) add(scanned scannedRequest) {
	request := scanned.Request
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	pending := &pendingRequest{method: request.Method, target: request.RequestURI, host: request.Host, headEnd: scanned.headEnd}
	queued := connection.serving || len(connection.pending) > 0
	if queued && connection.mayStartEarly(request) {
		if release := connection.dispatcher.reserve(); release != nil {
			request.RemoteAddr = connection.RemoteAddr().String()
			pending.early = startEarly(connection.ctx, connection.dispatcher.handler, request, release)
			connection.dispatcher.startedEarly.Add(1)
		}
	}
	connection.pending = append(connection.pending, pending)
	// No requests are read after a request that closes the connection.
	connection.earlyStartsDisabled = connection.earlyStartsDisabled || request.Close
}

// mayStartEarly reports whether a request that is queued behind another may start. The caller must hold the mutex.
func (connection *connection) mayStartEarly(request *http.Request) bool {
	if connection.earlyStartsDisabled || connection.dispatcher.stopped.Load() || connection.startedEarly() >= connection.dispatcher.maxAhead {
		return false
	}
	return (request.Method == http.MethodGet || request.Method == http.MethodHead) && request.ContentLength == 0 &&
		connection.dispatcher.handler.Idempotent(request)
}

// startedEarly returns the number of pending requests that have started. The caller must hold the mutex.
func (connection *connection) startedEarly() int {
	count := 0
	for _, pending := range connection.pending {
		if pending.early != nil {
			count++
		}
	}
	return count
}

// beginServing returns the response of the request that the server serves now, or nil if the request has not started
// early.
func (connection *connection) beginServing(request *http.Request) *earlyResponse {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.serving = true
	if len(connection.pending) == 0 {
		return nil
	}
	first := connection.pending[0]
	if first.method != request.Method || first.target != request.RequestURI || first.host != request.Host {
		// The server has read another request than the scanner. No response of a request that started early is sent.
		connection.cancel()
		connection.pending, connection.earlyStartsDisabled = nil, true
		return nil
	}
	connection.pending = connection.pending[1:]
	return first.early
}

// StartedEarly reports whether a request that the server has not begun to serve has started.
func (connection *connection) StartedEarly() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.startedEarly() > 0
}

func (connection *connection) endServing() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.serving = false
}

// disableEarlyStarts prevents further requests from starting early, unless some have started, and reports whether none
// have.
func (connection *connection) disableEarlyStarts() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.startedEarly() > 0 {
		return false
	}
	connection.earlyStartsDisabled = true
	return true
}
