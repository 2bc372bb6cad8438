package membership

import (
	"slices"
	"time"

	"oleandervane.example"
)

// View is all that is known of the entry VMs at one time. It is immutable.
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

// KnownIn returns how many VMs of a region are known, with those that died in the last 2 hours. VMs that this
// one takes for dead may run on the other side of a partition, so limits that hold for a region together count
// them.
func (view *View) KnownIn(region oleandervane.Region) int {
	return view.known[region]
}

// rebuild publishes a new view. The caller holds the lock.
func (membership *Membership) rebuild() {
	view := &View{
		Self:     membership.self.VM,
		byRegion: map[oleandervane.Region][]oleandervane.EntryVM{},
		byID:     map[oleandervane.VMID]oleandervane.EntryVM{},
		known:    map[oleandervane.Region]int{},
	}
	for _, held := range membership.table.entries {
		vm := held.record.VM
		view.known[vm.Region]++
		if vm.Region != membership.self.VM.Region {
			vm = vm.WithState(max(vm.State, membership.silence[vm.Region]))
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

// rebuildAndTell publishes a new view and returns the call of the subscriber.
func (membership *Membership) rebuildAndTell() []action {
	membership.rebuild()
	if membership.settings.Changed == nil {
		return nil
	}
	return []action{membership.settings.Changed}
}

// updateSilence says whether the state that silence gives a region changed.
func (membership *Membership) updateSilence(now time.Time) bool {
	changed := false
	for name, region := range membership.table.regions {
		state := oleandervane.VMAlive
		silent := now.Sub(region.heardAt)
		if silent > SilenceSuspect {
			state = oleandervane.VMSuspect
		}
		if silent > SilenceDead {
			state = oleandervane.VMDead
		}
		if name != membership.self.VM.Region && membership.silence[name] != state {
			membership.silence[name] = state
			changed = true
		}
	}
	return changed
}

// RegionHeartbeatAge returns how long a region's heartbeat has not advanced here, and whether the region is known.
func (membership *Membership) RegionHeartbeatAge(region oleandervane.Region) (time.Duration, bool) {
	now := membership.settings.TimerService.Now()
	membership.mutex.Lock()
	defer membership.mutex.Unlock()
	view, found := membership.table.regions[region]
	if !found {
		return 0, false
	}
	return max(0, now.Sub(view.heardAt)), true
}
