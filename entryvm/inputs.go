package entryvm

import (
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
	"oleandervane.example/fleet/gossip"
	"oleandervane.example/fleet/measurement"
	"oleandervane.example/steering/grant"
	"oleandervane.example/steering/share"
)

// publishPeriod is how often a VM publishes its peer count and, if it is chosen to, the grants of its region. Grants
// expire after 5 s.
const publishPeriod = 2 * time.Second

// inputs provides the steering components with summaries, grants, peers and the region's snapshot from gossip. It
// implements share.Inputs and grant.Inputs.
type inputs struct {
	self            oleandervane.EntryVM
	node            *gossip.Node
	measurement     *measurement.Measurement
	timerService    oleandervane.TimerService
	vmList          *listReader
	grantController *grant.Controller
	peerCounts      *peerCountCodec
	grantFilter     *grantFilter
	publishedAt     time.Time
	log             logrus.FieldLogger
}

var (
	_ share.Inputs = (*inputs)(nil)
	_ grant.Inputs = (*inputs)(nil)
)

// Configuration returns the configuration in force.
func (inputs *inputs) Configuration() *oleandervane.Configuration {
	return inputs.node.Configuration()
}

// Summaries returns the newest summaries of all regions.
func (inputs *inputs) Summaries() []oleandervane.RegionSummary {
	covered := inputs.measurement.Summaries()
	summaries := make([]oleandervane.RegionSummary, 0, len(covered))
	for _, summary := range covered {
		summaries = append(summaries, summary.RegionSummary)
	}
	return summaries
}

// Grants returns the grants of all other regions and this VM's own grants, which are needed for callers whose home
// region is lost.
func (inputs *inputs) Grants() []oleandervane.Grant {
	var received []receivedGrants
	for _, value := range inputs.node.Values(topicGrant) {
		grants, err := decodeGrants(value)
		if err != nil {
			inputs.log.WithError(err).Warn("dropping a value of a peer that cannot be decoded")
			continue
		}
		received = append(received, receivedGrants{writtenAt: value.WrittenAt, grants: grants})
	}
	return append(newestGrants(received, inputs.self.Region), inputs.grantController.Grants()...)
}

// LostRegions returns the regions that have had entry VMs, all of which are dead now. A region that has never sent a
// heartbeat is not included.
func (inputs *inputs) LostRegions() map[oleandervane.Region]bool {
	configuration := inputs.node.Configuration()
	if configuration == nil {
		return nil
	}
	membership := inputs.node.Membership()
	view := membership.View()
	lost := map[oleandervane.Region]bool{}
	for region := range configuration.Regions {
		_, known := membership.RegionHeartbeatAge(region)
		if known && len(view.Region(region)) == 0 {
			lost[region] = true
		}
	}
	return lost
}

// Peers returns nil: gossip keeps the region's snapshot at most some seconds behind the VMs of the region, so the
// shares of single peers are not needed.
func (*inputs) Peers() []share.PeerShares { return nil }

// HomePart returns 1, the whole capacity: requests of the region's own callers are limited by the slots of its backend
// servers, which package balance divides among live VMs, and not by the parts of capacity from which grants are made.
func (*inputs) HomePart() float64 { return 1 }

// Snapshot returns the region's newest snapshot.
func (inputs *inputs) Snapshot() (share.Snapshot, bool) {
	content, _ := inputs.node.SteeringSnapshot()
	if content == nil {
		return share.Snapshot{}, false
	}
	snapshot, err := share.DecodeSnapshot(content)
	if err != nil {
		inputs.log.WithError(err).Warn("decoding the steering snapshot failed")
		return share.Snapshot{}, false
	}
	return snapshot, true
}

// Roster returns this VM's view of the VMs that own parts of the capacity of its region.
func (inputs *inputs) Roster() grant.RosterView {
	view := grant.RosterView{Now: inputs.timerService.Now(), Listed: inputs.listed()}
	for _, entryVM := range inputs.node.Membership().View().Region(inputs.self.Region) {
		view.Alive = append(view.Alive, entryVM.ID)
	}
	for _, value := range inputs.node.Values(topicPeerCount) {
		peerCount, err := inputs.peerCounts.decode(value)
		if errors.Is(err, errUnknownLists) {
			continue
		}
		if err != nil {
			inputs.log.WithError(err).Warn("dropping a value of a peer that cannot be decoded")
			continue
		}
		if peerCount.VM != inputs.self.ID {
			view.Peers = append(view.Peers, peerCount)
		}
	}
	return view
}

// explain describes the values on this VM that limit the shares of a flow: its part of the capacity, the summaries of
// the regions and the grants.
func (inputs *inputs) explain(flow oleandervane.Flow) []string {
	now := inputs.timerService.Now()
	lines := []string{fmt.Sprintf("this VM owns %.3f of the capacity of %s", inputs.grantController.Part(), inputs.self.Region)}
	for _, summary := range inputs.measurement.Summaries() {
		if summary.Service == flow.Service {
			lines = append(lines, fmt.Sprintf("%s: capacity %.0f/s, used %.0f/s, demand %.0f/s, %.0f%% of instances covered, %.1f s old",
				summary.Region, summary.CapacityPerSecond, summary.UsedPerSecond, summary.DemandPerSecond,
				100*summary.Coverage, now.Sub(summary.MeasuredAt).Seconds()))
		}
	}
	for _, grant := range inputs.Grants() {
		if grant.Service == flow.Service && grant.From == flow.Home {
			lines = append(lines, fmt.Sprintf("%s grants %.1f/s for %.1f s", grant.To, grant.PerSecond, grant.ExpiresAt.Sub(now).Seconds()))
		}
	}
	return lines
}

// listed returns the entry VMs of this VM's region in the latest read of the platform's VM list that is known here.
// Only some VMs read the list; the others receive it from them.
func (inputs *inputs) listed() []oleandervane.VMID {
	listing := inputs.vmList.newest()
	for _, value := range inputs.node.Values(topicListedVMs) {
		if value.Owner != string(inputs.self.Region) || !value.WrittenAt.After(listing.ReadAt) {
			continue
		}
		vmIDs, err := decodeListedVMs(value)
		if err != nil {
			inputs.log.WithError(err).Warn("dropping a value of a peer that cannot be decoded")
			continue
		}
		return vmIDs
	}
	return listedIn(listing, inputs.self.Region)
}

// publish publishes this VM's peer count, the VM list if this VM has read it since the last call, and the region's
// grants if this VM is chosen to publish them. Only refresh calls it.
func (inputs *inputs) publish(now time.Time) {
	if now.Sub(inputs.publishedAt) < publishPeriod {
		return
	}
	inputs.publishedAt = now
	inputs.node.Publish(topicPeerCount, gossip.RegionScope, inputs.peerCounts.encode(inputs.grantController.Count(), now), peerCountLifetime)
	if listing, updated := inputs.vmList.pollNewest(); updated {
		content := encodeListedVMs(listedIn(listing, inputs.self.Region))
		inputs.node.PublishForRegion(topicListedVMs, gossip.RegionScope, content, listedVMsLifetime)
	}
	if !inputs.node.RanksFirst(grantPublisher) {
		return
	}
	configuration := inputs.node.Configuration()
	if configuration == nil {
		return
	}
	grants := scaleGrants(inputs.grantController.Grants(), inputs.owners())
	grants = inputs.grantFilter.needed(now, configuration, grants, inputs.Summaries(), inputs.LostRegions())
	if len(grants) == 0 {
		return
	}
	// A grant expires after 5 s. Without urgent publication, values wait for the next probe and arrive some seconds
	// late: a source region would have no grant in between, and its shares would fall back each time.
	inputs.node.PublishUrgently(topicGrant, gossip.FleetScope, encodeGrants(inputs.self.Region, grants, now), grantLifetime)
}

// owners returns how many VMs of the region, including this one, report that they own a part of its capacity.
func (inputs *inputs) owners() int {
	owners := 1
	for _, peerCount := range inputs.Roster().Peers {
		if peerCount.OwnsPart {
			owners++
		}
	}
	return owners
}

// syncQuarantine publishes the request fingerprints that this VM has quarantined and imports those of other VMs.
func (inputs *inputs) syncQuarantine(quarantine *forward.Quarantine) {
	if list := quarantine.Export(); len(list) > 0 {
		inputs.node.PublishUrgently(topicQuarantine, gossip.FleetScope, encodeQuarantine(list), quarantineLifetime)
	}
	for _, value := range inputs.node.Values(topicQuarantine) {
		if value.Owner == string(inputs.self.ID) {
			continue
		}
		list, err := decodeQuarantine(value, inputs.timerService.Now())
		if err != nil {
			inputs.log.WithError(err).Warn("dropping a value of a peer that cannot be decoded")
			continue
		}
		quarantine.Import(list)
	}
}
