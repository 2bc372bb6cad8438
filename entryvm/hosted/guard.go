package hosted

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervane.example"
)

// restartPause is the time between an unexpected end of a part that runs all the time and its next start.
const restartPause = time.Second

// guard keeps an unexpected error in one step of a part from ending the process.
type guard struct {
	observer *observer
}

// run runs one step of a part. A panic costs that step only; it is logged and counted.
func (guard guard) run(part string, step func()) {
	defer func() {
		if recovered := recover(); recovered != nil {
			guard.observer.panicked(part, recovered)
		}
	}()
	step()
}

// keepRunning runs a part again after a panic, until ctx ends or it returns.
func (guard guard) keepRunning(ctx context.Context, part string, run func(ctx context.Context)) {
	for ctx.Err() == nil {
		ended := false
		guard.run(part, func() {
			run(ctx)
			ended = true
		})
		if ended {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(restartPause):
		}
	}
}

// guardedTimers is a timer service whose subscribers are guarded.
type guardedTimers struct {
	oleandervane.TimerService
	guard guard
}

// Every calls tick once each period.
func (guardedTimers guardedTimers) Every(period time.Duration, tick func(now time.Time)) (cancel func()) {
	return guardedTimers.TimerService.Every(period, func(now time.Time) {
		guardedTimers.guard.run("timer", func() { tick(now) })
	})
}

// After calls fire when delay has passed.
func (guardedTimers guardedTimers) After(delay time.Duration, fire func(now time.Time)) (cancel func()) {
	return guardedTimers.TimerService.After(delay, func(now time.Time) {
		guardedTimers.guard.run("timer", func() { fire(now) })
	})
}

// panicked logs and counts an unexpected error.
func (observer *observer) panicked(part string, recovered any) {
	observer.set.GetOrCreateCounter("oleandervane_panics_total").Inc()
	observer.log.WithFields(logrus.Fields{"part": part, "panic": recovered, "stack": string(debug.Stack())}).
		Error("unexpected error; the step is given up and the VM goes on")
}
