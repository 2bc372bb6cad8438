package model

import (
	"slices"
	"time"

	"oleandervane.example"
)

// events are the things that can happen in a step, with their relative frequency.
var events = []struct {
	weight int
	happen func(world *World)
}{
	{14, (*World).callerActs},
	{16, (*World).deliver},
	{16, (*World).advanceWork},
	{3, (*World).timePasses},
	{1, (*World).clockSteps},
	{2, (*World).pauseOrResume},
	{2, (*World).cutOrHeal},
	{2, (*World).splitOrJoin},
	{1, (*World).replace},
	{3, (*World).refreshView},
	{1, (*World).storeFailsOrRecovers},
}

func (world *World) step() {
	total := 0
	for _, event := range events {
		total += event.weight
	}
	point := world.choose(total)
	for _, event := range events {
		if point < event.weight {
			event.happen(world)
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
		world.tell(message.key, vm.process.Query(message.key))
		return
	case operationRevoke:
		world.tell(message.key, vm.process.Revoke(message.key))
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
	world.tell(message.key, decision.Outcome)
}

// tell records what a VM states, whether or not the response reaches the caller. The caller takes another key only
// when it was told that the filing was answered or not run.
func (world *World) tell(key string, outcome oleandervane.Outcome) {
	if outcome == oleandervane.NotRun {
		world.toldNotRun[key] = true
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

// advanceWork writes a request to a backend server, or finishes one that was written.
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
	world.tell(work.key, work.outcome)
}

// write returns the outcome that a VM knows after one attempt at a backend server.
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

func (world *World) timePasses() {
	world.now += time.Duration(world.choose(int(maxAdvance/time.Second))) * time.Second
}

func (world *World) clockSteps() {
	seconds := world.choose(2*int(maxClockStep/time.Second)) - int(maxClockStep/time.Second)
	world.vms[world.choose(len(world.vms))].clockStep += time.Duration(seconds) * time.Second
}

// A VM is paused, cut or split half as often as it recovers, so that most of the time most VMs work.
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

// replace kills a VM and starts another process at its address. What waited in the socket buffer is lost; what was
// still on its way reaches the new process.
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

// refreshView makes a VM's list of VMs agree with what it can reach. Until then the list is out of date.
func (world *World) refreshView() {
	number := world.choose(len(world.vms))
	if !world.vms[number].paused {
		world.setView(number)
	}
}

func (world *World) setView(number int) {
	viewer, isViewer := world.vms[number].process.(Viewer)
	if !isViewer {
		return
	}
	var view []int
	for other := range world.vms {
		if world.Reaches(number, other) {
			view = append(view, other)
		}
	}
	viewer.SetView(view)
}

func (world *World) storeFailsOrRecovers() {
	world.Store.Down = !world.Store.Down
}
