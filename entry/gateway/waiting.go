package gateway

import (
	"context"
	"time"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
)

const (
	// slotPoll is how often a request that was admitted looks for a free slot. Slots are held for some 10 ms.
	slotPoll = 2 * time.Millisecond
	// slotWait bounds that wait: when no slot comes free for so long, the instances are gone and not busy.
	slotWait = 500 * time.Millisecond
)

// waitingChooser waits for a free slot at the first attempt of a request. Admission bounds how many requests wait,
// and this VM may use a few slots only, all of which can be in use for a moment.
type waitingChooser struct {
	forward.TargetChooser
	ctx          context.Context
	timerService oleandervane.TimerService
}

// Choose returns a target as soon as one is free.
func (waitingChooser waitingChooser) Choose(excluded []string) (forward.Reservation, error) {
	deadline := waitingChooser.timerService.Now().Add(slotWait)
	for {
		reservation, err := waitingChooser.TargetChooser.Choose(excluded)
		if err == nil || len(excluded) > 0 || !waitingChooser.timerService.Now().Before(deadline) || !waitingChooser.pause() {
			return reservation, err
		}
	}
}

// pause waits for slotPoll, or returns false when the request ends first.
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
