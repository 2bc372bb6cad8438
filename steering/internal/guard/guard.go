// Package guard names the rules of steering that the mutation check switches off one at a time. It is internal, so
// that no daemon can switch one off.
package guard

// Disabled has the rules that are switched off. The zero value leaves all in force.
type Disabled struct {
	// ShiftCap bounds the way of a VM's shares to their target.
	ShiftCap bool
	// Grants bound the shares of other regions.
	Grants bool
	// HomeRoom bounds the home share to capacity less headroom.
	HomeRoom bool
	// LostRegions get no share.
	LostRegions bool
	// Damping keeps a step from passing its target.
	Damping bool
	// Link bounds what goes over the link of two regions.
	Link bool
	// Capacity bounds what a VM admits to its part of its region's capacity less headroom.
	Capacity bool
	// ArrivalCap bounds the increase of what a VM admits from a source region.
	ArrivalCap bool
	// OwnFirst keeps room for a region's own callers out of its grants.
	OwnFirst bool
	// JoinWait keeps a VM that has just started from holding a part.
	JoinWait bool
	// RaiseDelay keeps a VM counted after it is no longer heard.
	RaiseDelay bool
}
