package ticket

import (
	"sync"
	"time"

	"oleandervane.example"
)

// clock measures the time since the ledger was created. It never goes back. Each reading adds the larger of the
// monotonic and the wall-clock difference since the last reading. As a result, a wall clock that steps back cannot make
// an expired ticket valid again, and a pause that stops the monotonic clock still counts after the wall clock is
// corrected.
type clock struct {
	timerService oleandervane.TimerService
	mutex        sync.Mutex
	last         time.Time
	elapsed      time.Duration
}

func newClock(timerService oleandervane.TimerService) *clock {
	return &clock{timerService: timerService, last: timerService.Now()}
}

func (clock *clock) now() time.Duration {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	reading := clock.timerService.Now()
	monotonic := reading.Sub(clock.last)
	wall := reading.Round(0).Sub(clock.last.Round(0))
	clock.elapsed += passed(monotonic, wall)
	clock.last = reading
	return clock.elapsed
}

// passed returns the time to add between two readings, given the difference by each clock.
func passed(monotonic, wall time.Duration) time.Duration {
	return max(0, monotonic, wall)
}
