package comparison

import (
	"time"

	"oleandervane.example"
	"oleandervane.example/steering/grant"
	"oleandervane.example/steering/share"
)

// vm is one simulated entry VM. It provides the inputs of its decision code.
type vm struct {
	fleet  *Fleet
	entry  oleandervane.EntryVM
	number int
	region int
	// indexInRegion is the number of the VM among the VMs of its region.
	indexInRegion int
	decider       decider
	alive         bool
	paused        bool
	skew          time.Duration
	// receivedNotices has the last notice received from each VM, by VM number; sentNotices has what the VM published, one
	// notice a second.
	receivedNotices []*notice
	sentNotices     []*notice
	// summaries has the newest summaries that the VM has received.
	summaries map[oleandervane.Flow]oleandervane.RegionSummary
	listedIDs []oleandervane.VMID
	// recentVectors has the vectors of the VM within the shift window, for the checker.
	recentVectors map[oleandervane.Flow][]timedVector
}

type timedVector struct {
	second int
	vector oleandervane.ShareVector
}

// notice is what a VM sends to others in one second.
type notice struct {
	vm          *vm
	publishedAt time.Time
	grants      []oleandervane.Grant
	count       grant.PeerCount
	shares      share.PeerShares
}

// running reports whether the VM's process is alive and not paused.
func (vm *vm) running() bool { return vm.alive && !vm.paused }

// Now returns the time of the VM's clock, including its skew.
func (vm *vm) Now() time.Time { return vm.fleet.timer.Now().Add(vm.skew) }

// Configuration returns the configuration in force.
func (vm *vm) Configuration() *oleandervane.Configuration { return vm.fleet.configuration }

// Summaries returns the region summaries that the VM has received, in the order of services and regions.
func (vm *vm) Summaries() []oleandervane.RegionSummary {
	summaries := make([]oleandervane.RegionSummary, 0, len(vm.summaries))
	for _, service := range vm.fleet.deployment.Services {
		for _, region := range vm.fleet.deployment.Regions {
			if summary, found := vm.summaries[oleandervane.Flow{Service: service, Home: region}]; found {
				summaries = append(summaries, summary)
			}
		}
	}
	return summaries
}

// Grants returns the grants that the VM has received, and its own.
func (vm *vm) Grants() []oleandervane.Grant {
	var grants []oleandervane.Grant
	for _, received := range vm.receivedNotices {
		if received != nil {
			grants = append(grants, received.grants...)
		}
	}
	return append(grants, vm.ownGrants()...)
}

// ownGrants returns the grants that the VM issues itself, which it needs for flows whose home region is lost.
func (vm *vm) ownGrants() []oleandervane.Grant {
	var own notice
	vm.decider.publish(&own)
	return own.grants
}

// LostRegions returns the regions whose loss has been detected.
func (vm *vm) LostRegions() map[oleandervane.Region]bool { return vm.fleet.knownLost }

// Peers returns the shares of all VMs from which a notice was received.
func (vm *vm) Peers() []share.PeerShares {
	var peers []share.PeerShares
	for _, received := range vm.receivedNotices {
		if received != nil && received.shares.Shares != nil {
			shares := received.shares
			shares.At = received.publishedAt.Add(vm.skew)
			peers = append(peers, shares)
		}
	}
	return peers
}

// HomePart returns the part of the region's capacity that the region's VMs own.
func (vm *vm) HomePart() float64 {
	if decider, ok := vm.decider.(*grantDecider); ok {
		return decider.controller.RegionPart()
	}
	return 1
}

// Snapshot returns the region's last snapshot, and false if there is none or the store is unavailable.
func (vm *vm) Snapshot() (share.Snapshot, bool) {
	if vm.fleet.storeDown || vm.fleet.snapshots[vm.region] == nil {
		return share.Snapshot{}, false
	}
	snapshot, err := share.DecodeSnapshot(vm.fleet.snapshots[vm.region])
	return snapshot, err == nil
}

// Roster returns the VM's view of the VMs in its region.
func (vm *vm) Roster() grant.RosterView {
	now := vm.Now()
	view := grant.RosterView{Now: now, Alive: []oleandervane.VMID{vm.entry.ID}, Listed: vm.listedIDs}
	for _, received := range vm.receivedNotices {
		if received == nil || received.vm.region != vm.region || received.vm == vm {
			continue
		}
		count := received.count
		count.ReceivedAt = received.publishedAt.Add(vm.skew)
		if now.Sub(count.ReceivedAt) <= grant.PeerCountLifetime {
			view.Alive = append(view.Alive, received.vm.entry.ID)
			view.Peers = append(view.Peers, count)
		}
	}
	return view
}

// start starts the VM's process with a new incarnation and no state.
func (vm *vm) start() {
	vm.alive, vm.paused = true, false
	vm.entry.Incarnation++
	vm.receivedNotices = nil
	vm.sentNotices = nil
	vm.summaries = map[oleandervane.Flow]oleandervane.RegionSummary{}
	vm.recentVectors = map[oleandervane.Flow][]timedVector{}
	vm.listedIDs = nil
	vm.decider = vm.fleet.newDecider(vm)
}
