package emulation

import (
	"fmt"
	"math"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/roster"
)

// outcome is the result of one attempt of a caller.
type outcome uint8

const (
	succeeded outcome = iota
	refused
	failed
)

const (
	// maxRetryWaitDivisor limits the wait of a caller before a retry to the remaining time divided by it.
	maxRetryWaitDivisor = 3
	// minRetryDelay is the delay before a retry of callers that ignore the retry delay in the response or got none.
	minRetryDelay = 20 * time.Millisecond
	// maxLoadFactor is the largest load as a multiple of its mean, for the thinning of arrivals.
	maxLoadFactor = 8
)

// request is a request of a caller with all its attempts.
type request struct {
	world   *world
	kind    Kind
	domain  Domain
	caller  string
	object  string
	runTime time.Duration
	sentAt  time.Time
	// attempts is the number of attempts of the caller; those of entry VMs are not counted.
	attempts  int
	abusive   bool
	abandoned bool
	refused   bool
}

func (request *request) timeLeft(now time.Time) time.Duration {
	return time.Duration(request.kind.Timeout) - now.Sub(request.sentAt)
}

func (request *request) objectKey() string {
	return string(request.kind.Name) + "/" + request.object
}

// scheduleArrivals schedules the next arrival of a kind in a failure domain. Arrivals are drawn at the largest rate and
// thinned to the current one.
func (world *world) scheduleArrivals(kind Kind, domain Domain, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	bound := maxLoadFactor * perSecond
	wait := time.Duration(world.random.ExpFloat64() / bound * float64(time.Second))
	world.manual.After(wait, func(now time.Time) {
		if now.Sub(world.startedAt) >= time.Duration(world.scenario.Length) {
			return
		}
		if world.random.Float64() < world.loadFactor(domain, now)/maxLoadFactor {
			world.sendNewRequest(kind, domain)
		}
		world.scheduleArrivals(kind, domain, perSecond)
	})
}

// loadFactor returns the load of a failure domain at the given time as a multiple of its mean.
func (world *world) loadFactor(domain Domain, now time.Time) float64 {
	wave := world.scenario.Wave
	turns := now.Sub(world.startedAt).Seconds()/time.Duration(wave.Period).Seconds() + domain.Phase
	return (1 + wave.Swing*math.Sin(2*math.Pi*turns)) * world.burstFactors[domain.Name]
}

func (world *world) sendNewRequest(kind Kind, domain Domain) {
	runTime := float64(kind.RunTime) * (1 + kind.Spread*world.random.NormFloat64())
	request := &request{
		world: world, kind: kind, domain: domain, sentAt: world.manual.Now(),
		caller:  fmt.Sprintf("%s/%d", domain.Name, world.random.IntN(max(1, domain.Callers))),
		object:  fmt.Sprintf("%s/%d", domain.Region, world.random.IntN(kind.Objects)),
		runTime: time.Duration(max(runTime, float64(kind.RunTime)/10)),
		abusive: world.random.Float64() < world.abusiveShare,
	}
	request.startAttempt()
}

// startAttempt sends the request to one of the VMs that the directory returns.
func (request *request) startAttempt() {
	world := request.world
	request.attempts++
	nearest := roster.Nearest(world.entryVMs(), roster.Caller{
		Region: request.domain.Region, FailureDomain: request.domain.Name, Name: request.caller,
	})
	delay := time.Duration(world.scenario.Delays.Caller)
	if len(nearest) == 0 {
		world.manual.After(delay, func(time.Time) { request.finishAttempt(failed, 0) })
		return
	}
	vm := world.vms[nearest[world.random.IntN(len(nearest))].ID]
	world.manual.After(delay, func(time.Time) {
		if vm.down {
			request.finishAttempt(failed, 0)
			return
		}
		vm.serve(world.index, request)
	})
}

// finishAttempt handles the end of an attempt: the request succeeds, is retried, or fails.
func (request *request) finishAttempt(outcome outcome, retryAfter time.Duration) {
	world, now := request.world, request.world.manual.Now()
	left := request.timeLeft(now)
	if outcome == succeeded {
		world.tally.succeed(request, now)
		return
	}
	request.refused = request.refused || outcome == refused
	attemptsLeft := request.attempts <= request.kind.CallerRetries || request.abusive && request.attempts <= world.maxAbusiveRetries
	// A request that may have run is retried only if it is idempotent.
	mayRepeat := outcome == refused || routeKinds[request.kind.Kind] != oleandervane.RouteUnsafe
	if !attemptsLeft || !mayRepeat || left <= 0 {
		world.tally.fail(request, outcome)
		return
	}
	wait := minRetryDelay
	if !request.abusive && outcome == refused {
		wait = min(max(minRetryDelay, retryAfter), left/maxRetryWaitDivisor)
	}
	world.manual.After(wait, func(time.Time) { request.startAttempt() })
}
