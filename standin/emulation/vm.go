package emulation

import (
	"fmt"
	"net/netip"
	"time"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
	"oleandervane.example/entry/placement"
	"oleandervane.example/entry/route"
	"oleandervane.example/fleet/exchange"
)

const (
	emulatedHost = "a.example"
	// maxAttempts is the usual limit in configurations.
	maxAttempts = 3
	// connectTimeout is the time after which an entry VM stops connecting to a server that does not respond.
	connectTimeout = 400 * time.Millisecond
)

// vm is an entry VM: the production code for decisions, with a model of the network.
type vm struct {
	oleandervane.EntryVM
	world    *world
	placer   *placement.Placer
	budget   forward.RetryBudget
	down     bool
	exchange *exchange.Exchange
}

func newVM(world *world, domain Domain, number int) *vm {
	vm := &vm{world: world, EntryVM: oleandervane.EntryVM{
		ID:     oleandervane.VMID(fmt.Sprintf("%s-%d", domain.Name, number)),
		Region: domain.Region, FailureDomain: domain.Name, Capacity: 1,
		CallerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(number+1)),
	}}
	vm.reset()
	return vm
}

// reset gives the VM the state of a newly started process.
func (vm *vm) reset() {
	retries := vm.world.scenario.Retries
	if first := vm.world.firstVM(); vm.world.variant.SharedState && first != nil && first != vm {
		vm.placer, vm.budget, vm.exchange = first.placer, first.budget, first.exchange
		return
	}
	vm.placer = placement.NewPlacer(placement.Settings{
		TimerService: vm.world.manual, Membership: vm, Policy: vm.world.variant.policy(),
	})
	vm.budget = forward.NewRetryBudget(vm.world.manual, forward.Allowance{
		Window: time.Duration(retries.Window), Ratio: retries.Ratio,
		Base: func() float64 { return retries.Base / float64(max(1, len(vm.world.vms))) },
	})
	vm.placer.Update(vm.world.registry())
	vm.startExchange()
}

// Self returns the entry of this VM.
func (vm *vm) Self() oleandervane.EntryVM { return vm.EntryVM }

// EntryVMs returns the listed VMs of the world.
func (vm *vm) EntryVMs() []oleandervane.EntryVM { return vm.world.entryVMs() }

// routedRequest is a request of a caller at a VM.
type routedRequest struct {
	vm          *vm
	request     *request
	route       oleandervane.Route
	deadline    time.Time
	chooser     forward.TargetChooser
	decision    func() placement.Decision
	retryPolicy forward.RetryPolicy
	excluded    []string
	state       forward.RetryState
	ended       bool
	// currentWork, server and reservation are those of the attempt in progress.
	currentWork *work
	server      *server
	reservation forward.Reservation
}

// serve handles a request of a caller.
func (vm *vm) serve(index *route.Index, request *request) {
	now := vm.world.manual.Now()
	matched, _ := index.Match(emulatedHost, "/"+string(request.kind.Name)+"/")
	chooser := vm.placer.Chooser(placement.Request{
		Service: request.kind.Service, Route: matched, Object: request.object, Home: vm.Region,
		Urgent: index.Urgent(matched, nil, request.kind.Service),
	})
	routedRequest := &routedRequest{
		vm: vm, request: request, route: matched, chooser: chooser, decision: chooser.Decision,
		deadline:    now.Add(min(request.timeLeft(now), matched.TimeLimit)),
		retryPolicy: forward.RetryPolicy{Idempotent: matched.Idempotent(), RetryFailures: true, MaxAttempts: matched.MaxAttempts},
	}
	vm.budget.RecordRequest(request.kind.Service)
	vm.world.manual.After(routedRequest.deadline.Sub(now), func(time.Time) { routedRequest.expire() })
	routedRequest.attempt()
}

// attempt sends the request to the next chosen server, or ends it if there is none.
func (routedRequest *routedRequest) attempt() {
	reservation, err := routedRequest.chooser.Choose(routedRequest.excluded)
	if err != nil {
		routedRequest.endWithoutServer()
		return
	}
	world := routedRequest.vm.world
	routedRequest.reservation, routedRequest.server = reservation, world.servers[reservation.Target().ID]
	routedRequest.excluded = append(routedRequest.excluded, reservation.Target().ID)
	routedRequest.state.Attempts++
	world.tally.attempts++
	routedRequest.currentWork = &work{object: routedRequest.request.objectKey(), runTime: routedRequest.request.runTime, deadline: routedRequest.deadline}
	current := routedRequest.currentWork
	delay := world.delay(routedRequest.vm.FailureDomain, routedRequest.server.entry.FailureDomain)
	current.done = func(response response) {
		world.manual.After(delay, func(time.Time) { routedRequest.receive(current, response) })
	}
	if routedRequest.server.down {
		world.manual.After(min(connectTimeout, 2*delay), func(time.Time) { routedRequest.unreachable(current) })
		return
	}
	server := routedRequest.server
	world.manual.After(delay, func(time.Time) { server.arrive(current) })
}

// endWithoutServer ends a request for which no server can be chosen, by the outcome of its earlier attempts.
func (routedRequest *routedRequest) endWithoutServer() {
	if routedRequest.state.Attempts > 0 {
		routedRequest.vm.budget.ReturnRetry(routedRequest.request.kind.Service)
	}
	routedRequest.endWithoutResponse()
}

func (routedRequest *routedRequest) endWithoutResponse() {
	if routedRequest.state.MayHaveRun {
		routedRequest.end(failed)
		return
	}
	routedRequest.end(refused)
}

func (routedRequest *routedRequest) unreachable(work *work) {
	if routedRequest.ended || work != routedRequest.currentWork {
		return
	}
	routedRequest.reservation.Release(oleandervane.AttemptUnreachable)
	routedRequest.retryOrEnd(oleandervane.NotRun, forward.ReasonUnreachable, 0)
}

func (routedRequest *routedRequest) receive(work *work, response response) {
	if routedRequest.ended || work != routedRequest.currentWork {
		return
	}
	if observer, observes := routedRequest.reservation.(forward.ResponseObserver); observes && response.outcome != connectionLost {
		metadata := oleandervane.ResponseMetadata{
			NotRun: response.outcome == answeredShed, Failed: response.outcome == answeredFailure,
			Load: response.load, LoadKnown: true, ColdLeft: response.coldLeft,
		}
		if !routedRequest.vm.world.variant.IgnoreDirectives {
			metadata.RateLimit, metadata.Leaving, metadata.RetryAfter = response.rateLimit, response.leaving, response.retryAfter
		}
		observer.ObserveResponse(metadata)
	}
	switch response.outcome {
	case answered:
		routedRequest.reservation.Release(oleandervane.AttemptAnswered)
		routedRequest.end(succeeded)
	case answeredFailure:
		routedRequest.reservation.Release(oleandervane.AttemptAnswered)
		routedRequest.retryOrEnd(oleandervane.Answered, "", 500)
	case answeredShed:
		routedRequest.reservation.Release(oleandervane.AttemptShed)
		routedRequest.retryOrEnd(oleandervane.NotRun, forward.ReasonShed, 0)
	case timedOut:
		routedRequest.reservation.Release(oleandervane.AttemptTimedOut)
		routedRequest.end(failed)
	case connectionLost:
		routedRequest.reservation.Release(oleandervane.AttemptBroken)
		routedRequest.retryOrEnd(oleandervane.Unknown, forward.ReasonBroken, 0)
	}
}

// retryOrEnd retries after a failed attempt if the retry policy and the retry budget allow it and a server can be chosen.
func (routedRequest *routedRequest) retryOrEnd(outcome oleandervane.Outcome, reason forward.Reason, status int) {
	routedRequest.state.Outcome, routedRequest.state.Reason, routedRequest.state.Status = outcome, reason, status
	routedRequest.state.MayHaveRun = routedRequest.state.MayHaveRun || outcome != oleandervane.NotRun
	routedRequest.state.Abandoned = routedRequest.request.abandoned
	if routedRequest.retryPolicy.MayRetryFailure(routedRequest.state) {
		routedRequest.state.Outcome = oleandervane.Unknown
	}
	if !routedRequest.retryPolicy.MayRetry(routedRequest.state) || !routedRequest.vm.budget.AcquireRetry(routedRequest.request.kind.Service) {
		routedRequest.endWithoutResponse()
		return
	}
	routedRequest.vm.world.tally.retries++
	routedRequest.attempt()
}

// expire ends a request at its deadline and cancels it at the server, which applies the same deadline itself.
func (routedRequest *routedRequest) expire() {
	if routedRequest.ended {
		return
	}
	routedRequest.reservation.Release(oleandervane.AttemptTimedOut)
	routedRequest.server.cancel(routedRequest.currentWork)
	routedRequest.end(failed)
}

func (routedRequest *routedRequest) end(outcome outcome) {
	routedRequest.ended = true
	if routedRequest.vm.down {
		outcome = failed
	}
	retryAfter := time.Duration(0)
	if outcome == refused {
		retryAfter = routedRequest.decision().RetryAfter
	}
	world := routedRequest.vm.world
	world.manual.After(time.Duration(world.scenario.Delays.Caller), func(time.Time) {
		routedRequest.request.finishAttempt(outcome, retryAfter)
	})
}
