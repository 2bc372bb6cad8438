package forward

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oleandervane.example"
	"oleandervane.example/responsehead"
)

const (
	// minBufferedBytes is the size up to which a response is buffered while memory is scarce.
	minBufferedBytes = 16 << 10
	// maxRefusalBytes is the size up to which the body of a refusal is read, so that its connection can be reused.
	maxRefusalBytes = 4 << 10
	// refusalBodyTimeout bounds the reading of that body. Servers send the body together with the header.
	refusalBodyTimeout = 50 * time.Millisecond
)

var errRefusalBody = errors.New("the body of the refusal did not end in time")

// attempt is one attempt to run a request at one target.
type attempt struct {
	forwarder   *Forwarder
	request     Request
	identity    Identity
	reservation Reservation
	target      Target
	id          string
	// callerCtx ends when the caller leaves, ctx when the attempt is aborted.
	callerCtx  context.Context
	ctx        context.Context
	cancel     context.CancelCauseFunc
	stopTimers []func()
	connection *connection
	reused     bool
	// written is set when the first byte of the request is about to be written.
	written atomic.Bool
	// status is the status of the response.
	status int
	// echoed says that the target echoes request ids. Only then is the connection reused.
	echoed    bool
	startedAt time.Time
}

// attemptOutcome is the outcome of an attempt, with its reason, response and error.
type attemptOutcome struct {
	outcome  oleandervane.Outcome
	reason   Reason
	response *Response
	err      error
}

func (forwarder *Forwarder) newAttempt(ctx context.Context, request Request, reservation Reservation) *attempt {
	attempt := &attempt{
		forwarder:   forwarder,
		request:     request,
		reservation: reservation,
		target:      reservation.Target(),
		id:          cmp.Or(request.ID, forwarder.nextAttemptID()),
		startedAt:   forwarder.timerService.Now(),
	}
	attempt.callerCtx = ctx
	attempt.ctx, attempt.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	attempt.cancelAfter(attempt.timeLeft(), ErrDeadline)
	attempt.stopTimers = append(attempt.stopTimers, attempt.watchCaller())
	return attempt
}

// watchCaller aborts the attempt when the caller leaves, until the returned function is called. If the request was written to a
// backend server, the attempt continues for the abort delay, so that it sees whether the server breaks the connection because of
// the request.
func (attempt *attempt) watchCaller() (stop func()) {
	stopWatching := context.AfterFunc(attempt.callerCtx, func() {
		abort := func(time.Time) { attempt.cancel(context.Cause(attempt.callerCtx)) }
		delay := attempt.forwarder.settings.AbortDelay
		if delay == 0 || attempt.target.Relay || !attempt.written.Load() {
			abort(time.Time{})
			return
		}
		attempt.forwarder.timerService.After(delay, abort)
	})
	return func() { stopWatching() }
}

func (attempt *attempt) timeLeft() time.Duration {
	return attempt.request.Deadline.Sub(attempt.forwarder.timerService.Now())
}

// cancelAfter cancels the attempt with the cause after the delay, unless the returned function is called before.
func (attempt *attempt) cancelAfter(delay time.Duration, cause error) (stop func()) {
	stop = attempt.forwarder.timerService.After(delay, func(time.Time) { attempt.cancel(cause) })
	attempt.stopTimers = append(attempt.stopTimers, stop)
	return stop
}

// dialect returns the dialect of the target: how it marks requests and responses.
func (attempt *attempt) dialect() oleandervane.BackendDialect {
	if attempt.target.Relay {
		return nativeDialect{}
	}
	return attempt.forwarder.settings.Dialect
}

// detectsTruncation reports whether a complete body of the response can be distinguished from a truncated one.
func (attempt *attempt) detectsTruncation(response *http.Response) bool {
	return framed(response) || attempt.forwarder.settings.AllowUnframedBodies && !attempt.target.Relay
}

// pool returns the pool of connections to targets of this kind.
func (attempt *attempt) pool() *pool {
	if attempt.target.Relay {
		return attempt.forwarder.relayPool
	}
	return attempt.forwarder.pool
}

// run sends the request and reads the response, or the beginning of a large one.
func (attempt *attempt) run() attemptOutcome {
	if err := attempt.beforeWrite(); err != nil {
		return attempt.fail(oleandervane.NotRun, err)
	}
	if err := attempt.connect(); err != nil {
		return attempt.fail(oleandervane.NotRun, err)
	}
	attempt.connection.gate.arm(attempt.beforeFirstByte)
	stopSilenceTimeout := func() {}
	if attempt.reused && !attempt.forwarder.settings.TrustReusedConnections {
		stopSilenceTimeout = attempt.cancelAfter(attempt.silenceTimeout(), ErrSilent)
	}
	response, err := attempt.connection.roundTrip(attempt.httpRequest())
	stopSilenceTimeout()
	if err != nil {
		return attempt.failConnection(err)
	}
	return attempt.receive(response)
}

// beforeFirstByte is called immediately before the first byte is written, which its error prevents.
func (attempt *attempt) beforeFirstByte() error {
	err := attempt.beforeWrite()
	attempt.written.Store(err == nil)
	return err
}

// beforeWrite checks what may have changed while the VM was paused. It compares the deadline with both the monotonic
// and the wall clock, because a pause may stop the former and a step may change the latter.
func (attempt *attempt) beforeWrite() error {
	now := attempt.forwarder.timerService.Now()
	deadline := attempt.request.Deadline
	if !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0)) {
		return ErrDeadline
	}
	if attempt.request.BeforeWrite != nil {
		if err := attempt.request.BeforeWrite(); err != nil {
			return refusalError{err}
		}
	}
	return cmp.Or(context.Cause(attempt.ctx), context.Cause(attempt.callerCtx))
}

// refusalError is an error of Request.BeforeWrite.
type refusalError struct{ error }

func (refusal refusalError) Unwrap() error { return refusal.error }

func (attempt *attempt) httpRequest() *http.Request {
	request := attempt.request
	location := &url.URL{Scheme: "http", Host: attempt.target.Address.String(), RawQuery: request.RawQuery}
	path := attempt.target.PathPrefix + request.Path
	location.Path, location.RawPath = path, ""
	if unescaped, err := url.PathUnescape(path); err == nil {
		location.Path, location.RawPath = unescaped, path
	}
	httpRequest := &http.Request{
		Method:        request.Method,
		URL:           location,
		Host:          request.Host,
		Header:        attempt.header(),
		ContentLength: int64(len(request.Body)),
	}
	if len(request.Body) > 0 {
		httpRequest.Body = io.NopCloser(attempt.connection.bodyReader(request.Body))
	}
	return httpRequest.WithContext(attempt.ctx)
}

// failConnection classifies an error of the connection. The request has not run only if the gate proves that nothing
// was written.
func (attempt *attempt) failConnection(err error) attemptOutcome {
	outcome := oleandervane.Unknown
	if !attempt.connection.gate.seal() {
		outcome = oleandervane.NotRun
	}
	attempt.connection.close()
	if refusal := attempt.connection.gate.refused(); refusal != nil {
		err = refusal
	}
	if outcome == oleandervane.Unknown && attempt.connection.gate.invalid.Load() && !errors.Is(err, responsehead.ErrInvalid) {
		// net/http reports some errors of a connection by their text only.
		err = fmt.Errorf("%w: %w", responsehead.ErrInvalid, err)
	}
	return attempt.fail(outcome, err)
}

func (attempt *attempt) fail(outcome oleandervane.Outcome, err error) attemptOutcome {
	if cause := context.Cause(attempt.ctx); cause != nil {
		err = cause
	}
	reason, attemptResult := classifyError(outcome, err)
	switch reason {
	case ReasonSilent:
		attempt.pool().invalidate(attempt.target.Address)
	case ReasonBroken:
		attempt.pool().invalidateBroken(attempt.target.Address)
		attempt.observeBreak(err)
	}
	attempt.recordEvidence(outcome, reason, err)
	attempt.end(attemptResult)
	return attemptOutcome{outcome: outcome, reason: reason, err: err}
}

func classifyError(outcome oleandervane.Outcome, err error) (Reason, oleandervane.AttemptResult) {
	var refusal refusalError
	switch {
	case errors.Is(err, ErrDeadline):
		return ReasonDeadline, oleandervane.AttemptTimedOut
	case errors.Is(err, ErrSilent):
		return ReasonSilent, oleandervane.AttemptTimedOut
	case errors.Is(err, ErrTooLong):
		return ReasonTooLong, oleandervane.AttemptBroken
	case errors.Is(err, responsehead.ErrInvalid):
		return ReasonInvalid, oleandervane.AttemptBroken
	case errors.Is(err, ErrMismatch):
		return ReasonMismatch, oleandervane.AttemptBroken
	case errors.As(err, &refusal):
		return ReasonRefused, oleandervane.AttemptCancelled
	case errors.Is(err, errReconsidered):
		return ReasonReconsidered, oleandervane.AttemptCancelled
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded), errors.Is(err, errClosedEarly):
		return ReasonCancelled, oleandervane.AttemptCancelled
	case errors.Is(err, errConnectTimeout), outcome == oleandervane.NotRun:
		return ReasonUnreachable, oleandervane.AttemptUnreachable
	}
	return ReasonBroken, oleandervane.AttemptBroken
}

// recordEvidence records what a failed attempt shows about whether its request crashes backend servers.
func (attempt *attempt) recordEvidence(outcome oleandervane.Outcome, reason Reason, err error) {
	quarantine := attempt.forwarder.quarantine
	switch {
	case attempt.target.Relay:
	case errors.Is(err, syscall.ECONNREFUSED):
		attempt.recordEnd()
	case outcome != oleandervane.Unknown:
	case reason == ReasonBroken:
		quarantine.recordBroken(attempt.identity, attempt.target.RunHash())
	case reason == ReasonDeadline, reason == ReasonSilent, reason == ReasonCancelled:
		quarantine.recordUnresolved(attempt.identity, attempt.target.RunHash())
	}
}

// observeBreak reports that a backend server ended the connection under the request. The end of a connection whose response this VM
// cannot read is its own.
func (attempt *attempt) observeBreak(err error) {
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	if observer := attempt.forwarder.settings.BreakObserver; ended && observer != nil && !attempt.target.Relay {
		observer.ObserveBreak(attempt.target.Address, false)
	}
}

// recordEnd records that the run of the target has ended, because its address refuses connections.
func (attempt *attempt) recordEnd() {
	attempt.forwarder.quarantine.RecordEnd(attempt.target)
	if endObserver, observes := attempt.reservation.(EndObserver); observes {
		endObserver.ObserveEnd()
	}
}

// end stops the timers and releases the reservation. It cancels the request if it still runs at the target.
func (attempt *attempt) end(attemptResult oleandervane.AttemptResult) {
	for _, stop := range attempt.stopTimers {
		stop()
	}
	attempt.cancel(nil)
	attempt.reservation.Release(attemptResult)
}

// receive checks a response and reads its body, or the beginning of a large one.
func (attempt *attempt) receive(response *http.Response) attemptOutcome {
	metadata := attempt.dialect().ReadResponse(response.StatusCode, response.Header)
	if !matchesAttempt(metadata, attempt.id, attempt.reused) {
		attempt.pool().invalidate(attempt.target.Address)
		return attempt.failConnection(ErrMismatch)
	}
	attempt.connection.keepAlive = metadata.KeepAlive
	attempt.echoed, attempt.status = len(metadata.EchoedIDs) > 0, response.StatusCode
	if responseObserver, observes := attempt.reservation.(ResponseObserver); observes {
		responseObserver.ObserveResponse(metadata)
	}
	if metadata.Unsigned {
		return attempt.failConnection(ErrMismatch)
	}
	outcome, reason := attempt.target.classify(response, metadata)
	if outcome != oleandervane.Answered {
		return attempt.endRefused(response, outcome, reason)
	}
	if !attempt.detectsTruncation(response) || response.StatusCode == http.StatusSwitchingProtocols {
		return attempt.failTruncated(ErrTruncated)
	}
	limit, release := attempt.reserveBeginning(response)
	beginning, whole, err := readBeginning(response.Body, limit)
	if err != nil {
		release()
		return attempt.failTruncated(err)
	}
	attempt.forwarder.firstBytes.record(attempt.request, attempt.forwarder.timerService.Now().Sub(attempt.startedAt))
	result := &Response{
		Status: response.StatusCode,
		Header: responseHeader(attempt.target, response.Header),
		Body:   beginning,
	}
	result.release = release
	finish := onceWith(attempt.finish)
	if whole {
		finish(nil)
		return attemptOutcome{outcome: outcome, response: result}
	}
	result.finish = finish
	result.rest = &stream{body: response.Body, left: attempt.forwarder.settings.MaxResponseBytes - int64(len(beginning)), finish: finish}
	return attemptOutcome{outcome: outcome, response: result}
}

// reserveBeginning returns the size up to which a response is buffered, and a function to call when the buffer is not needed any more.
func (attempt *attempt) reserveBeginning(response *http.Response) (limit int, release func()) {
	limit = attempt.forwarder.settings.MaxBufferedBytes
	if response.ContentLength >= 0 && response.ContentLength <= minBufferedBytes {
		return limit, func() {}
	}
	if release = attempt.forwarder.settings.ReserveResponse(int64(limit)); release == nil {
		return min(limit, minBufferedBytes), func() {}
	}
	return limit, sync.OnceFunc(release)
}

// endRefused ends an attempt for which the target stated that it was not run or that its outcome is unknown.
func (attempt *attempt) endRefused(response *http.Response, outcome oleandervane.Outcome, reason Reason) attemptOutcome {
	attemptResult := oleandervane.AttemptBroken
	if outcome == oleandervane.NotRun {
		attemptResult = oleandervane.AttemptShed
	}
	if attempt.drainBody(response) {
		attempt.releaseConnection()
	} else {
		attempt.connection.close()
	}
	attempt.end(attemptResult)
	return attemptOutcome{outcome: outcome, reason: reason}
}

// drainBody reads the body of a refusal and reports whether the connection can be reused. The statement of the target
// is in the header, so the request does not wait for a body that is long or does not end.
func (attempt *attempt) drainBody(response *http.Response) bool {
	if !framed(response) {
		return false
	}
	stop := attempt.cancelAfter(refusalBodyTimeout, errRefusalBody)
	_, whole, err := readBeginning(response.Body, maxRefusalBytes)
	stop()
	return whole && err == nil
}

func (attempt *attempt) failTruncated(err error) attemptOutcome {
	result := attempt.failConnection(err)
	if result.reason == ReasonBroken {
		result.reason = ReasonTruncated
	}
	return result
}

// finish ends an attempt whose response was read to its end, or failed with err before.
func (attempt *attempt) finish(err error) {
	if err != nil {
		attempt.failConnection(err)
		return
	}
	// A server that fails may respond without running the request, so its response does not show that the request is harmless.
	if !attempt.target.Relay && attempt.status < http.StatusInternalServerError {
		attempt.forwarder.quarantine.recordAnswered(attempt.identity)
	}
	attempt.releaseConnection()
	attempt.end(oleandervane.AttemptAnswered)
}

func (attempt *attempt) releaseConnection() {
	if !attempt.echoed {
		attempt.connection.close()
		return
	}
	attempt.pool().release(attempt.connection)
}
