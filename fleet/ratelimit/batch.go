package ratelimit

import (
	"maps"
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
)

const (
	// batchDelay is the time in which queries to the same owner are collected in one datagram.
	batchDelay = 2 * time.Millisecond
	// maxBatch bounds the queries in a datagram, 60 bytes each.
	maxBatch = 128
	// maxDatagramsPerSecond and datagramBurst bound the datagrams with queries that a VM sends. A query beyond them is not sent, and
	// its requests are decided from the own share.
	maxDatagramsPerSecond = 200
	datagramBurst         = 100
)

// outbox has the queries that are collected for owners.
type outbox struct {
	queries   map[oleandervane.VMID][]*peer.TokenQuery
	owners    map[oleandervane.VMID]oleandervane.EntryVM
	scheduled bool
	allowance Bucket
	filledAt  time.Time
}

// enqueue adds a query to the next datagram to an owner, which is sent after a delay at the latest.
func (limiter *Limiter) enqueue(owner oleandervane.EntryVM, query *peer.TokenQuery, now time.Time, delay time.Duration) {
	outbox := &limiter.outbox
	if outbox.queries == nil {
		outbox.queries, outbox.owners = map[oleandervane.VMID][]*peer.TokenQuery{}, map[oleandervane.VMID]oleandervane.EntryVM{}
		outbox.allowance = NewBucket(oleandervane.RateLimit{PerSecond: maxDatagramsPerSecond, Burst: datagramBurst}).WithAdded(datagramBurst)
		outbox.filledAt = now
	}
	outbox.owners[owner.ID] = owner
	if len(outbox.queries[owner.ID]) < maxBatch {
		outbox.queries[owner.ID] = append(outbox.queries[owner.ID], query)
	}
	if !outbox.scheduled || delay == 0 {
		outbox.scheduled = true
		limiter.settings.TimerService.After(delay, func(time.Time) { limiter.flush() })
	}
}

// flush sends the queries that were collected.
func (limiter *Limiter) flush() {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.settings.TimerService.Now()
	outbox := &limiter.outbox
	outbox.scheduled = false
	if len(outbox.queries) == 0 {
		return
	}
	outbox.allowance = outbox.allowance.WithFilled(now.Sub(outbox.filledAt).Seconds())
	outbox.filledAt = now
	for _, id := range slices.Sorted(maps.Keys(outbox.queries)) {
		taken := 0
		if outbox.allowance, taken = outbox.allowance.WithTaken(1); taken == 0 {
			limiter.settings.Observer.TokenMessageIgnored("rate")
			continue
		}
		limiter.send(outbox.owners[id], &peer.TokenMessage{Queries: outbox.queries[id]})
	}
	clear(outbox.queries)
	clear(outbox.owners)
}
