package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

// drainPoll is how often a drain checks whether requests are still in flight.
const drainPoll = 20 * time.Millisecond

// inFlight counts the requests that are being served.
type inFlight struct {
	requests atomic.Int64
}

func (inFlight *inFlight) enter() (leave func()) {
	inFlight.requests.Add(1)
	return func() { inFlight.requests.Add(-1) }
}

func (inFlight *inFlight) count() int64 {
	return inFlight.requests.Load()
}

func (inFlight *inFlight) wait(ctx context.Context, timerService oleandervane.TimerService) error {
	idle := make(chan struct{}, 1)
	cancel := timerService.Every(drainPoll, func(time.Time) {
		if inFlight.count() > 0 {
			return
		}
		select {
		case idle <- struct{}{}:
		default:
		}
	})
	defer cancel()
	if inFlight.count() == 0 {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "draining with %d requests in flight", inFlight.count())
	}
}
