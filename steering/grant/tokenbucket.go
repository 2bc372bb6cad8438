package grant

import (
	"sync/atomic"
	"time"
)

// burstTime is how far an account may run ahead of its rate. It is long enough for the arrivals of one scheduling
// delay and short against the second in which capacity is measured.
const burstTime = 100 * time.Millisecond

// burstRequests is the number of requests that an account of a low rate holds. With one, half of the requests that
// come at random at just the rate would be turned away.
const burstRequests = 2

// account admits requests at a rate. It keeps the time at which the rate has used up all requests so far, so
// that a rate may change between two requests. Methods are safe for concurrent use and allocate nothing.
type account struct {
	// usedUntil is in nanoseconds since the Unix epoch.
	usedUntil atomic.Int64
}

// take admits one request at the given rate, or returns false.
func (account *account) take(now time.Time, perSecond float64) bool {
	if perSecond <= 0 {
		return false
	}
	cost := int64(float64(time.Second) / perSecond)
	burst := max(int64(burstTime), burstRequests*cost)
	nanos := now.UnixNano()
	for {
		before := account.usedUntil.Load()
		after := max(before, nanos-burst) + cost
		if after > nanos {
			return false
		}
		if account.usedUntil.CompareAndSwap(before, after) {
			return true
		}
	}
}

// giveBack undoes a take of the same rate.
func (account *account) giveBack(perSecond float64) {
	account.usedUntil.Add(-int64(float64(time.Second) / perSecond))
}
