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

// Errors of Do, beside those of the look-up.
var (
	// ErrUnknown says that the request may or may not have run. Client.Outcome may tell more later.
	ErrUnknown = errors.New("the outcome of the request is unknown")
	// ErrNotRun says that the request was not run.
	ErrNotRun = errors.New("the request was not run")
	// ErrResponseLost says that the request ran and was answered, but the response did not arrive.
	ErrResponseLost = errors.New("the request was answered, but its response was lost")
	// ErrResponseTooLarge says that a response is larger than the client holds.
	ErrResponseTooLarge = errors.New("the response is too large")
)

// Request is a request of a caller. It is immutable.
type Request struct {
	Service    oleandervane.ServiceName
	Kind       oleandervane.KindName
	Idempotent bool
	// Path is the escaped path below the kind, with its first slash, and may have a query.
	Path    string
	Header  http.Header
	Body    []byte
	Timeout time.Duration
}

func (request Request) key() listKey {
	return listKey{service: request.Service, kind: request.Kind}
}

// method returns POST when there is a body or when the request must not be repeated.
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

// Response is a complete response, or what is known of a request without one.
type Response struct {
	Outcome oleandervane.Outcome
	// Reason is what the entry VM gave as the reason when the outcome is not Answered.
	Reason string
	Status int
	Header http.Header
	Body   []byte
	// Filing is set for a non-idempotent request that was sent.
	Filing Filing
}

// reasonStarting is given by an entry VM that does not serve yet.
const reasonStarting = "no_configuration"

// Do sends a request and returns its complete response. It fails with ErrNotRun, ErrUnknown, ErrResponseLost or
// ErrNoEntryVM. A non-idempotent request is sent again, with another ticket, only after an entry VM said not_run or
// when no connection could be opened.
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
		if response.Reason == "" || response.Reason == reasonStarting {
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

// send sends a request to one entry VM. For a non-idempotent request it gets a ticket first and asks for an outcome
// that it did not learn.
func (client *Client) send(ctx context.Context, request Request, address netip.AddrPort, deadline time.Time, more bool) (Response, error) {
	if request.Idempotent {
		return client.sendIdempotent(ctx, request, address, deadline, more)
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
	standing := client.settle(ctx, filing)
	response.Outcome, response.Status = standing.Outcome, standing.Status
	switch standing.Outcome {
	case oleandervane.Answered:
		return response, fmt.Errorf("%w: %w", ErrResponseLost, err)
	case oleandervane.NotRun:
		return response, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	return response, err
}

// sendIdempotent leaves half of the time for another entry VM, if there is one: the first may have gone silent.
func (client *Client) sendIdempotent(ctx context.Context, request Request, address netip.AddrPort, deadline time.Time, more bool) (Response, error) {
	if more {
		now := client.timerService.Now()
		limit := deadline.Sub(now) / 2
		limited, cancel := client.withTimeout(ctx, limit)
		defer cancel()
		ctx, deadline = limited, now.Add(limit)
	}
	return client.exchange(ctx, request, address, deadline, "")
}

// settle asks for an outcome a few times. It goes on after the request's own deadline, because the caller still
// needs to know; cancelling the context of Do does not end it either, but the queries are few and bounded.
func (client *Client) settle(ctx context.Context, filing Filing) FilingOutcome {
	ctx = context.WithoutCancel(ctx)
	standing := FilingOutcome{Outcome: oleandervane.Unknown}
	for query := range client.settings.OutcomeQueries {
		if query > 0 {
			client.pause(client.settings.OutcomeQueryInterval)
		}
		standing, _ = client.Outcome(ctx, filing)
		if standing.Outcome != oleandervane.Unknown {
			break
		}
	}
	return standing
}

func (client *Client) pause(delay time.Duration) {
	done := make(chan struct{})
	client.timerService.After(delay, func(time.Time) { close(done) })
	<-done
}

// unrepeatable is a body that net/http cannot send again: it has no GetBody and is not http.NoBody. Without it an
// empty request with an Idempotency-Key header would be sent again on a connection that closed.
type unrepeatable struct{ io.Reader }

func (unrepeatable) Close() error { return nil }

func (client *Client) exchange(ctx context.Context, request Request, address netip.AddrPort, deadline time.Time, ticket string) (Response, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.method(), request.location(address), unrepeatable{bytes.NewReader(request.Body)})
	if err != nil {
		return Response{Outcome: oleandervane.NotRun}, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	if request.Header != nil {
		httpRequest.Header = request.Header.Clone()
	}
	httpRequest.ContentLength = int64(len(request.Body))
	left := deadline.Sub(client.timerService.Now())
	httpRequest.Header.Set(oleandervane.HeaderDeadlineMillis, strconv.FormatInt(left.Milliseconds(), 10))
	httpClient := client.httpClient
	if ticket != "" {
		httpClient = client.filingClient
		httpRequest.Header.Set(oleandervane.HeaderTicket, ticket)
	}
	httpResponse, err := httpClient.Do(httpRequest)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	return client.receive(httpResponse)
}

// failed classifies an error of net/http. Only an error of opening the connection proves that nothing was sent.
func failed(err error) (Response, error) {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return Response{Outcome: oleandervane.NotRun}, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	return Response{Outcome: oleandervane.Unknown}, err
}

// receive reads a response as a whole. One that states no outcome does not come from an entry VM that knows it.
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
