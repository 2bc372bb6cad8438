// Package model simulates random histories of callers and failing entry VMs with a protocol that is meant to run each
// request at most once. It counts how often the protocol violates this guarantee or refuses requests. It is used to
// test package ticket and to measure the alternatives that decision 0001 compares.
package model

import "oleandervane.example"

// Protocol starts the process of a VM. It is called again when the VM is replaced.
type Protocol func(world *World, vm int) Process

// Process handles the requests at one incarnation of a VM. A key identifies a filing of a caller.
type Process interface {
	// Issue returns the key of a new filing, or false if the VM issues none.
	Issue() (key string, issued bool)
	// Receive decides whether to run a request that has arrived.
	Receive(key string) Decision
	Query(key string) oleandervane.Outcome
	Revoke(key string) oleandervane.Outcome
}

// Decision is the decision to run the request, if Run is set, or otherwise the outcome to report to the caller.
type Decision struct {
	Run     Run
	Outcome oleandervane.Outcome
}

// Run is one run of a request.
type Run interface {
	// CheckBeforeWrite is called immediately before the first byte is written to a backend server.
	CheckBeforeWrite() error
	Finish(outcome oleandervane.Outcome)
}

// MembershipObserver is a process whose decisions depend on its own list of VMs.
type MembershipObserver interface {
	SetView(vms []int)
}

// Report counts the events of histories.
type Report struct {
	Histories int
	Filings   int
	Sends     int
	Runs      int
	// DoubleRuns is the number of keys whose request ran more than once.
	DoubleRuns int
	// FalseNotRun is the number of keys that were reported as not run although their request ran, before or after.
	FalseNotRun int
	// Refusals is the number of requests that were refused although no VM had used their key.
	Refusals int
	// StoreRefusals is the number of requests that were refused because the store was unavailable.
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
