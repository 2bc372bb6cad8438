package gossip

import (
	"bytes"
	"errors"
	"maps"
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/membership"
)

// Constants of the watchers of the store.
const (
	watchPurpose = "watch"
	watcherCount = 2
	// watchDuration is long so that an idle watcher makes few calls.
	watchDuration = time.Minute
	// minRetryBackoff and maxRetryBackoff bound the backoff after a failed call. All watchers together retry often
	// enough that the recovery of the store is detected within a fraction of a second.
	minRetryBackoff = 250 * time.Millisecond
	maxRetryBackoff = 2 * time.Second
	// secondWatcherDelay is the head start that the first watcher has in fetching the chunks of a new revision.
	secondWatcherDelay = 300 * time.Millisecond
	// pollAfter is the age of the newest known store check from which VMs that are not watchers poll the store, at
	// pollsPerSecond for the whole region.
	pollAfter      = 10 * time.Second
	pollsPerSecond = 0.2
	// restoreDelay is the time between the attempts of two watchers of the fleet to restore the head in the store.
	restoreDelay = 2 * time.Second
)

// watch is the state of a VM as a watcher of the head in the store.
type watch struct {
	watching bool
	version  uint64
	// reread is set if the next watch must start with a read. A store that lost revisions and received as many new ones
	// has the same version with other content, which a watch does not detect.
	reread    bool
	failures  int
	retryAt   time.Time
	checkedAt time.Time
	polling   bool
	restoring bool
}

// watchTick starts a watch or a poll if one is due. The caller holds the lock.
func (node *Node) watchTick(now time.Time) []action {
	if !node.mayReadStore(now) {
		return nil
	}
	watch := &node.watch
	if watch.watching && watch.failures == 0 {
		watch.checkedAt = now
	}
	if node.rank(watchPurpose, now) < watcherCount {
		return node.startWatch(now)
	}
	if watch.polling || watch.watching || (!watch.checkedAt.IsZero() && now.Sub(watch.checkedAt) < pollAfter) {
		return nil
	}
	if watch.checkedAt.IsZero() && now.Sub(node.startedAt) < pollAfter {
		return nil
	}
	vms := len(node.membership.View().Region(node.settings.Self.Region))
	if node.settings.Random.Float64() >= pollsPerSecond/float64(max(1, vms)) {
		return nil
	}
	watch.polling = true
	return []action{func() { node.settings.Store.Get(HeadKey, node.handlePoll) }}
}

func (node *Node) startWatch(now time.Time) []action {
	watch := &node.watch
	if watch.watching || now.Before(watch.retryAt) || node.stopped {
		return nil
	}
	watch.watching = true
	version := watch.version
	if watch.reread {
		version = 0
	}
	return []action{func() { node.settings.Store.Watch(HeadKey, version, watchDuration, node.handleWatch) }}
}

// handleWatch processes the result of a watch and starts the next one.
func (node *Node) handleWatch(entry oleandervane.StoreEntry, changed bool, err error) {
	now := node.settings.TimerService.Now()
	node.mutex.Lock()
	watch := &node.watch
	watch.watching = false
	var actions []action
	if err != nil {
		actions = node.scheduleRetry(now)
	} else {
		watch.failures = 0
		watch.checkedAt = now
		watch.reread = !changed
		if changed {
			watch.version = entry.Version
			actions = node.handleStoreHead(entry, now)
		}
		if node.rank(watchPurpose, now) < watcherCount {
			actions = append(actions, node.startWatch(now)...)
		}
	}
	node.mutex.Unlock()
	run(actions)
	node.notifyAccepted()
}

func (node *Node) scheduleRetry(now time.Time) []action {
	watch := &node.watch
	watch.failures++
	wait := min(maxRetryBackoff, minRetryBackoff<<min(watch.failures, 4))
	wait = wait/2 + time.Duration(node.settings.Random.Int64N(int64(wait)))
	watch.retryAt = now.Add(wait)
	return []action{func() {
		node.settings.TimerService.After(wait, func(now time.Time) {
			node.mutex.Lock()
			var actions []action
			if node.rank(watchPurpose, now) < watcherCount {
				actions = node.startWatch(now)
			}
			node.mutex.Unlock()
			run(actions)
		})
	}}
}

func (node *Node) handlePoll(entry oleandervane.StoreEntry, err error) {
	now := node.settings.TimerService.Now()
	node.mutex.Lock()
	node.watch.polling = false
	var actions []action
	if err == nil {
		node.watch.checkedAt = now
		actions = node.handleStoreHead(entry, now)
	}
	node.mutex.Unlock()
	run(actions)
	node.notifyAccepted()
}

// handleStoreHead compares the head in the store with the revision in force. The caller holds the lock.
func (node *Node) handleStoreHead(entry oleandervane.StoreEntry, now time.Time) []action {
	if node.storeOlder(entry) {
		return node.scheduleRestore(now)
	}
	if len(entry.Value) == 0 {
		return nil
	}
	if current := node.revisions.current; current != nil && bytes.Equal(current.head, entry.Value) {
		return node.checkChunk(current)
	}
	pending, err := node.revisions.setHead(entry.Value, true, now)
	if err != nil {
		node.settings.Log.WithError(err).Error("cannot decode the head in the store")
		return nil
	}
	if pending == nil {
		return nil
	}
	wait := time.Duration(node.rank(watchPurpose, now)) * secondWatcherDelay
	if wait == 0 || len(pending.sources) > 0 {
		return node.fetchNext(now)
	}
	return []action{func() {
		node.settings.TimerService.After(min(wait, secondWatcherDelay), func(now time.Time) {
			node.mutex.Lock()
			actions := node.fetchNext(now)
			node.mutex.Unlock()
			run(actions)
			node.notifyAccepted()
		})
	}}
}

// storeOlder reports whether the store lacks the revision in force here. A head that cannot be decoded does not count
// as older: it may come from a later release and must not be overwritten.
func (node *Node) storeOlder(entry oleandervane.StoreEntry) bool {
	if node.revisions.current == nil {
		return false
	}
	if len(entry.Value) == 0 {
		return true
	}
	head, err := node.settings.Decoder.DecodeHead(entry.Value)
	return err == nil && markOf(head.Revision, entry.Value).compare(node.revisions.mark()) < 0
}

// scheduleRestore schedules writing the revision in force back to the store. The watchers of the fleet wait for
// different times, so that usually only one of them writes.
func (node *Node) scheduleRestore(now time.Time) []action {
	if node.watch.restoring {
		return nil
	}
	position := node.restoreOrder(now)
	if position < 0 {
		return nil
	}
	node.watch.restoring = true
	wait := time.Duration(position)*restoreDelay + restoreDelay/4
	return []action{func() {
		node.settings.TimerService.After(wait, func(time.Time) {
			node.settings.Store.Get(HeadKey, node.restore)
		})
	}}
}

// restoreOrder returns the position of this VM among the watchers of all regions, or -1 if it is not a watcher.
func (node *Node) restoreOrder(now time.Time) int {
	rank := node.rank(watchPurpose, now)
	if rank >= watcherCount {
		return -1
	}
	own := membership.Weight(oleandervane.VMID(node.settings.Self.Region), "restore", membership.Epoch(now))
	position := rank
	for _, region := range node.membership.View().Regions() {
		if membership.Weight(oleandervane.VMID(region), "restore", membership.Epoch(now)) > own {
			position += watcherCount
		}
	}
	return position
}

// restore writes the revision in force over an older head: first the chunks that the older head does not name, then the
// head, unless another VM has written it since it was read.
func (node *Node) restore(entry oleandervane.StoreEntry, err error) {
	if err != nil {
		node.finishRestore(entry, err)
		return
	}
	node.mutex.Lock()
	if node.stopped || !node.storeOlder(entry) {
		node.watch.restoring = false
		node.mutex.Unlock()
		return
	}
	current := node.revisions.current
	present := map[string]bool{}
	if head, err := node.settings.Decoder.DecodeHead(entry.Value); err == nil {
		for _, reference := range head.Chunks {
			present[reference.Digest] = true
		}
	}
	var digests []string
	for digest := range current.chunks {
		if !present[digest] {
			digests = append(digests, digest)
		}
	}
	slices.Sort(digests)
	node.mutex.Unlock()
	node.writeChunks(current, digests, func() {
		node.settings.Store.CompareAndSwap(HeadKey, entry.Version, current.head, func(entry oleandervane.StoreEntry, err error) {
			node.rewriteChunks(current, entry, err)
		})
	})
}

// rewriteChunks writes all chunks again that are absent: a store that loses revisions twice may have lost some while
// the head was being written.
func (node *Node) rewriteChunks(current *acceptedRevision, entry oleandervane.StoreEntry, err error) {
	if err != nil {
		node.finishRestore(entry, err)
		return
	}
	node.writeChunks(current, slices.Sorted(maps.Keys(current.chunks)), func() { node.finishRestore(entry, nil) })
}

// writeChunks writes those of the chunks that are absent, one after the other, and then calls next.
func (node *Node) writeChunks(current *acceptedRevision, digests []string, next action) {
	if len(digests) == 0 {
		next()
		return
	}
	digest := digests[0]
	node.settings.Store.CompareAndSwap(chunkKeyPrefix+digest, 0, current.chunks[digest], func(entry oleandervane.StoreEntry, err error) {
		if err != nil && !errors.Is(err, oleandervane.ErrVersionConflict) {
			node.finishRestore(entry, err)
			return
		}
		node.writeChunks(current, digests[1:], next)
	})
}

// checkChunk reads one random chunk of the head in force and writes it if the store lacks it. A store that loses
// revisions while an older head is being replaced can lose chunks of the head that stays.
func (node *Node) checkChunk(current *acceptedRevision) []action {
	digests := slices.Sorted(maps.Keys(current.chunks))
	if len(digests) == 0 {
		return nil
	}
	digest := digests[node.settings.Random.IntN(len(digests))]
	return []action{func() {
		node.settings.Store.Get(chunkKeyPrefix+digest, func(entry oleandervane.StoreEntry, err error) {
			if err == nil && entry.Version == 0 {
				node.writeChunks(current, []string{digest}, func() {})
			}
		})
	}}
}

// finishRestore ends an attempt. After a conflict or a lost response, it schedules another attempt, which reads the
// head again and so finds the actual state of the store.
func (node *Node) finishRestore(_ oleandervane.StoreEntry, err error) {
	now := node.settings.TimerService.Now()
	node.mutex.Lock()
	node.watch.restoring = false
	var actions []action
	if err != nil && !node.stopped {
		actions = node.scheduleRestore(now)
	}
	node.mutex.Unlock()
	run(actions)
	if err != nil {
		node.settings.Log.WithError(err).Warn("could not restore the revision in force in the store")
	}
}
