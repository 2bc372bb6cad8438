package entryvm

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

const (
	// probeTimeout is long against the 6 ms that a probe takes and short against the period of probes.
	probeTimeout = time.Second
	// maxLoadBytes bounds the body of a load report.
	maxLoadBytes = 4 << 10
)

// prober asks backend servers for their load: GET /load answers with JSON
// {"in_flight":2,"queued":0,"leaving":false,"cold":false}.
type prober struct {
	client       *http.Client
	timerService oleandervane.TimerService
	self         oleandervane.VMID
}

func newProber(self oleandervane.VMID, timerService oleandervane.TimerService) *prober {
	transport := &http.Transport{
		// A probe every second or less would keep one connection of each instance open without need.
		DisableKeepAlives: true,
	}
	return &prober{client: &http.Client{Transport: transport, Timeout: probeTimeout}, timerService: timerService, self: self}
}

// Probe asks a backend server for its load and calls done, from a goroutine of its own.
func (prober *prober) Probe(backendServer oleandervane.BackendServer, done func(oleandervane.LoadReport, error)) {
	go func() { done(prober.probe(backendServer)) }()
}

func (prober *prober) probe(backendServer oleandervane.BackendServer) (oleandervane.LoadReport, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+backendServer.Address.String()+"/load", nil)
	if err != nil {
		return oleandervane.LoadReport{}, eris.Wrapf(err, "probing %s", backendServer.ID)
	}
	response, err := prober.client.Do(request)
	if err != nil {
		return oleandervane.LoadReport{}, eris.Wrapf(err, "probing %s", backendServer.ID)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return oleandervane.LoadReport{}, eris.Errorf("probing %s: status %d", backendServer.ID, response.StatusCode)
	}
	var body struct {
		InFlight int  `json:"in_flight"`
		Queued   int  `json:"queued"`
		Leaving  bool `json:"leaving"`
		Cold     bool `json:"cold"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLoadBytes)).Decode(&body); err != nil {
		return oleandervane.LoadReport{}, eris.Wrapf(err, "reading the load of %s", backendServer.ID)
	}
	return oleandervane.LoadReport{
		BackendServer: backendServer.ID,
		InFlight:      max(0, body.InFlight),
		Queued:        max(0, body.Queued),
		Leaving:       body.Leaving,
		Cold:          body.Cold,
		MeasuredAt:    prober.timerService.Now(),
		Source:        prober.self,
	}, nil
}
