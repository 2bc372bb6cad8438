package emulation

import (
	"slices"
	"time"

	"oleandervane.example"
)

// work is a request sent to a backend server.
type work struct {
	object   string
	runTime  time.Duration
	deadline time.Time
	// done is called once with the server's response.
	done func(response response)
	// cancelled is set when the VM has cancelled the request, which also stops it if it runs.
	cancelled bool
	stop      func()
}

// response is the response of a backend server: the outcome of the request and the server's load. It also stands for a
// failed connection.
type response struct {
	outcome  responseOutcome
	load     oleandervane.ReportedLoad
	coldLeft time.Duration
	// rateLimit, leaving and retryAfter are what the server asks for.
	rateLimit  float64
	leaving    bool
	retryAfter time.Duration
}

type responseOutcome uint8

const (
	answered responseOutcome = iota
	answeredFailure
	answeredShed
	// connectionLost means that the server went down while the request was queued or running.
	connectionLost
	// timedOut means that the time limit passed while the request ran.
	timedOut
)

// server is a model of a backend server with slots, a queue and an object cache.
type server struct {
	entry   oleandervane.RegisteredServer
	service Service
	world   *world

	running     int
	queue       []*work
	runningWork map[*work]bool
	// cachedObjects has the objects in the cache, the most recently used one last.
	cachedObjects []string
	slowdown      float64
	failureRatio  float64
	down          bool
	// rateLimit is the limit that the server states, zero for none; limitedFrom is when it accepts the next request.
	rateLimit   float64
	limitedFrom time.Time
	leaving     bool
	// refusesUntil is the end of the time in which the server refuses all requests.
	refusesUntil time.Time
	coldUntil    time.Time
	// arrivals has the times of the requests in the last second while the server is cold.
	arrivals []time.Time
}

func (server *server) isCold(now time.Time) bool {
	return now.Before(server.coldUntil)
}

func (server *server) currentLoad() response {
	now := server.world.manual.Now()
	response := response{load: oleandervane.ReportedLoad{Running: server.running, Queued: len(server.queue), Slots: server.service.Slots}}
	if server.isCold(now) {
		response.coldLeft = server.coldUntil.Sub(now)
	}
	response.rateLimit, response.leaving = server.rateLimit, server.leaving
	response.retryAfter = max(0, server.refusesUntil.Sub(now))
	return response
}

func (server *server) respond(work *work, outcome responseOutcome) {
	response := server.currentLoad()
	response.outcome = outcome
	work.done(response)
}

// arrive runs, queues or sheds a request that reaches the server.
func (server *server) arrive(work *work) {
	now := server.world.manual.Now()
	if server.isCold(now) && server.coldRateExceeded(now) {
		server.world.tally.coldOverruns++
		server.crash(coldCrashDowntime)
	}
	switch {
	case server.down:
		server.respond(work, connectionLost)
	case now.Before(server.refusesUntil), server.isOverLimit(now):
		server.respond(work, answeredShed)
	case server.running < server.service.Slots:
		server.run(work)
	case len(server.queue) < server.service.Queue:
		server.queue = append(server.queue, work)
	default:
		server.respond(work, answeredShed)
	}
}

// limitBurst is the number of requests that a server with a rate limit accepts at once.
const limitBurst = 5

// isOverLimit reports whether a request exceeds the server's rate limit; otherwise it counts the request.
func (server *server) isOverLimit(now time.Time) bool {
	if server.rateLimit == 0 {
		return false
	}
	interval := time.Duration(float64(time.Second) / server.rateLimit)
	if server.limitedFrom.After(now.Add(limitBurst * interval)) {
		return true
	}
	if server.limitedFrom.Before(now) {
		server.limitedFrom = now
	}
	server.limitedFrom = server.limitedFrom.Add(interval)
	return false
}

// coldRateFactor is the multiple of ColdPerSecond that a cold server tolerates, besides coldBurst, before it crashes.
const coldRateFactor = 1.5

// coldBurst is the number of requests in a second that a cold server tolerates beyond coldRateFactor.
const coldBurst = 5

func (server *server) coldRateExceeded(now time.Time) bool {
	server.arrivals = append(server.arrivals, now)
	for now.Sub(server.arrivals[0]) > time.Second {
		server.arrivals = server.arrivals[1:]
	}
	return float64(len(server.arrivals)) > coldRateFactor*server.service.ColdPerSecond+coldBurst
}

func (server *server) run(work *work) {
	now := server.world.manual.Now()
	server.running++
	server.runningWork[work] = true
	took, outcome := server.duration(work, now), answered
	if server.failureRatio > 0 && server.world.random.Float64() < server.failureRatio {
		outcome = answeredFailure
	}
	if left := work.deadline.Sub(now); took > left {
		took, outcome = left, timedOut
	}
	work.stop = server.world.manual.After(took, func(time.Time) { server.complete(work, outcome) })
}

// duration returns the run time of the work if it starts now, and adds its object to the cache.
func (server *server) duration(work *work, now time.Time) time.Duration {
	took := float64(work.runTime) * server.slowdown
	if i := slices.Index(server.cachedObjects, work.object); i >= 0 {
		took *= 1 - server.service.CacheSaving
		server.cachedObjects = slices.Delete(server.cachedObjects, i, i+1)
	} else {
		server.world.tally.cacheMisses++
	}
	server.cachedObjects = append(server.cachedObjects, work.object)
	if len(server.cachedObjects) > server.service.CachedObjects {
		server.cachedObjects = server.cachedObjects[1:]
	}
	if server.isCold(now) {
		took *= server.service.ColdFactor
	}
	return time.Duration(took)
}

func (server *server) complete(work *work, outcome responseOutcome) {
	delete(server.runningWork, work)
	server.running--
	server.runNext()
	server.respond(work, outcome)
}

func (server *server) runNext() {
	now := server.world.manual.Now()
	for server.running < server.service.Slots && len(server.queue) > 0 {
		next := server.queue[0]
		server.queue = server.queue[1:]
		switch {
		case next.cancelled:
		case !now.Before(next.deadline):
			server.respond(next, answeredShed)
		default:
			server.run(next)
		}
	}
}

// cancel stops a request whose VM no longer waits for it.
func (server *server) cancel(work *work) {
	if work.cancelled {
		return
	}
	work.cancelled = true
	if server.runningWork[work] {
		work.stop()
		delete(server.runningWork, work)
		server.running--
		server.runNext()
	}
}

// crash fails all requests and empties the cache; the server restarts cold after the duration.
func (server *server) crash(duration time.Duration) {
	lost := server.queue
	for work := range server.runningWork {
		work.stop()
		lost = append(lost, work)
	}
	server.running, server.queue, server.cachedObjects, server.arrivals = 0, nil, nil, nil
	clear(server.runningWork)
	server.down = true
	// Map iteration order must not decide the order of events, or runs would not be reproducible.
	slices.SortFunc(lost, func(a, b *work) int { return a.deadline.Compare(b.deadline) })
	for _, work := range lost {
		server.respond(work, connectionLost)
	}
	server.world.manual.After(duration, func(now time.Time) {
		server.down = false
		server.coldUntil = now.Add(time.Duration(server.service.SlowStart))
	})
}
