package entryvm

import (
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
	"oleandervane.example/fleet/gossip"
	"oleandervane.example/fleet/peer"
	"oleandervane.example/steering/grant"
)

// Topics of the values that entry VMs exchange.
const (
	// topicGrant has the grants of a region, for all VMs.
	topicGrant      = "grant"
	topicPeerCount  = "peer_count"
	topicQuarantine = "quarantine"
	topicListedVMs  = "listed_vms"
)

// Lifetimes of the values of topics. A value is published again well before it expires.
const (
	grantLifetime      = grant.Lifetime
	peerCountLifetime  = grant.PeerCountLifetime + time.Second
	quarantineLifetime = time.Minute
	listedVMsLifetime  = time.Hour
)

// grantPublisher is the purpose for which one VM of a region is chosen to publish the region's grants.
const grantPublisher = "grant_publisher"

func encodeQuarantine(list []forward.QuarantineEntry) []byte {
	message := &peer.Quarantine{}
	for _, quarantined := range list {
		message.Records = append(message.Records, &peer.QuarantinedRecord{
			Fingerprint: quarantined.Fingerprint[:],
			LeftMillis:  uint32(quarantined.TimeLeft.Milliseconds()),
		})
	}
	return marshal(message)
}

func decodeQuarantine(value gossip.Value, now time.Time) ([]forward.QuarantineEntry, error) {
	message := &peer.Quarantine{}
	if err := proto.Unmarshal(value.Content, message); err != nil {
		return nil, eris.Wrapf(err, "reading the quarantine of %s", value.Owner)
	}
	age := now.Sub(value.WrittenAt)
	var list []forward.QuarantineEntry
	for _, record := range message.Records {
		quarantined := forward.QuarantineEntry{TimeLeft: time.Duration(record.LeftMillis)*time.Millisecond - age}
		if len(record.Fingerprint) != len(quarantined.Fingerprint) {
			return nil, eris.Errorf("reading the quarantine of %s: a fingerprint has %d bytes", value.Owner, len(record.Fingerprint))
		}
		copy(quarantined.Fingerprint[:], record.Fingerprint)
		if quarantined.TimeLeft > 0 {
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

// marshal encodes a message of this package; such a message can always be encoded.
func marshal(message proto.Message) []byte {
	content, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	return content
}
