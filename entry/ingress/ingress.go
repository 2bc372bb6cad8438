// Package reception serves the requests of callers whose host and path select a route. It is the counterpart of
// package gateway for installations whose callers know nothing of tickets: a request of an unsafe route is sent once,
// and again only after proof that it has not run.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
	"oleandervane.example/entry/pipeline"
	"oleandervane.example/entry/placement"
	"oleandervane.example/entry/route"
)

const (
	// defaultPatience is the time limit of a request for which neither caller nor route names one.
	defaultPatience = 30 * time.Second
	// defaultBodyBytes bounds bodies until a configuration says otherwise.
	defaultBodyBytes = 1 << 20
	// refusalDelay is what a caller is told when the VM itself cannot serve for a moment.
	refusalDelay = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound what callers are told; callers leave when it is too long for them.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// oldCallerBytes is the largest body without a length for a caller of HTTP/1.0.
	oldCallerBytes = 4 << 20
	// abortMargin is the time before the end of a stop at which requests in flight are given up.
	abortMargin = 500 * time.Millisecond
)

// The reasons of answers that no backend server gave, beside those of package forward.
const (
	reasonNoConfiguration forward.Reason = "no_configuration"
	reasonNoRoute         forward.Reason = "no_route"
	reasonBodyTooLarge    forward.Reason = "body_too_large"
	reasonBodyUnread      forward.Reason = "body_not_received"
	reasonStopping        forward.Reason = "vm_stops"
	reasonPanic           forward.Reason = "unexpected_error"
)

// Placer places requests at backend servers.
type Placer interface {
	Chooser(need placement.Request) *placement.Chooser
}

// Dependencies are what a Reception needs.
type Dependencies struct {
	Self          oleandervane.EntryVM
	CallerDialect oleandervane.CallerDialect
	Placer        Placer
	Forwarder     *forward.Forwarder
	TimerService  oleandervane.TimerService
	Observer      Observer
}

// Observer is told how each request ended.
type Observer interface {
	Finished(completion Completion)
}

// Completion tells how a request ended. It is immutable.
type Completion struct {
	Metadata         oleandervane.RequestMetadata
	Method           string
	Path             string
	Route            oleandervane.Route
	Revision         oleandervane.Revision
	Service          oleandervane.ServiceName
	Outcome          oleandervane.Outcome
	Reason           forward.Reason
	Decision         placement.Decision
	Target           forward.Target
	Attempts         int
	AttemptSummaries []forward.AttemptSummary
	Status           int
	Duration         time.Duration
	Err              error
}

// Handler is an http.Handler for callers.
type Handler struct {
	parts    Dependencies
	splitter *route.Splitter
	index    atomic.Pointer[route.Index]
	inFlight atomic.Int64
	// stopBy is when requests in flight have to be over; nil while the VM does not stop.
	stopBy atomic.Pointer[time.Time]
}

// New returns a reception that refuses requests until a route table is published.
func New(parts Dependencies) *Handler {
	return &Handler{parts: parts, splitter: route.NewSplitter()}
}

// Publish puts a route table into force.
func (reception *Handler) Publish(table *oleandervane.RouteTable) {
	reception.index.Store(route.NewIndex(table))
}

// Stop makes callers close their connections and ends requests that are in flight by the given time.
func (reception *Handler) Stop(by time.Time) {
	reception.stopBy.Store(&by)
}

// InFlight returns the number of requests being served.
func (reception *Handler) InFlight() int64 {
	return reception.inFlight.Load()
}

// Idempotent says whether the route of a request lets it run more than once.
func (reception *Handler) Idempotent(request *http.Request) bool {
	index := reception.index.Load()
	if index == nil {
		return false
	}
	matched, found := index.Match(request.Host, request.URL.Path)
	return found && matched.Idempotent()
}

// ServeHTTP serves one request.
func (reception *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	reception.inFlight.Add(1)
	defer reception.inFlight.Add(-1)
	if reception.stopBy.Load() != nil && pipeline.MayClose(request.Context()) {
		writer.Header().Set("Connection", "close")
	}
	visit := &visit{
		reception: reception,
		writer:    writer,
		request:   request,
		startedAt: reception.parts.TimerService.Now(),
		completion: Completion{
			Metadata: reception.parts.CallerDialect.ReadRequest(request),
			Method:   request.Method,
			Path:     request.URL.EscapedPath(),
		},
	}
	defer visit.finish()
	visit.serve()
}

// visit is one request while it is served.
type visit struct {
	reception  *Handler
	writer     http.ResponseWriter
	request    *http.Request
	startedAt  time.Time
	deadline   time.Time
	completion Completion
	aborted    bool
}

func (visit *visit) serve() {
	index := visit.reception.index.Load()
	if index == nil {
		visit.refuse(http.StatusServiceUnavailable, reasonNoConfiguration, refusalDelay)
		return
	}
	visit.completion.Revision = index.Revision()
	matched, found := index.Match(visit.request.Host, visit.request.URL.Path)
	if !found {
		visit.refuse(http.StatusNotFound, reasonNoRoute, 0)
		return
	}
	visit.completion.Route = matched
	visit.deadline = visit.startedAt.Add(visit.timeLimit(matched))
	body, problem := visit.readBody(index.Limits())
	if problem != "" {
		visit.refuseBody(problem)
		return
	}
	visit.completion.Service = visit.reception.splitter.Choose(matched)
	visit.forward(index, matched, body)
}

// timeLimit is the shortest of what the caller, the route and a stop of this VM allow.
func (visit *visit) timeLimit(matched oleandervane.Route) time.Duration {
	limit := defaultPatience
	if visit.completion.Metadata.Timeout > 0 {
		limit = visit.completion.Metadata.Timeout
	}
	if matched.TimeLimit > 0 {
		limit = min(limit, matched.TimeLimit)
	}
	if stopBy := visit.reception.stopBy.Load(); stopBy != nil {
		limit = min(limit, stopBy.Sub(visit.startedAt)-abortMargin)
	}
	return limit
}

func (visit *visit) readBody(limits oleandervane.CallerLimits) (body []byte, problem forward.Reason) {
	if visit.request.Body == nil || visit.request.ContentLength == 0 {
		return nil, ""
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(visit.writer, visit.request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, reasonBodyTooLarge
	}
	if err != nil {
		visit.completion.Err = err
		return nil, reasonBodyUnread
	}
	return body, ""
}

func (visit *visit) refuseBody(problem forward.Reason) {
	if problem == reasonBodyTooLarge {
		visit.refuse(http.StatusRequestEntityTooLarge, problem, 0)
		return
	}
	visit.refuse(http.StatusRequestTimeout, problem, 0)
}

func (visit *visit) forward(index *route.Index, matched oleandervane.Route, body []byte) {
	parts := visit.reception.parts
	if !parts.TimerService.Now().Before(visit.deadline) {
		visit.refuse(http.StatusServiceUnavailable, reasonStopping, refusalDelay)
		return
	}
	serviceName := visit.completion.Service
	chooser := parts.Placer.Chooser(placement.Request{
		Service: serviceName,
		Route:   matched,
		Object:  visit.object(serviceName),
		Home:    parts.Self.Region,
		Urgent:  index.Urgent(matched, serviceName),
	})
	result := parts.Forwarder.Forward(visit.context(matched), visit.forwardRequest(matched, serviceName, body), chooser)
	visit.completion.Outcome, visit.completion.Reason, visit.completion.Err = result.Outcome, result.Reason, result.Err
	visit.completion.Target, visit.completion.Attempts, visit.completion.AttemptSummaries = result.Target, result.Attempts, result.AttemptSummaries
	visit.completion.Decision = chooser.Decision()
	switch result.Outcome {
	case oleandervane.Answered:
		visit.answer(result.Response)
	case oleandervane.NotRun:
		visit.refuse(http.StatusServiceUnavailable, result.Reason, visit.retryAfter(chooser.Decision()))
	default:
		visit.fail(result.Reason)
	}
}

// object identifies the object of the request among those of the service. Requests of different kinds may concern
// the same object, and a server remembers it for each kind of work.
func (visit *visit) object(serviceName oleandervane.ServiceName) string {
	if visit.completion.Metadata.Object == "" {
		return visit.completion.Metadata.RequestID
	}
	return string(serviceName) + "\x00" + visit.completion.Route.Prefix + "\x00" + visit.completion.Metadata.Object
}

// context ends when the caller leaves. A request that may run once at most goes on: its outcome matters to the
// caller's next question, and ending it halfway would leave it unknown.
func (visit *visit) context(matched oleandervane.Route) context.Context {
	if matched.Idempotent() {
		return visit.request.Context()
	}
	return context.WithoutCancel(visit.request.Context())
}

func (visit *visit) forwardRequest(matched oleandervane.Route, serviceName oleandervane.ServiceName, body []byte) forward.Request {
	return forward.Request{
		ID:      visit.completion.Metadata.RequestID,
		Caller:  visit.caller(),
		Service: serviceName,
		Kind: oleandervane.Kind{
			Name:       oleandervane.KindName(matched.Name),
			Idempotent: matched.Idempotent(),
			Deadline:   visit.deadline.Sub(visit.startedAt),
		},
		Method:        visit.request.Method,
		Host:          visit.request.Host,
		Path:          visit.request.URL.EscapedPath(),
		RawQuery:      visit.request.URL.RawQuery,
		Header:        visit.request.Header,
		Body:          body,
		Deadline:      visit.deadline,
		MaxAttempts:   matched.MaxAttempts,
		Abandoned:     func() bool { return visit.request.Context().Err() != nil },
		RetryFailures: true,
	}
}

func (visit *visit) caller() string {
	host, _, err := net.SplitHostPort(visit.request.RemoteAddr)
	if err != nil {
		host = visit.request.RemoteAddr
	}
	return host + "\x00" + visit.completion.Metadata.Object
}

// answer sends the answer of a backend server. When the server cuts it off, the caller's connection is broken, so
// that a part never looks like the whole.
func (visit *visit) answer(response *forward.Response) {
	visit.completion.Status = response.Status
	if err := visit.holdForOldCaller(response); err != nil {
		response.Close()
		visit.completion.Err = err
		visit.fail(cutReason(err))
		return
	}
	if err := response.Send(visit.writer); err != nil {
		visit.completion.Outcome, visit.completion.Reason, visit.completion.Err = oleandervane.Unknown, cutReason(err), err
		visit.aborted = true
	}
}

// holdForOldCaller reads a body without a length to its end before a caller of HTTP/1.0 gets any of it: such a caller takes
// the end of the connection for the end of the body, also when it was cut off.
func (visit *visit) holdForOldCaller(response *forward.Response) error {
	if visit.request.ProtoAtLeast(1, 1) || response.Header.Get("Content-Length") != "" {
		return nil
	}
	return response.Hold(oldCallerBytes)
}

// cutReason is the reason of an answer that the server did not complete.
func cutReason(err error) forward.Reason {
	if errors.Is(err, forward.ErrTooLong) {
		return forward.ReasonTooLong
	}
	return forward.ReasonTruncated
}

// refuse answers that the request has not run and never will.
func (visit *visit) refuse(status int, reason forward.Reason, retryAfter time.Duration) {
	if retryAfter > 0 {
		visit.writer.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	visit.completion.Outcome = oleandervane.NotRun
	visit.end(status, reason)
}

// fail answers that the request may have run.
func (visit *visit) fail(reason forward.Reason) {
	status := http.StatusBadGateway
	if reason == forward.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	visit.completion.Outcome = oleandervane.Unknown
	visit.end(status, reason)
}

func (visit *visit) end(status int, reason forward.Reason) {
	visit.completion.Reason, visit.completion.Status = reason, status
	header := visit.writer.Header()
	header.Set(oleandervane.HeaderReason, string(reason))
	header.Set("Content-Length", "0")
	visit.writer.WriteHeader(status)
}

// retryAfter spreads the return of callers that are refused together.
func (visit *visit) retryAfter(decision placement.Decision) time.Duration {
	delay := min(max(decision.RetryAfter, minRetryAfter), maxRetryAfter)
	return time.Duration(float64(delay) * (0.75 + rand.Float64()/2))
}

// finish is deferred. A panic in one request breaks its connection only: the request may have run.
func (visit *visit) finish() {
	if recovered := recover(); recovered != nil {
		visit.completion.Outcome, visit.completion.Reason = oleandervane.Unknown, reasonPanic
		visit.completion.Err = fmt.Errorf("panic: %v at %s", recovered, debug.Stack())
		visit.aborted = true
	}
	visit.completion.Duration = visit.reception.parts.TimerService.Now().Sub(visit.startedAt)
	visit.reception.parts.Observer.Finished(visit.completion)
	if visit.aborted {
		panic(http.ErrAbortHandler)
	}
}
