package forward

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"oleandervane.example"
)

const (
	// maxRefusalBytes is the size up to which the body of a refusal is read, so that its connection can be used again.
	maxRefusalBytes = 4 << 10
	// refusalBodyLimit is how long that may take. Servers send the body together with the header.
	refusalBodyLimit = 50 * time.Millisecond
)

var errRefusalBody = errors.New("the body of the refusal did not end in time")

// attempt is one try to run a request at one target.
type attempt struct {
	forwarder   *Forwarder
	request     Request
	fingerprint Fingerprint
	reservation Reservation
	target      Target
	id          string
	ctx         context.Context
	cancel      context.CancelCauseFunc
	stopTimers  []func()
	connection  *connection
	reused      bool
	// echoed says that the target echoes request ids. Only then is the connection used again.
	echoed    bool
	startedAt time.Time
}

// attemptOutcome is what became of an attempt.
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
	attempt.ctx, attempt.cancel = context.WithCancelCause(ctx)
	attempt.limit(attempt.timeLeft(), ErrDeadline)
	return attempt
}

func (attempt *attempt) timeLeft() time.Duration {
	return attempt.request.Deadline.Sub(attempt.forwarder.timerService.Now())
}

// limit cancels the attempt with the cause after the delay, unless the returned function is called before.
func (attempt *attempt) limit(delay time.Duration, cause error) (stop func()) {
	stop = attempt.forwarder.timerService.After(delay, func(time.Time) { attempt.cancel(cause) })
	attempt.stopTimers = append(attempt.stopTimers, stop)
	return stop
}

// dialect returns how targets of this kind mark requests and answers.
func (attempt *attempt) dialect() oleandervane.BackendDialect {
	if attempt.target.Relay {
		return ownDialect{}
	}
	return attempt.forwarder.settings.Dialect
}

// complete says whether the end of the response's body can be told from a cut-off.
func (attempt *attempt) complete(response *http.Response) bool {
	return framed(response) || attempt.forwarder.settings.AllowUnframedBodies && !attempt.target.Relay
}

// pool returns the connections to targets of this kind.
func (attempt *attempt) pool() *pool {
	if attempt.target.Relay {
		return attempt.forwarder.relays
	}
	return attempt.forwarder.pool
}

// run sends the request and reads the response, or its beginning.
func (attempt *attempt) run() attemptOutcome {
	if err := attempt.beforeWrite(); err != nil {
		return attempt.fail(oleandervane.NotRun, err)
	}
	stopOpenLimit := attempt.limit(attempt.openLimit(), errOpenLimit)
	connection, reused, err := attempt.pool().take(attempt.ctx, attempt.target.Address, attempt.needsFresh())
	stopOpenLimit()
	if err != nil {
		return attempt.fail(oleandervane.NotRun, err)
	}
	attempt.connection, attempt.reused = connection, reused
	connection.gate.arm(attempt.beforeWrite)
	stopSilenceLimit := func() {}
	if reused && !attempt.forwarder.settings.TrustReusedConnections {
		stopSilenceLimit = attempt.limit(attempt.silenceLimit(), ErrSilent)
	}
	response, err := connection.roundTrip(attempt.httpRequest())
	stopSilenceLimit()
	if err != nil {
		return attempt.failAfterTake(err)
	}
	return attempt.receive(response)
}

// beforeWrite checks what may have changed while the VM was paused. It reads the deadline on the monotonic and on
// the wall clock, because a pause may stop the first and a step may change the second.
func (attempt *attempt) beforeWrite() error {
	now := attempt.forwarder.timerService.Now()
	deadline := attempt.request.Deadline
	if !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0)) {
		return ErrDeadline
	}
	if attempt.request.BeforeWrite == nil {
		return context.Cause(attempt.ctx)
	}
	if err := attempt.request.BeforeWrite(); err != nil {
		return refusalError{err}
	}
	return context.Cause(attempt.ctx)
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
		httpRequest.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
	return httpRequest.WithContext(attempt.ctx)
}

// failAfterTake classifies an error of the connection. The request was not run only if the gate proves that
// nothing was written.
func (attempt *attempt) failAfterTake(err error) attemptOutcome {
	outcome := oleandervane.Unknown
	if !attempt.connection.gate.seal() {
		outcome = oleandervane.NotRun
	}
	attempt.connection.close()
	if refusal := attempt.connection.gate.refused(); refusal != nil {
		err = refusal
	}
	return attempt.fail(outcome, err)
}

func (attempt *attempt) fail(outcome oleandervane.Outcome, err error) attemptOutcome {
	if cause := context.Cause(attempt.ctx); cause != nil {
		err = cause
	}
	reason, attemptResult := explain(outcome, err)
	if reason == ReasonSilent || reason == ReasonBroken {
		attempt.pool().invalidate(attempt.target.Address)
	}
	if reason == ReasonBroken && outcome == oleandervane.Unknown {
		attempt.noteBroken()
	}
	attempt.end(attemptResult)
	return attemptOutcome{outcome: outcome, reason: reason, err: err}
}

func explain(outcome oleandervane.Outcome, err error) (Reason, oleandervane.AttemptResult) {
	var refusal refusalError
	switch {
	case errors.Is(err, ErrDeadline):
		return ReasonDeadline, oleandervane.AttemptTimedOut
	case errors.Is(err, ErrSilent):
		return ReasonSilent, oleandervane.AttemptTimedOut
	case errors.Is(err, ErrTooLong):
		return ReasonTooLong, oleandervane.AttemptBroken
	case errors.Is(err, ErrMismatch):
		return ReasonMismatch, oleandervane.AttemptBroken
	case errors.As(err, &refusal):
		return ReasonRefused, oleandervane.AttemptCancelled
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded), errors.Is(err, errClosedEarly):
		return ReasonCancelled, oleandervane.AttemptCancelled
	case errors.Is(err, errOpenLimit), outcome == oleandervane.NotRun:
		return ReasonUnreachable, oleandervane.AttemptUnreachable
	}
	return ReasonBroken, oleandervane.AttemptBroken
}

func (attempt *attempt) noteBroken() {
	if !attempt.target.Relay {
		attempt.forwarder.quarantine.noteBroken(attempt.fingerprint, attempt.target.ID)
	}
}

// end gives up what the attempt holds. It cancels the request at the target if that still runs.
func (attempt *attempt) end(attemptResult oleandervane.AttemptResult) {
	for _, stop := range attempt.stopTimers {
		stop()
	}
	attempt.cancel(nil)
	attempt.reservation.Release(attemptResult)
}

// receive checks a response and reads its body, or the beginning of a large one.
func (attempt *attempt) receive(response *http.Response) attemptOutcome {
	answer := attempt.dialect().ReadAnswer(response.StatusCode, response.Header)
	if !belongsTo(answer, attempt.id, attempt.reused) {
		attempt.pool().invalidate(attempt.target.Address)
		return attempt.failAfterTake(ErrMismatch)
	}
	attempt.echoed = len(answer.EchoedIDs) > 0
	if answerObserver, observes := attempt.reservation.(AnswerObserver); observes {
		answerObserver.ObserveAnswer(answer)
	}
	if answer.Unsigned {
		return attempt.failAfterTake(ErrMismatch)
	}
	outcome, reason := attempt.target.classify(response, answer)
	if outcome != oleandervane.Answered {
		return attempt.refuse(response, outcome, reason)
	}
	if !attempt.complete(response) || response.StatusCode == http.StatusSwitchingProtocols {
		return attempt.truncated(ErrTruncated)
	}
	beginning, whole, err := readBeginning(response.Body, attempt.forwarder.settings.MaxBufferedBytes)
	if err != nil {
		return attempt.truncated(err)
	}
	attempt.forwarder.firstBytes.note(attempt.request, attempt.forwarder.timerService.Now().Sub(attempt.startedAt))
	result := &Response{
		Status: response.StatusCode,
		Header: responseHeader(attempt.target, response.Header),
		Body:   beginning,
	}
	finish := onceWith(attempt.finish)
	if whole {
		finish(nil)
		return attemptOutcome{outcome: outcome, response: result}
	}
	result.finish = finish
	result.rest = &stream{body: response.Body, left: attempt.forwarder.settings.MaxResponseBytes - int64(len(beginning)), finish: finish}
	return attemptOutcome{outcome: outcome, response: result}
}

// refuse ends an attempt of which the target said that it was not run or that its outcome is unknown.
func (attempt *attempt) refuse(response *http.Response, outcome oleandervane.Outcome, reason Reason) attemptOutcome {
	attemptResult := oleandervane.AttemptBroken
	if outcome == oleandervane.NotRun {
		attemptResult = oleandervane.AttemptShed
	}
	if attempt.drain(response) {
		attempt.giveBack()
	} else {
		attempt.connection.close()
	}
	attempt.end(attemptResult)
	return attemptOutcome{outcome: outcome, reason: reason}
}

// drain reads the body of a refusal and says whether the connection can be used again. What the target has said is in the
// header, so that the request does not wait for a body that is long or does not end.
func (attempt *attempt) drain(response *http.Response) bool {
	if !framed(response) {
		return false
	}
	stop := attempt.limit(refusalBodyLimit, errRefusalBody)
	_, whole, err := readBeginning(response.Body, maxRefusalBytes)
	stop()
	return whole && err == nil
}

func (attempt *attempt) truncated(err error) attemptOutcome {
	result := attempt.failAfterTake(err)
	if result.reason == ReasonBroken {
		result.reason = ReasonTruncated
	}
	return result
}

// finish ends an attempt whose response was read to its end, or was cut off with err.
func (attempt *attempt) finish(err error) {
	if err != nil {
		attempt.failAfterTake(err)
		return
	}
	if !attempt.target.Relay {
		attempt.forwarder.quarantine.noteAnswered(attempt.fingerprint)
	}
	attempt.giveBack()
	attempt.end(oleandervane.AttemptAnswered)
}

func (attempt *attempt) giveBack() {
	if !attempt.echoed {
		attempt.connection.close()
		return
	}
	attempt.pool().put(attempt.connection)
}
