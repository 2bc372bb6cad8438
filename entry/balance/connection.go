package balance

import (
	"time"

	"oleandervane.example"
)

const (
	// assumedRegionVMs is the smallest number of entry VMs that a limit is divided by. With up to this many VMs in a
	// region the sum of the limits is safe whatever part of the region each VM sees.
	assumedRegionVMs = 64
	// viewMargin allows each VM to see only half of the VMs of its region.
	viewMargin = 2
	// viewMemory is how long a VM that is no longer seen still counts: longer than its connections live on.
	viewMemory = 10 * time.Minute
)

// connectionLimit returns how many connections this VM may have to an instance, so that all VMs of the region
// together stay within maxConnections. That holds when the region has up to assumedRegionVMs VMs, whatever each sees,
// or when each sees at least half of the VMs. If maxConnections is too small for one connection each, only the VMs
// whose rank for the instance is small enough have one, and the views must agree to within a factor of two.
func connectionLimit(maxConnections, users, rank int) int {
	divisor := max(assumedRegionVMs, viewMargin*users)
	if limit := maxConnections / divisor; limit > 0 {
		return limit
	}
	if rank < maxConnections/viewMargin {
		return 1
	}
	return 0
}

// userCount tracks the largest number of users seen within viewMemory, in two halves of that time.
type userCount struct {
	current   int
	previous  int
	turnsOver time.Time
}

func (userCount *userCount) observe(now time.Time, users int) int {
	if now.After(userCount.turnsOver) {
		userCount.previous = userCount.current
		userCount.current = 0
		userCount.turnsOver = now.Add(viewMemory)
	}
	userCount.current = max(userCount.current, users)
	return max(userCount.current, userCount.previous)
}

// regionVMs returns the entry VMs of this VM's region, this VM included even if the membership does not list it.
func regionVMs(membership oleandervane.Membership) []oleandervane.EntryVM {
	self := membership.Self()
	found := false
	var result []oleandervane.EntryVM
	for _, entryVM := range membership.EntryVMs() {
		if entryVM.Region != self.Region || entryVM.State == oleandervane.VMDead {
			continue
		}
		found = found || entryVM.ID == self.ID
		result = append(result, entryVM)
	}
	if !found {
		result = append(result, self)
	}
	return result
}
