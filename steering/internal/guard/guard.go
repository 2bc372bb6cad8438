// Package guard lists the rules of steering that the mutation check disables one at a time: with any one disabled, a
// test must fail (TestEveryGuardIsNeeded in package comparison, TestRosterGuardsAreNeeded in package grant). It is
// internal, so that no daemon can disable one.
package guard

// Disabled has the rules that are disabled. The zero value leaves all in force.
type Disabled struct {
	// ShiftCap bounds the shift of a VM's shares towards their target.
	ShiftCap bool
	// Grants bound the shares of other regions.
	Grants bool
	// HomeRoom bounds the home share to capacity less headroom.
	HomeRoom bool
	// LostRegions keeps lost regions from getting a share.
	LostRegions bool
	// Damping keeps a step from overshooting its target.
	Damping bool
	// Link bounds the traffic over the link of two regions.
	Link bool
	// Capacity bounds the rate that a VM admits to its part of its region's capacity less headroom.
	Capacity bool
	// ArrivalCap bounds the increase of the rate that a VM admits from a source region.
	ArrivalCap bool
	// OwnFirst excludes the room for a region's own callers from its grants.
	OwnFirst bool
	// JoinWait keeps a VM that has just started from owning a part.
	JoinWait bool
	// RaiseDelay keeps a VM counted for a time after the last sign of it.
	RaiseDelay bool
}
