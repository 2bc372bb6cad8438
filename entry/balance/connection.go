package balance

import (
	"time"

	"oleandervane.example"
)

const (
	// assumedRegionVMs is the smallest number of entry VMs by which a limit is divided. With up to this many VMs in a
	// region, the sum of the limits is safe even if each VM sees only a part of the region.
	assumedRegionVMs = 64
	// viewMargin allows for VMs that see only half of the VMs of their region.
	viewMargin = 2
	// viewWindow is how long a VM that is no longer seen still counts. It exceeds the time for which the connections of
	// such a VM stay open.
	viewWindow = 10 * time.Minute
)

// connectionLimit returns how many connections this VM may have to an instance, so that all VMs of the region
// together stay within maxConnections. This is guaranteed when the region has up to assumedRegionVMs VMs, whatever
// part of the region each VM sees, or when each VM sees at least half of the VMs. If maxConnections is too small for
// one connection per VM, only the VMs whose rank for the instance is small enough get one, and the views of the VMs
// must agree to within a factor of two.
func connectionLimit(maxConnections, maxVMs, rank int) int {
	divisor := max(assumedRegionVMs, viewMargin*maxVMs)
	if limit := maxConnections / divisor; limit > 0 {
		return limit
	}
	if rank < maxConnections/viewMargin {
		return 1
	}
	return 0
}

// vmCount tracks the largest number of VMs that was seen within the last viewWindow. It does so with one maximum for
// the current window and one for the window before.
type vmCount struct {
	current   int
	previous  int
	windowEnd time.Time
}

func (vmCount *vmCount) observe(now time.Time, vms int) int {
	if now.After(vmCount.windowEnd) {
		vmCount.previous = vmCount.current
		vmCount.current = 0
		vmCount.windowEnd = now.Add(viewWindow)
	}
	vmCount.current = max(vmCount.current, vms)
	return max(vmCount.current, vmCount.previous)
}

// regionVMs returns the entry VMs of this VM's region. It includes this VM even if the membership does not list it.
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
