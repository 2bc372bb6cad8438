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
	// maxAttempts is what configurations usually allow.
	maxAttempts = 3
	// openLimit is the time that an entry VM spends on a server that does not answer.
	openLimit = 400 * time.Millisecond
)

// vm is an entry VM: the real decisions and a model of the network around them.
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
	vm.start()
	return vm
}

// start gives the VM the memory of a new process.
func (vm *vm) start() {
	retries := vm.world.scenario.Retries
	if first := vm.world.first(); vm.world.variant.OneMind && first != nil && first != vm {
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

// Self returns the VM as its peers see it.
func (vm *vm) Self() oleandervane.EntryVM { return vm.EntryVM }

// EntryVMs returns all VMs of the world.
func (vm *vm) EntryVMs() []oleandervane.EntryVM { return vm.world.entryVMs() }

// serving is a request at a VM.
type serving struct {
	vm       *vm
	request  *request
	route    oleandervane.Route
	deadline time.Time
	chooser  forward.TargetChooser
	decision func() placement.Decision
	rule     forward.RetryPolicy
	excluded []string
	state    forward.RetryState
	ended    bool
	// current is what the attempt in progress holds.
	current     *work
	server      *server
	reservation forward.Reservation
}

// serve handles a request of a caller.
func (vm *vm) serve(index *route.Index, request *request) {
	now := vm.world.manual.Now()
	matched, _ := index.Match(emulatedHost, "/"+string(request.kind.Name)+"/")
	chooser := vm.placer.Chooser(placement.Request{
		Service: request.kind.Service, Route: matched, Object: request.object, Home: vm.Region,
		Urgent: index.Urgent(matched, request.kind.Service),
	})
	serving := &serving{
		vm: vm, request: request, route: matched, chooser: chooser, decision: chooser.Decision,
		deadline: now.Add(min(request.patience(now), matched.TimeLimit)),
		rule:     forward.RetryPolicy{Idempotent: matched.Idempotent(), RetryFailures: true, MaxAttempts: matched.MaxAttempts},
	}
	vm.budget.RecordRequest(request.kind.Service)
	vm.world.manual.After(serving.deadline.Sub(now), func(time.Time) { serving.expire() })
	serving.attempt()
}

// attempt sends the request to the next server, or refuses it.
func (serving *serving) attempt() {
	reservation, err := serving.chooser.Choose(serving.excluded)
	if err != nil {
		serving.unplaced()
		return
	}
	world := serving.vm.world
	serving.reservation, serving.server = reservation, world.servers[reservation.Target().ID]
	serving.excluded = append(serving.excluded, reservation.Target().ID)
	serving.state.Attempts++
	world.tally.attempts++
	serving.current = &work{object: serving.request.objectKey(), cost: serving.request.cost, deadline: serving.deadline}
	current := serving.current
	delay := world.delay(serving.vm.FailureDomain, serving.server.entry.FailureDomain)
	current.done = func(answer answer) {
		world.manual.After(delay, func(time.Time) { serving.receive(current, answer) })
	}
	if serving.server.down {
		world.manual.After(min(openLimit, 2*delay), func(time.Time) { serving.unreachable(current) })
		return
	}
	server := serving.server
	world.manual.After(delay, func(time.Time) { server.arrive(current) })
}

// unplaced ends a request for which there is no server: as not run, or with what an earlier attempt left.
func (serving *serving) unplaced() {
	if serving.state.Attempts > 0 {
		serving.vm.budget.ReturnRetry(serving.request.kind.Service)
	}
	serving.giveUp()
}

func (serving *serving) giveUp() {
	if serving.state.MayHaveRun {
		serving.end(failed)
		return
	}
	serving.end(refused)
}

func (serving *serving) unreachable(work *work) {
	if serving.ended || work != serving.current {
		return
	}
	serving.reservation.Release(oleandervane.AttemptUnreachable)
	serving.next(oleandervane.NotRun, forward.ReasonUnreachable, 0)
}

func (serving *serving) receive(work *work, answer answer) {
	if serving.ended || work != serving.current {
		return
	}
	if observer, observes := serving.reservation.(forward.AnswerObserver); observes && answer.outcome != connectionLost {
		observer.ObserveAnswer(oleandervane.Answer{
			NotRun: answer.outcome == answeredShed, Failed: answer.outcome == answeredFailure,
			Load: answer.load, LoadKnown: true, ColdLeft: answer.cold,
		})
	}
	switch answer.outcome {
	case answered:
		serving.reservation.Release(oleandervane.AttemptAnswered)
		serving.end(succeeded)
	case answeredFailure:
		serving.reservation.Release(oleandervane.AttemptAnswered)
		serving.next(oleandervane.Answered, "", 500)
	case answeredShed:
		serving.reservation.Release(oleandervane.AttemptShed)
		serving.next(oleandervane.NotRun, forward.ReasonShed, 0)
	case answeredLate:
		serving.reservation.Release(oleandervane.AttemptTimedOut)
		serving.end(failed)
	case connectionLost:
		serving.reservation.Release(oleandervane.AttemptBroken)
		serving.next(oleandervane.Unknown, forward.ReasonBroken, 0)
	}
}

// next retries after an attempt that brought no answer, if rule, budget and room allow it.
func (serving *serving) next(outcome oleandervane.Outcome, reason forward.Reason, status int) {
	serving.state.Outcome, serving.state.Reason, serving.state.Status = outcome, reason, status
	serving.state.MayHaveRun = serving.state.MayHaveRun || outcome != oleandervane.NotRun
	serving.state.Abandoned = serving.request.gone
	if serving.rule.MayRetryFailure(serving.state) {
		serving.state.Outcome = oleandervane.Unknown
	}
	if !serving.rule.MayRetry(serving.state) || !serving.vm.budget.AcquireRetry(serving.request.kind.Service) {
		serving.giveUp()
		return
	}
	serving.vm.world.tally.retries++
	serving.attempt()
}

// expire ends a request whose time is up. A server stops at the time limit that it was told.
func (serving *serving) expire() {
	if serving.ended {
		return
	}
	serving.reservation.Release(oleandervane.AttemptTimedOut)
	serving.server.cancel(serving.current)
	serving.end(failed)
}

func (serving *serving) end(outcome outcome) {
	serving.ended = true
	if serving.vm.down {
		outcome = failed
	}
	retryAfter := time.Duration(0)
	if outcome == refused {
		retryAfter = serving.decision().RetryAfter
	}
	world := serving.vm.world
	world.manual.After(time.Duration(world.scenario.Delays.Caller), func(time.Time) {
		serving.request.finish(outcome, retryAfter)
	})
}
