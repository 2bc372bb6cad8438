package admission

import (
	"time"

	"oleandervane.example"
)

// waiter is a queued request.
type waiter struct {
	previous *waiter
	next     *waiter
	kind     *kindQueue
	deadline time.Time
	// result receives one value: nil when the request may start, or the reason why it was shed. It is buffered, so
	// that sending never blocks.
	result chan error
}

// kindQueue contains the queued requests of one kind in order of arrival, and the properties of the kind.
type kindQueue struct {
	name        oleandervane.KindName
	weight      int
	deadline    time.Duration
	serviceTime movingMean
	first       *waiter
	last        *waiter
	count       int
}

func (kindQueue *kindQueue) push(waiter *waiter) {
	waiter.kind = kindQueue
	waiter.previous = kindQueue.last
	if kindQueue.last == nil {
		kindQueue.first = waiter
	} else {
		kindQueue.last.next = waiter
	}
	kindQueue.last = waiter
	kindQueue.count++
}

func (kindQueue *kindQueue) remove(waiter *waiter) {
	if waiter.previous == nil {
		kindQueue.first = waiter.next
	} else {
		waiter.previous.next = waiter.next
	}
	if waiter.next == nil {
		kindQueue.last = waiter.previous
	} else {
		waiter.next.previous = waiter.previous
	}
	waiter.previous, waiter.next, waiter.kind = nil, nil, nil
	kindQueue.count--
}

// movingMean is an exponentially weighted mean of durations and of their absolute deviation.
type movingMean struct {
	mean      time.Duration
	deviation time.Duration
	count     int
}

// movingMeanLength is the number of samples after which an older sample has lost most of its weight.
const movingMeanLength = 32

func (movingMean *movingMean) add(sample time.Duration) {
	movingMean.count = min(movingMean.count+1, movingMeanLength)
	difference := sample - movingMean.mean
	movingMean.mean += difference / time.Duration(movingMean.count)
	movingMean.deviation += (max(difference, -difference) - movingMean.deviation) / time.Duration(movingMean.count)
}
