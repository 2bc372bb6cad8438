// Package status has what entry VMs tell operators over HTTP as JSON, and the client that asks them.
//
//	GET /v1/status                      a Status
//	GET /v1/explain?service=S&home=R    an Explanation
package status

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

// FlowShares are the shares of one flow in force on an entry VM. It is immutable.
type FlowShares struct {
	Service oleandervane.ServiceName `json:"service"`
	Home    oleandervane.Region      `json:"home"`
	Shares  oleandervane.ShareVector `json:"shares"`
}

// StoreHealth is how an entry VM last found the store. It is immutable.
type StoreHealth struct {
	Reachable bool `json:"reachable"`
	// AgeSeconds is how long ago this VM or, through it, a peer heard from the store; negative when never.
	AgeSeconds float64 `json:"age_seconds"`
	Detail     string  `json:"detail,omitempty"`
}

// Status is what one entry VM knows. It is immutable.
type Status struct {
	ID            oleandervane.VMID          `json:"id"`
	Incarnation   oleandervane.Incarnation   `json:"incarnation"`
	Region        oleandervane.Region        `json:"region"`
	FailureDomain oleandervane.FailureDomain `json:"failure_domain"`
	State         string                     `json:"state"`
	Revision      oleandervane.Revision      `json:"revision"`
	// Peers has the number of other entry VMs by state.
	Peers  map[string]int `json:"peers"`
	Shares []FlowShares   `json:"shares"`
	Store  StoreHealth    `json:"store"`
}

// Explanation says why a flow has its shares. It is immutable.
type Explanation struct {
	ID       oleandervane.VMID        `json:"id"`
	Revision oleandervane.Revision    `json:"revision"`
	Service  oleandervane.ServiceName `json:"service"`
	Home     oleandervane.Region      `json:"home"`
	Shares   oleandervane.ShareVector `json:"shares"`
	Reasons  []string                 `json:"reasons"`
}

const (
	// askTimeout ends a question to an entry VM, so that one silent VM does not hold up the answers of the others.
	askTimeout = 3 * time.Second
	// maxAnswerBytes bounds an answer: the burn buckets of one VM take most.
	maxAnswerBytes = 32_000_000
)

// Ask reads the JSON that an entry VM serves at a path, such as "/v1/status", into answer.
func Ask(ctx context.Context, timerService oleandervane.TimerService, address, path string, answer any) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer timerService.After(askTimeout, func(time.Time) { cancel() })()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return eris.Wrapf(err, "ask entry VM %s", address)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return eris.Wrapf(err, "ask entry VM %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("ask entry VM %s: status %d", address, response.StatusCode)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes))
	return eris.Wrapf(decoder.Decode(answer), "ask entry VM %s: decode answer", address)
}
