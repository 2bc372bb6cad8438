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

// publishPeriod is how often a VM shares whom it counts, and a region its grants. Grants live for 5 s.
const publishPeriod = 2 * time.Second

// inputs is what steering knows on this VM: summaries, grants, peers and the region's snapshot, as gossip has them.
// It implements share.Inputs and grant.Inputs.
type inputs struct {
	self         oleandervane.EntryVM
	node         *gossip.Node
	measurement  *measurement.Measurement
	timerService oleandervane.TimerService
	vmList       *listReader
	keeper       *grant.Controller
	counts       *countTopic
	grantFilter  *grantFilter
	publishedAt  time.Time
	log          logrus.FieldLogger
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

// Grants returns the grants of all regions, and this VM's own, which it needs for callers whose home region is lost.
func (inputs *inputs) Grants() []oleandervane.Grant {
	var heard []heardGrants
	for _, value := range inputs.node.Values(topicGrant) {
		grants, err := decodeGrants(value)
		if err != nil {
			inputs.log.WithError(err).Warn("a value of a peer is dropped")
			continue
		}
		heard = append(heard, heardGrants{writtenAt: value.WrittenAt, grants: grants})
	}
	return append(newestGrants(heard, inputs.self.Region), inputs.keeper.Grants()...)
}

// LostRegions returns the regions whose entry VMs were known and are all dead. A region that was never heard of is
// not among them.
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

// Peers returns nothing: gossip keeps the region's snapshot at most some seconds behind its VMs.
func (*inputs) Peers() []share.PeerShares { return nil }

// HomePart returns the whole: requests of the region's own callers are bounded by the slots of its backend servers,
// which package balance divides among live VMs, and not by the parts of capacity that grants come from.
func (*inputs) HomePart() float64 { return 1 }

// Snapshot returns the region's newest snapshot.
func (inputs *inputs) Snapshot() (share.Snapshot, bool) {
	content, _ := inputs.node.SteeringSnapshot()
	if content == nil {
		return share.Snapshot{}, false
	}
	snapshot, err := share.DecodeSnapshot(content)
	if err != nil {
		inputs.log.WithError(err).Warn("the steering snapshot cannot be read")
		return share.Snapshot{}, false
	}
	return snapshot, true
}

// Roster returns this VM's view of the owners of its region's capacity.
func (inputs *inputs) Roster() grant.RosterView {
	view := grant.RosterView{Now: inputs.timerService.Now(), Listed: inputs.listed()}
	for _, entryVM := range inputs.node.Membership().View().Region(inputs.self.Region) {
		view.Alive = append(view.Alive, entryVM.ID)
	}
	for _, value := range inputs.node.Values(topicPeerCount) {
		peerCount, err := inputs.counts.decode(value)
		if errors.Is(err, errUnknownLists) {
			continue
		}
		if err != nil {
			inputs.log.WithError(err).Warn("a value of a peer is dropped")
			continue
		}
		if peerCount.VM != inputs.self.ID {
			view.Peers = append(view.Peers, peerCount)
		}
	}
	return view
}

// explain returns what this VM knows that bounds the shares of a flow.
func (inputs *inputs) explain(flow oleandervane.Flow) []string {
	now := inputs.timerService.Now()
	lines := []string{fmt.Sprintf("this VM owns %.3f of the capacity of %s", inputs.keeper.Part(), inputs.self.Region)}
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

// listed returns the entry VMs of this VM's region that the newest known read of the platform's list named. Only some
// VMs read the list; the others know of it from them.
func (inputs *inputs) listed() []oleandervane.VMID {
	listing := inputs.vmList.newest()
	for _, value := range inputs.node.Values(topicListedVMs) {
		if value.Owner != string(inputs.self.Region) || !value.WrittenAt.After(listing.ReadAt) {
			continue
		}
		vmIDs, err := decodeListedVMs(value)
		if err != nil {
			inputs.log.WithError(err).Warn("a value of a peer is dropped")
			continue
		}
		return vmIDs
	}
	return listedIn(listing, inputs.self.Region)
}

// publish shares whom this VM counts, and the region's grants if this VM is chosen to publish them. Only the refresh
// calls it.
func (inputs *inputs) publish(now time.Time) {
	if now.Sub(inputs.publishedAt) < publishPeriod {
		return
	}
	inputs.publishedAt = now
	inputs.node.Publish(topicPeerCount, gossip.RegionScope, inputs.counts.encode(inputs.keeper.Count(), now), peerCountLife)
	if listing, fresh := inputs.vmList.takeFresh(); fresh {
		content := encodeListedVMs(listedIn(listing, inputs.self.Region))
		inputs.node.PublishForRegion(topicListedVMs, gossip.RegionScope, content, listedVMsLife)
	}
	if !inputs.node.RanksFirst(grantPublisher) {
		return
	}
	configuration := inputs.node.Configuration()
	if configuration == nil {
		return
	}
	grants := scaleGrants(inputs.keeper.Grants(), inputs.holders())
	grants = inputs.grantFilter.needed(now, configuration, grants, inputs.Summaries(), inputs.LostRegions())
	if len(grants) == 0 {
		return
	}
	// A grant lives for 5 s. Values that wait for the next probe arrive some seconds late, so that a source would lose
	// its room between two of them, and its shares would fall back each time.
	inputs.node.PublishUrgently(topicGrant, gossip.FleetScope, encodeGrants(inputs.self.Region, grants, now), grantLife)
}

// holders returns how many VMs of the region say that they own a part of its capacity, this one included.
func (inputs *inputs) holders() int {
	holders := 1
	for _, peerCount := range inputs.Roster().Peers {
		if peerCount.OwnsPart {
			holders++
		}
	}
	return holders
}

// exchangeQuarantine shares the request fingerprints that this VM refuses and takes over those of others.
func (inputs *inputs) exchangeQuarantine(quarantine *forward.Quarantine) {
	if list := quarantine.Export(); len(list) > 0 {
		inputs.node.PublishUrgently(topicQuarantine, gossip.FleetScope, encodeQuarantine(list), quarantineLife)
	}
	for _, value := range inputs.node.Values(topicQuarantine) {
		if value.Owner == string(inputs.self.ID) {
			continue
		}
		list, err := decodeQuarantine(value, inputs.timerService.Now())
		if err != nil {
			inputs.log.WithError(err).Warn("a value of a peer is dropped")
			continue
		}
		quarantine.Import(list)
	}
}
