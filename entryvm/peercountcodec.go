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
	// fullListsAfterChange is how long after a change a VM sends the full lists.
	fullListsAfterChange = 10 * time.Second
	// fullListsPeriod is how often a VM sends the full lists when nothing changes, for VMs that have just started.
	fullListsPeriod = time.Minute
	// maxCachedLists bounds the lists that a VM caches by digest. The VMs of a region mostly have the same lists.
	maxCachedLists = 256
)

// errUnknownLists reports that the lists of a digest have not been received yet.
var errUnknownLists = eris.New("the lists of the digest are not known")

// countLists are the lists of VMs in a grant.PeerCount.
type countLists struct {
	counted  []oleandervane.VMID
	indirect []oleandervane.VMID
}

func (countLists countLists) digest() uint64 {
	digest := xxhash.New()
	for _, list := range [][]oleandervane.VMID{countLists.counted, countLists.indirect} {
		for _, vmID := range list {
			_, _ = digest.WriteString(string(vmID))
			_, _ = digest.Write([]byte{0})
		}
		_, _ = digest.Write([]byte{1})
	}
	return digest.Sum64()
}

// peerCountCodec encodes and decodes the peer counts that the VMs of a region exchange. The lists have about 40 names
// in a large region and seldom change, so most messages contain only their digest.
type peerCountCodec struct {
	mutex           sync.Mutex
	listsByDigest   map[uint64]countLists
	sentDigest      uint64
	changedAt       time.Time
	fullListsSentAt time.Time
}

func newPeerCountCodec() *peerCountCodec {
	return &peerCountCodec{listsByDigest: map[uint64]countLists{}}
}

func (peerCountCodec *peerCountCodec) encode(peerCount grant.PeerCount, now time.Time) []byte {
	lists := countLists{peerCount.Counted, peerCount.Indirect}
	digest := lists.digest()
	peerCountCodec.mutex.Lock()
	defer peerCountCodec.mutex.Unlock()
	peerCountCodec.cacheLists(digest, lists)
	if digest != peerCountCodec.sentDigest {
		peerCountCodec.sentDigest, peerCountCodec.changedAt = digest, now
	}
	message := &peer.PeerCount{Digest: digest, Holds: peerCount.OwnsPart}
	if now.Sub(peerCountCodec.changedAt) < fullListsAfterChange || now.Sub(peerCountCodec.fullListsSentAt) >= fullListsPeriod {
		peerCountCodec.fullListsSentAt = now
		message.Complete = true
		message.Counted, message.Borrowed = vmTexts(lists.counted), vmTexts(lists.indirect)
	}
	return marshal(message)
}

func (peerCountCodec *peerCountCodec) decode(value gossip.Value) (grant.PeerCount, error) {
	message := &peer.PeerCount{}
	if err := proto.Unmarshal(value.Content, message); err != nil {
		return grant.PeerCount{}, eris.Wrapf(err, "reading the count of %s", value.Owner)
	}
	lists, err := peerCountCodec.lists(message)
	if err != nil {
		return grant.PeerCount{}, eris.Wrapf(err, "reading the count of %s", value.Owner)
	}
	return grant.PeerCount{
		VM:         oleandervane.VMID(value.Owner),
		Counted:    lists.counted,
		Indirect:   lists.indirect,
		OwnsPart:   message.Holds,
		ReceivedAt: value.WrittenAt,
	}, nil
}

func (peerCountCodec *peerCountCodec) lists(message *peer.PeerCount) (countLists, error) {
	peerCountCodec.mutex.Lock()
	defer peerCountCodec.mutex.Unlock()
	if !message.Complete {
		lists, found := peerCountCodec.listsByDigest[message.Digest]
		if !found {
			return countLists{}, errUnknownLists
		}
		return lists, nil
	}
	lists := countLists{vmIDs(message.Counted), vmIDs(message.Borrowed)}
	if lists.digest() != message.Digest {
		return countLists{}, eris.New("the digest does not match the lists")
	}
	peerCountCodec.cacheLists(message.Digest, lists)
	return lists, nil
}

// cacheLists caches lists by their digest. A full cache is cleared; the lists are soon sent again.
func (peerCountCodec *peerCountCodec) cacheLists(digest uint64, lists countLists) {
	if len(peerCountCodec.listsByDigest) >= maxCachedLists {
		clear(peerCountCodec.listsByDigest)
	}
	peerCountCodec.listsByDigest[digest] = lists
}
