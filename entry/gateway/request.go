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

// exchange is one request on its way through the gateway.
type exchange struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	service oleandervane.ServiceName
	kind    oleandervane.Kind
	home    oleandervane.Region
	// path is the escaped path that the backend server is asked for.
	path     string
	body     []byte
	start    time.Time
	deadline time.Time
	relayed  bool
	run      *ticket.Run
	// releaseAdmission ends the admission of the request, once its response has been sent.
	releaseAdmission func()
}

func (gateway *Gateway) serveRequest(writer http.ResponseWriter, request *http.Request) {
	defer gateway.inFlight.enter()()
	exchange, refusal := gateway.open(writer, request, requestPrefix)
	if refusal != nil {
		refusal.write(writer)
		return
	}
	var entryVMs [lookup.MaxEntryVMs]oleandervane.EntryVM
	exchange.home = gateway.parts.Lookup.Decide(gateway.callerAddress(request), entryVMs[:1]).Home
	gateway.parts.Observer.Arrived(exchange.service, exchange.kind, exchange.home)
	if !exchange.kind.Idempotent && !exchange.beginTicket() {
		return
	}
	exchange.serve()
}

// open reads the request and finds its service and kind.
func (gateway *Gateway) open(writer http.ResponseWriter, request *http.Request, prefix string) (*exchange, *refusal) {
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
	start := gateway.parts.TimerService.Now()
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

// splitPath cuts "<prefix><service>/<kind>/<path>"; the returned path starts with a slash and stays escaped.
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

// timeLeft is the deadline of the kind, or what the request says is left if that is less.
func timeLeft(request *http.Request, kind oleandervane.Kind) time.Duration {
	millis, err := strconv.ParseInt(request.Header.Get(oleandervane.HeaderDeadlineMillis), 10, 64)
	if err != nil || millis < 0 {
		return kind.Deadline
	}
	return min(kind.Deadline, time.Duration(millis)*time.Millisecond)
}

// beginTicket asks the ledger for the permission to run. Without it, it writes the response and returns false.
func (exchange *exchange) beginTicket() bool {
	text := exchange.request.Header.Get(oleandervane.HeaderTicket)
	if text == "" {
		refuse(http.StatusBadRequest, oleandervane.NotRun, "ticket_missing",
			"requests of this kind are not idempotent: ask POST /v1/ticket for a ticket and send it in the header "+oleandervane.HeaderTicket).write(exchange.writer)
		return false
	}
	tickets := exchange.gateway.parts.Tickets
	answer, run := tickets.Begin(text, exchange.service, exchange.kind.Name)
	if answer.State == ticket.Running {
		answer = exchange.waitForOutcome(answer)
	}
	if answer.State == ticket.Fresh {
		exchange.run = run
		return true
	}
	exchange.replay(answer)
	return false
}

// waitForOutcome waits for the first sending of the same ticket until the deadline of this one.
func (exchange *exchange) waitForOutcome(answer ticket.Answer) ticket.Answer {
	ctx, cancel := exchange.gateway.contextUntil(exchange.request.Context(), exchange.deadline)
	defer cancel()
	return exchange.gateway.parts.Tickets.Wait(ctx, answer)
}

// replay tells the caller what is known of a request that this sending does not run.
func (exchange *exchange) replay(answer ticket.Answer) {
	if answer.Outcome() == oleandervane.Answered && answer.Response.Complete {
		header := exchange.writer.Header()
		for name, values := range answer.Response.Header {
			header[name] = values
		}
		header.Set(oleandervane.HeaderOutcome, string(oleandervane.Answered))
		exchange.writer.WriteHeader(answer.Response.Status)
		_, _ = exchange.writer.Write(answer.Response.Body)
		return
	}
	if answer.Outcome() == oleandervane.Answered {
		refuse(http.StatusGone, oleandervane.Answered, "response_dropped", "the request was answered with status "+strconv.Itoa(answer.Response.Status)+", and the response is no longer kept").
			withTicketState(answer.State.String()).write(exchange.writer)
		return
	}
	refuseBy(answer.Outcome(), forward.Reason(answer.State.String()), ticketDetail(answer.State)).
		withTicketState(answer.State.String()).write(exchange.writer)
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

// serve chooses a region, forwards the request and writes what became of it.
func (exchange *exchange) serve() {
	ctx, cancel := exchange.gateway.contextUntil(exchange.request.Context(), exchange.deadline)
	defer cancel()
	// A panic on the way leaves the request with an outcome that nobody can prove.
	defer exchange.finishRun(oleandervane.Unknown, nil)
	defer exchange.leave()
	result, servedIn := exchange.forward(ctx)
	exchange.respond(result, servedIn)
}

func (exchange *exchange) leave() {
	if exchange.releaseAdmission != nil {
		exchange.releaseAdmission()
	}
}

func (exchange *exchange) forward(ctx context.Context) (forward.Result, oleandervane.Region) {
	parts := exchange.gateway.parts
	self := parts.Membership.Self().Region
	region, err := parts.Regions.ChooseRegion(exchange.service, exchange.home, parts.Points.Point(exchange.service, exchange.kind))
	if err != nil {
		return forward.Result{Outcome: oleandervane.NotRun, Reason: "no_region", Err: err}, ""
	}
	if region == self {
		// The account of this VM's part counts its own region's requests first; they are not refused by it, because
		// slots bound them, and the headroom is there for them.
		parts.Grants.TryAdmit(exchange.start, exchange.service, exchange.home)
		return exchange.forwardLocally(ctx), self
	}
	return exchange.relay(ctx, region), region
}

// forwardLocally admits the request and sends it to a backend server of this region.
func (exchange *exchange) forwardLocally(ctx context.Context) forward.Result {
	parts := exchange.gateway.parts
	release, err := parts.Admission.Admit(ctx, exchange.service, exchange.kind)
	if err != nil {
		return forward.Result{Outcome: oleandervane.NotRun, Reason: admissionReason(err), Err: err}
	}
	exchange.releaseAdmission = release
	chooser := waitingChooser{
		TargetChooser: forward.BackendServers(parts.Backends, exchange.service),
		ctx:           ctx,
		timerService:  parts.TimerService,
	}
	return parts.Forwarder.Forward(ctx, exchange.forwardRequest(), chooser)
}

func admissionReason(err error) forward.Reason {
	if errors.Is(err, oleandervane.ErrShed) {
		return "shed"
	}
	return forward.ReasonDeadline
}

func (exchange *exchange) forwardRequest() forward.Request {
	request := forward.Request{
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

// respond writes the result to the caller and records the outcome of a ticket before its first byte.
func (exchange *exchange) respond(result forward.Result, servedIn oleandervane.Region) {
	header := exchange.writer.Header()
	header.Set(oleandervane.HeaderServedBy, string(exchange.gateway.parts.Membership.Self().ID))
	exchange.observeLoad(result)
	if exchange.relayed {
		// The relaying VM reuses a connection only if the response names its attempt.
		header.Set(oleandervane.HeaderRequestID, exchange.request.Header.Get(oleandervane.HeaderRequestID))
	}
	if result.Outcome != oleandervane.Answered {
		exchange.finishRun(result.Outcome, nil)
		refusal := refuseBy(result.Outcome, result.Reason, detailOf(result))
		refusal.write(exchange.writer)
		exchange.observe(result, "", refusal.Status)
		return
	}
	// A relaying VM has named the region in its own response.
	if servedIn == exchange.gateway.parts.Membership.Self().Region {
		result.Response.Header.Set(oleandervane.HeaderServedIn, string(servedIn))
	}
	result.Response.Header.Set(oleandervane.HeaderOutcome, string(oleandervane.Answered))
	if !result.Response.Streamed() {
		exchange.finishRun(oleandervane.Answered, result.Response)
	}
	err := result.Response.Send(exchange.writer)
	exchange.finishStream(result, servedIn, err)
}

// finishStream records what became of the response while it was sent.
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

// finishRun records the outcome of a ticket; only the first call for a request has an effect.
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
	exchange.gateway.parts.Observer.Finished(Completion{
		Service:  exchange.service,
		Kind:     exchange.kind,
		Home:     exchange.home,
		ServedIn: servedIn,
		Outcome:  result.Outcome,
		Reason:   result.Reason,
		Status:   status,
		Latency:  exchange.gateway.parts.TimerService.Now().Sub(exchange.start),
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

// contextUntil returns a context that ends at the deadline by the timer service.
func (gateway *Gateway) contextUntil(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := gateway.parts.TimerService.After(deadline.Sub(gateway.parts.TimerService.Now()), func(time.Time) {
		cancel(context.DeadlineExceeded)
	})
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}
