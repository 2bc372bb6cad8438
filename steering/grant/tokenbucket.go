package grant

import (
	"sync/atomic"
	"time"
)

// burstTime is how far a bucket may run ahead of its rate. It is long enough for the arrivals of one scheduling delay
// and short compared with the second in which capacity is measured.
const burstTime = 100 * time.Millisecond

// burstRequests is the burst of a bucket of a low rate. With a burst of one, half of the requests that arrive at random
// at exactly the rate would be refused.
const burstRequests = 2

// tokenBucket admits requests at a rate. It stores the time until which the admitted requests use up the rate, so that
// the rate may change between two requests. Methods are safe for concurrent use and allocate nothing.
type tokenBucket struct {
	// usedUntil is in nanoseconds since the Unix epoch.
	usedUntil atomic.Int64
}

// take admits one request at the given rate, or returns false.
func (tokenBucket *tokenBucket) take(now time.Time, perSecond float64) bool {
	if perSecond <= 0 {
		return false
	}
	cost := int64(float64(time.Second) / perSecond)
	burst := max(int64(burstTime), burstRequests*cost)
	nanos := now.UnixNano()
	for {
		before := tokenBucket.usedUntil.Load()
		after := max(before, nanos-burst) + cost
		if after > nanos {
			return false
		}
		if tokenBucket.usedUntil.CompareAndSwap(before, after) {
			return true
		}
	}
}

// refund reverts a take at the same rate.
func (tokenBucket *tokenBucket) refund(perSecond float64) {
	tokenBucket.usedUntil.Add(-int64(float64(time.Second) / perSecond))
}
