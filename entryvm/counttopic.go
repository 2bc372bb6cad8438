package entryvm

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"oleandervane.example"
	"oleandervane.example/fleet/gossip"
	"oleandervane.example/fleet/peer"
	"oleandervane.example/steering/grant"
)

const (
	// completeAfterChange is how long after a change a VM sends the whole lists.
	completeAfterChange = 10 * time.Second
	// completePeriod is how often it sends them when nothing changes, for VMs that have just started.
	completePeriod = time.Minute
	// maxKnownLists bounds the lists that a VM remembers by digest. VMs of a region mostly have the same.
	maxKnownLists = 256
)

// errUnknownLists says that the lists of a digest were not heard yet.
var errUnknownLists = eris.New("the lists of the digest are not known")

// countLists are the lists of a PeerCount.
type countLists struct {
	counted  []oleandervane.VMID
	borrowed []oleandervane.VMID
}

func (countLists countLists) digest() uint64 {
	digest := xxhash.New()
	for _, list := range [][]oleandervane.VMID{countLists.counted, countLists.borrowed} {
		for _, vmID := range list {
			_, _ = digest.WriteString(string(vmID))
			_, _ = digest.Write([]byte{0})
		}
		_, _ = digest.Write([]byte{1})
	}
	return digest.Sum64()
}

// countTopic encodes the counts of owners that VMs of a region tell one another. The lists have about 40 names in a
// large region and seldom change, so most messages only have their digest.
type countTopic struct {
	mutex       sync.Mutex
	known       map[uint64]countLists
	sent        uint64
	changedAt   time.Time
	completedAt time.Time
}

func newCountTopic() *countTopic {
	return &countTopic{known: map[uint64]countLists{}}
}

func (countTopic *countTopic) encode(peerCount grant.PeerCount, now time.Time) []byte {
	lists := countLists{peerCount.Counted, peerCount.Indirect}
	digest := lists.digest()
	countTopic.mutex.Lock()
	defer countTopic.mutex.Unlock()
	countTopic.remember(digest, lists)
	if digest != countTopic.sent {
		countTopic.sent, countTopic.changedAt = digest, now
	}
	message := &peer.PeerCount{Digest: digest, Holds: peerCount.OwnsPart}
	if now.Sub(countTopic.changedAt) < completeAfterChange || now.Sub(countTopic.completedAt) >= completePeriod {
		countTopic.completedAt = now
		message.Complete = true
		message.Counted, message.Borrowed = vmTexts(lists.counted), vmTexts(lists.borrowed)
	}
	return marshal(message)
}

func (countTopic *countTopic) decode(value gossip.Value) (grant.PeerCount, error) {
	message := &peer.PeerCount{}
	if err := proto.Unmarshal(value.Content, message); err != nil {
		return grant.PeerCount{}, eris.Wrapf(err, "reading the count of %s", value.Owner)
	}
	lists, err := countTopic.lists(message)
	if err != nil {
		return grant.PeerCount{}, eris.Wrapf(err, "reading the count of %s", value.Owner)
	}
	return grant.PeerCount{
		VM:         oleandervane.VMID(value.Owner),
		Counted:    lists.counted,
		Indirect:   lists.borrowed,
		OwnsPart:   message.Holds,
		ReceivedAt: value.WrittenAt,
	}, nil
}

func (countTopic *countTopic) lists(message *peer.PeerCount) (countLists, error) {
	countTopic.mutex.Lock()
	defer countTopic.mutex.Unlock()
	if !message.Complete {
		lists, found := countTopic.known[message.Digest]
		if !found {
			return countLists{}, errUnknownLists
		}
		return lists, nil
	}
	lists := countLists{vmIDs(message.Counted), vmIDs(message.Borrowed)}
	if lists.digest() != message.Digest {
		return countLists{}, eris.New("the digest is not that of the lists")
	}
	countTopic.remember(message.Digest, lists)
	return lists, nil
}

// remember keeps lists by their digest. When there are too many, all are dropped: they come again soon.
func (countTopic *countTopic) remember(digest uint64, lists countLists) {
	if len(countTopic.known) >= maxKnownLists {
		clear(countTopic.known)
	}
	countTopic.known[digest] = lists
}
