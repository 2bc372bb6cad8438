// Package status defines the JSON that entry VMs serve to operators over HTTP, and a client for it.
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
	"oleandervane.example/responsehead"
)

// FlowShares has the shares of one flow that are in force on an entry VM. It is immutable.
type FlowShares struct {
	Service oleandervane.ServiceName `json:"service"`
	Home    oleandervane.Region      `json:"home"`
	Shares  oleandervane.ShareVector `json:"shares"`
}

// StoreHealth is the result of an entry VM's last contact with the store. It is immutable.
type StoreHealth struct {
	Reachable bool `json:"reachable"`
	// AgeSeconds is the time since the last contact with the store, by this VM or by a peer that reported it; negative
	// when there was none.
	AgeSeconds float64 `json:"age_seconds"`
	Detail     string  `json:"detail,omitempty"`
}

// Status is the state of one entry VM. It is immutable.
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

// Explanation has the reasons for the shares of a flow. It is immutable.
type Explanation struct {
	ID       oleandervane.VMID        `json:"id"`
	Revision oleandervane.Revision    `json:"revision"`
	Service  oleandervane.ServiceName `json:"service"`
	Home     oleandervane.Region      `json:"home"`
	Shares   oleandervane.ShareVector `json:"shares"`
	Reasons  []string                 `json:"reasons"`
}

const (
	// queryTimeout limits a query of one entry VM, so that a VM that does not respond does not delay the responses of others.
	queryTimeout = 3 * time.Second
	// maxResponseBytes limits the size of a response. Burn buckets of one VM are the largest.
	maxResponseBytes = 32_000_000
)

// Query requests a path such as "/v1/status" from an entry VM and decodes the JSON response into target.
func Query(ctx context.Context, timerService oleandervane.TimerService, address, path string, target any) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer timerService.After(queryTimeout, func(time.Time) { cancel() })()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return eris.Wrapf(err, "query entry VM %s", address)
	}
	transport := responsehead.NewTransport(&http.Transport{DisableKeepAlives: true})
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return eris.Wrapf(err, "query entry VM %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("query entry VM %s: status %d", address, response.StatusCode)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	return eris.Wrapf(decoder.Decode(target), "query entry VM %s: decode response", address)
}
