package placement

import (
	"sync/atomic"
	"time"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
)

// reservation reserves a server for one attempt. It counts as a request in flight there.
type reservation struct {
	placer *Placer
	server *server
	route  string
	// score identifies the pair of the server and the object.
	score      uint64
	reservedAt time.Time
	// queuedPerSlot is the number of requests that each slot had to finish first when the server was chosen.
	queuedPerSlot float64
	failed        atomic.Bool
	// misdirected says that another server has the address.
	misdirected  atomic.Bool
	hasFreeSlots atomic.Bool
	released     atomic.Bool
}

// Target returns the server.
func (reservation *reservation) Target() forward.Target {
	return forward.BackendTarget(reservation.server.BackendServer).WithRun(reservation.server.StartedAt)
}

// ObserveResponse updates the state of the server from the header of the response.
func (reservation *reservation) ObserveResponse(metadata oleandervane.ResponseMetadata) {
	now := reservation.placer.settings.TimerService.Now()
	reservation.failed.Store(metadata.Failed || metadata.Unsigned)
	reservation.misdirected.Store(metadata.Misdirected)
	if metadata.LoadKnown {
		reservation.server.recordReport(metadata.Load, now)
		reservation.hasFreeSlots.Store(metadata.Load.Running < metadata.Load.Slots)
	}
	if metadata.ColdLeft > 0 {
		reservation.server.extendCold(now.Add(metadata.ColdLeft))
	}
	reservation.observeRateLimit(metadata)
}

// observeRateLimit records the rate limit that a response states. A response without one ends the former limit, unless it may come
// from another server or its headers make no sense.
func (reservation *reservation) observeRateLimit(metadata oleandervane.ResponseMetadata) {
	observer := reservation.placer.settings.Observer
	if len(metadata.Invalid) > 0 {
		if observer != nil {
			observer.InvalidHeaders(reservation.server.ID, metadata.Invalid)
		}
		return
	}
	if metadata.Misdirected || metadata.Unsigned {
		return
	}
	if reservation.server.recordRateLimit(metadata.RateLimit) && observer != nil {
		observer.RateLimitChanged(reservation.server.ID, metadata.RateLimit)
	}
}

// Release ends the reservation and updates the state of the server according to the result of the attempt.
func (reservation *reservation) Release(attemptResult oleandervane.AttemptResult) {
	if reservation.released.Swap(true) {
		return
	}
	server, now := reservation.server, reservation.placer.settings.TimerService.Now()
	server.inFlight.Add(-1)
	switch attemptResult {
	case oleandervane.AttemptAnswered:
		if reservation.failed.Load() {
			reservation.recordFailure(attemptResult, now)
			return
		}
		reservation.placer.affinities.record(reservation.score, now)
		reservation.recordRunTime(now)
		relativeResponseTime := reservation.placer.recordResponseTime(reservation.route, now.Sub(reservation.reservedAt))
		server.recordSuccess(relativeResponseTime, now, slowStart(reservation.placer.view.Load().registry, server.Service))
	case oleandervane.AttemptShed:
		if reservation.misdirected.Load() {
			reservation.notifyBackoff(attemptResult, server.recordMisdirected(now))
			return
		}
		// A server that refuses requests although it has free slots is not merely busy.
		if reservation.hasFreeSlots.Load() || reservation.failed.Load() {
			reservation.recordFailure(attemptResult, now)
		}
	case oleandervane.AttemptCancelled:
	case oleandervane.AttemptTimedOut:
		reservation.recordRunTime(now)
		server.recordSlowdown(reservation.placer.relativeResponseTime(reservation.route, now.Sub(reservation.reservedAt)))
		reservation.recordFailure(attemptResult, now)
	default:
		reservation.recordFailure(attemptResult, now)
	}
}

func (reservation *reservation) recordRunTime(now time.Time) {
	took := now.Sub(reservation.reservedAt)
	reservation.placer.runTimes.record(reservation.route, reservation.server.Service, took, reservation.queuedPerSlot)
}

func (reservation *reservation) recordFailure(attemptResult oleandervane.AttemptResult, now time.Time) {
	reservation.notifyBackoff(attemptResult, reservation.server.recordFailure(attemptResult == oleandervane.AttemptUnreachable, now))
}

func (reservation *reservation) notifyBackoff(attemptResult oleandervane.AttemptResult, backoff time.Duration) {
	if backoff > 0 && reservation.placer.settings.Observer != nil {
		reservation.placer.settings.Observer.BackoffStarted(reservation.server.ID, attemptResult, backoff)
	}
}
