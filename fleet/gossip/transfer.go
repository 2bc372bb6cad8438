package gossip

import (
	"net/netip"
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
)

// concurrentStoreReads is the number of chunks that are read from the store at the same time.
const concurrentStoreReads = 8

// fetchNext starts the next step of fetching the pending revision. The caller holds the lock.
func (node *Node) fetchNext(now time.Time) []action {
	pending := node.revisions.pending
	if pending == nil || pending.fetching || node.stopped {
		return nil
	}
	if pending.head == nil {
		return node.fetchHead(pending)
	}
	if len(node.revisions.missingChunks()) == 0 {
		return node.accept(now)
	}
	if len(pending.sources) > 0 {
		return node.fetchChunks(pending, now)
	}
	if pending.fromStore {
		return node.readChunks(pending, now)
	}
	return nil
}

func (node *Node) fetchHead(pending *candidate) []action {
	if len(pending.sources) == 0 {
		return nil
	}
	pending.fetching = true
	source := pending.sources[node.settings.Random.IntN(len(pending.sources))]
	request := &peer.FetchRequest{Revision: uint64(pending.mark.revision), BaseHash: node.revisions.mark().hash}
	return []action{func() {
		node.settings.Transport.Fetch(source, request, fetchTimeout, func(response *peer.FetchResponse, err error) {
			node.continueFetch(pending, func(now time.Time) bool {
				if err != nil || response.Check() != nil {
					return false
				}
				head, err := node.revisions.rebuildHead(response)
				if err != nil || len(head) == 0 {
					return false
				}
				_, err = node.revisions.setHead(head, false, now)
				return err == nil
			}, source)
		})
	}}
}

func (node *Node) fetchChunks(pending *candidate, now time.Time) []action {
	pending.fetching = true
	source := pending.sources[node.settings.Random.IntN(len(pending.sources))]
	digests, size := node.revisions.nextChunks()
	request := &peer.FetchRequest{Digests: digests}
	fetch := func() {
		node.settings.Transport.Fetch(source, request, fetchTimeout, func(response *peer.FetchResponse, err error) {
			node.continueFetch(pending, func(time.Time) bool {
				if err != nil || response.Check() != nil || len(response.Chunks) == 0 {
					return false
				}
				return node.addChunks(response.Chunks)
			}, source)
		})
	}
	wait := node.revisions.reserve(size, now)
	if wait == 0 {
		return []action{fetch}
	}
	return []action{func() {
		node.settings.TimerService.After(wait, func(time.Time) { fetch() })
	}}
}

func (node *Node) addChunks(chunks []*peer.Chunk) bool {
	for _, chunk := range chunks {
		if err := node.revisions.addChunk(chunk.Digest, chunk.Content); err != nil {
			node.settings.Log.WithError(err).Warn("rejected a chunk from a peer")
			return false
		}
	}
	return true
}

// continueFetch applies a result and starts the next step. A source without a usable result is not asked again until it
// offers a revision again.
func (node *Node) continueFetch(pending *candidate, apply func(now time.Time) bool, source netip.AddrPort) {
	now := node.settings.TimerService.Now()
	node.mutex.Lock()
	pending.fetching = false
	if !apply(now) {
		pending.sources = slices.DeleteFunc(pending.sources, func(other netip.AddrPort) bool { return other == source })
	}
	actions := node.fetchNext(now)
	node.mutex.Unlock()
	run(actions)
	node.notifyAccepted()
}

// readChunks reads missing chunks from the store.
func (node *Node) readChunks(pending *candidate, now time.Time) []action {
	pending.fetching = true
	missing := node.revisions.missingChunks()
	missing = missing[:min(concurrentStoreReads, len(missing))]
	size := 0
	for _, reference := range missing {
		size += reference.Bytes
	}
	left := len(missing)
	failed := false
	read := func() {
		for _, reference := range missing {
			node.settings.Store.Get(chunkKeyPrefix+reference.Digest, func(entry oleandervane.StoreEntry, err error) {
				node.handleChunk(pending, reference.Digest, entry, err, &left, &failed)
			})
		}
	}
	wait := node.revisions.reserve(size, now)
	if wait == 0 {
		return []action{read}
	}
	return []action{func() {
		node.settings.TimerService.After(wait, func(time.Time) { read() })
	}}
}

func (node *Node) handleChunk(pending *candidate, digest string, entry oleandervane.StoreEntry, err error, left *int, failed *bool) {
	now := node.settings.TimerService.Now()
	node.mutex.Lock()
	if err == nil && node.revisions.pending == pending {
		err = node.revisions.addChunk(digest, entry.Value)
	}
	if err != nil {
		*failed = true
	}
	*left--
	var actions []action
	if *left == 0 {
		pending.fetching = false
		if !*failed || len(pending.sources) > 0 {
			actions = node.fetchNext(now)
		}
	}
	node.mutex.Unlock()
	run(actions)
	node.notifyAccepted()
}

// accept puts the pending revision in force and announces it to peers.
func (node *Node) accept(now time.Time) []action {
	fresh, err := node.revisions.accept(now)
	if err != nil {
		node.settings.Log.WithError(err).Error("rejected a revision that cannot be decoded")
		return nil
	}
	if fresh == nil {
		return nil
	}
	node.configuration.Store(fresh.configuration)
	node.notifications = append(node.notifications, fresh.configuration)
	packet := &peer.Packet{From: node.selfRecord(), Revision: fresh.mark.wire()}
	everywhere := node.rank(watchPurpose, now) < watcherCount
	return node.push(packet, packet, everywhere)
}

// notifyAccepted calls ConfigurationAccepted for the accepted configurations, in order and without the lock.
func (node *Node) notifyAccepted() {
	if node.settings.ConfigurationAccepted == nil {
		return
	}
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.notifying {
		return
	}
	node.notifying = true
	defer func() { node.notifying = false }()
	for len(node.notifications) > 0 {
		configuration := node.notifications[0]
		node.notifications = node.notifications[1:]
		node.notify(configuration)
	}
}

// notify calls ConfigurationAccepted without the lock, which the caller must hold. It holds the lock again also after a panic.
func (node *Node) notify(configuration *oleandervane.Configuration) {
	node.mutex.Unlock()
	defer node.mutex.Lock()
	node.settings.ConfigurationAccepted(configuration)
}
