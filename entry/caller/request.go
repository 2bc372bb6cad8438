package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"oleandervane.example"
)

// Errors of Do, besides those of the look-up.
var (
	// ErrUnknown means that the request may or may not have run. Client.Outcome may return its outcome later.
	ErrUnknown = errors.New("the outcome of the request is unknown")
	// ErrNotRun means that the request was not run.
	ErrNotRun = errors.New("the request was not run")
	// ErrResponseLost means that the request ran and was answered, but the response did not arrive.
	ErrResponseLost = errors.New("the request was answered, but its response was lost")
	// ErrResponseTooLarge means that a response is larger than Settings.MaxResponseBytes.
	ErrResponseTooLarge = errors.New("the response is too large")
)

// Request is a request of a caller. It is immutable.
type Request struct {
	Service    oleandervane.ServiceName
	Kind       oleandervane.KindName
	Idempotent bool
	// Path is the escaped path after the kind, with a leading slash. It may include a query.
	Path    string
	Header  http.Header
	Body    []byte
	Timeout time.Duration
}

func (request Request) key() listKey {
	return listKey{service: request.Service, kind: request.Kind}
}

// method returns POST if there is a body or if the request must not be repeated, and GET otherwise.
func (request Request) method() string {
	if request.Idempotent && len(request.Body) == 0 {
		return http.MethodGet
	}
	return http.MethodPost
}

func (request Request) location(address netip.AddrPort) string {
	service, kind := url.PathEscape(string(request.Service)), url.PathEscape(string(request.Kind))
	return "http://" + address.String() + "/v1/request/" + service + "/" + kind + request.Path
}

// Response is a complete response, or the outcome of a request without a response.
type Response struct {
	Outcome oleandervane.Outcome
	// Reason is the reason that the entry VM stated for an outcome other than Answered.
	Reason string
	Status int
	Header http.Header
	Body   []byte
	// Filing is set for a non-idempotent request that was sent.
	Filing Filing
}

// reasonNoConfiguration is the reason of an entry VM that is still starting and does not serve requests yet.
const reasonNoConfiguration = "no_configuration"

// Do sends a request and returns its complete response. It fails with ErrNotRun, ErrUnknown, ErrResponseLost or
// ErrNoEntryVM. A non-idempotent request is sent again, with another ticket, only if an entry VM responded with
// not_run or no connection could be opened.
func (client *Client) Do(ctx context.Context, request Request) (Response, error) {
	deadline := client.timerService.Now().Add(request.Timeout)
	ctx, cancel := client.withTimeout(ctx, request.Timeout)
	defer cancel()
	addresses, err := client.addresses(ctx, request.key())
	if err != nil {
		return Response{Outcome: oleandervane.NotRun}, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	response, err := Response{Outcome: oleandervane.NotRun}, ErrNotRun
	mayHaveRun := false
	for sends := 0; sends < min(maxSends, len(addresses)) && ctx.Err() == nil; sends++ {
		response, err = client.send(ctx, request, addresses[sends], deadline, sends+1 < min(maxSends, len(addresses)))
		if response.Outcome == oleandervane.Answered {
			return response, err
		}
		if response.Reason == "" || response.Reason == reasonNoConfiguration {
			client.demote(request.key(), addresses[sends])
		}
		mayHaveRun = mayHaveRun || response.Outcome == oleandervane.Unknown
		if mayHaveRun && !request.Idempotent {
			break
		}
	}
	if mayHaveRun {
		response.Outcome = oleandervane.Unknown
		return response, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return response, err
}

// send sends a request to one entry VM. For a non-idempotent request, it gets a ticket first and queries the outcome
// afterwards if it is unknown.
func (client *Client) send(ctx context.Context, request Request, address netip.AddrPort, deadline time.Time, hasAlternative bool) (Response, error) {
	if request.Idempotent {
		return client.sendIdempotent(ctx, request, address, deadline, hasAlternative)
	}
	ticket, err := client.ticket(ctx, request.key(), address)
	if err != nil {
		return Response{Outcome: oleandervane.NotRun}, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	filing := Filing{Ticket: ticket, EntryVM: address, key: request.key()}
	response, err := client.exchange(ctx, request, address, deadline, ticket)
	response.Filing = filing
	if response.Outcome != oleandervane.Unknown {
		return response, err
	}
	filingOutcome := client.queryOutcome(ctx, filing)
	response.Outcome, response.Status = filingOutcome.Outcome, filingOutcome.Status
	switch filingOutcome.Outcome {
	case oleandervane.Answered:
		return response, fmt.Errorf("%w: %w", ErrResponseLost, err)
	case oleandervane.NotRun:
		return response, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	return response, err
}

// sendIdempotent reserves half of the remaining time for another entry VM, if there is one, because this VM may not
// respond.
func (client *Client) sendIdempotent(ctx context.Context, request Request, address netip.AddrPort, deadline time.Time, hasAlternative bool) (Response, error) {
	if hasAlternative {
		now := client.timerService.Now()
		limit := deadline.Sub(now) / 2
		limited, cancel := client.withTimeout(ctx, limit)
		defer cancel()
		ctx, deadline = limited, now.Add(limit)
	}
	return client.exchange(ctx, request, address, deadline, "")
}

// queryOutcome queries an unknown outcome up to Settings.OutcomeQueries times. It continues after the deadline of the
// request, because the caller still needs the outcome. Cancelling the context of Do does not stop it either, but the
// queries are few and each has a timeout.
func (client *Client) queryOutcome(ctx context.Context, filing Filing) FilingOutcome {
	ctx = context.WithoutCancel(ctx)
	filingOutcome := FilingOutcome{Outcome: oleandervane.Unknown}
	for query := range client.settings.OutcomeQueries {
		if query > 0 {
			client.pause(client.settings.OutcomeQueryInterval)
		}
		filingOutcome, _ = client.Outcome(ctx, filing)
		if filingOutcome.Outcome != oleandervane.Unknown {
			break
		}
	}
	return filingOutcome
}

func (client *Client) pause(delay time.Duration) {
	done := make(chan struct{})
	client.timerService.After(delay, func(time.Time) { close(done) })
	<-done
}

// unrepeatableBody is a body that net/http cannot send again, because it has no GetBody and is not http.NoBody. Without
// it, net/http would resend an empty request with an Idempotency-Key header after the connection closed.
type unrepeatableBody struct{ io.Reader }

func (unrepeatableBody) Close() error { return nil }

func (client *Client) exchange(ctx context.Context, request Request, address netip.AddrPort, deadline time.Time, ticket string) (Response, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.method(), request.location(address), unrepeatableBody{bytes.NewReader(request.Body)})
	if err != nil {
		return Response{Outcome: oleandervane.NotRun}, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	if request.Header != nil {
		httpRequest.Header = request.Header.Clone()
	}
	httpRequest.ContentLength = int64(len(request.Body))
	remaining := deadline.Sub(client.timerService.Now())
	httpRequest.Header.Set(oleandervane.HeaderDeadlineMillis, strconv.FormatInt(remaining.Milliseconds(), 10))
	httpClient := client.httpClient
	if ticket != "" {
		httpClient = client.unpooledClient
		httpRequest.Header.Set(oleandervane.HeaderTicket, ticket)
	}
	httpResponse, err := httpClient.Do(httpRequest)
	if err != nil {
		return classifyError(err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	return client.receive(httpResponse)
}

// classifyError returns the outcome for an error of net/http. Only a failure to open the connection proves that nothing
// was sent.
func classifyError(err error) (Response, error) {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return Response{Outcome: oleandervane.NotRun}, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	return Response{Outcome: oleandervane.Unknown}, err
}

// receive reads a complete response. If the response does not state an outcome, the outcome is unknown.
func (client *Client) receive(httpResponse *http.Response) (Response, error) {
	limit := client.settings.MaxResponseBytes
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, limit+1))
	if err != nil {
		return Response{Outcome: oleandervane.Unknown}, fmt.Errorf("reading the response: %w", err)
	}
	if int64(len(body)) > limit {
		return Response{Outcome: oleandervane.Unknown}, ErrResponseTooLarge
	}
	response := Response{
		Outcome: oleandervane.Outcome(httpResponse.Header.Get(oleandervane.HeaderOutcome)),
		Reason:  httpResponse.Header.Get(oleandervane.HeaderReason),
		Status:  httpResponse.StatusCode,
		Header:  httpResponse.Header,
		Body:    body,
	}
	switch response.Outcome {
	case oleandervane.Answered:
		return response, nil
	case oleandervane.NotRun:
		return response, fmt.Errorf("%w: %s", ErrNotRun, response.Reason)
	}
	response.Outcome = oleandervane.Unknown
	return response, fmt.Errorf("status %d, reason %q", response.Status, response.Reason)
}
