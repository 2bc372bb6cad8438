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

// joined starts a fleet in 3 regions and waits until it agrees and has revision 1.
func joined(t testing.TB, seed uint64, count int) *fabric {
	fabric := newFabric(seed)
	fabric.startAll(count, 3)
	fabric.until(t, 30*time.Second, "join", fabric.agreement)
	fabric.store.publish(1, []byte("one"))
	fabric.until(t, 8*time.Second, "first revision", func() error { return fabric.inForce(1) })
	return fabric
}

func (fabric *fabric) cut(first, second int) {
	one, other := string(regionName(first)), string(regionName(second))
	fabric.cuts[[2]string{one, other}] = true
	fabric.cuts[[2]string{other, one}] = true
}

// Guards against a fleet that misses a death, and one that does not stay in agreement.
func TestFleetJoinsAndSeesDeath(t *testing.T) {
	fabric := joined(t, 1, 20)
	fabric.vms[7].kill()
	fabric.until(t, 5*time.Second, "death", fabric.agreement)
	fabric.clock.Advance(5 * time.Minute)
	assert.NilError(t, fabric.agreement())
}

// Guards against sides that do not find each other after an hour, and against a revision or a death that the other
// side misses. Region 0 has the store; region 2 is cut off from both others.
func TestRegionsPartitionedForAnHour(t *testing.T) {
	fabric := joined(t, 2, 9)
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
	fabric.until(t, 20*time.Second, "rejoin", func() error {
		if err := fabric.agreement(); err != nil {
			return err
		}
		return fabric.inForce(2)
	})
}

// Guards against a VM that wakes after 30 s and takes its peers for dead, and against peers that keep it dead.
func TestPausedVMWakes(t *testing.T) {
	fabric := joined(t, 3, 12)
	sleeper := fabric.vms[4]
	sleeper.pause(30 * time.Second)
	fabric.clock.Advance(10 * time.Second)
	_, found := fabric.vms[0].node.Membership().View().VM(sleeper.self.ID)
	assert.Assert(t, !found, "a VM that does not answer for 10 s is dead")
	fabric.clock.Advance(20 * time.Second)
	for range 100 {
		fabric.clock.Advance(100 * time.Millisecond)
		assert.Equal(t, len(sleeper.node.Membership().EntryVMs()), 12)
	}
	assert.NilError(t, fabric.agreement())
	assert.Equal(t, sleeper.node.Membership().Self().Incarnation, sleeper.self.Incarnation)
}

// Guards against a predecessor that stays alive after another VM took its address, and against waiting for probes
// when a VM announces that it leaves and goes.
func TestReplacedAndLeavingVMs(t *testing.T) {
	fabric := joined(t, 4, 12)
	old := fabric.vms[5]
	fabric.start(5, 3, 1)
	fabric.until(t, 3*time.Second, "replacement", func() error { return fabric.dead(old, false) })
	fabric.until(t, 3*time.Second, "join of the replacement", fabric.agreement)
	leaver := fabric.vms[8]
	leaver.node.Leave()
	fabric.until(t, 2*time.Second, "leaving state", func() error {
		for _, run := range fabric.live() {
			if vm, _ := run.node.Membership().View().VM(leaver.self.ID); vm.State != oleandervane.VMLeaving {
				return fmt.Errorf("%s takes %s for %s", run.self.ID, leaver.self.ID, vm.State)
			}
		}
		return nil
	})
	fabric.clock.Advance(time.Minute)
	vm, found := fabric.vms[0].node.Membership().View().VM(leaver.self.ID)
	assert.Assert(t, found && vm.State == oleandervane.VMLeaving, "a leaving VM must stay leaving while it runs")
	leaver.node.Stop()
	leaver.live = false
	delete(fabric.at, leaver.self.PeerAddress)
	fabric.until(t, 2*time.Second, "departure", func() error { return fabric.dead(leaver, false) })
}

// Guards against a death that is declared although helpers still reach the VM: one direction between two VMs of a
// region is cut, then both between two failure domains.
func TestAsymmetricCuts(t *testing.T) {
	fabric := joined(t, 5, 18)
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

// Guards against a VM that depends on the store to start.
func TestVMStartsWithoutStore(t *testing.T) {
	fabric := joined(t, 6, 18)
	fabric.store.setDown(true)
	fresh := fabric.start(4, 3, 1)
	fabric.until(t, 4*time.Second, "revision with the store down", func() error { return fabric.inForce(1) })
	assert.Assert(t, fresh.node.Configuration() != nil)
}

// Guards against VMs that believe an old answer of the store while a peer knows better: all but one restart at once.
func TestMostRestartWithStaleStore(t *testing.T) {
	for seed := range uint64(8) {
		fabric := joined(t, 20+seed, 18)
		stale := maps.Clone(fabric.store.entries)
		fabric.store.publish(2, []byte("two"))
		fabric.until(t, 4*time.Second, "second revision", func() error { return fabric.inForce(2) })
		fabric.store.stale = stale
		fabric.onAccept = func(run *vm, configuration *oleandervane.Configuration) {
			assert.Equal(t, configuration.Revision, oleandervane.Revision(2), "%s went back", run.self.ID)
		}
		for index := range 17 {
			fabric.start(index, 3, 1)
		}
		fabric.until(t, 10*time.Second, "revision after restarts", func() error { return fabric.inForce(2) })
		fabric.clock.Advance(2 * time.Minute)
		assert.NilError(t, fabric.inForce(2))
		head, _ := testDecoder{}.DecodeHead(fabric.store.entries[gossip.HeadKey].Value)
		assert.Equal(t, head.Revision, oleandervane.Revision(2), "a stale read made a watcher write an older revision")
	}
}

// Guards against a store that stays older after it lost a revision, and against a restore that overwrites what
// operators published meanwhile.
func TestStoreThatLostRevisionsIsBroughtForward(t *testing.T) {
	fabric := joined(t, 7, 12)
	older := maps.Clone(fabric.store.entries)
	for revision := uint64(2); revision <= 3; revision++ {
		fabric.store.publish(revision, []byte(fmt.Sprint(revision)))
	}
	fabric.until(t, 4*time.Second, "third revision", func() error { return fabric.inForce(3) })
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
	fabric.until(t, 40*time.Second, "restore", restored(3))
	fabric.store.entries = maps.Clone(older)
	fabric.store.notify()
	fabric.clock.Advance(400 * time.Millisecond)
	fabric.store.publish(4, []byte("published on the older store"))
	fabric.until(t, 4*time.Second, "fourth revision", func() error { return fabric.inForce(4) })
	fabric.clock.Advance(time.Minute)
	assert.NilError(t, restored(4)())
	key := "config/chunk/" + digestOf([]byte("published on the older store"))
	delete(fabric.store.entries, key)
	fabric.clock.Advance(2 * time.Minute)
	assert.Equal(t, string(fabric.store.entries[key].Value), "published on the older store", "a lost chunk has to be written again")
}

// Guards against snapshots that are written too often, by more than one VM, or not found by a region that restarts.
func TestSnapshotIsWrittenAndRead(t *testing.T) {
	fabric := joined(t, 8, 9)
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
	fabric.until(t, 6*time.Second, "snapshot", func() error {
		for _, run := range fabric.live() {
			content, ready := run.node.SteeringSnapshot()
			if !ready || string(content) != "snapshot of "+string(run.self.Region) {
				return fmt.Errorf("%s has %q", run.self.ID, content)
			}
		}
		return nil
	})
}

// Guards against values that lose their age on the way, come back after they expired, or stay on the wrong side of
// their scope.
func TestValuesKeepAgeExpiryAndScope(t *testing.T) {
	fabric := joined(t, 9, 12)
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

// Guards against deaths by loss alone: 8% of all messages are lost for 5 minutes.
func TestLossAloneKillsNobody(t *testing.T) {
	fabric := joined(t, 10, 20)
	fabric.loss = 0.08
	for range 3000 {
		fabric.clock.Advance(100 * time.Millisecond)
		for _, run := range fabric.live() {
			assert.Equal(t, len(run.node.Membership().EntryVMs()), 20, "%s", run.self.ID)
		}
	}
}

// Guards against halves of a region that stay dead for each other when no other region can carry the news, and
// against a VM that hears from nobody and takes all others for dead.
func TestSplitRegionAndIsolatedVM(t *testing.T) {
	fabric := newFabric(11)
	fabric.startAll(10, 1)
	fabric.until(t, 20*time.Second, "join", fabric.agreement)
	// The halves must not find each other through the addresses of their settings.
	fabric.vms[0].kill()
	fabric.vms[1].kill()
	fabric.until(t, 20*time.Second, "deaths of the seeds", fabric.agreement)
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
	fabric.until(t, 30*time.Second, "rejoin", fabric.agreement)
	alone := fabric.vms[2]
	for _, other := range fabric.vms[3:] {
		fabric.cuts[[2]string{string(other.self.ID), string(alone.self.ID)}] = true
		fabric.cuts[[2]string{string(alone.self.ID), string(other.self.ID)}] = true
	}
	fabric.clock.Advance(time.Minute)
	assert.Assert(t, len(alone.node.Membership().EntryVMs()) >= 7, "the isolated VM knows %d", len(alone.node.Membership().EntryVMs()))
	clear(fabric.cuts)
	fabric.until(t, 30*time.Second, "return", fabric.agreement)
}
