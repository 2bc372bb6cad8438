package entryvm

import (
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/gossip"
	"oleandervane.example/fleet/membership"
	"oleandervane.example/steering/drain"
	"oleandervane.example/steering/share"
)

// planDrains plans the drains of the configuration in force. Drains are validated when they are published. A VM that
// starts later must not refuse a drain that has already begun, so the zero time is passed as the current time. Plans of
// drains of entry VMs depend on the number of entry VMs, so they are recomputed from the current membership on each
// call.
func (entryVM *EntryVM) planDrains() {
	configuration := entryVM.daemon.Node.Configuration()
	if configuration == nil || (len(configuration.Drains) == 0 && len(*entryVM.plans.Load()) == 0) {
		return
	}
	view := entryVM.daemon.Node.Membership().View()
	measurements := drain.Measurements{EntryVMs: map[oleandervane.Region]int{}}
	for region := range configuration.Regions {
		measurements.EntryVMs[region] = len(view.Region(region))
	}
	located := configuration.WithDrains(locateDrains(configuration.Drains, view))
	plans, refusals := drain.New(&located, measurements, time.Time{})
	entryVM.plans.Store(&plans)
	if entryVM.loggedDrainsRevision == configuration.Revision {
		return
	}
	entryVM.loggedDrainsRevision = configuration.Revision
	for _, refusal := range refusals {
		entryVM.log.WithError(refusal.Reason).WithField(FieldDrain, refusal.Drain.Name).Warn("drain is refused and not carried out")
	}
	for _, plan := range plans {
		entryVM.log.WithField(FieldDrain, plan.Drain.Name).Info(plan.String())
	}
}

// locateDrains returns the drains; those that name only entry VMs get the region of the first of them.
func locateDrains(drains []oleandervane.Drain, view *membership.View) []oleandervane.Drain {
	located := slices.Clone(drains)
	for i, planned := range located {
		if planned.Region != "" || len(planned.EntryVMs) == 0 {
			continue
		}
		if entryVM, known := view.VM(planned.EntryVMs[0]); known {
			located[i].Region = entryVM.Region
		}
	}
	return located
}

func (entryVM *EntryVM) drainState(now time.Time, region oleandervane.Region, serviceName oleandervane.ServiceName) share.DrainState {
	return entryVM.plans.Load().DrainState(now, region, serviceName)
}

// drainedEntryVMs returns the entry VMs that look-up responses must not name because of a drain.
func drainedEntryVMs(plans drain.Plans, now time.Time) map[oleandervane.VMID]bool {
	drained := map[oleandervane.VMID]bool{}
	for _, plan := range plans {
		if now.Before(plan.Start) || !now.Before(plan.Drain.ReturnAt) {
			continue
		}
		for _, vmID := range plan.Drain.EntryVMs {
			drained[vmID] = true
		}
	}
	return drained
}

// markDrained returns the backend servers and marks as leaving those that a drain requires to be empty by now.
func markDrained(plans drain.Plans, now time.Time, backendServers []oleandervane.BackendServer) []oleandervane.BackendServer {
	var marked []oleandervane.BackendServer
	for i, backendServer := range backendServers {
		if backendServer.Leaving || !isDrained(plans, now, backendServer) {
			continue
		}
		if marked == nil {
			marked = append(marked, backendServers...)
		}
		marked[i] = backendServer.WithLeaving(true)
	}
	if marked == nil {
		return backendServers
	}
	return marked
}

func isDrained(plans drain.Plans, now time.Time, backendServer oleandervane.BackendServer) bool {
	for _, plan := range plans {
		planned := plan.Drain
		if now.Before(planned.EmptyFrom) || !now.Before(planned.ReturnAt) {
			continue
		}
		switch planned.Target {
		case oleandervane.DrainRegion:
			if planned.Region == backendServer.Region {
				return true
			}
		case oleandervane.DrainFailureDomain:
			if planned.FailureDomain == backendServer.FailureDomain {
				return true
			}
		case oleandervane.DrainBackendGroup:
			if planned.FailureDomain == backendServer.FailureDomain && planned.Service == backendServer.Service {
				return true
			}
		}
	}
	return false
}

// drainingNode is the gossip node with the backend servers of drains marked as leaving, so that the reported capacity
// of a region excludes them.
type drainingNode struct {
	*gossip.Node
	entryVM *EntryVM
}

// BackendServers returns the backend servers of this VM's region and the time at which the platform's list was read.
func (drainingNode drainingNode) BackendServers() ([]oleandervane.BackendServer, time.Time) {
	backendServers, readAt := drainingNode.Node.BackendServers()
	entryVM := drainingNode.entryVM
	return markDrained(*entryVM.plans.Load(), entryVM.timerService.Now(), backendServers), readAt
}
