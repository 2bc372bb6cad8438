package emulation

import (
	"fmt"
	"math"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/roster"
)

// outcome is how one attempt of a caller ended.
type outcome uint8

const (
	succeeded outcome = iota
	refused
	failed
)

const (
	// retryPart is the part of the time left that callers wait at most before they come back.
	retryPart = 3
	// promptRetry is how soon callers come back who do not wait as they are told, or were told nothing.
	promptRetry = 20 * time.Millisecond
	// arrivalBound is the largest factor of the load over its mean, for the thinning of arrivals.
	arrivalBound = 8
)

// request is what a caller wants, over all its attempts.
type request struct {
	world  *world
	kind   Kind
	domain Domain
	caller string
	object string
	cost   time.Duration
	sentAt time.Time
	// attempts counts those of the caller.
	attempts int
	abusive  bool
	gone     bool
	refused  bool
}

func (request *request) patience(now time.Time) time.Duration {
	return time.Duration(request.kind.Patience) - now.Sub(request.sentAt)
}

func (request *request) objectKey() string {
	return string(request.kind.Name) + "/" + request.object
}

// schedule plans the next arrival of a kind in a failure domain, by thinning of the largest rate.
func (world *world) schedule(kind Kind, domain Domain, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	bound := arrivalBound * perSecond
	wait := time.Duration(world.random.ExpFloat64() / bound * float64(time.Second))
	world.manual.After(wait, func(now time.Time) {
		if now.Sub(world.startedAt) >= time.Duration(world.scenario.Length) {
			return
		}
		if world.random.Float64() < world.loadFactor(domain, now)/arrivalBound {
			world.arrive(kind, domain)
		}
		world.schedule(kind, domain, perSecond)
	})
}

// loadFactor is the load of a failure domain at a time as a multiple of its mean.
func (world *world) loadFactor(domain Domain, now time.Time) float64 {
	wave := world.scenario.Wave
	turns := now.Sub(world.startedAt).Seconds()/time.Duration(wave.Period).Seconds() + domain.Phase
	return (1 + wave.Swing*math.Sin(2*math.Pi*turns)) * world.bursts[domain.Name]
}

func (world *world) arrive(kind Kind, domain Domain) {
	work := float64(kind.Work) * (1 + kind.Spread*world.random.NormFloat64())
	request := &request{
		world: world, kind: kind, domain: domain, sentAt: world.manual.Now(),
		caller:  fmt.Sprintf("%s/%d", domain.Name, world.random.IntN(max(1, domain.Callers))),
		object:  fmt.Sprintf("%s/%d", domain.Region, world.random.IntN(kind.Objects)),
		cost:    time.Duration(max(work, float64(kind.Work)/10)),
		abusive: world.random.Float64() < world.abusiveShare,
	}
	request.send()
}

// send connects to one of the VMs that the directory names.
func (request *request) send() {
	world := request.world
	request.attempts++
	named := roster.Nearest(world.entryVMs(), roster.Caller{
		Region: request.domain.Region, FailureDomain: request.domain.Name, Name: request.caller,
	})
	delay := time.Duration(world.scenario.Delays.Caller)
	if len(named) == 0 {
		world.manual.After(delay, func(time.Time) { request.finish(failed, 0) })
		return
	}
	vm := world.vms[named[world.random.IntN(len(named))].ID]
	world.manual.After(delay, func(time.Time) {
		if vm.down {
			request.finish(failed, 0)
			return
		}
		vm.serve(world.index, request)
	})
}

// finish takes the end of an attempt: the caller has its answer, comes back, or gives up.
func (request *request) finish(outcome outcome, retryAfter time.Duration) {
	world, now := request.world, request.world.manual.Now()
	left := request.patience(now)
	if outcome == succeeded {
		world.tally.succeed(request, now)
		return
	}
	request.refused = request.refused || outcome == refused
	again := request.attempts <= request.kind.CallerRetries || request.abusive && request.attempts <= world.abuseTimes
	// What may have run is sent again only if it is idempotent.
	mayRepeat := outcome == refused || routeKinds[request.kind.Kind] != oleandervane.RouteUnsafe
	if !again || !mayRepeat || left <= 0 {
		world.tally.fail(request, outcome)
		return
	}
	wait := promptRetry
	if !request.abusive && outcome == refused {
		wait = min(max(promptRetry, retryAfter), left/retryPart)
	}
	world.manual.After(wait, func(time.Time) { request.send() })
}
