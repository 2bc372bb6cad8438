package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

// maxControlBytes bounds the response to a look-up, a ticket request or an outcome query.
const maxControlBytes = 64 << 10

// ErrRefused means that an entry VM responded to a look-up, a ticket request or an outcome query with an error status,
// or to a ticket request without a ticket.
var ErrRefused = errors.New("the entry VM refused the call")

// control calls an entry VM and decodes its JSON response.
func (client *Client) control(ctx context.Context, method string, address netip.AddrPort, path string, body any) error {
	ctx, cancel := client.withTimeout(ctx, client.settings.ControlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, http.NoBody)
	if err != nil {
		return eris.Wrapf(err, "calling %s", address)
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return eris.Wrapf(err, "calling %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return eris.Wrapf(ErrRefused, "calling %s: status %d", address, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxControlBytes)).Decode(body); err != nil {
		return eris.Wrapf(err, "reading the response of %s", address)
	}
	return nil
}

// withTimeout returns a context that the timer service cancels after the timeout.
func (client *Client) withTimeout(ctx context.Context, timeout time.Duration) (context.Context, func()) {
	ctx, cancelCause := context.WithCancelCause(ctx)
	stop := client.timerService.After(timeout, func(time.Time) { cancelCause(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancelCause(nil)
	}
}

// ticket returns a ticket that the entry VM at the address issued, from the look-up or by a new call.
func (client *Client) ticket(ctx context.Context, key listKey, address netip.AddrPort) (string, error) {
	if ticket := client.popTicket(key, address); ticket != "" {
		return ticket, nil
	}
	var response struct {
		Ticket string `json:"ticket"`
	}
	if err := client.control(ctx, http.MethodPost, address, "/v1/ticket"+key.query(), &response); err != nil {
		return "", err
	}
	if response.Ticket == "" {
		return "", eris.Wrapf(ErrRefused, "requesting a ticket from %s", address)
	}
	return response.Ticket, nil
}

// Filing identifies a non-idempotent request that was sent, by its ticket.
type Filing struct {
	Ticket string
	// EntryVM is the VM that issued the ticket.
	EntryVM netip.AddrPort
	key     listKey
}

// FilingOutcome is the outcome of a filing as an entry VM reports it.
type FilingOutcome struct {
	Outcome oleandervane.Outcome
	// Status is the status of the response when the outcome is Answered.
	Status int
}

// Outcome queries the outcome of a filing. It queries the VM that issued the ticket first and then the other entry VMs,
// which in turn query the issuing VM. It fails only if no VM responds; the outcome is then Unknown.
func (client *Client) Outcome(ctx context.Context, filing Filing) (FilingOutcome, error) {
	return client.filingOutcome(ctx, http.MethodGet, filing, "")
}

// Revoke makes the ticket of a filing unusable if its request has not started. The outcome is then NotRun, and the
// filing may be sent again. Otherwise the outcome is that of the request, or Unknown while the request runs.
func (client *Client) Revoke(ctx context.Context, filing Filing) (FilingOutcome, error) {
	return client.filingOutcome(ctx, http.MethodPost, filing, "/revoke")
}

func (client *Client) filingOutcome(ctx context.Context, method string, filing Filing, suffix string) (FilingOutcome, error) {
	path := "/v1/outcome/" + url.PathEscape(filing.Ticket) + suffix
	errs := []error{ErrNoEntryVM}
	for _, address := range client.outcomeCandidates(filing) {
		var response struct {
			Outcome oleandervane.Outcome `json:"outcome"`
			Status  int                  `json:"status"`
		}
		err := client.control(ctx, method, address, path, &response)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if response.Outcome == oleandervane.Answered || response.Outcome == oleandervane.NotRun {
			return FilingOutcome{Outcome: response.Outcome, Status: response.Status}, nil
		}
		return FilingOutcome{Outcome: oleandervane.Unknown}, nil
	}
	return FilingOutcome{Outcome: oleandervane.Unknown}, errors.Join(errs...)
}

func (client *Client) outcomeCandidates(filing Filing) []netip.AddrPort {
	candidates := []netip.AddrPort{filing.EntryVM}
	for _, address := range client.lookupCandidates(filing.key) {
		if address != filing.EntryVM {
			candidates = append(candidates, address)
		}
	}
	return candidates
}
