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
	reader *Dispatcher
	// ctx ends when the connection is closed.
	ctx    context.Context
	cancel context.CancelFunc
	// buffered are bytes that were read ahead and that the server has not read.
	buffered []byte
	scanner  scanner

	mutex sync.Mutex
	// waiting are the requests that the server has not begun to serve, in order.
	waiting []*waitingRequest
	serving bool
	quiet   bool
}

// waitingRequest is a request whose turn has not come.
type waitingRequest struct {
	method, target, host string
	// early is nil if the request has not begun.
	early *earlyAnswer
}

func newConnection(reader *Dispatcher, conn net.Conn) *connection {
	connection := &connection{Conn: conn, reader: reader}
	connection.ctx, connection.cancel = context.WithCancel(context.WithValue(context.Background(), connectionKey{}, connection))
	return connection
}

// Read reads bytes for the server. While a request is served, the server reads a single byte to notice that the caller
// leaves. Such a read takes in requests behind the one that is served, and goes on until the connection ends or the server
// gives the read up by its deadline.
func (connection *connection) Read(buffer []byte) (int, error) {
	if len(buffer) != 1 {
		if count := connection.takeBuffered(buffer); count > 0 {
			return count, nil
		}
		count, err := connection.Conn.Read(buffer)
		connection.scan(buffer[:count])
		return count, connection.noteEnd(err)
	}
	ahead := make([]byte, readAheadBytes)
	for len(connection.buffered) < maxBufferedBytes {
		count, err := connection.Conn.Read(ahead)
		connection.scan(ahead[:count])
		connection.buffered = append(connection.buffered, ahead[:count]...)
		if err != nil {
			return 0, connection.noteEnd(err)
		}
	}
	return connection.takeBuffered(buffer), nil
}

// noteEnd cancels what has begun early when the caller has left. A deadline is how the server ends a read.
func (connection *connection) noteEnd(err error) error {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		connection.cancel()
	}
	return err
}

func (connection *connection) takeBuffered(buffer []byte) int {
	count := copy(buffer, connection.buffered)
	connection.buffered = connection.buffered[count:]
	if len(connection.buffered) == 0 {
		connection.buffered = nil
	}
	return count
}

// CloseWrite lets the server end an answer without a reset.
func (connection *connection) CloseWrite() error {
	if closer, closes := connection.Conn.(interface{ CloseWrite() error }); closes {
		return closer.CloseWrite()
	}
	return nil
}

// Close closes the connection and cancels requests that began early.
func (connection *connection) Close() error {
	connection.cancel()
	return connection.Conn.Close()
}

// scan finds requests in bytes of the connection, and begins those that stand behind others.
func (connection *connection) scan(bytes []byte) {
	for _, request := range connection.scanner.feed(bytes) {
		connection.add(request)
	}
}

func (connection *connection) add(request *http.Request) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	waiting := &waitingRequest{method: request.Method, target: request.RequestURI, host: request.Host}
	behind := connection.serving || len(connection.waiting) > 0
	if behind && connection.mayBegin(request) {
		request.RemoteAddr = connection.RemoteAddr().String()
		waiting.early = beginEarly(connection.ctx, connection.reader.handler, request)
		connection.reader.begun.Add(1)
	}
	connection.waiting = append(connection.waiting, waiting)
	// Nothing is read after a request that closes the connection.
	connection.quiet = connection.quiet || request.Close
}

// mayBegin says whether a request that stands behind another may begin. It is called with the mutex held.
func (connection *connection) mayBegin(request *http.Request) bool {
	if connection.quiet || connection.reader.stopped.Load() || connection.begun() >= connection.reader.maxAhead {
		return false
	}
	return (request.Method == http.MethodGet || request.Method == http.MethodHead) && request.ContentLength == 0 &&
		connection.reader.handler.Idempotent(request)
}

// begun is called with the mutex held.
func (connection *connection) begun() int {
	count := 0
	for _, waiting := range connection.waiting {
		if waiting.early != nil {
			count++
		}
	}
	return count
}

// next returns the answer of the request that the server serves now, or nil if it has not begun.
func (connection *connection) next(request *http.Request) *earlyAnswer {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.serving = true
	if len(connection.waiting) == 0 {
		return nil
	}
	first := connection.waiting[0]
	if first.method != request.Method || first.target != request.RequestURI || first.host != request.Host {
		// The server has read something else than the scanner did. Nothing that has begun is delivered.
		connection.cancel()
		connection.waiting, connection.quiet = nil, true
		return nil
	}
	connection.waiting = connection.waiting[1:]
	return first.early
}

func (connection *connection) served() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.serving = false
}

// quiesce lets no further requests begin early, unless some have begun, and says whether none have.
func (connection *connection) quiesce() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.begun() > 0 {
		return false
	}
	connection.quiet = true
	return true
}
