package gateway

import (
	"context"
	"time"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
)

const (
	// slotPoll is how often an admitted request checks for a free slot. A request occupies a slot for some 10 ms.
	slotPoll = 2 * time.Millisecond
	// slotWait bounds the wait for a slot. If none becomes free within it, the instances are unavailable, not busy.
	slotWait = 500 * time.Millisecond
)

// waitingChooser waits for a free slot before the first attempt of a request. This VM may use only a few slots, and all
// of them can be in use for a moment. Admission bounds how many requests wait.
type waitingChooser struct {
	forward.TargetChooser
	ctx          context.Context
	timerService oleandervane.TimerService
}

// Choose reserves a target as soon as one is free.
func (waitingChooser waitingChooser) Choose(excluded []string) (forward.Reservation, error) {
	deadline := waitingChooser.timerService.Now().Add(slotWait)
	for {
		reservation, err := waitingChooser.TargetChooser.Choose(excluded)
		if err == nil || len(excluded) > 0 || !waitingChooser.timerService.Now().Before(deadline) || !waitingChooser.pause() {
			return reservation, err
		}
	}
}

// pause waits for slotPoll. It returns false if the request ends first.
func (waitingChooser waitingChooser) pause() bool {
	done := make(chan struct{})
	cancel := waitingChooser.timerService.After(slotPoll, func(time.Time) { close(done) })
	defer cancel()
	select {
	case <-done:
		return true
	case <-waitingChooser.ctx.Done():
		return false
	}
}
