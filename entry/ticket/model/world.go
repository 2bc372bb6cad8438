package model

import (
	"time"

	"oleandervane.example"
)

const (
	vmCount     = 3
	callerCount = 3
	// stepsPerHistory is enough for a ticket to be issued, used, lost and queried again several times.
	stepsPerHistory = 200
	// With maxAdvance and maxClockStep, the clock can pass the ticket lifetimes that the tests set.
	maxAdvance   = 20 * time.Second
	maxClockStep = 5 * time.Minute
)

// ChooseFunc returns a number in [0, n). It is the only source of randomness in a history.
type ChooseFunc func(n int) int

// World is the state of one history.
type World struct {
	choose   ChooseFunc
	protocol Protocol
	now      time.Duration
	vms      []*vm
	callers  []*caller
	messages []message
	// Store is the platform's store, for protocols that use it.
	Store *Store

	used           map[string]bool
	runs           map[string]int
	reportedNotRun map[string]bool
	report         Report
}

type vm struct {
	process Process
	// clockStep is the offset of the VM's clock from the true time.
	clockStep time.Duration
	// paused VMs do nothing. Messages to them wait in their socket buffers.
	paused bool
	// cut VMs cannot communicate with callers, and split VMs cannot communicate with other VMs.
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

// work is a request that a VM is running. It is written in one step and finished in a later step.
type work struct {
	key     string
	run     Run
	outcome oleandervane.Outcome
}

// RunHistory simulates one history and returns its report.
func RunHistory(choose ChooseFunc, protocol Protocol) Report {
	world := &World{
		choose:         choose,
		protocol:       protocol,
		Store:          newStore(),
		used:           map[string]bool{},
		runs:           map[string]int{},
		reportedNotRun: map[string]bool{},
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
		if world.reportedNotRun[key] {
			report.FalseNotRun++
		}
	}
	return report
}

// Choose returns a random number in [0, n).
func (world *World) Choose(n int) int { return world.choose(n) }

// Reaches reports whether one VM can call another.
func (world *World) Reaches(from, to int) bool {
	target := world.vms[to]
	return from == to || !target.paused && !target.split && !world.vms[from].split
}

// Process returns the current process of a VM.
func (world *World) Process(vm int) Process { return world.vms[vm].process }

// Clock returns the clock of a VM. The clocks of all VMs start at the same time and then step at random.
func (world *World) Clock(vm int) Clock { return Clock{world: world, vm: vm} }

// Clock is a timer service that only implements Now.
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
