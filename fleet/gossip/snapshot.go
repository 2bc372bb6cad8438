package gossip

import (
	"time"

	"oleandervane.example"
)

// Times of the region's steering snapshot.
const (
	snapshotTopic   = "steering_snapshot"
	snapshotPurpose = "snapshot"
	snapshotPeriod  = 10 * time.Second
	// snapshotLife is how long a snapshot that peers hold is of use.
	snapshotLife = 10 * time.Minute
	// snapshotWait is how long a VM that starts waits for peers before it reads the store.
	snapshotWait = 3 * time.Second
)

// snapshot is the state of a VM as the writer and reader of the region's steering snapshot.
type snapshot struct {
	writing bool
	wroteAt time.Time
	// version is the store's version of the key, when known is set.
	version uint64
	known   bool
	reading bool
	read    bool
	stored  []byte
}

// SteeringSnapshot returns the newest snapshot of the region, from peers or else from the store as it was when this
// VM started. ready is set once both were asked, so that content may be nil for good.
func (node *Node) SteeringSnapshot() (content []byte, ready bool) {
	now := node.settings.TimerService.Now()
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if values := node.topics.values(snapshotTopic, now); len(values) > 0 {
		return values[0].Content, true
	}
	return node.snapshot.stored, node.snapshot.read
}

// snapshotPulse reads the snapshot at the start and writes it when this VM is the writer. The caller holds the lock.
func (node *Node) snapshotPulse(now time.Time) []action {
	snapshot := &node.snapshot
	if !snapshot.read {
		return node.readSnapshot(now)
	}
	if node.settings.Snapshot == nil || snapshot.writing || now.Sub(snapshot.wroteAt) < snapshotPeriod {
		return nil
	}
	if node.rank(snapshotPurpose, now) != 0 {
		// The next writer may have changed the version by the time this VM writes again.
		snapshot.known = false
		return nil
	}
	content := node.settings.Snapshot()
	if content == nil {
		return nil
	}
	snapshot.wroteAt = now
	snapshot.writing = true
	node.topics.publish(snapshotTopic, string(node.settings.Self.Region), RegionScope, content, snapshotLife, now)
	if snapshot.known {
		return []action{func() { node.writeSnapshot(content) }}
	}
	return []action{func() {
		node.settings.Store.Get(node.snapshotKey(), func(entry oleandervane.StoreEntry, err error) {
			node.mutex.Lock()
			snapshot.version, snapshot.known = entry.Version, err == nil
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
		// After a conflict or a lost response the version is read again before the next write.
		node.snapshot.known = err == nil
	})
}

func (node *Node) readSnapshot(now time.Time) []action {
	snapshot := &node.snapshot
	if len(node.topics.values(snapshotTopic, now)) > 0 {
		snapshot.read = true
		return nil
	}
	if snapshot.reading || now.Sub(node.startedAt) < snapshotWait {
		return nil
	}
	snapshot.reading = true
	return []action{func() {
		node.settings.Store.Get(node.snapshotKey(), func(entry oleandervane.StoreEntry, err error) {
			node.mutex.Lock()
			defer node.mutex.Unlock()
			snapshot.reading = false
			snapshot.stored = entry.Value
			// A store that is down says nothing; the snapshot of the region's other VMs may still come.
			snapshot.read = err == nil || now.Sub(node.startedAt) > snapshotLife
		})
	}}
}

func (node *Node) snapshotKey() string {
	return snapshotKeyPrefix + string(node.settings.Self.Region)
}
