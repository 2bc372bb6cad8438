// Package model plays random histories of callers and entry VMs that fail, over a protocol that is to run each
// request at most once, and counts where the protocol breaks its promise or refuses work. Package ticket is checked
// with it, and the alternatives that decision 0001 weighs are measured with it.
package model

import "oleandervane.example"

// Protocol starts the process of a VM. It is called again when the VM is replaced.
type Protocol func(world *World, vm int) Process

// Process is what one incarnation of a VM does with requests. A key identifies a filing of a caller.
type Process interface {
	// Issue returns the key of a new filing, or false when the VM gives none.
	Issue() (key string, issued bool)
	// Receive decides on a request that has arrived.
	Receive(key string) Decision
	Query(key string) oleandervane.Outcome
	Revoke(key string) oleandervane.Outcome
}

// Decision is to run the request when Run is set, and otherwise what the caller is told.
type Decision struct {
	Run     Run
	Outcome oleandervane.Outcome
}

// Run is one run of a request.
type Run interface {
	// CheckBeforeWrite is called immediately before the first byte goes to a backend server.
	CheckBeforeWrite() error
	Finish(outcome oleandervane.Outcome)
}

// Viewer is a process whose decisions depend on its own list of VMs.
type Viewer interface {
	SetView(vms []int)
}

// Report counts what happened in histories.
type Report struct {
	Histories int
	Filings   int
	Sends     int
	Runs      int
	// DoubleRuns is the number of keys whose request ran more than once.
	DoubleRuns int
	// FalseNotRun is the number of keys that were said not to run although their request ran, before or after.
	FalseNotRun int
	// Refusals is the number of requests that were turned away although their key had not been used by any VM.
	Refusals int
	// StoreRefusals is the number of requests that were turned away because the store was down.
	StoreRefusals int
	StoreWrites   int
}

// Plus returns the sum of two reports.
func (report Report) Plus(other Report) Report {
	report.Histories += other.Histories
	report.Filings += other.Filings
	report.Sends += other.Sends
	report.Runs += other.Runs
	report.DoubleRuns += other.DoubleRuns
	report.FalseNotRun += other.FalseNotRun
	report.Refusals += other.Refusals
	report.StoreRefusals += other.StoreRefusals
	report.StoreWrites += other.StoreWrites
	return report
}
