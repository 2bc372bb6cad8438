package roster

import "oleandervane.example"

// enoughNear is the number of VMs of the caller's own failure domain from which no others are named: a caller whose VM
// has failed needs another one to go to.
const enoughNear = 2

// Nearest returns the VMs that a caller in the failure domain should use: those of its own, else those of its region,
// else all. VMs that leave are not named.
func Nearest(entryVMs []oleandervane.EntryVM, region oleandervane.Region, failureDomain oleandervane.FailureDomain) []oleandervane.EntryVM {
	var near, regional, all []oleandervane.EntryVM
	for _, entryVM := range entryVMs {
		if entryVM.State != oleandervane.VMAlive {
			continue
		}
		all = append(all, entryVM)
		if entryVM.Region == region {
			regional = append(regional, entryVM)
		}
		if entryVM.FailureDomain == failureDomain {
			near = append(near, entryVM)
		}
	}
	switch {
	case len(near) >= enoughNear:
		return near
	case len(regional) > 0:
		return regional
	}
	return all
}
