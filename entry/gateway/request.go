package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
	"oleandervane.example/entry/lookup"
	"oleandervane.example/entry/ticket"
)

// exchange is the state of a request that the gateway is serving.
type exchange struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	service oleandervane.ServiceName
	kind    oleandervane.Kind
	home    oleandervane.Region
	// path is the escaped path of the request to the backend server.
	path     string
	body     []byte
	start    time.Time
	deadline time.Time
	relayed  bool
	run      *ticket.Run
	// releaseAdmission ends the admission of the request. It is called after the response has been sent.
	releaseAdmission func()
}

func (gateway *Gateway) serveRequest(writer http.ResponseWriter, request *http.Request) {
	defer gateway.inFlight.enter()()
	exchange, refusal := gateway.newExchange(writer, request, requestPrefix)
	if refusal != nil {
		refusal.write(writer)
		return
	}
	var entryVMs [lookup.MaxEntryVMs]oleandervane.EntryVM
	exchange.home = gateway.dependencies.Lookup.Decide(gateway.callerAddress(request), entryVMs[:1]).Home
	gateway.dependencies.Observer.Arrived(exchange.service, exchange.kind, exchange.home)
	if !exchange.kind.Idempotent && !exchange.beginTicket() {
		return
	}
	exchange.serve()
}

// newExchange reads the request and resolves its service and kind.
func (gateway *Gateway) newExchange(writer http.ResponseWriter, request *http.Request, prefix string) (*exchange, *refusal) {
	serviceName, kindName, path, ok := splitPath(request, prefix)
	if !ok {
		return nil, refuse(http.StatusNotFound, oleandervane.NotRun, "bad_path", "the path must be "+prefix+"<service>/<kind>/<path>")
	}
	kind, refusal := gateway.findKind(serviceName, kindName)
	if refusal != nil {
		return nil, refusal
	}
	if !kind.Idempotent && request.Method == http.MethodGet {
		return nil, refuse(http.StatusMethodNotAllowed, oleandervane.NotRun, "bad_method", "requests of a non-idempotent kind must not use GET")
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, gateway.settings.MaxBodyBytes))
	if err != nil {
		return nil, refuseBody(err)
	}
	start := gateway.dependencies.TimerService.Now()
	return &exchange{
		gateway:  gateway,
		writer:   writer,
		request:  request,
		service:  serviceName,
		kind:     kind,
		path:     path,
		body:     body,
		start:    start,
		deadline: start.Add(timeLeft(request, kind)),
	}, nil
}

func refuseBody(err error) *refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse(http.StatusRequestEntityTooLarge, oleandervane.NotRun, "body_too_large", "the body is longer than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	return refuse(http.StatusBadRequest, oleandervane.NotRun, "body_incomplete", "the body ended early")
}

// splitPath splits "<prefix><service>/<kind>/<path>". The returned path starts with a slash and stays escaped.
func splitPath(request *http.Request, prefix string) (oleandervane.ServiceName, oleandervane.KindName, string, bool) {
	rest, found := strings.CutPrefix(request.URL.EscapedPath(), prefix)
	if !found {
		return "", "", "", false
	}
	serviceName, rest, found := strings.Cut(rest, "/")
	if !found || serviceName == "" {
		return "", "", "", false
	}
	kindName, rest, _ := strings.Cut(rest, "/")
	return oleandervane.ServiceName(serviceName), oleandervane.KindName(kindName), "/" + rest, kindName != ""
}

// timeLeft returns the time until the deadline of the kind, or the time left that the request states if it is shorter.
func timeLeft(request *http.Request, kind oleandervane.Kind) time.Duration {
	millis, err := strconv.ParseInt(request.Header.Get(oleandervane.HeaderDeadlineMillis), 10, 64)
	if err != nil || millis < 0 {
		return kind.Deadline
	}
	return min(kind.Deadline, time.Duration(millis)*time.Millisecond)
}

// beginTicket requests permission from the ledger to run the request. If the ledger refuses, beginTicket writes the
// response and returns false.
func (exchange *exchange) beginTicket() bool {
	text := exchange.request.Header.Get(oleandervane.HeaderTicket)
	if text == "" {
		refuse(http.StatusBadRequest, oleandervane.NotRun, "ticket_missing",
			"requests of this kind are not idempotent: ask POST /v1/ticket for a ticket and send it in the header "+oleandervane.HeaderTicket).write(exchange.writer)
		return false
	}
	tickets := exchange.gateway.dependencies.Tickets
	status, run := tickets.Begin(text, exchange.service, exchange.kind.Name)
	if status.State == ticket.Running {
		status = exchange.waitForOutcome(status)
	}
	if status.State == ticket.Fresh {
		exchange.run = run
		return true
	}
	exchange.replay(status)
	return false
}

// waitForOutcome waits until the earlier request with the same ticket has an outcome, or until the deadline of this
// one.
func (exchange *exchange) waitForOutcome(status ticket.Status) ticket.Status {
	ctx, cancel := exchange.gateway.contextUntil(exchange.request.Context(), exchange.deadline)
	defer cancel()
	return exchange.gateway.dependencies.Tickets.Wait(ctx, status)
}

// replay responds with the recorded state of the ticket, without running the request again.
func (exchange *exchange) replay(status ticket.Status) {
	if status.Outcome() == oleandervane.Answered && status.Response.Complete {
		header := exchange.writer.Header()
		for name, values := range status.Response.Header {
			header[name] = values
		}
		header.Set(oleandervane.HeaderOutcome, string(oleandervane.Answered))
		exchange.writer.WriteHeader(status.Response.Status)
		_, _ = exchange.writer.Write(status.Response.Body)
		return
	}
	if status.Outcome() == oleandervane.Answered {
		refuse(http.StatusGone, oleandervane.Answered, "response_dropped", "the request was answered with status "+strconv.Itoa(status.Response.Status)+", and the response is no longer kept").
			withTicketState(status.State.String()).write(exchange.writer)
		return
	}
	refuseByOutcome(status.Outcome(), forward.Reason(status.State.String()), ticketDetail(status.State)).
		withTicketState(status.State.String()).write(exchange.writer)
}

func ticketDetail(state ticket.State) string {
	switch state {
	case ticket.Malformed:
		return "the header " + oleandervane.HeaderTicket + " holds no ticket"
	case ticket.Foreign:
		return "another run of an entry VM issued the ticket, or for another kind; only that one can tell the outcome"
	case ticket.Running:
		return "the request was still running at the deadline of this sending"
	case ticket.Expired:
		return "the ticket expired before its request began: ask for a new one"
	case ticket.Forgotten:
		return "the ticket expired long ago and its outcome is no longer kept"
	}
	return "the request ended without an answer"
}

// serve chooses a region, forwards the request and writes the response.
func (exchange *exchange) serve() {
	ctx, cancel := exchange.gateway.contextUntil(exchange.request.Context(), exchange.deadline)
	defer cancel()
	// After a panic, the outcome of the request cannot be proved.
	defer exchange.finishRun(oleandervane.Unknown, nil)
	defer exchange.endAdmission()
	result, servedIn := exchange.forward(ctx)
	exchange.respond(result, servedIn)
}

func (exchange *exchange) endAdmission() {
	if exchange.releaseAdmission != nil {
		exchange.releaseAdmission()
	}
}

func (exchange *exchange) forward(ctx context.Context) (forward.Result, oleandervane.Region) {
	dependencies := exchange.gateway.dependencies
	self := dependencies.Membership.Self().Region
	region, err := dependencies.Regions.ChooseRegion(exchange.service, exchange.home, dependencies.Points.Point(exchange.service, exchange.kind))
	if err != nil {
		return forward.Result{Outcome: oleandervane.NotRun, Reason: "no_region", Err: err}, ""
	}
	if region == self {
		// Requests of this VM's own region are deducted from its part of the capacity first. They are never refused
		// because of it: slots bound them, and the headroom is reserved for them.
		dependencies.Grants.TryAdmit(exchange.start, exchange.service, exchange.home)
		return exchange.forwardLocally(ctx), self
	}
	return exchange.relay(ctx, region), region
}

// forwardLocally admits the request and sends it to a backend server of this region.
func (exchange *exchange) forwardLocally(ctx context.Context) forward.Result {
	dependencies := exchange.gateway.dependencies
	release, err := dependencies.Admission.Admit(ctx, exchange.service, exchange.kind)
	if err != nil {
		return forward.Result{Outcome: oleandervane.NotRun, Reason: admissionReason(err), Err: err}
	}
	exchange.releaseAdmission = release
	chooser := waitingChooser{
		TargetChooser: forward.BackendServers(dependencies.Backends, exchange.service),
		ctx:           ctx,
		timerService:  dependencies.TimerService,
	}
	return dependencies.Forwarder.Forward(ctx, exchange.forwardRequest(), chooser)
}

func admissionReason(err error) forward.Reason {
	if errors.Is(err, oleandervane.ErrShed) {
		return "shed"
	}
	return forward.ReasonDeadline
}

func (exchange *exchange) forwardRequest() forward.Request {
	request := forward.Request{
		Caller:   exchange.gateway.callerAddress(exchange.request).String(),
		Service:  exchange.service,
		Kind:     exchange.kind,
		Method:   exchange.request.Method,
		Path:     exchange.path,
		RawQuery: exchange.request.URL.RawQuery,
		Header:   exchange.request.Header,
		Body:     exchange.body,
		Deadline: exchange.deadline,
	}
	if exchange.run != nil {
		request.BeforeWrite = exchange.run.CheckExpiry
	}
	if exchange.relayed {
		request.MaxAttempts = 1
	}
	return request
}

// respond writes the result to the caller. It records the outcome of a ticket before the first byte is written, except
// for a streamed response.
func (exchange *exchange) respond(result forward.Result, servedIn oleandervane.Region) {
	header := exchange.writer.Header()
	header.Set(oleandervane.HeaderServedBy, string(exchange.gateway.dependencies.Membership.Self().ID))
	exchange.observeLoad(result)
	if exchange.relayed {
		// The relaying VM reuses a connection only if the response has the id of its attempt.
		header.Set(oleandervane.HeaderRequestID, exchange.request.Header.Get(oleandervane.HeaderRequestID))
	}
	if result.Outcome != oleandervane.Answered {
		exchange.finishRun(result.Outcome, nil)
		refusal := refuseByOutcome(result.Outcome, result.Reason, detailOf(result))
		refusal.write(exchange.writer)
		exchange.observe(result, "", refusal.Status)
		return
	}
	// A response that was relayed already names the region that served it.
	if servedIn == exchange.gateway.dependencies.Membership.Self().Region {
		result.Response.Header.Set(oleandervane.HeaderServedIn, string(servedIn))
	}
	result.Response.Header.Set(oleandervane.HeaderOutcome, string(oleandervane.Answered))
	if !result.Response.Streamed() {
		exchange.finishRun(oleandervane.Answered, result.Response)
	}
	err := result.Response.Send(exchange.writer)
	exchange.finishStream(result, servedIn, err)
}

// finishStream records the outcome after the response was sent. A truncated response aborts the connection.
func (exchange *exchange) finishStream(result forward.Result, servedIn oleandervane.Region, err error) {
	if errors.Is(err, forward.ErrTruncated) {
		exchange.finishRun(oleandervane.Unknown, nil)
		result.Outcome, result.Reason = oleandervane.Unknown, forward.ReasonTruncated
		exchange.observe(result, servedIn, 0)
		panic(http.ErrAbortHandler)
	}
	exchange.finishRun(oleandervane.Answered, result.Response)
	exchange.observe(result, servedIn, result.Response.Status)
}

// finishRun records the outcome of a ticket. Only the first call for a request has an effect.
func (exchange *exchange) finishRun(outcome oleandervane.Outcome, response *forward.Response) {
	if exchange.run == nil {
		return
	}
	if response == nil {
		exchange.run.Finish(outcome, ticket.Response{})
		return
	}
	recorded := ticket.Response{Status: response.Status, Header: response.Header.Clone()}
	if !response.Streamed() {
		recorded.Body, recorded.Complete = response.Body, true
	}
	exchange.run.Finish(outcome, recorded)
}

func (exchange *exchange) observe(result forward.Result, servedIn oleandervane.Region, status int) {
	exchange.gateway.dependencies.Observer.Finished(Completion{
		Service:  exchange.service,
		Kind:     exchange.kind,
		Home:     exchange.home,
		ServedIn: servedIn,
		Outcome:  result.Outcome,
		Reason:   result.Reason,
		Status:   status,
		Latency:  exchange.gateway.dependencies.TimerService.Now().Sub(exchange.start),
		Attempts: result.Attempts,
		Relayed:  exchange.relayed,
	})
}

func detailOf(result forward.Result) string {
	if result.Err == nil {
		return ""
	}
	return result.Err.Error()
}

// contextUntil returns a context that the timer service cancels at the deadline.
func (gateway *Gateway) contextUntil(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := gateway.dependencies.TimerService.After(deadline.Sub(gateway.dependencies.TimerService.Now()), func(time.Time) {
		cancel(context.DeadlineExceeded)
	})
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}
