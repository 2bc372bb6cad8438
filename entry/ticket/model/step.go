package model

import (
	"slices"
	"time"

	"oleandervane.example"
)

// events are the possible events of a step, with their relative frequencies.
var events = []struct {
	weight int
	apply  func(world *World)
}{
	{14, (*World).callerActs},
	{16, (*World).deliver},
	{16, (*World).advanceWork},
	{3, (*World).advanceTime},
	{1, (*World).stepClock},
	{2, (*World).pauseOrResume},
	{2, (*World).cutOrHeal},
	{2, (*World).splitOrJoin},
	{1, (*World).replace},
	{3, (*World).refreshView},
	{1, (*World).failOrRecoverStore},
}

func (world *World) step() {
	total := 0
	for _, event := range events {
		total += event.weight
	}
	point := world.choose(total)
	for _, event := range events {
		if point < event.weight {
			event.apply(world)
			return
		}
		point -= event.weight
	}
}

func (world *World) callerActs() {
	caller := world.callers[world.choose(len(world.callers))]
	if caller.key == "" {
		world.startFiling(caller)
		return
	}
	message := message{key: caller.key, vm: caller.issuing}
	if world.choose(3) == 0 {
		message.vm = world.choose(len(world.vms))
	}
	switch point := world.choose(16); {
	case point < 2:
		message.operation = operationQuery
	case point < 3:
		message.operation = operationRevoke
	default:
		world.report.Sends++
	}
	world.messages = append(world.messages, message)
}

func (world *World) startFiling(caller *caller) {
	number := world.choose(len(world.vms))
	vm := world.vms[number]
	if vm.paused || vm.cut {
		return
	}
	key, issued := vm.process.Issue()
	if !issued {
		return
	}
	caller.key, caller.issuing = key, number
	world.report.Filings++
}

func (world *World) deliver() {
	if len(world.messages) == 0 {
		return
	}
	index := world.choose(len(world.messages))
	message := world.messages[index]
	vm := world.vms[message.vm]
	if vm.paused {
		return
	}
	world.messages = slices.Delete(world.messages, index, index+1)
	if vm.cut {
		return
	}
	world.receive(message, vm)
}

func (world *World) receive(message message, vm *vm) {
	switch message.operation {
	case operationQuery:
		world.respond(message.key, vm.process.Query(message.key))
		return
	case operationRevoke:
		world.respond(message.key, vm.process.Revoke(message.key))
		return
	}
	decision := vm.process.Receive(message.key)
	if decision.Run != nil {
		world.used[message.key] = true
		vm.work = append(vm.work, &work{key: message.key, run: decision.Run})
		return
	}
	if !world.used[message.key] {
		world.report.Refusals++
	}
	world.respond(message.key, decision.Outcome)
}

// respond records the outcome that a VM reports, whether or not the response reaches the caller. The caller starts a
// filing with another key only after it received the outcome answered or not run.
func (world *World) respond(key string, outcome oleandervane.Outcome) {
	if outcome == oleandervane.NotRun {
		world.reportedNotRun[key] = true
	}
	if outcome == oleandervane.Unknown || world.choose(5) == 0 {
		return
	}
	for _, caller := range world.callers {
		if caller.key == key {
			caller.key = ""
		}
	}
}

// advanceWork writes a request to a backend server, or finishes a request that was written before.
func (world *World) advanceWork() {
	vm := world.vms[world.choose(len(world.vms))]
	if vm.paused || len(vm.work) == 0 {
		return
	}
	index := world.choose(len(vm.work))
	work := vm.work[index]
	if work.outcome == "" {
		work.outcome = world.write(work)
		return
	}
	vm.work = slices.Delete(vm.work, index, index+1)
	work.run.Finish(work.outcome)
	world.respond(work.key, work.outcome)
}

// write returns the outcome that a VM observes after one attempt at a backend server.
func (world *World) write(work *work) oleandervane.Outcome {
	if work.run.CheckBeforeWrite() != nil {
		return oleandervane.NotRun
	}
	switch world.choose(10) {
	case 0: // No connection could be opened, or the backend server shed the request.
		return oleandervane.NotRun
	case 1: // The connection broke after the write; the request had not begun.
		return oleandervane.Unknown
	case 2: // The connection broke after the write; the request ran.
		world.runs[work.key]++
		return oleandervane.Unknown
	}
	world.runs[work.key]++
	return oleandervane.Answered
}

func (world *World) advanceTime() {
	world.now += time.Duration(world.choose(int(maxAdvance/time.Second))) * time.Second
}

func (world *World) stepClock() {
	seconds := world.choose(2*int(maxClockStep/time.Second)) - int(maxClockStep/time.Second)
	world.vms[world.choose(len(world.vms))].clockStep += time.Duration(seconds) * time.Second
}

// pauseOrResume, cutOrHeal and splitOrJoin make a VM fail half as often as it recovers, so that most VMs work most of
// the time.
func (world *World) pauseOrResume() {
	vm := world.vms[world.choose(len(world.vms))]
	vm.paused = !vm.paused && world.choose(2) == 0
}

func (world *World) cutOrHeal() {
	vm := world.vms[world.choose(len(world.vms))]
	vm.cut = !vm.cut && world.choose(2) == 0
}

func (world *World) splitOrJoin() {
	vm := world.vms[world.choose(len(world.vms))]
	vm.split = !vm.split && world.choose(2) == 0
}

// replace kills a VM and starts another process at its address. Messages in the socket buffer are lost, and messages
// that are still under way reach the new process.
func (world *World) replace() {
	number := world.choose(len(world.vms))
	if world.choose(2) == 0 {
		world.messages = slices.DeleteFunc(world.messages, func(message message) bool { return message.vm == number })
	}
	world.start(number)
}

func (world *World) start(number int) {
	vm := world.vms[number]
	vm.work = nil
	vm.paused = false
	vm.process = world.protocol(world, number)
	world.setView(number)
}

// refreshView updates a VM's list of VMs to those that it can reach. Until then, the list is stale.
func (world *World) refreshView() {
	number := world.choose(len(world.vms))
	if !world.vms[number].paused {
		world.setView(number)
	}
}

func (world *World) setView(number int) {
	observer, isObserver := world.vms[number].process.(MembershipObserver)
	if !isObserver {
		return
	}
	var view []int
	for other := range world.vms {
		if world.Reaches(number, other) {
			view = append(view, other)
		}
	}
	observer.SetView(view)
}

func (world *World) failOrRecoverStore() {
	world.Store.Unavailable = !world.Store.Unavailable
}
