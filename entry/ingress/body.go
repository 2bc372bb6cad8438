package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"

	"oleandervane.example/entry/bodymemory"
	"oleandervane.example/entry/forward"
)

const (
	// maxDrainBytes and drainTime bound what is read of the body of a refused request. A connection that is closed with unread bytes
	// is reset, and a caller that still sends may not see the response.
	maxDrainBytes = 1 << 20
	drainTime     = 500 * time.Millisecond
	// maxKeptBodyBytes is the size up to which a body that is not used is read to its end, so that its connection can be kept. It is
	// small beside what a caller sends while a refusal travels.
	maxKeptBodyBytes = 64 << 10
)

// readBody reads the body within the memory for bodies. It returns the reason why it cannot.
func (call *call) readBody(limit int64) (body []byte, reason forward.Reason) {
	length := call.request.ContentLength
	if call.request.Body == nil || length == 0 {
		return nil, ""
	}
	if length > limit {
		return nil, reasonBodyTooLarge
	}
	// A caller that stops sending must not hold memory. The server watches the connection after the body without a deadline.
	controller := http.NewResponseController(call.writer)
	_ = controller.SetReadDeadline(time.Now().Add(call.deadline.Sub(call.handler.dependencies.TimerService.Now())))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	body, err := call.readInto(length, limit)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, ""
	case errors.As(err, &tooLarge):
		return nil, reasonBodyTooLarge
	case errors.Is(err, bodymemory.ErrNoRoom):
		return nil, reasonNoBodyMemory
	}
	call.completion.Err = err
	return nil, reasonBodyNotReceived
}

// readInto reads a body of the given length, or of an unknown one if it is negative, into memory of the budget.
func (call *call) readInto(length, limit int64) (body []byte, err error) {
	budget := call.handler.dependencies.BodyBudget
	if length < 0 {
		call.bodyBuffer, body, err = budget.ReadAll(http.MaxBytesReader(call.writer, call.request.Body, limit), limit)
		return body, err
	}
	call.bodyBuffer = budget.Acquire(length)
	if call.bodyBuffer == nil {
		return nil, bodymemory.ErrNoRoom
	}
	body, err = call.bodyBuffer.Fill(call.request.Body)
	if err != nil {
		call.releaseBody()
	}
	return body, err
}

// releaseBody releases the memory of the body. Later calls have no effect.
func (call *call) releaseBody() {
	if call.bodyBuffer != nil {
		call.bodyBuffer.Release()
		call.bodyBuffer = nil
	}
}

// refuseBody refuses a request whose body was not read to its end, and closes the connection.
func (call *call) refuseBody(reason forward.Reason, limit int64) {
	controller := http.NewResponseController(call.writer)
	// Otherwise the server reads the rest of a body before it sends the response.
	_ = controller.EnableFullDuplex()
	call.writer.Header().Set("Connection", "close")
	switch reason {
	case reasonBodyTooLarge:
		call.refuse(http.StatusRequestEntityTooLarge, reason, 0)
	case reasonNoRoom:
		call.refuse(http.StatusServiceUnavailable, reason, busyRetryAfter())
	case reasonNoBodyMemory:
		call.refuse(http.StatusServiceUnavailable, reason, call.bodyRetryAfter(limit))
	default:
		call.refuse(http.StatusRequestTimeout, reason, 0)
		return
	}
	_ = controller.Flush()
	call.drainBody(controller)
}

// refuseUnread refuses a request whose body has not been read, without waiting for the body. The connection stays open if a small body
// arrives soon.
func (call *call) refuseUnread(refusal *refusal) {
	length := call.request.ContentLength
	if call.request.Body == nil || length == 0 || call.request.Header.Get("Expect") != "" {
		// The server closes the connection itself after a response to a request that expects a response before its body.
		call.refuseAs(refusal)
		return
	}
	controller := http.NewResponseController(call.writer)
	// Otherwise the server reads the rest of a body before it sends the response.
	_ = controller.EnableFullDuplex()
	small := length > 0 && length <= maxKeptBodyBytes
	if !small {
		call.writer.Header().Set("Connection", "close")
	}
	call.refuseAs(refusal)
	_ = controller.Flush()
	whole := call.drainBody(controller)
	if small && whole {
		_ = controller.SetReadDeadline(time.Time{})
		return
	}
	call.aborted = small
}

// drainBody gives the caller time to see the response before the connection is closed. It reports whether the body has ended.
func (call *call) drainBody(controller *http.ResponseController) (whole bool) {
	drained := make(chan struct{})
	defer call.handler.dependencies.TimerService.After(drainTime, func(time.Time) { close(drained) })()
	_ = controller.SetReadDeadline(time.Now().Add(drainTime))
	_, err := io.CopyN(io.Discard, call.request.Body, maxDrainBytes)
	// The server waits itself, unless the caller has asked it to close the connection.
	if err == nil && call.request.Close {
		<-drained
	}
	return errors.Is(err, io.EOF)
}

// bodyRetryAfter returns when there will be memory for the body. Another VM may have room for one that never fits here.
func (call *call) bodyRetryAfter(limit int64) time.Duration {
	bytes := call.request.ContentLength
	if bytes < 0 {
		bytes = bodymemory.MaxReadAllBytes(limit)
	}
	delay, fits := call.handler.dependencies.BodyBudget.RetryAfter(bytes)
	if !fits {
		return maxRetryAfter
	}
	return delay
}
