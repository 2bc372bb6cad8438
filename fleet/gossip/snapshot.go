package gossip

import (
	"time"

	"oleandervane.example"
)

// Constants of the region's steering snapshot.
const (
	snapshotTopic   = "steering_snapshot"
	snapshotPurpose = "snapshot"
	snapshotPeriod  = 10 * time.Second
	// snapshotLifetime is the age up to which peers serve a snapshot.
	snapshotLifetime = 10 * time.Minute
	// peerSnapshotWait is how long a starting VM waits for a snapshot from peers before it reads the store.
	peerSnapshotWait = 3 * time.Second
)

// snapshotState is the state of a VM as a writer and reader of the region's steering snapshot.
type snapshotState struct {
	writing   bool
	writtenAt time.Time
	// version is the version of the key in the store; it is valid if versionKnown is set.
	version      uint64
	versionKnown bool
	reading      bool
	readDone     bool
	content      []byte
}

// SteeringSnapshot returns the newest snapshot of the region from peers, or else the one that was in the store when
// this VM started. ready is set once peers and the store were both asked; a nil content is then final.
func (node *Node) SteeringSnapshot() (content []byte, ready bool) {
	now := node.settings.TimerService.Now()
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if values := node.topics.values(snapshotTopic, now); len(values) > 0 {
		return values[0].Content, true
	}
	return node.snapshot.content, node.snapshot.readDone
}

// snapshotTick reads the snapshot after the start and later writes it if this VM is the writer. The caller holds the
// lock.
func (node *Node) snapshotTick(now time.Time) []action {
	snapshot := &node.snapshot
	if !snapshot.readDone {
		return node.readSnapshot(now)
	}
	if node.settings.Snapshot == nil || snapshot.writing || now.Sub(snapshot.writtenAt) < snapshotPeriod {
		return nil
	}
	if node.rank(snapshotPurpose, now) != 0 {
		// Another writer may have changed the version by the time this VM writes again.
		snapshot.versionKnown = false
		return nil
	}
	content := node.settings.Snapshot()
	if content == nil {
		return nil
	}
	snapshot.writtenAt = now
	snapshot.writing = true
	node.topics.publish(snapshotTopic, string(node.settings.Self.Region), RegionScope, content, snapshotLifetime, now)
	if snapshot.versionKnown {
		return []action{func() { node.writeSnapshot(content) }}
	}
	return []action{func() {
		node.settings.Store.Get(node.snapshotKey(), func(entry oleandervane.StoreEntry, err error) {
			node.mutex.Lock()
			snapshot.version, snapshot.versionKnown = entry.Version, err == nil
			snapshot.writing = err == nil
			node.mutex.Unlock()
			if err == nil {
				node.writeSnapshot(content)
			}
		})
	}}
}

func (node *Node) writeSnapshot(content []byte) {
	node.mutex.Lock()
	version := node.snapshot.version
	node.mutex.Unlock()
	node.settings.Store.CompareAndSwap(node.snapshotKey(), version, content, func(entry oleandervane.StoreEntry, err error) {
		node.mutex.Lock()
		defer node.mutex.Unlock()
		node.snapshot.writing = false
		node.snapshot.version = entry.Version
		// After a conflict or a lost response, the version is read again before the next write.
		node.snapshot.versionKnown = err == nil
	})
}

func (node *Node) readSnapshot(now time.Time) []action {
	snapshot := &node.snapshot
	if len(node.topics.values(snapshotTopic, now)) > 0 {
		snapshot.readDone = true
		return nil
	}
	if snapshot.reading || now.Sub(node.startedAt) < peerSnapshotWait {
		return nil
	}
	snapshot.reading = true
	return []action{func() {
		node.settings.Store.Get(node.snapshotKey(), func(entry oleandervane.StoreEntry, err error) {
			node.mutex.Lock()
			defer node.mutex.Unlock()
			snapshot.reading = false
			snapshot.content = entry.Value
			// An unavailable store does not show whether a snapshot exists; the region's other VMs may still send one.
			snapshot.readDone = err == nil || now.Sub(node.startedAt) > snapshotLifetime
		})
	}}
}

func (node *Node) snapshotKey() string {
	return snapshotKeyPrefix + string(node.settings.Self.Region)
}
