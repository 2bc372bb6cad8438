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

// Times and counts of the watchers of the store.
const (
	watchPurpose = "watch"
	watcherCount = 2
	// watchDuration is long so that an idle watcher makes few calls.
	watchDuration = time.Minute
	// retryFirst and retryLast bound the wait after a failed call. All watchers together retry often enough that a
	// store that is back is seen within a fraction of a second.
	retryFirst = 250 * time.Millisecond
	retryLast  = 2 * time.Second
	// secondDelay is how long the second watcher leaves a new revision's chunks to the first.
	secondDelay = 300 * time.Millisecond
	// pollAfter is the age of the newest known store check from which on other VMs poll, at pollsPerSecond for the
	// region together.
	pollAfter      = 10 * time.Second
	pollsPerSecond = 0.2
	// restoreDelay separates the watchers of the fleet that could bring an older store forward.
	restoreDelay = 2 * time.Second
)

// watch is the state of a VM as a watcher of the store's head.
type watch struct {
	waiting bool
	version uint64
	// reread says that the next watch starts with a read. A store that lost revisions and got as many new ones has
	// the same version with another content, which a watch does not show.
	reread    bool
	failures  int
	retryAt   time.Time
	checkedAt time.Time
	polling   bool
	restoring bool
}

// watchTick starts a watch or a poll when one is due. The caller holds the lock.
func (node *Node) watchTick(now time.Time) []action {
	if !node.mayReadStore(now) {
		return nil
	}
	watch := &node.watch
	if watch.waiting && watch.failures == 0 {
		watch.checkedAt = now
	}
	if node.rank(watchPurpose, now) < watcherCount {
		return node.startWatch(now)
	}
	if watch.polling || watch.waiting || (!watch.checkedAt.IsZero() && now.Sub(watch.checkedAt) < pollAfter) {
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
	return []action{func() { node.settings.Store.Get(HeadKey, node.polled) }}
}

func (node *Node) startWatch(now time.Time) []action {
	watch := &node.watch
	if watch.waiting || now.Before(watch.retryAt) || node.stopped {
		return nil
	}
	watch.waiting = true
	version := watch.version
	if watch.reread {
		version = 0
	}
	return []action{func() { node.settings.Store.Watch(HeadKey, version, watchDuration, node.watched) }}
}

// watched takes the end of a watch and starts the next.
func (node *Node) watched(entry oleandervane.StoreEntry, changed bool, err error) {
	now := node.settings.TimerService.Now()
	node.mutex.Lock()
	watch := &node.watch
	watch.waiting = false
	var actions []action
	if err != nil {
		actions = node.watchFailed(now)
	} else {
		watch.failures = 0
		watch.checkedAt = now
		watch.reread = !changed
		if changed {
			watch.version = entry.Version
			actions = node.headRead(entry, now)
		}
		if node.rank(watchPurpose, now) < watcherCount {
			actions = append(actions, node.startWatch(now)...)
		}
	}
	node.mutex.Unlock()
	run(actions)
	node.tell()
}

func (node *Node) watchFailed(now time.Time) []action {
	watch := &node.watch
	watch.failures++
	wait := min(retryLast, retryFirst<<min(watch.failures, 4))
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

func (node *Node) polled(entry oleandervane.StoreEntry, err error) {
	now := node.settings.TimerService.Now()
	node.mutex.Lock()
	node.watch.polling = false
	var actions []action
	if err == nil {
		node.watch.checkedAt = now
		actions = node.headRead(entry, now)
	}
	node.mutex.Unlock()
	run(actions)
	node.tell()
}

// headRead compares the store's head with the revision in force. The caller holds the lock.
func (node *Node) headRead(entry oleandervane.StoreEntry, now time.Time) []action {
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
		node.settings.Log.WithError(err).Error("cannot read the head in the store")
		return nil
	}
	if pending == nil {
		return nil
	}
	wait := time.Duration(node.rank(watchPurpose, now)) * secondDelay
	if wait == 0 || len(pending.sources) > 0 {
		return node.fetchNext(now)
	}
	return []action{func() {
		node.settings.TimerService.After(min(wait, secondDelay), func(now time.Time) {
			node.mutex.Lock()
			actions := node.fetchNext(now)
			node.mutex.Unlock()
			run(actions)
			node.tell()
		})
	}}
}

// storeOlder says whether the store lacks the revision in force here. A head that cannot be read is not older: it
// may come from a later release, and must not be overwritten.
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

// scheduleRestore plans to write the revision in force back. The watchers of the fleet wait for different times,
// so that usually one writes.
func (node *Node) scheduleRestore(now time.Time) []action {
	if node.watch.restoring {
		return nil
	}
	place := node.restorePlace(now)
	if place < 0 {
		return nil
	}
	node.watch.restoring = true
	wait := time.Duration(place)*restoreDelay + restoreDelay/4
	return []action{func() {
		node.settings.TimerService.After(wait, func(time.Time) {
			node.settings.Store.Get(HeadKey, node.restore)
		})
	}}
}

// restorePlace returns this VM's place among the watchers of all regions, or -1 if it is no watcher.
func (node *Node) restorePlace(now time.Time) int {
	rank := node.rank(watchPurpose, now)
	if rank >= watcherCount {
		return -1
	}
	own := membership.Weight(oleandervane.VMID(node.settings.Self.Region), "restore", membership.Epoch(now))
	place := rank
	for _, region := range node.membership.View().Regions() {
		if membership.Weight(oleandervane.VMID(region), "restore", membership.Epoch(now)) > own {
			place += watcherCount
		}
	}
	return place
}

// restore writes the revision in force over an older head: first the chunks that the older head does not name,
// then the head, if nobody wrote it since it was read.
func (node *Node) restore(entry oleandervane.StoreEntry, err error) {
	if err != nil {
		node.restored(entry, err)
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
			node.headRestored(current, entry, err)
		})
	})
}

// headRestored writes all chunks once more where they are absent: a store that loses revisions twice may have lost
// some while the head was on its way.
func (node *Node) headRestored(current *accepted, entry oleandervane.StoreEntry, err error) {
	if err != nil {
		node.restored(entry, err)
		return
	}
	node.writeChunks(current, slices.Sorted(maps.Keys(current.chunks)), func() { node.restored(entry, nil) })
}

// writeChunks writes chunks that are absent, one after the other, and calls next.
func (node *Node) writeChunks(current *accepted, digests []string, next action) {
	if len(digests) == 0 {
		next()
		return
	}
	digest := digests[0]
	node.settings.Store.CompareAndSwap(chunkKeyPrefix+digest, 0, current.chunks[digest], func(entry oleandervane.StoreEntry, err error) {
		if err != nil && !errors.Is(err, oleandervane.ErrVersionConflict) {
			node.restored(entry, err)
			return
		}
		node.writeChunks(current, digests[1:], next)
	})
}

// checkChunk reads one random chunk of a head that is in force and writes it when the store lacks it. A store can lose
// chunks under a head that stays when it loses revisions while an older head is being brought forward.
func (node *Node) checkChunk(current *accepted) []action {
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

// restored ends an attempt. After a conflict or a lost response the head is read again, which shows what is there.
func (node *Node) restored(_ oleandervane.StoreEntry, err error) {
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
		node.settings.Log.WithError(err).Warn("could not bring the store's head forward")
	}
}
