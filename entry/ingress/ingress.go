// Package ingress serves the requests of callers whose host and path select a route. It is the counterpart of package
// gateway for installations whose callers do not use tickets: a request of an unsafe route is sent once, and is retried
// only if it has provably not run.
package ingress

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"oleandervane.example"
	"oleandervane.example/entry/bodymemory"
	"oleandervane.example/entry/fairshare"
	"oleandervane.example/entry/forward"
	"oleandervane.example/entry/pipeline"
	"oleandervane.example/entry/placement"
	"oleandervane.example/entry/route"
)

const (
	// defaultTimeout is the time limit of a request for which neither the caller nor the route specifies one.
	defaultTimeout = 30 * time.Second
	// defaultMaxBodyBytes is the limit for request bodies while the configuration sets none.
	defaultMaxBodyBytes = 1 << 20
	// unavailableRetryAfter is the Retry-After of a response when the VM itself cannot serve requests for a moment.
	unavailableRetryAfter = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After of responses; callers give up when it is too long for them.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxHTTP10BufferBytes bounds response bodies without a length for HTTP/1.0 callers.
	maxHTTP10BufferBytes = 4 << 20
	// stopTimeFactor is how many times the mean time of its kind a request must have left during a stop.
	stopTimeFactor = 1.25
	// abortMargin is the time before the end of a stop at which requests in flight are aborted.
	abortMargin = 500 * time.Millisecond
)

// The reasons of responses that did not come from a backend server, in addition to those of package forward.
const (
	reasonNoConfiguration forward.Reason = "no_configuration"
	reasonNoRoute         forward.Reason = "no_route"
	reasonBodyTooLarge    forward.Reason = "body_too_large"
	reasonBodyNotReceived forward.Reason = "body_not_received"
	reasonNoBodyMemory    forward.Reason = "no_memory_for_the_body"
	reasonNoRoom          forward.Reason = "no_room_for_the_request"
	reasonStopping        forward.Reason = "vm_stops"
	reasonPanic           forward.Reason = "unexpected_error"
	reasonUnprovenRefusal forward.Reason = "unproven_refusal"
)

// Placer places requests at backend servers.
type Placer interface {
	Chooser(request placement.Request) *placement.Chooser
}

// Dependencies are what a Handler depends on.
type Dependencies struct {
	Self          oleandervane.EntryVM
	CallerDialect oleandervane.CallerDialect
	Placer        Placer
	Forwarder     *forward.Forwarder
	// BodyBudget bounds the memory of request bodies.
	BodyBudget   *bodymemory.Budget
	TimerService oleandervane.TimerService
	Observer     Observer
	// Limiter admits the requests of organisations that have a rate limit; nil admits all.
	Limiter oleandervane.OrganisationLimiter
	// KeysOutdated reports whether the keys that this VM knows are too old to be relied on; nil means that they never are.
	KeysOutdated func() bool
}

// Observer is notified of the end of each request.
type Observer interface {
	Finished(completion Completion)
}

// Completion describes how a request ended. It is immutable.
type Completion struct {
	Metadata  oleandervane.RequestMetadata
	Method    string
	Path      string
	RawQuery  string
	BodyBytes int
	// CallerAddress has no port.
	CallerAddress    string
	Route            oleandervane.Route
	Revision         oleandervane.Revision
	Service          oleandervane.ServiceName
	Outcome          oleandervane.Outcome
	Reason           forward.Reason
	Decision         placement.Decision
	Target           forward.Target
	Attempts         int
	AttemptSummaries []forward.AttemptSummary
	Identity         forward.Identity
	Status           int
	Duration         time.Duration
	Err              error
	// Organisation is the organisation of the caller; nil if it has none.
	Organisation *oleandervane.Organisation
	// UsePerSecond is the use of the organisation, if its rate limit refused the request and the limiter knows it.
	UsePerSecond float64
}

// Handler is an http.Handler for callers.
type Handler struct {
	dependencies Dependencies
	splitter     *route.Splitter
	index        atomic.Pointer[route.Index]
	inFlight     atomic.Int64
	// stopDeadline is when requests in flight have to be finished; nil while the VM does not stop.
	stopDeadline atomic.Pointer[time.Time]
	// running ends when a stop aborts the requests in flight.
	running context.Context
	abort   context.CancelCauseFunc
}

// New returns a handler that refuses requests until a route table is published.
func New(dependencies Dependencies) *Handler {
	handler := &Handler{dependencies: dependencies, splitter: route.NewSplitter()}
	handler.running, handler.abort = context.WithCancelCause(context.Background())
	return handler
}

// Publish makes a route table the current one.
func (handler *Handler) Publish(table *oleandervane.RouteTable) {
	handler.index.Store(route.NewIndex(table))
}

// Stop makes callers close their connections, and limits the time of requests so that they end by the given time. Those in flight
// are aborted shortly before, so that their callers get a response before the process ends.
func (handler *Handler) Stop(by time.Time) {
	handler.stopDeadline.Store(&by)
	timerService := handler.dependencies.TimerService
	timerService.After(by.Sub(timerService.Now())-abortMargin, func(time.Time) { handler.abort(forward.ErrDeadline) })
}

// InFlight returns the number of requests being served.
func (handler *Handler) InFlight() int64 {
	return handler.inFlight.Load()
}

// Idempotent reports whether the route of a request allows it to run more than once.
func (handler *Handler) Idempotent(request *http.Request) bool {
	index := handler.index.Load()
	if index == nil {
		return false
	}
	matched, found := index.Match(request.Host, forwardedPath(request))
	return found && matched.Idempotent()
}

// ServeHTTP serves one request.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	handler.inFlight.Add(1)
	defer handler.inFlight.Add(-1)
	if handler.stopDeadline.Load() != nil && pipeline.MayClose(request.Context()) {
		writer.Header().Set("Connection", "close")
	}
	call := handler.newCall(writer, request)
	defer call.finish()
	call.serve()
}

func (handler *Handler) newCall(writer http.ResponseWriter, request *http.Request) *call {
	return &call{
		handler:   handler,
		writer:    writer,
		request:   request,
		startedAt: handler.dependencies.TimerService.Now(),
		completion: Completion{
			Metadata:      handler.dependencies.CallerDialect.ReadRequest(request),
			Method:        request.Method,
			Path:          forwardedPath(request),
			RawQuery:      request.URL.RawQuery,
			CallerAddress: callerAddress(request),
		},
	}
}

// RefuseBusy responds that the VM has no room for a request, which has not run.
func (handler *Handler) RefuseBusy(writer http.ResponseWriter, request *http.Request) {
	call := handler.newCall(writer, request)
	defer call.finish()
	if request.ContentLength == 0 {
		call.refuse(http.StatusServiceUnavailable, reasonNoRoom, busyRetryAfter())
		return
	}
	call.refuseBody(reasonNoRoom, 0)
}

func busyRetryAfter() time.Duration {
	return retryAfter(reasonNoRoom, placement.Decision{RetryAfter: unavailableRetryAfter})
}

// call is one request of a caller while it is served.
type call struct {
	handler    *Handler
	writer     http.ResponseWriter
	request    *http.Request
	startedAt  time.Time
	deadline   time.Time
	completion Completion
	aborted    bool
	// bodyBuffer is the memory of the body; nil if there is none.
	bodyBuffer *bodymemory.Buffer
}

func (call *call) serve() {
	index := call.handler.index.Load()
	if index == nil {
		call.refuse(http.StatusServiceUnavailable, reasonNoConfiguration, unavailableRetryAfter)
		return
	}
	call.completion.Revision = index.Revision()
	matched, found := index.Match(call.request.Host, call.completion.Path)
	if !found {
		call.refuse(http.StatusNotFound, reasonNoRoute, 0)
		return
	}
	call.completion.Route = matched
	if refusal := call.identify(index, matched); refusal != nil {
		call.refuseUnread(refusal)
		return
	}
	cancel, refusal := call.admit()
	if refusal != nil {
		call.refuseUnread(refusal)
		return
	}
	defer cancel()
	call.deadline = call.startedAt.Add(call.timeLimit(matched))
	limit := cmp.Or(max(index.Limits().BodyBytes, 0), defaultMaxBodyBytes)
	body, reason := call.readBody(limit)
	if reason != "" {
		call.refuseBody(reason, limit)
		return
	}
	defer call.releaseBody()
	call.completion.BodyBytes = len(body)
	call.completion.Service = call.handler.splitter.Choose(matched)
	call.forward(index, matched, body)
}

// timeLimit returns the shortest of the limits of the caller, the route and a stop of this VM.
func (call *call) timeLimit(matched oleandervane.Route) time.Duration {
	limit := defaultTimeout
	if call.completion.Metadata.Timeout > 0 {
		limit = call.completion.Metadata.Timeout
	}
	if matched.TimeLimit > 0 {
		limit = min(limit, matched.TimeLimit)
	}
	if stopDeadline := call.handler.stopDeadline.Load(); stopDeadline != nil {
		limit = min(limit, stopDeadline.Sub(call.startedAt)-abortMargin)
	}
	return limit
}

// endsAfterStop reports whether the request would probably be aborted by the stop of this VM. Another VM can serve it.
func (call *call) endsAfterStop(matched oleandervane.Route, serviceName oleandervane.ServiceName) bool {
	stopDeadline := call.handler.stopDeadline.Load()
	if stopDeadline == nil || call.deadline.Before(stopDeadline.Add(-abortMargin)) {
		return false
	}
	mean := call.handler.dependencies.Forwarder.MeanTime(serviceName, oleandervane.KindName(matched.Name))
	return call.deadline.Sub(call.handler.dependencies.TimerService.Now()) < time.Duration(stopTimeFactor*float64(mean))
}

func (call *call) forward(index *route.Index, matched oleandervane.Route, body []byte) {
	dependencies := call.handler.dependencies
	serviceName := call.completion.Service
	if !dependencies.TimerService.Now().Before(call.deadline) {
		call.refuse(http.StatusServiceUnavailable, reasonStopping, unavailableRetryAfter)
		return
	}
	if call.endsAfterStop(matched, serviceName) {
		call.refuse(http.StatusServiceUnavailable, reasonStopping, minRetryAfter)
		return
	}
	chooser := dependencies.Placer.Chooser(placement.Request{
		Service: serviceName,
		Route:   matched,
		Object:  call.object(serviceName),
		Home:    dependencies.Self.Region,
		Urgent:  index.Urgent(matched, call.completion.Organisation, serviceName),

		Organisation:   call.completion.Organisation,
		SharesCapacity: index.RequiresKeys(),
		Claimant:       fairshare.Claimant{Organisation: call.organisationName(), Rank: route.RankOf(matched, call.completion.Organisation).Organisation},
		UrgentRoute:    index.UrgentRoute(matched, serviceName),
	})
	ctx, cancel := call.context(matched)
	defer cancel()
	result := dependencies.Forwarder.Forward(ctx, call.forwardRequest(index, matched, serviceName, body), chooser)
	call.releaseBody()
	call.completion.Outcome, call.completion.Reason, call.completion.Err = result.Outcome, result.Reason, result.Err
	call.completion.Target, call.completion.Attempts, call.completion.AttemptSummaries = result.Target, result.Attempts, result.AttemptSummaries
	call.completion.Decision, call.completion.Identity = chooser.Decision(), result.Identity
	switch {
	case result.Outcome == oleandervane.Answered && !matched.Idempotent() && statesNotRun(result.Response.Status):
		result.Response.Close()
		call.fail(reasonUnprovenRefusal)
	case result.Outcome == oleandervane.Answered:
		call.sendResponse(result.Response)
	case result.Outcome == oleandervane.NotRun && asRefusal(result.Err) != nil:
		call.refuseAs(asRefusal(result.Err))
	case result.Outcome == oleandervane.NotRun:
		call.refuse(http.StatusServiceUnavailable, result.Reason, retryAfter(result.Reason, chooser.Decision()))
	default:
		call.fail(result.Reason)
	}
}

// statesNotRun reports whether callers read a status as proof that their request has not run.
func statesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// object identifies the object of the request among those of the service. Requests of different kinds may concern the
// same object, and a server has affinity for it separately for each kind of work.
func (call *call) object(serviceName oleandervane.ServiceName) string {
	if call.completion.Metadata.Object == "" {
		return call.completion.Metadata.RequestID
	}
	return string(serviceName) + "\x00" + call.completion.Route.Prefix + "\x00" + call.completion.Metadata.Object
}

// context returns a context that ends when the caller disconnects or a stop aborts requests. A request that may run at most once
// continues when its caller disconnects: its outcome matters to the next request of the caller, and aborting it would leave the
// outcome unknown.
func (call *call) context(matched oleandervane.Route) (ctx context.Context, cancel func()) {
	ctx = call.request.Context()
	if !matched.Idempotent() {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancelCause := context.WithCancelCause(ctx)
	stopWatching := context.AfterFunc(call.handler.running, func() { cancelCause(context.Cause(call.handler.running)) })
	return ctx, func() {
		stopWatching()
		cancelCause(nil)
	}
}

func (call *call) forwardRequest(index *route.Index, matched oleandervane.Route, serviceName oleandervane.ServiceName, body []byte) forward.Request {
	return forward.Request{
		ID:      call.completion.Metadata.RequestID,
		Caller:  call.caller(),
		Service: serviceName,
		Kind: oleandervane.Kind{
			Name:       oleandervane.KindName(matched.Name),
			Idempotent: matched.Idempotent(),
			Deadline:   call.deadline.Sub(call.startedAt),
		},
		Method:        call.request.Method,
		Host:          call.request.Host,
		Path:          call.completion.Path,
		RawQuery:      call.request.URL.RawQuery,
		Header:        call.request.Header,
		Body:          body,
		Deadline:      call.deadline,
		MaxAttempts:   matched.MaxAttempts,
		Abandoned:     func() bool { return call.request.Context().Err() != nil },
		RetryFailures: true,

		BeforeWrite:          func() error { return call.checkKey(index) },
		ReplacesOrganisation: index.RequiresKeys(),
		Organisation:         call.organisationName(),
	}
}

func (call *call) caller() string {
	return call.completion.CallerAddress + "\x00" + call.completion.Metadata.Object
}

// forwardedPath returns the path that backend servers get. Only this form may select the route: a decoded slash would begin another
// segment.
func forwardedPath(request *http.Request) string {
	return request.URL.EscapedPath()
}

func callerAddress(request *http.Request) string {
	host, _, err := net.SplitHostPort(request.RemoteAddr)
	if err != nil {
		return request.RemoteAddr
	}
	return host
}

// sendResponse sends the response of a backend server. When the server truncates it, the connection to the caller is
// broken, so that a truncated response never looks complete.
func (call *call) sendResponse(response *forward.Response) {
	call.completion.Status = response.Status
	if err := call.bufferForHTTP10(response); err != nil {
		response.Close()
		call.completion.Err = err
		call.fail(truncationReason(err))
		return
	}
	if err := response.Send(call.writer); err != nil {
		call.completion.Outcome, call.completion.Reason, call.completion.Err = oleandervane.Unknown, truncationReason(err), err
		if call.request.Context().Err() != nil {
			call.completion.Reason = forward.ReasonCancelled
		}
		call.aborted = true
	}
}

// bufferForHTTP10 reads a body without a length to its end before an HTTP/1.0 caller receives any of it: such a caller
// treats the end of the connection as the end of the body, even if the body was truncated.
func (call *call) bufferForHTTP10(response *forward.Response) error {
	if call.request.ProtoAtLeast(1, 1) || response.Header.Get("Content-Length") != "" {
		return nil
	}
	return response.Buffer(maxHTTP10BufferBytes)
}

// truncationReason returns the reason for a response that the server did not complete.
func truncationReason(err error) forward.Reason {
	if errors.Is(err, forward.ErrTooLong) {
		return forward.ReasonTooLong
	}
	return forward.ReasonTruncated
}

// refuse responds that the request has not run and never will.
func (call *call) refuse(status int, reason forward.Reason, retryAfter time.Duration) {
	if retryAfter > 0 {
		call.writer.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	call.completion.Outcome = oleandervane.NotRun
	call.respond(status, reason)
}

// fail responds that the request may have run.
func (call *call) fail(reason forward.Reason) {
	status := http.StatusBadGateway
	if reason == forward.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	call.completion.Outcome = oleandervane.Unknown
	call.respond(status, reason)
}

func (call *call) respond(status int, reason forward.Reason) {
	call.completion.Reason, call.completion.Status = reason, status
	header := call.writer.Header()
	header.Set(oleandervane.HeaderReason, string(reason))
	header.Set("Content-Length", "0")
	call.writer.WriteHeader(status)
}

// retryAfter adds jitter, so that callers whose requests are refused at the same time do not retry at the same time. A request in
// quarantine is refused for longer than any caller waits.
func retryAfter(reason forward.Reason, decision placement.Decision) time.Duration {
	delay := min(max(decision.RetryAfter, minRetryAfter), maxRetryAfter)
	if reason == forward.ReasonQuarantined {
		delay = maxRetryAfter
	}
	return time.Duration(float64(delay) * (0.75 + rand.Float64()/2))
}

// finish must be deferred. A panic in one request breaks only its connection: the request may have run.
func (call *call) finish() {
	if recovered := recover(); recovered != nil {
		call.completion.Outcome, call.completion.Reason = oleandervane.Unknown, reasonPanic
		call.completion.Err = fmt.Errorf("panic: %v at %s", recovered, debug.Stack())
		call.aborted = true
	}
	call.completion.Duration = call.handler.dependencies.TimerService.Now().Sub(call.startedAt)
	call.handler.dependencies.Observer.Finished(call.completion)
	if call.aborted {
		panic(http.ErrAbortHandler)
	}
}
