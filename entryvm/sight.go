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

// sight is what steering knows on this VM: summaries, grants, peers and the region's snapshot, as gossip has them.
// It implements share.Sight and grant.Sight.
type sight struct {
	self         oleandervane.EntryVM
	node         *gossip.Node
	measurement  *measurement.Measurement
	timerService oleandervane.TimerService
	vmList       *listReader
	keeper       *grant.Keeper
	counts       *countTopic
	grantFilter  *grantFilter
	publishedAt  time.Time
	log          logrus.FieldLogger
}

var (
	_ share.Sight = (*sight)(nil)
	_ grant.Sight = (*sight)(nil)
)

// Configuration returns the configuration in force.
func (sight *sight) Configuration() *oleandervane.Configuration {
	return sight.node.Configuration()
}

// Summaries returns the newest summaries of all regions.
func (sight *sight) Summaries() []oleandervane.RegionSummary {
	covered := sight.measurement.Summaries()
	summaries := make([]oleandervane.RegionSummary, 0, len(covered))
	for _, summary := range covered {
		summaries = append(summaries, summary.RegionSummary)
	}
	return summaries
}

// Grants returns the grants of all regions, and this VM's own, which it needs for callers whose home region is lost.
func (sight *sight) Grants() []oleandervane.Grant {
	var grants []oleandervane.Grant
	for _, value := range sight.node.Values(topicGrant) {
		if value.Owner == string(sight.self.Region) {
			continue
		}
		grants = append(grants, sight.grantsOf(value)...)
	}
	return append(grants, sight.keeper.Grants()...)
}

func (sight *sight) grantsOf(value gossip.Value) []oleandervane.Grant {
	grants, err := decodeGrants(value)
	if err != nil {
		sight.log.WithError(err).Warn("a value of a peer is dropped")
		return nil
	}
	return grants
}

// LostRegions returns the regions whose entry VMs were known and are all dead. A region that was never heard of is
// not among them.
func (sight *sight) LostRegions() map[oleandervane.Region]bool {
	configuration := sight.node.Configuration()
	if configuration == nil {
		return nil
	}
	membership := sight.node.Membership()
	view := membership.View()
	lost := map[oleandervane.Region]bool{}
	for region := range configuration.Regions {
		_, known := membership.RegionSilence(region)
		if known && len(view.Region(region)) == 0 {
			lost[region] = true
		}
	}
	return lost
}

// Peers returns nothing: gossip keeps the region's snapshot at most some seconds behind its VMs.
func (*sight) Peers() []share.PeerShares { return nil }

// HomePart returns the whole: requests of the region's own callers are bounded by the slots of its backend servers,
// which package balance divides among live VMs, and not by the parts of capacity that grants come from.
func (*sight) HomePart() float64 { return 1 }

// Snapshot returns the region's newest snapshot.
func (sight *sight) Snapshot() (share.Snapshot, bool) {
	content, _ := sight.node.SteeringSnapshot()
	if content == nil {
		return share.Snapshot{}, false
	}
	snapshot, err := share.DecodeSnapshot(content)
	if err != nil {
		sight.log.WithError(err).Warn("the steering snapshot cannot be read")
		return share.Snapshot{}, false
	}
	return snapshot, true
}

// Roster returns this VM's view of the owners of its region's capacity.
func (sight *sight) Roster() grant.RosterView {
	view := grant.RosterView{Now: sight.timerService.Now(), Listed: sight.listed()}
	for _, entryVM := range sight.node.Membership().View().Region(sight.self.Region) {
		view.Alive = append(view.Alive, entryVM.ID)
	}
	for _, value := range sight.node.Values(topicPeerCount) {
		peerCount, err := sight.counts.decode(value)
		if errors.Is(err, errUnknownLists) {
			continue
		}
		if err != nil {
			sight.log.WithError(err).Warn("a value of a peer is dropped")
			continue
		}
		if peerCount.VM != sight.self.ID {
			view.Peers = append(view.Peers, peerCount)
		}
	}
	return view
}

// explain returns what this VM knows that bounds the shares of a flow.
func (sight *sight) explain(flow oleandervane.Flow) []string {
	now := sight.timerService.Now()
	lines := []string{fmt.Sprintf("this VM owns %.3f of the capacity of %s", sight.keeper.Part(), sight.self.Region)}
	for _, summary := range sight.measurement.Summaries() {
		if summary.Service == flow.Service {
			lines = append(lines, fmt.Sprintf("%s: capacity %.0f/s, used %.0f/s, demand %.0f/s, %.0f%% of instances covered, %.1f s old",
				summary.Region, summary.CapacityPerSecond, summary.UsedPerSecond, summary.DemandPerSecond,
				100*summary.Coverage, now.Sub(summary.MeasuredAt).Seconds()))
		}
	}
	for _, grant := range sight.Grants() {
		if grant.Service == flow.Service && grant.From == flow.Home {
			lines = append(lines, fmt.Sprintf("%s grants %.1f/s for %.1f s", grant.To, grant.PerSecond, grant.ExpiresAt.Sub(now).Seconds()))
		}
	}
	return lines
}

// listed returns the entry VMs of this VM's region that the newest known read of the platform's list named. Only some
// VMs read the list; the others know of it from them.
func (sight *sight) listed() []oleandervane.VMID {
	listing := sight.vmList.newest()
	for _, value := range sight.node.Values(topicListedVMs) {
		if value.Owner != string(sight.self.Region) || !value.WrittenAt.After(listing.ReadAt) {
			continue
		}
		vmIDs, err := decodeListedVMs(value)
		if err != nil {
			sight.log.WithError(err).Warn("a value of a peer is dropped")
			continue
		}
		return vmIDs
	}
	return listedIn(listing, sight.self.Region)
}

// publish shares whom this VM counts, and the region's grants if this VM is chosen to speak for it. Only the refresh
// calls it.
func (sight *sight) publish(now time.Time) {
	if now.Sub(sight.publishedAt) < publishPeriod {
		return
	}
	sight.publishedAt = now
	sight.node.Publish(topicPeerCount, gossip.RegionScope, sight.counts.encode(sight.keeper.Count(), now), peerCountLife)
	if listing, fresh := sight.vmList.takeFresh(); fresh {
		content := encodeListedVMs(listedIn(listing, sight.self.Region))
		sight.node.PublishForRegion(topicListedVMs, gossip.RegionScope, content, listedVMsLife)
	}
	if !sight.node.Chosen(grantSpeaker) {
		return
	}
	configuration := sight.node.Configuration()
	if configuration == nil {
		return
	}
	grants := scaleGrants(sight.keeper.Grants(), sight.holders())
	grants = sight.grantFilter.needed(now, configuration, grants, sight.Summaries(), sight.LostRegions())
	sight.node.PublishForRegion(topicGrant, gossip.FleetScope, encodeGrants(sight.self.Region, grants, now), grantLife)
}

// holders returns how many VMs of the region say that they own a part of its capacity, this one included.
func (sight *sight) holders() int {
	holders := 1
	for _, peerCount := range sight.Roster().Peers {
		if peerCount.Holds {
			holders++
		}
	}
	return holders
}

// exchangeQuarantine shares the request fingerprints that this VM refuses and takes over those of others.
func (sight *sight) exchangeQuarantine(quarantine *forward.Quarantine) {
	if list := quarantine.Export(); len(list) > 0 {
		sight.node.PublishUrgently(topicQuarantine, gossip.FleetScope, encodeQuarantine(list), quarantineLife)
	}
	for _, value := range sight.node.Values(topicQuarantine) {
		if value.Owner == string(sight.self.ID) {
			continue
		}
		list, err := decodeQuarantine(value, sight.timerService.Now())
		if err != nil {
			sight.log.WithError(err).Warn("a value of a peer is dropped")
			continue
		}
		quarantine.Import(list)
	}
}
