package pipeline

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"sync"
)

// maxHeldBytes is the size up to which the answer of a request is held until its turn.
const maxHeldBytes = 64 << 10

var errCallerLeft = errors.New("the caller's connection was closed before the answer's turn")

// earlyAnswer is the http.ResponseWriter of a request that runs before its turn. It holds the answer, and passes it on when
// the turn has come.
type earlyAnswer struct {
	ctx    context.Context
	cancel context.CancelFunc
	header http.Header
	// turn is closed when the answer's turn has come, done when the handler has returned.
	turn, done chan struct{}

	mutex   sync.Mutex
	status  int
	body    []byte
	writer  http.ResponseWriter
	aborted bool
}

// beginEarly lets the handler serve a request until ctx ends.
func beginEarly(ctx context.Context, handler http.Handler, request *http.Request) *earlyAnswer {
	early := &earlyAnswer{header: http.Header{}, turn: make(chan struct{}), done: make(chan struct{})}
	early.ctx, early.cancel = context.WithCancel(ctx)
	go early.run(handler, request.WithContext(early.ctx))
	return early
}

func (early *earlyAnswer) run(handler http.Handler, request *http.Request) {
	defer close(early.done)
	defer early.cancel()
	defer func() {
		// A handler ends an answer that it cannot complete by a panic; the connection is then broken in its turn.
		if recovered := recover(); recovered != nil {
			early.mutex.Lock()
			defer early.mutex.Unlock()
			early.aborted = true
		}
	}()
	handler.ServeHTTP(early, request)
}

// Header returns the header of the answer.
func (early *earlyAnswer) Header() http.Header {
	return early.header
}

// WriteHeader sets the status of the answer.
func (early *earlyAnswer) WriteHeader(status int) {
	early.mutex.Lock()
	defer early.mutex.Unlock()
	early.writeHeader(status)
}

func (early *earlyAnswer) writeHeader(status int) {
	if early.status != 0 {
		return
	}
	early.status = status
	if early.writer != nil {
		early.passHeader()
	}
}

func (early *earlyAnswer) passHeader() {
	maps.Copy(early.writer.Header(), early.header)
	early.writer.WriteHeader(early.status)
}

// Write adds to the body. It waits for the answer's turn when more than maxHeldBytes would be held.
func (early *earlyAnswer) Write(part []byte) (int, error) {
	early.mutex.Lock()
	defer early.mutex.Unlock()
	early.writeHeader(http.StatusOK)
	if early.writer == nil && len(early.body)+len(part) > maxHeldBytes {
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
		return 0, errCallerLeft
	}
	early.body = append(early.body, part...)
	return len(part), nil
}

// deliver passes the answer on. It returns when the answer is whole or the caller has left.
func (early *earlyAnswer) deliver(writer http.ResponseWriter, request *http.Request) {
	stop := context.AfterFunc(request.Context(), early.cancel)
	defer stop()
	early.pass(writer)
	<-early.done
	if early.aborted {
		panic(http.ErrAbortHandler)
	}
}

// pass passes on what is held; what follows goes to the writer at once.
func (early *earlyAnswer) pass(writer http.ResponseWriter) {
	early.mutex.Lock()
	defer early.mutex.Unlock()
	early.writer = writer
	close(early.turn)
	if early.status == 0 {
		return
	}
	early.passHeader()
	if len(early.body) > 0 {
		// The caller has left when this fails, which also ends the request.
		_, _ = io.Writer(writer).Write(early.body)
	}
	early.body = nil
}
