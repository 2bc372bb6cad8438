package pipeline

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"sync"
)

// maxBufferedResponseBytes is the size up to which a response is buffered until its turn.
const maxBufferedResponseBytes = 64 << 10

var errCallerDisconnected = errors.New("the caller disconnected before the response's turn")

// earlyResponse is the http.ResponseWriter of a request that runs before its turn. It buffers the response, and sends
// it when its turn has come.
type earlyResponse struct {
	ctx    context.Context
	cancel context.CancelFunc
	header http.Header
	// turn is closed when the response's turn has come, done when the handler has returned.
	turn, done chan struct{}
	// release says that the response takes no memory any more. unwatch prevents its call at the end of the connection.
	release func()
	unwatch func() bool

	mutex   sync.Mutex
	status  int
	body    []byte
	writer  http.ResponseWriter
	aborted bool
}

// startEarly runs the handler for a request until ctx ends. It calls release when the response is sent or ctx has ended.
func startEarly(ctx context.Context, handler http.Handler, request *http.Request, release func()) *earlyResponse {
	early := &earlyResponse{header: http.Header{}, turn: make(chan struct{}), done: make(chan struct{}), release: sync.OnceFunc(release)}
	early.ctx, early.cancel = context.WithCancel(ctx)
	early.unwatch = context.AfterFunc(ctx, early.release)
	go early.run(handler, request.WithContext(early.ctx))
	return early
}

func (early *earlyResponse) run(handler http.Handler, request *http.Request) {
	defer close(early.done)
	defer early.cancel()
	defer func() {
		// A handler panics to abort a response that it cannot complete; the connection is then broken when the
		// response's turn has come.
		if recovered := recover(); recovered != nil {
			early.mutex.Lock()
			defer early.mutex.Unlock()
			early.aborted = true
		}
	}()
	handler.ServeHTTP(early, request)
}

// Header returns the header of the response.
func (early *earlyResponse) Header() http.Header {
	return early.header
}

// WriteHeader sets the status of the response.
func (early *earlyResponse) WriteHeader(status int) {
	early.mutex.Lock()
	defer early.mutex.Unlock()
	early.writeHeader(status)
}

func (early *earlyResponse) writeHeader(status int) {
	if early.status != 0 {
		return
	}
	early.status = status
	if early.writer != nil {
		early.sendHeader()
	}
}

func (early *earlyResponse) sendHeader() {
	maps.Copy(early.writer.Header(), early.header)
	early.writer.WriteHeader(early.status)
}

// Write appends to the body. It waits for the response's turn when more than maxBufferedResponseBytes would be
// buffered.
func (early *earlyResponse) Write(part []byte) (int, error) {
	early.mutex.Lock()
	defer early.mutex.Unlock()
	early.writeHeader(http.StatusOK)
	if early.writer == nil && len(early.body)+len(part) > maxBufferedResponseBytes {
		early.mutex.Unlock()
		select {
		case <-early.turn:
		case <-early.ctx.Done():
		}
		early.mutex.Lock()
	}
	if early.writer != nil {
		return early.writer.Write(part)
	}
	if early.ctx.Err() != nil {
		return 0, errCallerDisconnected
	}
	early.body = append(early.body, part...)
	return len(part), nil
}

// deliver sends the response. It returns when the response is complete or the caller has disconnected.
func (early *earlyResponse) deliver(writer http.ResponseWriter, request *http.Request) {
	stop := context.AfterFunc(request.Context(), early.cancel)
	defer stop()
	defer early.release()
	// A connection that is kept would keep the call of each response.
	defer early.unwatch()
	early.flush(writer)
	<-early.done
	if early.aborted {
		panic(http.ErrAbortHandler)
	}
}

// flush sends what is buffered; later writes go directly to the writer.
func (early *earlyResponse) flush(writer http.ResponseWriter) {
	early.mutex.Lock()
	defer early.mutex.Unlock()
	early.writer = writer
	close(early.turn)
	if early.status == 0 {
		return
	}
	early.sendHeader()
	if len(early.body) > 0 {
		// If this fails, the caller has disconnected, which also ends the request.
		_, _ = io.Writer(writer).Write(early.body)
	}
	early.body = nil
}
