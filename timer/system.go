package timer

import (
	"sync"
	"time"
)

// System is a timer service that uses the clock of the machine.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time {
	return time.Now()
}

// Every calls tick once each period, on its own goroutine. A tick that takes longer than the period delays the next
// one; missed ticks are not queued.
func (System) Every(period time.Duration, tick func(now time.Time)) (cancel func()) {
	ticker := time.NewTicker(period)
	done := make(chan struct{})
	go func() {
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				tick(now)
			case <-done:
				return
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

// After calls fire on its own goroutine when delay has passed.
func (System) After(delay time.Duration, fire func(now time.Time)) (cancel func()) {
	timer := time.AfterFunc(delay, func() { fire(time.Now()) })
	return func() { timer.Stop() }
}
