package balance

import (
	"time"

	"oleandervane.example"
)

const (
	// rampDuration is the time in which all slots of an instance that is new, or is back after a gap, are opened.
	rampDuration = 10 * time.Second
	// returnGap is the shortest absence or ejection after which an instance counts as new.
	returnGap = 10 * time.Second
	// refreshPeriod is how often slot ownership and connection limits are recomputed from the membership.
	refreshPeriod = time.Second
	// maxClockSkew bounds the difference between the clocks of two entry VMs that timestamp load reports.
	maxClockSkew = time.Second
	// staleAfter is the age at which a load value no longer indicates the present load.
	staleAfter = 10 * time.Second
)

// Policy selects the algorithm that chooses among the eligible instances.
type Policy uint8

// The policies. Owned is the default; docs/decisions/0002-backend-choice.md compares the figures of all policies.
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
	// Seed makes the random choices reproducible.
	Seed uint64
	// unguarded disables the guard against instances that attract traffic by failing fast. Only tests set it.
	unguarded bool
}
