package timer

import (
	"container/heap"
	"sync"
	"time"
)

// Manual is a timer service whose time moves only when Advance is called. Callbacks run on the goroutine that calls
// Advance, in the order of their times, and at the same time in the order in which they were scheduled.
type Manual struct {
	mutex        sync.Mutex
	now          time.Time
	events       eventHeap
	lastSequence uint64
}

// NewManual returns a manual timer service that starts at the given time.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start}
}

// Now returns the current manual time: the time of the callback that runs, or the end of the last Advance.
func (manual *Manual) Now() time.Time {
	manual.mutex.Lock()
	defer manual.mutex.Unlock()
	return manual.now
}

// Every calls tick once each period while time advances.
func (manual *Manual) Every(period time.Duration, tick func(now time.Time)) (cancel func()) {
	return manual.schedule(period, period, tick)
}

// After calls fire once when delay has passed.
func (manual *Manual) After(delay time.Duration, fire func(now time.Time)) (cancel func()) {
	return manual.schedule(delay, 0, fire)
}

// Advance moves time forward and calls all callbacks that become due.
func (manual *Manual) Advance(duration time.Duration) {
	end := manual.Now().Add(duration)
	for {
		due := manual.popDue(end)
		if due == nil {
			break
		}
		due.call(due.at)
	}
	manual.mutex.Lock()
	manual.now = end
	manual.mutex.Unlock()
}

func (manual *Manual) schedule(delay, period time.Duration, call func(now time.Time)) (cancel func()) {
	manual.mutex.Lock()
	defer manual.mutex.Unlock()
	event := &event{at: manual.now.Add(delay), period: period, call: call}
	manual.push(event)
	return func() {
		manual.mutex.Lock()
		defer manual.mutex.Unlock()
		event.cancelled = true
	}
}

func (manual *Manual) push(event *event) {
	manual.lastSequence++
	event.sequence = manual.lastSequence
	heap.Push(&manual.events, event)
}

func (manual *Manual) popDue(end time.Time) *event {
	manual.mutex.Lock()
	defer manual.mutex.Unlock()
	for len(manual.events) > 0 && !manual.events[0].at.After(end) {
		first := heap.Pop(&manual.events).(*event)
		if first.cancelled {
			continue
		}
		manual.now = first.at
		due := *first
		if first.period > 0 {
			first.at = first.at.Add(first.period)
			manual.push(first)
		}
		return &due
	}
	return nil
}

type event struct {
	at        time.Time
	period    time.Duration
	sequence  uint64
	cancelled bool
	call      func(now time.Time)
}

type eventHeap []*event

func (events eventHeap) Len() int { return len(events) }

func (events eventHeap) Less(i, j int) bool {
	if !events[i].at.Equal(events[j].at) {
		return events[i].at.Before(events[j].at)
	}
	return events[i].sequence < events[j].sequence
}

func (events eventHeap) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

func (events *eventHeap) Push(item any) { *events = append(*events, item.(*event)) }

func (events *eventHeap) Pop() any {
	old := *events
	last := old[len(old)-1]
	*events = old[:len(old)-1]
	return last
}
