package placement

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
)

const (
	// reportDecay is the time constant with which a reported load loses its weight: about two requests.
	reportDecay = 500 * time.Millisecond
	// averageLoadWeight is the weight of a new report in the average reported load of a server.
	averageLoadWeight = 0.1
	// slowdownWeight is the weight of one sample in the slowdown of a server.
	slowdownWeight = 0.15
	// maxSlowdownSample bounds the effect of one sample on the slowdown.
	maxSlowdownSample = 10.0
	// minSlowdownSamples is the number of samples from which the slowdown is used.
	minSlowdownSamples = 4
	// minBackoff and maxBackoff bound the backoff of a server after a failure; the backoff doubles with each further
	// failure without a success in between. A server that crashed is back after some seconds.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// failureWeight is the weight of one attempt in the failure share of a server.
	failureWeight = 0.2
	// failureThreshold is the failure share from which a server backs off although it responds.
	failureThreshold = 0.45
	// misdirectedBackoff is how long a server gets no requests when another server has its address, unless its entry
	// changes before: entries of servers that have gone remain until the store removes them, and longer while the store
	// is unavailable. A server that reported this by mistake is tried again afterwards.
	misdirectedBackoff = 30 * time.Second
)

// server is the entry of a backend server, with the state of the run that the entry describes.
type server struct {
	oleandervane.RegisteredServer
	*serverState
	hash uint64
	// vmRank is the rank of this VM among the vms VMs of the fleet, by which the few are chosen that send requests to the server
	// while it is cold or limits its requests.
	vmRank, vms int
}

// serverState is what a VM tracks about one run of a backend server, besides its entry.
type serverState struct {
	inFlight atomic.Int64
	// peersInFlight is the number of requests in flight at the server from other VMs, as far as they report them.
	peersInFlight atomic.Int64
	sent          atomic.Uint64

	mutex sync.Mutex
	// The fields below are guarded by mutex. reportedLoad is the load from other VMs as of reportedAt, averageLoad its
	// moving average.
	reportedLoad float64
	averageLoad  float64
	reportedAt   time.Time
	// stateAt is when the state of the server was last read; reportedLoad is from it then. slowness is what the server stated at
	// slownessAt, zero if it states none.
	stateAt      time.Time
	slowness     float64
	slownessAt   time.Time
	slowdown     float64
	samples      int
	failureShare float64
	backoff      time.Duration
	backoffUntil time.Time
	// avoidUntil is when the server is no longer avoided for failing often although it responds.
	avoidUntil time.Time
	// misdirectedUntil is until when the address is assumed to belong to another server.
	misdirectedUntil time.Time
	onProbation      bool
	coldUntil        time.Time
	nextColdSend     time.Time
	// endedAt is when the run was last found to have ended, foundEndAt when this VM found that, and backAt when this VM found that the
	// server accepts connections again; zero if never. absent says that the server gets no requests until then, and probing that this
	// VM checks it.
	endedAt, foundEndAt, backAt time.Time
	absent, probing             bool
	suspicion                   suspicion
	directive                   directive
	// nextLimitedSend is when this VM may send the next request while the server limits its requests.
	nextLimitedSend time.Time
	// refusals is the number of refusals since the last success, refusedAt the time of the last one, and refusedUntil the end of the
	// backoff after it. pausedUntil is the end of the time for which the server wants no requests from this VM.
	refusals     int
	refusedAt    time.Time
	refusedUntil time.Time
	pausedUntil  time.Time
}

func newServer(registered oleandervane.RegisteredServer, now time.Time) *server {
	return &server{
		RegisteredServer: registered,
		hash:             memberHash(string(registered.ID)),
		serverState:      &serverState{slowdown: 1, coldUntil: now.Add(registered.ColdLeft)},
	}
}

// target returns the server as the target of attempts.
func (server *server) target() forward.Target {
	return forward.BackendTarget(server.BackendServer).WithRun(server.StartedAt)
}

// withEntry returns the server with a changed entry.
func (server *server) withEntry(registered oleandervane.RegisteredServer, now time.Time) *server {
	changed := newServer(registered, now)
	changed.serverState = server.serverState
	changed.clearMisdirected()
	if registered.ColdLeft > 0 {
		changed.extendCold(now.Add(registered.ColdLeft), now)
	}
	return changed
}

// withVMRank returns the server with the rank of this VM among all. The copy shares the state.
func (server *server) withVMRank(vmRank, vms int) *server {
	if server.vmRank == vmRank && server.vms == vms {
		return server
	}
	changed := *server
	changed.vmRank, changed.vms = vmRank, vms
	return &changed
}

// warmUpAssigned reports whether this VM is one of those that send requests to the server while it is cold.
func (server *server) warmUpAssigned() bool {
	return server.vmRank < coldVMs
}

// load estimates the requests that run or are queued at the server: those of this VM and those of other VMs. With a
// scale above zero, the latter are the counts that other VMs report; otherwise they come from the last load report,
// which decays to the average reported load as it ages. The caller must hold the mutex.
func (server *server) load(scale float64, now time.Time) float64 {
	own := float64(server.inFlight.Load())
	if !server.stateAt.IsZero() && now.Sub(server.stateAt) < stateLifetime {
		return own + server.reportedLoad
	}
	if scale > 0 {
		return own + scale*float64(server.peersInFlight.Load())
	}
	age := now.Sub(server.reportedAt)
	fresh := math.Exp(-float64(max(0, age)) / float64(reportDecay))
	return own + server.averageLoad + (server.reportedLoad-server.averageLoad)*fresh
}

// recordReport records a reported load, minus this VM's own requests in flight there.
func (server *server) recordReport(load oleandervane.ReportedLoad, now time.Time) {
	others := max(0, float64(load.Running+load.Queued)-float64(server.inFlight.Load()))
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.reportedLoad, server.reportedAt = others, now
	server.averageLoad += (others - server.averageLoad) * averageLoadWeight
	if load.Slowness > 0 {
		server.slowness, server.slownessAt = load.Slowness, now
	}
}

// extendCold makes the server cold until the given time, unless it is cold for longer already. It reports whether the server was warm.
func (server *server) extendCold(until, now time.Time) (wasWarm bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	wasWarm = !now.Before(server.coldUntil) && until.After(now)
	server.coldUntil = later(server.coldUntil, until)
	return wasWarm
}

// isCold reports whether the server counts as cold.
func (server *server) isCold(now time.Time) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return now.Before(server.coldUntil)
}

// recordSuccess records a response time, as a multiple of the average. It reports whether the server was unreachable before for more
// than a moment, and so has probably restarted and is cold.
func (server *server) recordSuccess(relative float64) (restarted bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.updateSlowdown(relative)
	server.failureShare -= server.failureShare * failureWeight
	restarted = server.onProbation && server.backoff > minBackoff
	server.onProbation = false
	server.refusals, server.refusedUntil = 0, time.Time{}
	if server.failureShare < failureThreshold/2 {
		server.backoff = 0
	}
	return restarted
}

// recordSlowdown records the time that the server has taken so far without a response.
func (server *server) recordSlowdown(relative float64) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.updateSlowdown(relative)
}

// updateSlowdown must be called with the mutex held.
func (server *server) updateSlowdown(relative float64) {
	server.samples++
	server.slowdown += (min(relative, maxSlowdownSample) - server.slowdown) * slowdownWeight
}

// recordFailure starts a backoff when the server was unreachable, and has the server avoided when it fails often. It
// returns for how long, or zero when neither starts.
func (server *server) recordFailure(unreachable bool, now time.Time) time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.failureShare += (1 - server.failureShare) * failureWeight
	if !unreachable && server.failureShare < failureThreshold {
		return 0
	}
	if now.Before(server.backoffUntil) || now.Before(server.avoidUntil) {
		return 0
	}
	server.backoff = min(max(2*server.backoff, minBackoff), maxBackoff)
	if unreachable {
		server.backoffUntil = now.Add(server.backoff)
		server.onProbation = true
	} else {
		server.avoidUntil = now.Add(server.backoff)
	}
	return server.backoff
}

// recordMisdirected suspends the server because another server has its address. It returns for how long.
func (server *server) recordMisdirected(now time.Time) time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.misdirectedUntil = now.Add(misdirectedBackoff)
	return misdirectedBackoff
}

// clearMisdirected ends the suspension of a misdirected server when its entry has changed.
func (server *server) clearMisdirected() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.misdirectedUntil = time.Time{}
}

// candidate returns the state of the server as a candidate for a decision.
func (server *server) candidate(object uint64, scale float64, now time.Time) Candidate {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	cold := now.Before(server.coldUntil)
	candidate := Candidate{
		ID:          server.ID,
		Region:      server.Region,
		Score:       score(object, server.hash),
		Slots:       server.Slots,
		Load:        server.load(scale, now),
		Slowdown:    1,
		Slowness:    currentSlowness(server.slowness, now.Sub(server.slownessAt)),
		OnProbation: server.onProbation,
		Suspended:   server.suspended(cold, now),
		Cold:        cold,
		Avoided:     now.Before(server.avoidUntil),
		Unused:      server.sent.Load() == 0 && cold && server.warmUpAssigned(),
		RateLimit:   server.directive.rateLimit,
		Leaving:     server.leaving(now),
	}
	if server.refusing(now) {
		candidate.Suspended, candidate.Refusing = true, true
	}
	if server.overLimit(candidate.RateLimit, now) {
		candidate.Suspended, candidate.OverLimit = true, true
	}
	// One request at a time probes whether a server that failed has recovered.
	if server.onProbation && server.inFlight.Load() > 0 {
		candidate.Suspended = true
	}
	if server.samples >= minSlowdownSamples {
		candidate.Slowdown = server.slowdown
	}
	return candidate
}

// suspended reports whether the server gets no requests from this VM for now. The caller must hold the mutex.
func (server *server) suspended(cold bool, now time.Time) bool {
	if now.Before(server.backoffUntil) || now.Before(server.misdirectedUntil) || server.suspicion.active {
		return true
	}
	return cold && (server.absent || !server.warmUpAssigned() || now.Before(server.nextColdSend))
}

// admit reports whether a request may be sent to the server now. A server that is cold, limits its requests or has refused the last
// one gets at most one request per interval from this VM; a request that is admitted starts a new interval.
func (server *server) admit(coldInterval time.Duration, now time.Time) (allowed bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	cold, rateLimit := now.Before(server.coldUntil), server.directive.rateLimit
	if cold && now.Before(server.nextColdSend) || server.overLimit(rateLimit, now) || server.refusing(now) {
		return false
	}
	if server.refusals > 0 {
		server.refusedUntil = now.Add(server.refusalBackoff())
	}
	if cold {
		server.nextColdSend = now.Add(coldInterval)
	}
	if rateLimit > 0 {
		server.nextLimitedSend = now.Add(server.limitInterval(rateLimit))
	}
	return true
}
