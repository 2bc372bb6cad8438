package hosted

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervane.example"
)

// restartDelay is the time between the panic of a long-running part and its restart.
const restartDelay = time.Second

// guard prevents a panic in one step of a part from ending the process.
type guard struct {
	observer *observer
}

// run runs one step of a part. A panic ends only that step; it is logged and counted.
func (guard guard) run(part string, step func()) {
	defer func() {
		if recovered := recover(); recovered != nil {
			guard.observer.panicked(part, recovered)
		}
	}()
	step()
}

// keepRunning runs a part and restarts it after a panic, until ctx ends or the part returns.
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
		case <-time.After(restartDelay):
		}
	}
}

// guardedTimers is a timer service that guards its callbacks.
type guardedTimers struct {
	oleandervane.TimerService
	guard guard
}

// Every calls tick once in each period.
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

// panicked logs and counts a panic.
func (observer *observer) panicked(part string, recovered any) {
	observer.set.GetOrCreateCounter("oleandervane_panics_total").Inc()
	observer.log.WithFields(logrus.Fields{"part": part, "panic": recovered, "stack": string(debug.Stack())}).
		Error("panic in one step; the step is aborted and the VM continues")
}
