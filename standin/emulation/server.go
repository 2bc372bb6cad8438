package emulation

import (
	"slices"
	"time"

	"oleandervane.example"
)

// work is a request at a backend server.
type work struct {
	object   string
	cost     time.Duration
	deadline time.Time
	// done is called once with what became of the request.
	done func(answer answer)
	// cancelled is set when the VM has given the request up; it stops if it runs.
	cancelled bool
	stop      func()
}

// answer is what a backend server says of a request, beside its load.
type answer struct {
	outcome answerOutcome
	load    oleandervane.ReportedLoad
	cold    time.Duration
}

type answerOutcome uint8

const (
	answered answerOutcome = iota
	answeredFailure
	answeredShed
	// connectionLost means that the server went down while the request was there.
	connectionLost
	// answeredLate means that the time limit passed while the request ran.
	answeredLate
)

// server is a model of a backend server: slots, a queue, and a memory of objects.
type server struct {
	entry   oleandervane.RegisteredServer
	service Service
	world   *world

	running   int
	queue     []*work
	inService map[*work]bool
	// remembered has the objects that the server is warm for, the newest last.
	remembered []string
	slow       float64
	failing    float64
	down       bool
	coldUntil  time.Time
	// arrivals are the times of requests within the last second while the server is cold.
	arrivals []time.Time
}

func (server *server) cold(now time.Time) bool {
	return now.Before(server.coldUntil)
}

func (server *server) report() answer {
	now := server.world.manual.Now()
	answer := answer{load: oleandervane.ReportedLoad{Running: server.running, Queued: len(server.queue), Slots: server.service.Slots}}
	if server.cold(now) {
		answer.cold = server.coldUntil.Sub(now)
	}
	return answer
}

func (server *server) end(work *work, outcome answerOutcome) {
	answer := server.report()
	answer.outcome = outcome
	work.done(answer)
}

// arrive takes a request in, or sheds it.
func (server *server) arrive(work *work) {
	now := server.world.manual.Now()
	if server.cold(now) && server.overrun(now) {
		server.world.tally.coldOverruns++
		server.crash(crashTime)
	}
	switch {
	case server.down:
		server.end(work, connectionLost)
	case server.running < server.service.Slots:
		server.begin(work)
	case len(server.queue) < server.service.Queue:
		server.queue = append(server.queue, work)
	default:
		server.end(work, answeredShed)
	}
}

// coldMargin is how far above its rate a cold server is before it crashes.
const coldMargin = 1.5

// coldExtra is the number of requests in a second that a cold server bears beyond that.
const coldExtra = 5

func (server *server) overrun(now time.Time) bool {
	server.arrivals = append(server.arrivals, now)
	for now.Sub(server.arrivals[0]) > time.Second {
		server.arrivals = server.arrivals[1:]
	}
	return float64(len(server.arrivals)) > coldMargin*server.service.ColdPerSecond+coldExtra
}

func (server *server) begin(work *work) {
	now := server.world.manual.Now()
	server.running++
	server.inService[work] = true
	took, outcome := server.duration(work, now), answered
	if server.failing > 0 && server.world.random.Float64() < server.failing {
		outcome = answeredFailure
	}
	if left := work.deadline.Sub(now); took > left {
		took, outcome = left, answeredLate
	}
	work.stop = server.world.manual.After(took, func(time.Time) { server.leave(work, outcome) })
}

// duration is how long the work takes here and now. The server is warm for the object from now on.
func (server *server) duration(work *work, now time.Time) time.Duration {
	took := float64(work.cost) * server.slow
	if i := slices.Index(server.remembered, work.object); i >= 0 {
		took *= 1 - server.service.Saved
		server.remembered = slices.Delete(server.remembered, i, i+1)
	} else {
		server.world.tally.learned++
	}
	server.remembered = append(server.remembered, work.object)
	if len(server.remembered) > server.service.Remembered {
		server.remembered = server.remembered[1:]
	}
	if server.cold(now) {
		took *= server.service.ColdFactor
	}
	return time.Duration(took)
}

func (server *server) leave(work *work, outcome answerOutcome) {
	delete(server.inService, work)
	server.running--
	server.beginNext()
	server.end(work, outcome)
}

func (server *server) beginNext() {
	now := server.world.manual.Now()
	for server.running < server.service.Slots && len(server.queue) > 0 {
		next := server.queue[0]
		server.queue = server.queue[1:]
		switch {
		case next.cancelled:
		case !now.Before(next.deadline):
			server.end(next, answeredShed)
		default:
			server.begin(next)
		}
	}
}

// cancel stops a request that nobody waits for.
func (server *server) cancel(work *work) {
	if work.cancelled {
		return
	}
	work.cancelled = true
	if server.inService[work] {
		work.stop()
		delete(server.inService, work)
		server.running--
		server.beginNext()
	}
}

// crash loses all requests and objects; the server comes back cold.
func (server *server) crash(duration time.Duration) {
	lost := server.queue
	for work := range server.inService {
		work.stop()
		lost = append(lost, work)
	}
	server.running, server.queue, server.remembered, server.arrivals = 0, nil, nil, nil
	clear(server.inService)
	server.down = true
	// The order of a map must not decide the order of events.
	slices.SortFunc(lost, func(a, b *work) int { return a.deadline.Compare(b.deadline) })
	for _, work := range lost {
		server.end(work, connectionLost)
	}
	server.world.manual.After(duration, func(now time.Time) {
		server.down = false
		server.coldUntil = now.Add(time.Duration(server.service.SlowStart))
	})
}
