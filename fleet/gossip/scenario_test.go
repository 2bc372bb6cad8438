package gossip_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/fleet/gossip"
)

// startJoinedFleet starts a fleet in 3 regions and waits until all VMs agree on the members and have revision 1.
func startJoinedFleet(t testing.TB, seed uint64, count int) *fabric {
	fabric := newFabric(seed)
	fabric.startAll(count, 3)
	fabric.waitUntil(t, 30*time.Second, "join", fabric.checkAgreement)
	fabric.store.publish(1, []byte("one"))
	fabric.waitUntil(t, 8*time.Second, "first revision", func() error { return fabric.checkInForce(1) })
	return fabric
}

func (fabric *fabric) cut(first, second int) {
	one, other := string(regionName(first)), string(regionName(second))
	fabric.cuts[[2]string{one, other}] = true
	fabric.cuts[[2]string{other, one}] = true
}

// Guards against a death that is not detected, and against views that do not stay in agreement.
func TestFleetJoinsAndDetectsDeath(t *testing.T) {
	fabric := startJoinedFleet(t, 1, 20)
	fabric.vms[7].kill()
	fabric.waitUntil(t, 5*time.Second, "death", fabric.checkAgreement)
	fabric.clock.Advance(5 * time.Minute)
	assert.NilError(t, fabric.checkAgreement())
}

// Guards against sides of a partition that do not rejoin after an hour, and against a revision or a death that the
// other side misses. Region 0 has the store; region 2 is cut off from both others.
func TestRegionsPartitionedForAnHour(t *testing.T) {
	fabric := startJoinedFleet(t, 2, 9)
	fabric.cut(0, 2)
	fabric.cut(1, 2)
	fabric.clock.Advance(30 * time.Minute)
	fabric.vms[1].kill()
	fabric.store.publish(2, []byte("two"))
	fabric.clock.Advance(30 * time.Minute)
	for _, run := range fabric.live() {
		seen, expected := len(run.node.Membership().EntryVMs()), 5
		if run.self.Region == regionName(2) {
			seen, expected = seen+1, 4
		}
		assert.Equal(t, seen, expected, "%s", run.self.ID)
	}
	clear(fabric.cuts)
	fabric.waitUntil(t, 20*time.Second, "rejoin", func() error {
		if err := fabric.checkAgreement(); err != nil {
			return err
		}
		return fabric.checkInForce(2)
	})
}

// Guards against a VM that regards its peers as dead when it resumes after 30 s, and against peers that continue to
// regard it as dead.
func TestPausedVMResumes(t *testing.T) {
	fabric := startJoinedFleet(t, 3, 12)
	pausedVM := fabric.vms[4]
	pausedVM.pause(30 * time.Second)
	fabric.clock.Advance(10 * time.Second)
	_, found := fabric.vms[0].node.Membership().View().VM(pausedVM.self.ID)
	assert.Assert(t, !found, "a VM that does not respond for 10 s must be dead")
	fabric.clock.Advance(20 * time.Second)
	for range 100 {
		fabric.clock.Advance(100 * time.Millisecond)
		assert.Equal(t, len(pausedVM.node.Membership().EntryVMs()), 12)
	}
	assert.NilError(t, fabric.checkAgreement())
	assert.Equal(t, pausedVM.node.Membership().Self().Incarnation, pausedVM.self.Incarnation)
}

// Guards against a replaced VM that stays alive after another VM took over its address, and against detection by probes
// when a VM announces that it leaves or stops.
func TestReplacedAndLeavingVMs(t *testing.T) {
	fabric := startJoinedFleet(t, 4, 12)
	old := fabric.vms[5]
	fabric.start(5, 3, 1)
	fabric.waitUntil(t, 3*time.Second, "replacement", func() error { return fabric.checkDead(old, false) })
	fabric.waitUntil(t, 3*time.Second, "join of the replacement", fabric.checkAgreement)
	leavingVM := fabric.vms[8]
	leavingVM.node.Leave()
	fabric.waitUntil(t, 2*time.Second, "leaving state", func() error {
		for _, run := range fabric.live() {
			if vm, _ := run.node.Membership().View().VM(leavingVM.self.ID); vm.State != oleandervane.VMLeaving {
				return fmt.Errorf("%s regards %s as %s", run.self.ID, leavingVM.self.ID, vm.State)
			}
		}
		return nil
	})
	fabric.clock.Advance(time.Minute)
	vm, found := fabric.vms[0].node.Membership().View().VM(leavingVM.self.ID)
	assert.Assert(t, found && vm.State == oleandervane.VMLeaving, "a leaving VM must stay leaving while it runs")
	leavingVM.node.Stop()
	leavingVM.live = false
	delete(fabric.byAddress, leavingVM.self.PeerAddress)
	fabric.waitUntil(t, 2*time.Second, "departure", func() error { return fabric.checkDead(leavingVM, false) })
}

// Guards against declaring a VM dead that helpers still reach: first, one direction between two VMs of a region is cut,
// then both directions between two failure domains.
func TestAsymmetricCuts(t *testing.T) {
	fabric := startJoinedFleet(t, 5, 18)
	for round := range 2 {
		for _, first := range fabric.vms {
			for _, second := range fabric.vms {
				inRegion := first.self.Region == second.self.Region
				if inRegion && ((round == 0 && first == fabric.vms[0] && second == fabric.vms[3]) || (round == 1 && first.self.FailureDomain != second.self.FailureDomain)) {
					fabric.cuts[[2]string{string(first.self.ID), string(second.self.ID)}] = true
				}
			}
		}
		for range 240 {
			fabric.clock.Advance(500 * time.Millisecond)
			for _, run := range fabric.live() {
				assert.Equal(t, len(run.node.Membership().EntryVMs()), 18, "%s in round %d", run.self.ID, round)
			}
		}
		clear(fabric.cuts)
	}
}

// Guards against a VM that needs the store to start.
func TestVMStartsWithoutStore(t *testing.T) {
	fabric := startJoinedFleet(t, 6, 18)
	fabric.store.setUnavailable(true)
	fresh := fabric.start(4, 3, 1)
	fabric.waitUntil(t, 4*time.Second, "revision with the store unavailable", func() error { return fabric.checkInForce(1) })
	assert.Assert(t, fresh.node.Configuration() != nil)
}

// Guards against VMs that apply a stale response of the store although a peer has a newer revision: all but one VM
// restart at once.
func TestRestartOfMostVMsWithStaleStore(t *testing.T) {
	for seed := range uint64(8) {
		fabric := startJoinedFleet(t, 20+seed, 18)
		stale := maps.Clone(fabric.store.entries)
		fabric.store.publish(2, []byte("two"))
		fabric.waitUntil(t, 4*time.Second, "second revision", func() error { return fabric.checkInForce(2) })
		fabric.store.stale = stale
		fabric.onAccept = func(run *vm, configuration *oleandervane.Configuration) {
			assert.Equal(t, configuration.Revision, oleandervane.Revision(2), "%s went back to an older revision", run.self.ID)
		}
		for index := range 17 {
			fabric.start(index, 3, 1)
		}
		fabric.waitUntil(t, 10*time.Second, "revision after restarts", func() error { return fabric.checkInForce(2) })
		fabric.clock.Advance(2 * time.Minute)
		assert.NilError(t, fabric.checkInForce(2))
		head, _ := testDecoder{}.DecodeHead(fabric.store.entries[gossip.HeadKey].Value)
		assert.Equal(t, head.Revision, oleandervane.Revision(2), "a watcher wrote an older revision after a stale read")
	}
}

// Guards against a store that is not restored after it lost a revision, and against a restore that overwrites a
// revision that operators published meanwhile.
func TestStoreThatLostRevisionsIsRestored(t *testing.T) {
	fabric := startJoinedFleet(t, 7, 12)
	older := maps.Clone(fabric.store.entries)
	for revision := uint64(2); revision <= 3; revision++ {
		fabric.store.publish(revision, []byte(fmt.Sprint(revision)))
	}
	fabric.waitUntil(t, 4*time.Second, "third revision", func() error { return fabric.checkInForce(3) })
	fabric.store.entries = maps.Clone(older)
	fabric.store.notify()
	restored := func(revision oleandervane.Revision) func() error {
		return func() error {
			head, err := testDecoder{}.DecodeHead(fabric.store.entries[gossip.HeadKey].Value)
			if err != nil || head.Revision != revision {
				return fmt.Errorf("the store has revision %d: %v", head.Revision, err)
			}
			return nil
		}
	}
	fabric.waitUntil(t, 40*time.Second, "restore", restored(3))
	fabric.store.entries = maps.Clone(older)
	fabric.store.notify()
	fabric.clock.Advance(400 * time.Millisecond)
	fabric.store.publish(4, []byte("published on the older store"))
	fabric.waitUntil(t, 4*time.Second, "fourth revision", func() error { return fabric.checkInForce(4) })
	fabric.clock.Advance(time.Minute)
	assert.NilError(t, restored(4)())
	key := "config/chunk/" + digestOf([]byte("published on the older store"))
	delete(fabric.store.entries, key)
	fabric.clock.Advance(2 * time.Minute)
	assert.Equal(t, string(fabric.store.entries[key].Value), "published on the older store", "a lost chunk must be written again")
}

// Guards against snapshots that are written too often or by more than one VM, and against a restarted region that does
// not find its snapshot.
func TestSnapshotIsWrittenAndRead(t *testing.T) {
	fabric := startJoinedFleet(t, 8, 9)
	fabric.clock.Advance(time.Minute)
	before := fabric.store.calls["CompareAndSwap"]
	fabric.clock.Advance(5 * time.Minute)
	writes := fabric.store.calls["CompareAndSwap"] - before
	assert.Assert(t, writes >= 3*24 && writes <= 3*32, "%d writes in 5 minutes by 3 regions", writes)
	for _, run := range fabric.live() {
		run.kill()
	}
	for index := range 9 {
		fabric.start(index, 3, 1)
	}
	fabric.waitUntil(t, 6*time.Second, "snapshot", func() error {
		for _, run := range fabric.live() {
			content, ready := run.node.SteeringSnapshot()
			if !ready || string(content) != "snapshot of "+string(run.self.Region) {
				return fmt.Errorf("%s has %q", run.self.ID, content)
			}
		}
		return nil
	})
}

// Guards against values that lose their age when they spread, reappear after they expired, or spread beyond their
// scope.
func TestValuesKeepAgeExpiryAndScope(t *testing.T) {
	fabric := startJoinedFleet(t, 9, 12)
	fabric.vms[0].node.Publish("quarantine", gossip.FleetScope, []byte("x"), 20*time.Second)
	fabric.vms[0].node.PublishUrgently("load", gossip.RegionScope, []byte("old"), time.Minute)
	fabric.vms[0].node.PublishUrgently("load", gossip.RegionScope, []byte("new"), time.Minute)
	writtenAt := fabric.clock.Now()
	fabric.clock.Advance(12 * time.Second)
	for _, run := range fabric.live() {
		values := run.node.Values("quarantine")
		assert.Equal(t, len(values), 1, "%s", run.self.ID)
		assert.Assert(t, values[0].WrittenAt.Sub(writtenAt).Abs() < 300*time.Millisecond)
		loads := run.node.Values("load")
		assert.Equal(t, len(loads) == 1, run.self.Region == regionName(0))
		assert.Assert(t, len(loads) == 0 || string(loads[0].Content) == "new")
	}
	fabric.clock.Advance(9 * time.Second)
	for range 100 {
		fabric.clock.Advance(100 * time.Millisecond)
		for _, run := range fabric.live() {
			assert.Equal(t, len(run.node.Values("quarantine")), 0)
		}
	}
}

// Guards against VMs that are declared dead because of message loss alone: 8% of all messages are lost for 5 minutes.
func TestMessageLossAloneDeclaresNoVMDead(t *testing.T) {
	fabric := startJoinedFleet(t, 10, 20)
	fabric.lossRate = 0.08
	for range 3000 {
		fabric.clock.Advance(100 * time.Millisecond)
		for _, run := range fabric.live() {
			assert.Equal(t, len(run.node.Membership().EntryVMs()), 20, "%s", run.self.ID)
		}
	}
}

// Guards against halves of a region that still regard each other as dead after a partition if no other region can
// forward updates, and against an isolated VM that regards all others as dead.
func TestSplitRegionAndIsolatedVM(t *testing.T) {
	fabric := newFabric(11)
	fabric.startAll(10, 1)
	fabric.waitUntil(t, 20*time.Second, "join", fabric.checkAgreement)
	// The halves must not rejoin through the seed addresses in their settings.
	fabric.vms[0].kill()
	fabric.vms[1].kill()
	fabric.waitUntil(t, 20*time.Second, "deaths of the seeds", fabric.checkAgreement)
	for _, first := range fabric.vms {
		for _, second := range fabric.vms {
			if first.self.FailureDomain != second.self.FailureDomain {
				fabric.cuts[[2]string{string(first.self.ID), string(second.self.ID)}] = true
			}
		}
	}
	fabric.clock.Advance(time.Minute)
	for _, run := range fabric.live() {
		assert.Equal(t, len(run.node.Membership().EntryVMs()), 4, "%s", run.self.ID)
	}
	clear(fabric.cuts)
	fabric.waitUntil(t, 30*time.Second, "rejoin", fabric.checkAgreement)
	isolated := fabric.vms[2]
	for _, other := range fabric.vms[3:] {
		fabric.cuts[[2]string{string(other.self.ID), string(isolated.self.ID)}] = true
		fabric.cuts[[2]string{string(isolated.self.ID), string(other.self.ID)}] = true
	}
	fabric.clock.Advance(time.Minute)
	assert.Assert(t, len(isolated.node.Membership().EntryVMs()) >= 7, "the isolated VM has %d VMs in its view", len(isolated.node.Membership().EntryVMs()))
	clear(fabric.cuts)
	fabric.waitUntil(t, 30*time.Second, "return", fabric.checkAgreement)
}
