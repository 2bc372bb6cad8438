package entryvm

import (
	"math"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
	"oleandervane.example/fleet/gossip"
	"oleandervane.example/fleet/peer"
	"oleandervane.example/steering/grant"
)

// Topics that entry VMs share.
const (
	// topicGrantPart has the grants of one VM, for the VMs of its region.
	topicGrantPart = "grant_part"
	// topicGrant has the grants of a region, for all VMs.
	topicGrant      = "grant"
	topicPeerCount  = "peer_count"
	topicQuarantine = "quarantine"
	topicListedVMs  = "listed_vms"
)

// Lives of the values of topics. A value is published again well before it expires.
const (
	grantLife      = grant.Lifetime
	peerCountLife  = grant.SilenceDelay + time.Second
	quarantineLife = time.Minute
	listedVMsLife  = time.Hour
)

// grantAdder is the purpose for which one VM of a region is chosen to add up the grants of all.
const grantAdder = "grant_adder"

// encodeGrants returns the grants of one region as a value. Grants of nothing are left out.
func encodeGrants(region oleandervane.Region, grants []oleandervane.Grant, now time.Time) []byte {
	message := &peer.Grants{Region: string(region)}
	for _, grant := range grants {
		left := grant.ExpiresAt.Sub(now)
		if grant.PerSecond <= 0 || left <= 0 {
			continue
		}
		message.Grants = append(message.Grants, &peer.GrantRecord{
			Service:    string(grant.Service),
			From:       string(grant.From),
			PerSecond:  float32(grant.PerSecond),
			LeftMillis: uint32(left.Milliseconds()),
		})
	}
	return marshal(message)
}

// decodeGrants returns the grants of a value. The expiry is by this VM's clock.
func decodeGrants(value gossip.Value) ([]oleandervane.Grant, error) {
	message := &peer.Grants{}
	if err := proto.Unmarshal(value.Content, message); err != nil {
		return nil, eris.Wrapf(err, "reading grants of %s", value.Owner)
	}
	grants := make([]oleandervane.Grant, 0, len(message.Grants))
	for _, record := range message.Grants {
		perSecond := float64(record.PerSecond)
		if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
			return nil, eris.Errorf("reading grants of %s: %v is not a rate", value.Owner, record.PerSecond)
		}
		left := min(time.Duration(record.LeftMillis)*time.Millisecond, grant.Lifetime)
		grants = append(grants, oleandervane.Grant{
			Service:   oleandervane.ServiceName(record.Service),
			From:      oleandervane.Region(record.From),
			To:        oleandervane.Region(message.Region),
			PerSecond: perSecond,
			ExpiresAt: value.WrittenAt.Add(left),
		})
	}
	return grants, nil
}

// sumGrants adds up grants for the same service and source. A sum expires with the first of its parts.
func sumGrants(grants []oleandervane.Grant, now time.Time) []oleandervane.Grant {
	type key struct {
		service oleandervane.ServiceName
		from    oleandervane.Region
	}
	index := map[key]int{}
	var sums []oleandervane.Grant
	for _, grant := range grants {
		if !grant.ExpiresAt.After(now) {
			continue
		}
		key := key{grant.Service, grant.From}
		at, found := index[key]
		if !found {
			index[key] = len(sums)
			sums = append(sums, grant)
			continue
		}
		sums[at].PerSecond += grant.PerSecond
		if grant.ExpiresAt.Before(sums[at].ExpiresAt) {
			sums[at].ExpiresAt = grant.ExpiresAt
		}
	}
	return sums
}

func encodePeerCount(peerCount grant.PeerCount) []byte {
	return marshal(&peer.PeerCount{
		Counted:  vmTexts(peerCount.Counted),
		Borrowed: vmTexts(peerCount.Borrowed),
		Holds:    peerCount.Holds,
	})
}

func decodePeerCount(value gossip.Value) (grant.PeerCount, error) {
	message := &peer.PeerCount{}
	if err := proto.Unmarshal(value.Content, message); err != nil {
		return grant.PeerCount{}, eris.Wrapf(err, "reading the count of %s", value.Owner)
	}
	return grant.PeerCount{
		VM:       oleandervane.VMID(value.Owner),
		Counted:  vmIDs(message.Counted),
		Borrowed: vmIDs(message.Borrowed),
		Holds:    message.Holds,
		HeardAt:  value.WrittenAt,
	}, nil
}

func encodeQuarantine(list []forward.Quarantined) []byte {
	message := &peer.Quarantine{}
	for _, quarantined := range list {
		message.Records = append(message.Records, &peer.QuarantinedRecord{
			Fingerprint: quarantined.Fingerprint[:],
			LeftMillis:  uint32(quarantined.Left.Milliseconds()),
		})
	}
	return marshal(message)
}

func decodeQuarantine(value gossip.Value, now time.Time) ([]forward.Quarantined, error) {
	message := &peer.Quarantine{}
	if err := proto.Unmarshal(value.Content, message); err != nil {
		return nil, eris.Wrapf(err, "reading the quarantine of %s", value.Owner)
	}
	age := now.Sub(value.WrittenAt)
	var list []forward.Quarantined
	for _, record := range message.Records {
		quarantined := forward.Quarantined{Left: time.Duration(record.LeftMillis)*time.Millisecond - age}
		if len(record.Fingerprint) != len(quarantined.Fingerprint) {
			return nil, eris.Errorf("reading the quarantine of %s: a fingerprint has %d bytes", value.Owner, len(record.Fingerprint))
		}
		copy(quarantined.Fingerprint[:], record.Fingerprint)
		if quarantined.Left > 0 {
			list = append(list, quarantined)
		}
	}
	return list, nil
}

func encodeListedVMs(vmIDs []oleandervane.VMID) []byte {
	return marshal(&peer.ListedVMs{Ids: vmTexts(vmIDs)})
}

func decodeListedVMs(value gossip.Value) ([]oleandervane.VMID, error) {
	message := &peer.ListedVMs{}
	if err := proto.Unmarshal(value.Content, message); err != nil {
		return nil, eris.Wrapf(err, "reading the listed VMs of %s", value.Owner)
	}
	return vmIDs(message.Ids), nil
}

func vmTexts(vmIDs []oleandervane.VMID) []string {
	texts := make([]string, 0, len(vmIDs))
	for _, vmID := range vmIDs {
		texts = append(texts, string(vmID))
	}
	return texts
}

func vmIDs(texts []string) []oleandervane.VMID {
	vmIDs := make([]oleandervane.VMID, 0, len(texts))
	for _, text := range texts {
		vmIDs = append(vmIDs, oleandervane.VMID(text))
	}
	return vmIDs
}

// marshal encodes a message of this package, which always can be encoded.
func marshal(message proto.Message) []byte {
	content, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	return content
}
