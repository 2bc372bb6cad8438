package entryvm

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

const (
	// probeTimeout is much longer than the 6 ms that a probe takes and much shorter than the period of probes.
	probeTimeout = time.Second
	// maxLoadBytes bounds the body of a load report.
	maxLoadBytes = 4 << 10
)

// prober requests the load of backend servers: GET /load returns JSON such as
// {"in_flight":2,"queued":0,"leaving":false,"cold":false}.
type prober struct {
	client       *http.Client
	timerService oleandervane.TimerService
	self         oleandervane.VMID
}

func newProber(self oleandervane.VMID, timerService oleandervane.TimerService) *prober {
	transport := &http.Transport{
		// An instance is probed once a second or less often, so keep-alive would hold a connection to each instance
		// open without need.
		DisableKeepAlives: true,
	}
	return &prober{client: &http.Client{Transport: responsehead.NewTransport(transport), Timeout: probeTimeout}, timerService: timerService, self: self}
}

// Probe requests the load of a backend server and calls done from another goroutine.
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
		return oleandervane.LoadReport{}, eris.Wrapf(err, "decoding the load of %s", backendServer.ID)
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
