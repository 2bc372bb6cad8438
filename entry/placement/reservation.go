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
	// chooser made the reservation for a request, without the servers in excluded. statePath is the path at which the state of the
	// server is read before the request is sent; empty if it is not needed.
	chooser   *Chooser
	excluded  []string
	statePath string
	failed    atomic.Bool
	// misdirected says that another server has the address.
	misdirected  atomic.Bool
	hasFreeSlots atomic.Bool
	released     atomic.Bool
}

// Target returns the server.
func (reservation *reservation) Target() forward.Target {
	return reservation.server.target()
}

// ObserveResponse updates the state of the server from the header of the response.
func (reservation *reservation) ObserveResponse(metadata oleandervane.ResponseMetadata) {
	now := reservation.placer.settings.TimerService.Now()
	reservation.failed.Store(metadata.Failed || metadata.Unsigned)
	reservation.misdirected.Store(metadata.Misdirected)
	if metadata.LoadKnown {
		reservation.server.recordReport(metadata.Load, now)
		reservation.placer.slowServices.record(reservation.server.Service, metadata.Load.Slowness, now)
		reservation.hasFreeSlots.Store(metadata.Load.Running < metadata.Load.Slots)
	}
	if metadata.ColdLeft > 0 {
		reservation.placer.extendCold(reservation.server, ColdByResponse, metadata.ColdLeft, now)
	}
	if metadata.NotRun && !metadata.Misdirected || metadata.RetryAfter > 0 {
		reservation.server.recordRefusal(metadata.RetryAfter, reservation.reservedAt, now)
	}
	reservation.observeDirective(metadata, now)
}

// ObserveEnd records that the run of the server has ended. The server may start again under its id at any moment.
func (reservation *reservation) ObserveEnd() {
	reservation.placer.findEnd(reservation.server)
}

// observeDirective records what the server asks for in a response. A response that does not ask for a limit ends the former one,
// unless the response may come from another server or its headers make no sense.
func (reservation *reservation) observeDirective(metadata oleandervane.ResponseMetadata, now time.Time) {
	if len(metadata.Invalid) > 0 {
		if observer := reservation.placer.settings.Observer; observer != nil {
			observer.InvalidHeaders(reservation.server.ID, metadata.Invalid)
		}
		return
	}
	if metadata.Misdirected || metadata.Unsigned {
		return
	}
	reservation.placer.recordDirective(reservation.server, directive{rateLimit: metadata.RateLimit, leaving: metadata.Leaving, statedAt: now})
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
		reservation.placer.answeredAt.Store(now.UnixNano())
		reservation.placer.affinities.record(reservation.score, now)
		reservation.recordRunTime(now)
		relativeResponseTime := reservation.placer.recordResponseTime(reservation.route, now.Sub(reservation.reservedAt))
		if server.recordSuccess(relativeResponseTime) {
			reservation.placer.extendCold(server, ColdAfterAbsence, slowStart(reservation.placer.view.Load().registry, server.Service), now)
		}
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
