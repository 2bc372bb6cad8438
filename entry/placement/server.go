package placement

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"oleandervane.example"
)

const (
	// reportDecay is the time in which a reported load loses most of its meaning: about two requests.
	reportDecay = 500 * time.Millisecond
	// usualLoadWeight is the weight of a new report in the usual load of a server.
	usualLoadWeight = 0.1
	// paceWeight is the weight of one answer in the pace of a server.
	paceWeight = 0.15
	// longestPace bounds what one answer can do to the pace.
	longestPace = 10.0
	// paceSamples is the number of answers before the pace counts.
	paceSamples = 4
	// restFirst and restLongest bound how long a server rests after a failure; the time doubles with each failure
	// that follows without a success. A server that crashed is back after some seconds.
	restFirst   = 500 * time.Millisecond
	restLongest = 4 * time.Second
	// failureWeight is the weight of one answer in the failure share of a server.
	failureWeight = 0.2
	// failureBound is the share of failures from which a server rests although it answers.
	failureBound = 0.45
	// misdirectedRest is how long a server whose address belongs to another one gets nothing, unless its entry changes
	// before: entries of servers that are gone last until the store drops them, longer while it is away. A server that
	// said so by mistake is tried again afterwards.
	misdirectedRest = 30 * time.Second
)

// server is an entry of a backend server and what this VM knows of that run of it.
type server struct {
	oleandervane.RegisteredServer
	*knowledge
	hash uint64
	// warms says that this VM is one of those that send to the server while it is cold.
	warms bool
}

// knowledge is what a VM knows of one run of a backend server beside its entry.
type knowledge struct {
	inFlight atomic.Int64
	// others is what other VMs have in flight, as far as they told it.
	others atomic.Int64
	sent   atomic.Uint64

	mutex sync.Mutex
	// The fields below are guarded by mutex. reported is the load from other VMs at reportedAt, usual its average.
	reported   float64
	usual      float64
	reportedAt time.Time
	pace       float64
	answers    int
	failures   float64
	rest       time.Duration
	restUntil  time.Time
	// avoidUntil is the end of the time in which the server is avoided because it failed often although it answers.
	avoidUntil time.Time
	// misdirectedUntil is the end of the time in which the address is taken to belong to another server.
	misdirectedUntil time.Time
	doubtful         bool
	coldUntil        time.Time
	nextCold         time.Time
}

func newServer(registered oleandervane.RegisteredServer, now time.Time) *server {
	return &server{
		RegisteredServer: registered,
		hash:             memberHash(string(registered.ID)),
		knowledge:        &knowledge{pace: 1, coldUntil: now.Add(registered.ColdLeft)},
	}
}

// with returns the server under a changed entry.
func (server *server) with(registered oleandervane.RegisteredServer, now time.Time) *server {
	changed := newServer(registered, now)
	changed.knowledge = server.knowledge
	changed.believeAddress()
	if registered.ColdLeft > 0 {
		changed.extendCold(now.Add(registered.ColdLeft))
	}
	return changed
}

// withWarms returns the server with the mark set as given. It shares what is known.
func (server *server) withWarms(warms bool) *server {
	if server.warms == warms {
		return server
	}
	changed := *server
	changed.warms = warms
	return &changed
}

// load estimates the requests that run or wait at the server: those of this VM and those of others. Others told theirs,
// if scale is above zero; else they are known by the last report, which fades into the usual load as it ages. It is
// called with the mutex held.
func (server *server) load(scale float64, now time.Time) float64 {
	own := float64(server.inFlight.Load())
	if scale > 0 {
		return own + scale*float64(server.others.Load())
	}
	age := now.Sub(server.reportedAt)
	fresh := math.Exp(-float64(max(0, age)) / float64(reportDecay))
	return own + server.usual + (server.reported-server.usual)*fresh
}

// noteReport takes over a reported load, less what this VM itself has there.
func (server *server) noteReport(load oleandervane.ReportedLoad, now time.Time) {
	others := max(0, float64(load.Running+load.Queued)-float64(server.inFlight.Load()))
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.reported, server.reportedAt = others, now
	server.usual += (others - server.usual) * usualLoadWeight
}

// extendCold makes the server cold until the given time, if it is not cold for longer.
func (server *server) extendCold(until time.Time) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if until.After(server.coldUntil) {
		server.coldUntil = until
	}
}

// noteSuccess takes over how long an answer took, as a multiple of the usual time. A server that was away for more
// than a moment has probably started again and is taken for cold.
func (server *server) noteSuccess(relative float64, now time.Time, slowStart time.Duration) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.observePace(relative)
	server.failures -= server.failures * failureWeight
	if server.doubtful && server.rest > restFirst && now.Add(slowStart).After(server.coldUntil) {
		server.coldUntil = now.Add(slowStart)
	}
	server.doubtful = false
	if server.failures < failureBound/2 {
		server.rest = 0
	}
}

// notePace takes over how long the server has taken so far without an answer.
func (server *server) notePace(relative float64) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.observePace(relative)
}

// observePace is called with the mutex held.
func (server *server) observePace(relative float64) {
	server.answers++
	server.pace += (min(relative, longestPace) - server.pace) * paceWeight
}

// noteFailure makes the server rest when it could not be reached, and has it avoided when its failures are frequent. It
// returns for how long, and zero when the server goes on.
func (server *server) noteFailure(unreachable bool, now time.Time) time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.failures += (1 - server.failures) * failureWeight
	if !unreachable && server.failures < failureBound {
		return 0
	}
	if now.Before(server.restUntil) || now.Before(server.avoidUntil) {
		return 0
	}
	server.rest = min(max(2*server.rest, restFirst), restLongest)
	if unreachable {
		server.restUntil = now.Add(server.rest)
		server.doubtful = true
	} else {
		server.avoidUntil = now.Add(server.rest)
	}
	return server.rest
}

// noteMisdirected has the server rest because its address belongs to another one.
func (server *server) noteMisdirected(now time.Time) time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.misdirectedUntil = now.Add(misdirectedRest)
	return misdirectedRest
}

// believeAddress ends the rest of a server whose entry has changed.
func (server *server) believeAddress() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.misdirectedUntil = time.Time{}
}

// candidate returns what a decision has to know of the server.
func (server *server) candidate(object uint64, scale float64, now time.Time) Candidate {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	cold := now.Before(server.coldUntil)
	candidate := Candidate{
		ID:       server.ID,
		Region:   server.Region,
		Score:    score(object, server.hash),
		Slots:    server.Slots,
		Load:     server.load(scale, now),
		Pace:     1,
		Doubtful: server.doubtful,
		Resting:  server.resting(cold, now),
		Avoided:  now.Before(server.avoidUntil),
		Unused:   server.sent.Load() == 0 && cold && server.warms,
	}
	// One request at a time shows whether a server that failed is back.
	if server.doubtful && server.inFlight.Load() > 0 {
		candidate.Resting = true
	}
	if server.answers >= paceSamples {
		candidate.Pace = server.pace
	}
	return candidate
}

// resting says whether the server gets no requests of this VM for now. It is called with the mutex held.
func (server *server) resting(cold bool, now time.Time) bool {
	if now.Before(server.restUntil) || now.Before(server.misdirectedUntil) {
		return true
	}
	return cold && (!server.warms || now.Before(server.nextCold))
}

// takeCold counts a request to a cold server. Until the next interval has passed it gets no other from this VM.
func (server *server) takeCold(interval time.Duration, now time.Time) (allowed bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if !now.Before(server.coldUntil) {
		return true
	}
	if now.Before(server.nextCold) {
		return false
	}
	server.nextCold = now.Add(interval)
	return true
}
