package entryvm

import (
	"fmt"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
	"oleandervane.example/figure"
	"oleandervane.example/fleet/gossip"
	"oleandervane.example/fleet/peer"
	"oleandervane.example/steering/grant"
	"oleandervane.example/steering/share"
)

var now = time.Unix(1_800_000_000, 0)

func newGrant(service oleandervane.ServiceName, perSecond float64, left time.Duration) oleandervane.Grant {
	return oleandervane.Grant{Service: service, From: "huye", To: "kigali", PerSecond: perSecond, ExpiresAt: now.Add(left)}
}

// Guards against grants that outlive their expiry because the clocks of two VMs differ.
func TestGrantsExpireByReceiverClock(t *testing.T) {
	content := encodeGrants("kigali", []oleandervane.Grant{newGrant("ledger", 4, 3*time.Second), newGrant("reports", 0, time.Second)}, now)
	writtenAt := now.Add(-time.Hour)
	grants, err := decodeGrants(gossip.Value{Content: content, WrittenAt: writtenAt})
	assert.NilError(t, err)
	assert.Equal(t, len(grants), 1)
	assert.Equal(t, grants[0].ExpiresAt, writtenAt.Add(3*time.Second))
}

// Guards steering against invalid rates and lifetimes that are too long in messages of peers.
func TestDecodeGrantsRejectsInvalidRates(t *testing.T) {
	message := func(perSecond float32) []byte {
		content, err := proto.Marshal(&peer.Grants{
			Services: []string{"ledger"}, Sources: []string{"huye"}, Service: []uint32{0}, Source: []uint32{0},
			PerSecond: []float32{perSecond}, LeftMillis: math.MaxUint32,
		})
		assert.NilError(t, err)
		return content
	}
	for _, perSecond := range []float32{-1, float32(math.NaN()), float32(math.Inf(1))} {
		_, err := decodeGrants(gossip.Value{Content: message(perSecond)})
		assert.ErrorContains(t, err, "is not a rate")
	}
	grants, err := decodeGrants(gossip.Value{Content: message(1), WrittenAt: now})
	assert.NilError(t, err)
	assert.Equal(t, grants[0].ExpiresAt, now.Add(grant.Lifetime))
}

// Guards the exchange of peer counts between VMs: a VM that missed the lists must not accept a digest instead of them.
func TestPeerCountByDigest(t *testing.T) {
	count := grant.PeerCount{VM: "a", Counted: []oleandervane.VMID{"a", "b"}, Indirect: []oleandervane.VMID{"b"}, OwnsPart: true, ReceivedAt: now}
	sender, receiver, lateReceiver := newPeerCountCodec(), newPeerCountCodec(), newPeerCountCodec()
	decode := func(receiver *peerCountCodec, content []byte) (grant.PeerCount, error) {
		return receiver.decode(gossip.Value{Owner: "a", WrittenAt: now, Content: content})
	}
	decoded, err := decode(receiver, sender.encode(count, now))
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, count)
	digestOnly := sender.encode(count, now.Add(fullListsAfterChange))
	decoded, err = decode(receiver, digestOnly)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, count)
	_, err = decode(lateReceiver, digestOnly)
	assert.ErrorIs(t, err, errUnknownLists)
	decoded, err = decode(lateReceiver, sender.encode(count, now.Add(fullListsAfterChange+fullListsPeriod)))
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, count)
}

// Guards against counting a region's grants twice when two of its VMs publish them.
func TestNewestGrantsOfEachRegionAreUsed(t *testing.T) {
	older, newer, own := newGrant("ledger", 4, time.Second), newGrant("ledger", 6, time.Second), newGrant("ledger", 9, time.Second)
	own.To = "huye"
	grants := newestGrants([]receivedGrants{
		{now, []oleandervane.Grant{older}},
		{now.Add(time.Second), []oleandervane.Grant{newer}},
		{now, []oleandervane.Grant{own}},
		{now, nil},
	}, "huye")
	assert.DeepEqual(t, grants, []oleandervane.Grant{newer})
}

// Guards against a source region losing its grants at any time from before it needs them until its shares are back
// home.
func TestGrantFilterKeepsNeededGrants(t *testing.T) {
	configuration := oleandervane.Configuration{}.WithService(oleandervane.Service{Name: "ledger", Headroom: 0.2})
	summary := func(demand float64) []oleandervane.RegionSummary {
		return []oleandervane.RegionSummary{{Region: "huye", Service: "ledger", CapacityPerSecond: 100, DemandPerSecond: demand}}
	}
	drainStart := now.Add(time.Hour)
	filter := newGrantFilter(func(at time.Time, _ oleandervane.Region, _ oleandervane.ServiceName) share.DrainState {
		if at.Before(drainStart) {
			return share.DrainState{}
		}
		return share.DrainState{Part: 1, Progress: 0.1}
	})
	grants := []oleandervane.Grant{newGrant("ledger", 4, time.Second)}
	steps := []struct {
		at        time.Duration
		summaries []oleandervane.RegionSummary
		lost      bool
		granted   int
	}{
		{0, summary(50), false, 0},
		{time.Second, nil, false, 1},
		{20 * time.Minute, summary(50), false, 0},
		{21 * time.Minute, summary(70), false, 1},
		{30 * time.Minute, summary(10), false, 1},
		{32 * time.Minute, summary(10), false, 0},
		{33 * time.Minute, summary(10), true, 1},
		{50 * time.Minute, summary(10), false, 0},
		{time.Hour - drainLeadTime, summary(10), false, 1},
	}
	for _, step := range steps {
		needed := filter.needed(now.Add(step.at), &configuration, grants, step.summaries, map[oleandervane.Region]bool{"huye": step.lost})
		assert.Equal(t, len(needed), step.granted, "at %s", step.at)
	}
}

// Guards against steering topics that take more than half of the 20 KB/s for control traffic in a fleet of 450 VMs: 41
// VMs in a region, 11 regions, 12 services, while 3 regions need capacity everywhere.
func TestFigureTopicBytes(t *testing.T) {
	const vms, regions, services, fullRegions = 41, 11, 12, 3
	count := grant.PeerCount{OwnsPart: true}
	for number := range vms {
		count.Counted = append(count.Counted, oleandervane.VMID(fmt.Sprintf("occidente-b-%03d", number)))
	}
	counts := newPeerCountCodec()
	complete := len(counts.encode(count, now))
	digest := len(counts.encode(count, now.Add(fullListsAfterChange)))
	var grants []oleandervane.Grant
	for service := range services {
		for region := range fullRegions {
			grants = append(grants, oleandervane.Grant{
				Service:   oleandervane.ServiceName(fmt.Sprintf("pronostico-%d", service)),
				From:      oleandervane.Region(fmt.Sprintf("occidente-%d", region)),
				PerSecond: 12.5, ExpiresAt: now.Add(grant.Lifetime),
			})
		}
	}
	// valueOverhead is what gossip adds to a value: topic, owner, region, version, age and lifetime.
	const valueOverhead = 60
	perSecond := float64(vms*(digest+valueOverhead)+regions*(len(encodeGrants("occidente", grants, now))+valueOverhead)) / publishPeriod.Seconds()
	perSecond += float64(vms*complete) / fullListsPeriod.Seconds()
	figure.Require(t, figure.Figure{Name: "entryvm_steering_topics_bytes", Value: perSecond, Unit: "B/s", Bound: 20_000 / 2})
}

// Guards against a quarantine that becomes longer each time a VM forwards it.
func TestQuarantineShortensWithAge(t *testing.T) {
	list := []forward.QuarantineEntry{{Fingerprint: forward.Fingerprint{1}, TimeLeft: 30 * time.Second}, {Fingerprint: forward.Fingerprint{2}, TimeLeft: 5 * time.Second}}
	value := gossip.Value{Content: encodeQuarantine(list), WrittenAt: now}
	decoded, err := decodeQuarantine(value, now.Add(10*time.Second))
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, []forward.QuarantineEntry{{Fingerprint: forward.Fingerprint{1}, TimeLeft: 20 * time.Second}})
}

// Guards against values of peers that crash or hang a decoder.
func FuzzDecodeTopics(f *testing.F) {
	f.Add(encodeGrants("kigali", []oleandervane.Grant{newGrant("ledger", 4, time.Second)}, now))
	f.Add(newPeerCountCodec().encode(grant.PeerCount{Counted: []oleandervane.VMID{"a"}}, now))
	f.Add(encodeListedVMs([]oleandervane.VMID{"a"}))
	f.Fuzz(func(_ *testing.T, content []byte) {
		value := gossip.Value{Content: content, WrittenAt: now}
		_, _ = decodeGrants(value)
		_, _ = newPeerCountCodec().decode(value)
		_, _ = decodeQuarantine(value, now)
		_, _ = decodeListedVMs(value)
	})
}
