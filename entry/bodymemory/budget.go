package bodymemory

import (
	"runtime"
	"slices"
	"sync"
	"time"

	"oleandervane.example"
)

const (
	// SmallBytes is the size up to which a body is small. A part of the budget is kept for small bodies, so that large ones do not
	// displace them.
	SmallBytes = 64 << 10
	// largeShare is the share of the budget that large bodies may take. The least memory of a VM is 136 MB; this leaves room
	// there for a body of 64 MiB that is read in chunks.
	largeShare = 0.95
	// initialHold is assumed to be the time that a large body is held before one has been.
	initialHold = 2 * time.Second
	// holdDecay is how much of the longest time that a body was held counts after each further one.
	holdDecay = 0.8
	// slotMargin lengthens the expected time of a body, because times vary.
	slotMargin = 1.1
	// collectPause is the least time between two collections that are started to make room, because each takes processor time.
	collectPause = 100 * time.Millisecond
	// cleanupTimeout bounds the wait for the cleanups of a collection, which run concurrently.
	cleanupTimeout = 20 * time.Millisecond
	// minRetryAfter is the least time after which a refused caller returns.
	minRetryAfter = 100 * time.Millisecond
	// maxSlots bounds the returning callers that are taken into account.
	maxSlots = 256
)

// Budget bounds the bytes of all request bodies that a VM holds. All methods are safe for concurrent use.
type Budget struct {
	timerService oleandervane.TimerService
	capacity     int64
	account      Account

	// collecting is held during a collection.
	collecting  sync.Mutex
	collectedAt time.Time
	// freed has an element after the collector has freed a large body.
	freed chan struct{}

	mutex sync.Mutex
	// used are the bytes of bodies that are held, and of large ones that the garbage collector has not freed yet, which are counted
	// in uncollected too.
	used, uncollected int64
	hold              time.Duration
	// slots are the times for which large bodies are expected to be held, by admitted callers and by refused ones that return.
	slots []*slot
}

// Account accounts for bodies together with what else a VM keeps for callers.
type Account interface {
	// ChargeBody reports whether there is room for the bytes, and accounts for them if so.
	ChargeBody(bytes int64) bool
	ReleaseBody(bytes int64)
}

// slot is a time in which a body is expected to be held.
type slot struct {
	from, to time.Time
	bytes    int64
	// admitted is false for a caller that was refused.
	admitted bool
}

// New returns a budget of a number of bytes.
func New(timerService oleandervane.TimerService, capacity int64) *Budget {
	return &Budget{timerService: timerService, capacity: capacity, account: noAccount{}, hold: initialHold, freed: make(chan struct{}, 1)}
}

// NewWithAccount returns a budget of a number of bytes whose bodies also need room in an account.
func NewWithAccount(timerService oleandervane.TimerService, capacity int64, account Account) *Budget {
	budget := New(timerService, capacity)
	budget.account = account
	return budget
}

// noAccount is an account with room for everything.
type noAccount struct{}

func (noAccount) ChargeBody(int64) bool { return true }
func (noAccount) ReleaseBody(int64)     {}

// Used returns the bytes of the bodies that are held or not yet freed.
func (budget *Budget) Used() int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.used
}

// MaxBodyBytes returns the size of the largest body that can be admitted.
func (budget *Budget) MaxBodyBytes() int64 {
	return int64(largeShare * float64(budget.capacity))
}

// Acquire returns a buffer for a body, or nil if there is no room for it.
func (budget *Budget) Acquire(bytes int64) *Buffer {
	if buffer := budget.reserve(bytes); buffer != nil {
		return buffer.allocate()
	}
	if bytes <= SmallBytes || bytes > budget.MaxBodyBytes() {
		return nil
	}
	// One collection is enough for all that wait for it.
	budget.collecting.Lock()
	defer budget.collecting.Unlock()
	budget.collect()
	if buffer := budget.reserve(bytes); buffer != nil {
		return buffer.allocate()
	}
	return nil
}

// collect frees large bodies that are no longer held, if there are any. They take memory until the garbage collector has run. A body
// may still be written to a server that has responded early, so that it is not collected.
func (budget *Budget) collect() {
	now := budget.timerService.Now()
	if budget.uncollectedBytes() == 0 || now.Sub(budget.collectedAt) < collectPause {
		return
	}
	budget.collectedAt = now
	runtime.GC()
	timeout := make(chan struct{})
	defer budget.timerService.After(cleanupTimeout, func(time.Time) { close(timeout) })()
	for budget.uncollectedBytes() > 0 {
		select {
		case <-budget.freed:
		case <-timeout:
			return
		}
	}
}

func (budget *Budget) uncollectedBytes() int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.uncollected
}

// reserve counts a body and returns its buffer without memory, or nil if there is no room for it.
func (budget *Budget) reserve(bytes int64) *Buffer {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	limit := budget.capacity
	if bytes > SmallBytes {
		limit = budget.MaxBodyBytes()
	}
	if budget.used+bytes > limit || !budget.account.ChargeBody(bytes) {
		return nil
	}
	budget.used += bytes
	buffer := &Buffer{budget: budget, bytes: bytes}
	if bytes > SmallBytes {
		buffer.slot = budget.beginSlot(bytes)
	}
	return buffer
}

// RetryAfter returns when a caller whose body was refused should return, and expects it then. Callers are given different times, at
// each of which a body that is held as long as others were fits. It returns false for a body that never fits.
func (budget *Budget) RetryAfter(bytes int64) (delay time.Duration, fits bool) {
	if bytes > budget.MaxBodyBytes() {
		return 0, false
	}
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	now := budget.timerService.Now()
	budget.dropPastSlots(now)
	from := now.Add(minRetryAfter)
	for !budget.fitsAt(from, bytes) {
		from = budget.nextEnd(from)
	}
	if bytes > SmallBytes && len(budget.slots) < maxSlots {
		budget.slots = append(budget.slots, &slot{from: from, to: from.Add(budget.expectedHold()), bytes: bytes})
	}
	return from.Sub(now), true
}

// expectedHold returns how long a body is expected to be held. The caller must hold the mutex.
func (budget *Budget) expectedHold() time.Duration {
	return time.Duration(slotMargin * float64(budget.hold))
}

// dropPastSlots removes the slots of callers that did not return in time, and lengthens those of bodies that are held for longer than
// expected. The caller must hold the mutex.
func (budget *Budget) dropPastSlots(now time.Time) {
	budget.slots = slices.DeleteFunc(budget.slots, func(slot *slot) bool { return !slot.admitted && !slot.to.After(now) })
	for _, slot := range budget.slots {
		if !slot.to.After(now) {
			slot.to = now.Add(budget.expectedHold() / 2)
		}
	}
}

// fitsAt reports whether a body fits beside the others during its expected time. The caller must hold the mutex.
func (budget *Budget) fitsAt(from time.Time, bytes int64) bool {
	to := from.Add(budget.expectedHold())
	for _, slot := range budget.slots {
		if slot.from.Before(to) && slot.to.After(from) {
			bytes += slot.bytes
		}
	}
	return bytes <= budget.MaxBodyBytes()
}

// nextEnd returns the first end of a slot after a time. The caller must hold the mutex.
func (budget *Budget) nextEnd(after time.Time) time.Time {
	var next time.Time
	for _, slot := range budget.slots {
		if slot.to.After(after) && (next.IsZero() || slot.to.Before(next)) {
			next = slot.to
		}
	}
	return next
}

// beginSlot returns the slot of an admitted body. It replaces that of a caller that was expected. The caller must hold the mutex.
func (budget *Budget) beginSlot(bytes int64) *slot {
	now := budget.timerService.Now()
	expected := slices.IndexFunc(budget.slots, func(slot *slot) bool { return !slot.admitted && slot.bytes == bytes && !slot.from.After(now) })
	if expected >= 0 {
		budget.slots = slices.Delete(budget.slots, expected, expected+1)
	}
	begun := &slot{from: now, to: now.Add(budget.expectedHold()), bytes: bytes, admitted: true}
	budget.slots = append(budget.slots, begun)
	return begun
}

// endSlot removes the slot of a body that is no longer held. The caller must hold the mutex.
func (budget *Budget) endSlot(ended *slot) {
	held := budget.timerService.Now().Sub(ended.from)
	budget.hold = max(held, time.Duration(holdDecay*float64(budget.hold)+(1-holdDecay)*float64(held)))
	budget.slots = slices.DeleteFunc(budget.slots, func(slot *slot) bool { return slot == ended })
}

// release counts a body as no longer held.
func (budget *Budget) release(buffer *Buffer) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if buffer.slot == nil {
		budget.used -= buffer.bytes
		budget.account.ReleaseBody(buffer.bytes)
		return
	}
	budget.uncollected += buffer.bytes
	budget.endSlot(buffer.slot)
}

// free counts a large body as freed by the collector.
func (budget *Budget) free(bytes int64) {
	budget.mutex.Lock()
	budget.used -= bytes
	budget.uncollected -= bytes
	budget.mutex.Unlock()
	budget.account.ReleaseBody(bytes)
	select {
	case budget.freed <- struct{}{}:
	default:
	}
}
