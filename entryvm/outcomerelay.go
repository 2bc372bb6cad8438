package entryvm

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/entry/gateway"
	"oleandervane.example/responsehead"
)

const (
	outcomeTimeout  = time.Second
	maxOutcomeBytes = 4 << 10
)

// outcomeRelay requests outcomes from other entry VMs, at the address that serves callers.
type outcomeRelay struct {
	client *http.Client
}

func newOutcomeRelay() outcomeRelay {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	return outcomeRelay{client: &http.Client{Transport: responsehead.NewTransport(transport), Timeout: outcomeTimeout}}
}

// Outcome requests the outcome of a ticket from the VM that issued it.
func (outcomeRelay outcomeRelay) Outcome(ctx context.Context, issuer oleandervane.EntryVM, ticketText string) (gateway.OutcomeBody, error) {
	location := "http://" + issuer.CallerAddress.String() + "/v1/outcome/" + url.PathEscape(ticketText)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, location, nil)
	if err != nil {
		return gateway.OutcomeBody{}, eris.Wrapf(err, "requesting an outcome from %s", issuer.ID)
	}
	response, err := outcomeRelay.client.Do(request)
	if err != nil {
		return gateway.OutcomeBody{}, eris.Wrapf(err, "requesting an outcome from %s", issuer.ID)
	}
	defer func() { _ = response.Body.Close() }()
	var body gateway.OutcomeBody
	if err := json.NewDecoder(io.LimitReader(response.Body, maxOutcomeBytes)).Decode(&body); err != nil {
		return gateway.OutcomeBody{}, eris.Wrapf(err, "decoding the outcome from %s", issuer.ID)
	}
	return body, nil
}
