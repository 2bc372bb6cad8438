package balance

import (
	"time"

	"oleandervane.example"
)

const (
	// rampDuration is how long an instance that is new or returned after a gap takes to reach all its slots.
	rampDuration = 10 * time.Second
	// returnGap is the absence, or the ejection, after which an instance counts as new.
	returnGap = 10 * time.Second
	// refreshPeriod is how often ownership and connection limits follow the membership.
	refreshPeriod = time.Second
	// reportSkew bounds the difference of the clocks that time the reports of two entry VMs.
	reportSkew = time.Second
	// staleAfter is the age at which a load value says nothing about the load now.
	staleAfter = 10 * time.Second
)

// Policy names a way to choose among the instances that may take work.
type Policy uint8

// The policies. Owned is the one in use; docs/decisions/0002-backend-choice.md has the figures of all.
const (
	Owned Policy = iota
	Random
	RoundRobin
	LeastLoaded
	TwoChoices
)

// String returns the name of the policy in lower snake case.
func (policy Policy) String() string {
	switch policy {
	case Owned:
		return "owned"
	case Random:
		return "random"
	case RoundRobin:
		return "round_robin"
	case LeastLoaded:
		return "least_loaded"
	case TwoChoices:
		return "two_choices"
	}
	return "unknown"
}

// Settings are the dependencies of a Chooser.
type Settings struct {
	Policy       Policy
	Membership   oleandervane.Membership
	LoadSource   oleandervane.LoadSource
	TimerService oleandervane.TimerService
	// Seed makes random choices repeatable.
	Seed uint64
	// unguarded turns off the guard against instances that attract traffic by failing fast, for tests.
	unguarded bool
}
