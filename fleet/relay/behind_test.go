package relay_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// changeLimit is the change limit of small installations.
const changeLimit = 2 * time.Second

// Guards against a VM that keeps a removed key because the store refuses it, at once or by silence, also after the other VMs have
// dropped it from their lists and send it no notices. All VMs are delegates without followers.
func TestRefusedVMReadsChangesFromOtherVMs(t *testing.T) {
	for name, refuse := range map[string]func(vm *vm) *atomic.Bool{
		"error":   func(vm *vm) *atomic.Bool { return &vm.link.refusing },
		"silence": func(vm *vm) *atomic.Bool { return &vm.link.cut },
	} {
		t.Run(name, func(t *testing.T) {
			domain := newDomains(t, 3, 2, changeLimit)
			domain.write(t, "a", "0")
			domain.waitFor(t, "a", "0")
			refused := domain.vms[:2]
			for _, vm := range refused {
				vm.interrupts.Store(true)
				refuse(vm).Store(true)
			}
			for number := range 4 {
				// The lease of a refused VM has ended by the third change.
				for _, vm := range refused {
					vm.unlisted.Store(number >= 2)
				}
				value, writtenAt := fmt.Sprint(number+1), time.Now()
				domain.write(t, "a", value)
				for _, vm := range domain.vms {
					poll.WaitOn(t, vm.has("a", value), poll.WithTimeout(changeLimit-time.Since(writtenAt)), poll.WithDelay(5*time.Millisecond))
				}
				time.Sleep(time.Second)
			}
			for _, vm := range refused {
				assert.Assert(t, vm.follower.HasNews(2*time.Second), "%s asks others and has no news", vm.self.ID)
			}
			for _, vm := range refused {
				refuse(vm).Store(false)
				vm.unlisted.Store(false)
			}
			domain.write(t, "a", "5")
			domain.waitFor(t, "a", "5")
		})
	}
}

// Guards against calls to the store that are cancelled and repeated, and against calls between domains, in the ordinary case: VMs learn
// of the changes of a series at different times, because each pauses by itself.
func TestVMsInContactReadNoChangesFromOtherDomains(t *testing.T) {
	domain := newDomains(t, 3, 2, changeLimit)
	domain.write(t, "a", "0")
	domain.waitFor(t, "a", "0")
	before := calls(domain.vms)
	const changes = 30
	for number := range changes {
		domain.write(t, "a", fmt.Sprint(number+1))
		time.Sleep(100 * time.Millisecond)
	}
	domain.waitFor(t, "a", fmt.Sprint(changes))
	for _, vm := range domain.vms {
		assert.Equal(t, vm.caughtUp.Load(), int64(0), "%s", vm.self.ID)
	}
	// 3 s of changes with pauses of 0.1 to 0.8 s between two calls take 7 calls, and a listing one more.
	assert.Assert(t, calls(domain.vms)-before <= int64(8*len(domain.vms)), "%d calls of %d VMs", calls(domain.vms)-before, len(domain.vms))
}

// The store is restored and issues its revisions again, so that each VM already has the revision of the next change. Guards against a
// follower that takes changes of the new era for those after its revision, and against a VM that the store refuses and that keeps the
// entries of the former era.
func TestFollowersDoNotMixEras(t *testing.T) {
	domain := newDomains(t, 2, 4, changeLimit)
	domain.write(t, "a", "1")
	domain.waitFor(t, "a", "1")
	copied := domain.store.Content()
	domain.write(t, "b", "1")
	domain.waitFor(t, "b", "1")
	refused := domain.vms[0]
	refused.interrupts.Store(true)
	refused.link.cut.Store(true)
	for number := range 2 {
		domain.store.Restore(copied)
		domain.write(t, "c", fmt.Sprint(number))
		domain.waitFor(t, "c", fmt.Sprint(number))
		domain.waitFor(t, "b", "")
	}
	refused.link.cut.Store(false)
	domain.write(t, "d", "1")
	domain.waitFor(t, "d", "1")
}
