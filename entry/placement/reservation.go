package placement

import (
	"sync/atomic"
	"time"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
)

// reservation is a place at a server for one attempt.
type reservation struct {
	placer *Placer
	server *server
	route  string
	// pair stands for the server and the object.
	pair    uint64
	takenAt time.Time
	// waiting is that of the server when it was chosen.
	waiting float64
	failed  atomic.Bool
	// misdirected says that another server has the address.
	misdirected atomic.Bool
	idle        atomic.Bool
	released    atomic.Bool
}

// Target returns the server.
func (reservation *reservation) Target() forward.Target {
	return forward.BackendTarget(reservation.server.BackendServer)
}

// ObserveAnswer learns from the header of the answer.
func (reservation *reservation) ObserveAnswer(answer oleandervane.Answer) {
	now := reservation.placer.settings.TimerService.Now()
	reservation.failed.Store(answer.Failed || answer.Unproven)
	reservation.misdirected.Store(answer.Misdirected)
	if answer.LoadKnown {
		reservation.server.noteReport(answer.Load, now)
		reservation.idle.Store(answer.Load.Running < answer.Load.Slots)
	}
	if answer.ColdLeft > 0 {
		reservation.server.extendCold(now.Add(answer.ColdLeft))
	}
}

// Release gives the place back and judges the server by how the attempt ended.
func (reservation *reservation) Release(attemptResult oleandervane.AttemptResult) {
	if reservation.released.Swap(true) {
		return
	}
	server, now := reservation.server, reservation.placer.settings.TimerService.Now()
	server.inFlight.Add(-1)
	switch attemptResult {
	case oleandervane.AttemptAnswered:
		if reservation.failed.Load() {
			reservation.noteFailure(attemptResult, now)
			return
		}
		reservation.placer.familiarity.note(reservation.pair, now)
		reservation.noteWork(now)
		relative := reservation.placer.noteTime(reservation.route, now.Sub(reservation.takenAt))
		server.noteSuccess(relative, now, slowStart(reservation.placer.view.Load().registry, server.Service))
	case oleandervane.AttemptShed:
		if reservation.misdirected.Load() {
			reservation.tellRest(attemptResult, server.noteMisdirected(now))
			return
		}
		// A server that rejects requests although it has free slots is not merely busy.
		if reservation.idle.Load() || reservation.failed.Load() {
			reservation.noteFailure(attemptResult, now)
		}
	case oleandervane.AttemptCancelled:
	case oleandervane.AttemptTimedOut:
		reservation.noteWork(now)
		server.notePace(reservation.placer.relative(reservation.route, now.Sub(reservation.takenAt)))
		reservation.noteFailure(attemptResult, now)
	default:
		reservation.noteFailure(attemptResult, now)
	}
}

func (reservation *reservation) noteWork(now time.Time) {
	took := now.Sub(reservation.takenAt)
	reservation.placer.work.note(reservation.route, reservation.server.Service, took, reservation.waiting)
}

func (reservation *reservation) noteFailure(attemptResult oleandervane.AttemptResult, now time.Time) {
	reservation.tellRest(attemptResult, reservation.server.noteFailure(attemptResult == oleandervane.AttemptUnreachable, now))
}

func (reservation *reservation) tellRest(attemptResult oleandervane.AttemptResult, rest time.Duration) {
	if rest > 0 && reservation.placer.settings.Observer != nil {
		reservation.placer.settings.Observer.BackoffStarted(reservation.server.ID, attemptResult, rest)
	}
}
