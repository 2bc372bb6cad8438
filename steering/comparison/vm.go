package comparison

import (
	"time"

	"oleandervane.example"
	"oleandervane.example/steering/grant"
	"oleandervane.example/steering/share"
)

// vm is one entry VM of a simulation. It gives its decision code its inputs.
type vm struct {
	fleet  *Fleet
	entry  oleandervane.EntryVM
	number int
	region int
	// inRegion is the number of the VM among those of its region.
	inRegion int
	decider  decider
	alive    bool
	paused   bool
	skew     time.Duration
	// heard has what the VM last heard of each VM, by number; log has what it published, by second.
	heard []*published
	log   []*published
	// summaries has the newest figures that the VM knows.
	summaries map[oleandervane.Flow]oleandervane.RegionSummary
	list      []oleandervane.VMID
	// last has the vectors of the VM within the window, for checks.
	last map[oleandervane.Flow][]vectorAt
}

type vectorAt struct {
	second int
	vector oleandervane.ShareVector
}

// published is what a VM tells others in one second.
type published struct {
	vm      *vm
	heardAt time.Time
	grants  []oleandervane.Grant
	count   grant.PeerCount
	shares  share.PeerShares
}

// runs says whether the VM's process makes progress.
func (vm *vm) runs() bool { return vm.alive && !vm.paused }

// Now returns the time by the VM's clock.
func (vm *vm) Now() time.Time { return vm.fleet.timer.Now().Add(vm.skew) }

// Configuration returns the configuration in force.
func (vm *vm) Configuration() *oleandervane.Configuration { return vm.fleet.configuration }

// Summaries returns the figures that have reached the VM.
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

// Grants returns the grants that have reached the VM.
func (vm *vm) Grants() []oleandervane.Grant {
	var grants []oleandervane.Grant
	for _, heard := range vm.heard {
		if heard != nil {
			grants = append(grants, heard.grants...)
		}
	}
	return append(grants, vm.ownGrants()...)
}

// ownGrants are the VM's own, which it needs for flows whose home region is lost.
func (vm *vm) ownGrants() []oleandervane.Grant {
	var own published
	vm.decider.publish(&own)
	return own.grants
}

// LostRegions returns the regions that are known to be lost.
func (vm *vm) LostRegions() map[oleandervane.Region]bool { return vm.fleet.knownLost }

// Peers returns the shares of the VMs of the region that were heard.
func (vm *vm) Peers() []share.PeerShares {
	var peers []share.PeerShares
	for _, heard := range vm.heard {
		if heard != nil && heard.shares.Shares != nil {
			shares := heard.shares
			shares.At = heard.heardAt.Add(vm.skew)
			peers = append(peers, shares)
		}
	}
	return peers
}

// HomePart returns what the VMs of the region own of its capacity.
func (vm *vm) HomePart() float64 {
	if decider, holds := vm.decider.(*grantDecider); holds {
		return decider.keeper.RegionPart()
	}
	return 1
}

// Snapshot returns the region's snapshot.
func (vm *vm) Snapshot() (share.Snapshot, bool) {
	if vm.fleet.storeDown || vm.fleet.snapshots[vm.region] == nil {
		return share.Snapshot{}, false
	}
	snapshot, err := share.DecodeSnapshot(vm.fleet.snapshots[vm.region])
	return snapshot, err == nil
}

// Roster returns the VM's view of its region's VMs.
func (vm *vm) Roster() grant.RosterView {
	now := vm.Now()
	view := grant.RosterView{Now: now, Alive: []oleandervane.VMID{vm.entry.ID}, Listed: vm.list}
	for _, heard := range vm.heard {
		if heard == nil || heard.vm.region != vm.region || heard.vm == vm {
			continue
		}
		count := heard.count
		count.ReceivedAt = heard.heardAt.Add(vm.skew)
		if now.Sub(count.ReceivedAt) <= grant.PeerCountLifetime {
			view.Alive = append(view.Alive, heard.vm.entry.ID)
			view.Peers = append(view.Peers, count)
		}
	}
	return view
}

// start begins a run of the VM without memory.
func (vm *vm) start() {
	vm.alive, vm.paused = true, false
	vm.entry.Incarnation++
	vm.heard = nil
	vm.log = nil
	vm.summaries = map[oleandervane.Flow]oleandervane.RegionSummary{}
	vm.last = map[oleandervane.Flow][]vectorAt{}
	vm.list = nil
	vm.decider = vm.fleet.newDecider(vm)
}
