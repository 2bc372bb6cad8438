package membership

import (
	"slices"
	"time"

	"oleandervane.example"
)

// View is a snapshot of the known entry VMs. It is immutable.
type View struct {
	// EntryVMs are all VMs that are not dead, ordered by id.
	EntryVMs []oleandervane.EntryVM
	Self     oleandervane.EntryVM
	byRegion map[oleandervane.Region][]oleandervane.EntryVM
	byID     map[oleandervane.VMID]oleandervane.EntryVM
	known    map[oleandervane.Region]int
}

// Region returns the VMs of a region that are not dead, ordered by id. The slice must not be changed.
func (view *View) Region(region oleandervane.Region) []oleandervane.EntryVM {
	return view.byRegion[region]
}

// Regions returns the regions in which at least one VM is not dead, in order.
func (view *View) Regions() []oleandervane.Region {
	result := make([]oleandervane.Region, 0, len(view.byRegion))
	for region := range view.byRegion {
		result = append(result, region)
	}
	slices.Sort(result)
	return result
}

// VM returns the VM with that id if it is not dead.
func (view *View) VM(vmID oleandervane.VMID) (oleandervane.EntryVM, bool) {
	vm, found := view.byID[vmID]
	return vm, found
}

// KnownVMCount returns the number of known VMs of a region, including those that died in the last 2 hours. VMs that
// this VM regards as dead may run on the other side of a partition, so limits that apply to a whole region count them.
func (view *View) KnownVMCount(region oleandervane.Region) int {
	return view.known[region]
}

// rebuildView publishes a new view. The caller holds the lock.
func (membership *Membership) rebuildView() {
	view := &View{
		Self:     membership.self.VM,
		byRegion: map[oleandervane.Region][]oleandervane.EntryVM{},
		byID:     map[oleandervane.VMID]oleandervane.EntryVM{},
		known:    map[oleandervane.Region]int{},
	}
	for _, entry := range membership.table.entries {
		vm := entry.record.VM
		view.known[vm.Region]++
		if vm.Region != membership.self.VM.Region {
			vm = vm.WithState(max(vm.State, membership.heartbeatStates[vm.Region]))
		}
		if vm.State != oleandervane.VMDead {
			view.EntryVMs = append(view.EntryVMs, vm)
		}
	}
	slices.SortFunc(view.EntryVMs, compareIDs)
	for _, vm := range view.EntryVMs {
		view.byRegion[vm.Region] = append(view.byRegion[vm.Region], vm)
		view.byID[vm.ID] = vm
	}
	membership.view.Store(view)
}

// rebuildViewAndNotify publishes a new view and returns the call of VMsChanged.
func (membership *Membership) rebuildViewAndNotify() []action {
	membership.rebuildView()
	if membership.settings.VMsChanged == nil {
		return nil
	}
	return []action{membership.settings.VMsChanged}
}

// updateHeartbeatStates derives the states of other regions from the age of their heartbeats and reports whether one
// changed.
func (membership *Membership) updateHeartbeatStates(now time.Time) bool {
	changed := false
	for name, region := range membership.table.regions {
		state := oleandervane.VMAlive
		age := now.Sub(region.heartbeatAt)
		if age > HeartbeatSuspectTimeout {
			state = oleandervane.VMSuspect
		}
		if age > HeartbeatDeadTimeout {
			state = oleandervane.VMDead
		}
		if name != membership.self.VM.Region && membership.heartbeatStates[name] != state {
			membership.heartbeatStates[name] = state
			changed = true
		}
	}
	return changed
}

// RegionHeartbeatAge returns the time since the heartbeat of a region last advanced here, and whether the region is
// known.
func (membership *Membership) RegionHeartbeatAge(region oleandervane.Region) (time.Duration, bool) {
	now := membership.settings.TimerService.Now()
	membership.mutex.Lock()
	defer membership.mutex.Unlock()
	view, found := membership.table.regions[region]
	if !found {
		return 0, false
	}
	return max(0, now.Sub(view.heartbeatAt)), true
}
