package placement

import (
	"math"
	"sync"
	"time"

	"oleandervane.example"
)

// Backend servers that share machines with other software slow down and recover several times a second. A server that states how slow
// its machine is answers requests for its state at once, so that a request can avoid the server before it is sent.
const (
	// stateLifetime is how long the state that a server returned replaces the estimate of its load.
	stateLifetime = 100 * time.Millisecond
	// slownessLifetime is the time constant with which a stated slowness loses its weight. Machines change it every half a second.
	slownessLifetime = 300 * time.Millisecond
	// maxStateChecks bounds the servers whose state is read for one request. Each takes a round trip.
	maxStateChecks = 2
	// notableSlowness is the slowness from which a server counts as slowed by its machine: another server may be better.
	notableSlowness = 1.3
	// slownessPeriod is how long states are read after a server of the service has last stated a notable slowness.
	slownessPeriod = time.Minute
)

// slowServices tracks which services have servers whose machines are slow at times.
type slowServices struct {
	mutex  sync.Mutex
	slowAt map[oleandervane.ServiceName]time.Time
}

func (slowServices *slowServices) record(serviceName oleandervane.ServiceName, slowness float64, now time.Time) {
	if slowness < notableSlowness {
		return
	}
	slowServices.mutex.Lock()
	defer slowServices.mutex.Unlock()
	slowServices.slowAt[serviceName] = now
}

func (slowServices *slowServices) contains(serviceName oleandervane.ServiceName, now time.Time) bool {
	slowServices.mutex.Lock()
	defer slowServices.mutex.Unlock()
	slowAt, found := slowServices.slowAt[serviceName]
	return found && now.Sub(slowAt) < slownessPeriod
}

// currentSlowness returns how many times longer than usual work takes at a server that stated a slowness some time ago.
func currentSlowness(stated float64, age time.Duration) float64 {
	if stated <= 0 {
		return 1
	}
	return 1 + (stated-1)*math.Exp(-float64(max(0, age))/float64(slownessLifetime))
}

// statePath returns the path at which to read the state of a server before the request is sent, or an empty string if the state is not
// needed. Cold servers and those that limit their requests accept few requests, and are not avoided.
func (chooser *Chooser) statePath(server *server, candidate Candidate, now time.Time) string {
	table := chooser.placer.view.Load().registry.Table
	if table == nil || chooser.decision.StateChecks >= maxStateChecks || !chooser.placer.slowServices.contains(chooser.request.Service, now) {
		return ""
	}
	if candidate.Cold || candidate.OnProbation || candidate.RateLimit > 0 || server.stateKnown(now) {
		return ""
	}
	return table.Services[chooser.request.Service].HealthPath
}

// StatePath implements forward.StateChecker.
func (reservation *reservation) StatePath() string {
	return reservation.statePath
}

// ObserveState records the state of the server and reports whether it is still the choice for the request.
func (reservation *reservation) ObserveState(metadata oleandervane.ResponseMetadata) (send bool) {
	chooser, now := reservation.chooser, reservation.placer.settings.TimerService.Now()
	chooser.decision.StateChecks++
	if !metadata.LoadKnown {
		return true
	}
	// The request counts as in flight, but the server does not have it yet.
	reservation.server.recordState(metadata.Load, reservation.server.inFlight.Load()-1, now)
	reservation.placer.slowServices.record(reservation.server.Service, metadata.Load.Slowness, now)
	if metadata.Load.Slowness < notableSlowness && metadata.Load.Running < metadata.Load.Slots {
		return true
	}
	reservation.server.inFlight.Add(-1)
	defer reservation.server.inFlight.Add(1)
	_, candidates, _, decision := chooser.decide(reservation.excluded, now)
	return decision.Chosen >= 0 && candidates[decision.Chosen].ID == reservation.server.ID
}

// recordState records the state that the server returned, with the number of requests of this VM that it includes.
func (server *server) recordState(load oleandervane.ReportedLoad, own int64, now time.Time) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.reportedLoad, server.reportedAt, server.stateAt = max(0, float64(load.Running+load.Queued)-float64(own)), now, now
	server.averageLoad += (server.reportedLoad - server.averageLoad) * averageLoadWeight
	server.slowness, server.slownessAt = load.Slowness, now
}

// stateKnown reports whether the state of the server was read a moment ago.
func (server *server) stateKnown(now time.Time) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return now.Sub(server.stateAt) < stateLifetime
}
