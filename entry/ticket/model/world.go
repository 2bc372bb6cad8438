package model

import (
	"time"

	"oleandervane.example"
)

const (
	vmCount     = 3
	callerCount = 3
	// stepsPerHistory is enough for a ticket to be issued, used, lost and asked for again several times.
	stepsPerHistory = 200
	// maxAdvance and maxClockStep reach past the lifetimes of tickets that the tests set.
	maxAdvance   = 20 * time.Second
	maxClockStep = 5 * time.Minute
)

// Choose returns a number in [0, n). All randomness of a history comes from it.
type Choose func(n int) int

// World is the state of one history.
type World struct {
	choose   Choose
	protocol Protocol
	now      time.Duration
	vms      []*vm
	callers  []*caller
	messages []message
	// Store is the platform's store, for protocols that use it.
	Store *Store

	used       map[string]bool
	runs       map[string]int
	toldNotRun map[string]bool
	report     Report
}

type vm struct {
	process Process
	// clockStep is by how much the VM's clock is off.
	clockStep time.Duration
	// paused VMs do nothing; what is sent to them waits in their socket buffer.
	paused bool
	// cut VMs exchange nothing with callers, split ones nothing with other VMs.
	cut   bool
	split bool
	work  []*work
}

type caller struct {
	key     string
	issuing int
}

type operation uint8

const (
	operationRequest operation = iota
	operationQuery
	operationRevoke
)

type message struct {
	operation operation
	key       string
	vm        int
}

// work is a request that a VM runs. It is written in one step and finished in a later one.
type work struct {
	key     string
	run     Run
	outcome oleandervane.Outcome
}

// Play runs one history and reports on it.
func Play(choose Choose, protocol Protocol) Report {
	world := &World{
		choose:     choose,
		protocol:   protocol,
		Store:      newStore(),
		used:       map[string]bool{},
		runs:       map[string]int{},
		toldNotRun: map[string]bool{},
	}
	for range vmCount {
		world.vms = append(world.vms, &vm{})
	}
	for number := range world.vms {
		world.start(number)
	}
	for range callerCount {
		world.callers = append(world.callers, &caller{})
	}
	for range stepsPerHistory {
		world.step()
	}
	return world.conclude()
}

func (world *World) conclude() Report {
	report := world.report
	report.Histories = 1
	report.StoreWrites = world.Store.Writes
	report.StoreRefusals = world.Store.Refusals
	for key, runs := range world.runs {
		report.Runs += runs
		if runs > 1 {
			report.DoubleRuns++
		}
		if world.toldNotRun[key] {
			report.FalseNotRun++
		}
	}
	return report
}

// Choose returns a random number in [0, n).
func (world *World) Choose(n int) int { return world.choose(n) }

// Reaches says whether one VM can call another.
func (world *World) Reaches(from, to int) bool {
	target := world.vms[to]
	return from == to || !target.paused && !target.split && !world.vms[from].split
}

// Process returns the process that a VM runs now.
func (world *World) Process(vm int) Process { return world.vms[vm].process }

// Clock returns the clock of a VM. It starts at the same time on all VMs and then steps at random.
func (world *World) Clock(vm int) Clock { return Clock{world: world, vm: vm} }

// Clock is a timer service that only tells the time.
type Clock struct {
	world *World
	vm    int
}

var _ oleandervane.TimerService = Clock{}

// Now returns the time by the VM's clock.
func (clock Clock) Now() time.Time {
	return time.Unix(1_800_000_000, 0).Add(clock.world.now + clock.world.vms[clock.vm].clockStep)
}

// Every never ticks.
func (Clock) Every(time.Duration, func(time.Time)) (cancel func()) { return func() {} }

// After never fires.
func (Clock) After(time.Duration, func(time.Time)) (cancel func()) { return func() {} }
