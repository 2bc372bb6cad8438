package emulation

import (
	"cmp"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/exchange"
	"oleandervane.example/fleet/peer"
)

// startExchange lets a VM tell others what it has in flight, unless the variant leaves each VM to itself.
func (vm *vm) startExchange() {
	vm.exchange = exchange.New(exchange.Settings{
		TimerService: vm.world.manual, Membership: vm, InFlight: vm.placer, Affinity: vm.familiarity(),
		Suspects: noSuspicions{}, Store: noStore{}, Sender: vm,
		Period: time.Duration(vm.world.variant.ExchangePeriod),
	})
	if vm.world.variant.Alone {
		return
	}
	// VMs do not start at the same moment.
	period := cmp.Or(time.Duration(vm.world.variant.ExchangePeriod), exchange.DefaultPeriod)
	offset := time.Duration(vm.world.random.Float64() * float64(period))
	started := vm.exchange
	vm.world.manual.After(offset, func(time.Time) {
		var cancel func()
		cancel = vm.world.manual.Every(period, func(time.Time) {
			if vm.exchange != started {
				cancel()
				return
			}
			if !vm.down {
				vm.exchange.SendNotices()
			}
		})
	})
}

// Send carries a notice over the modelled links.
func (vm *vm) Send(to []oleandervane.EntryVM, notice *peer.Notice) {
	for _, other := range to {
		receiver := vm.world.vms[other.ID]
		vm.world.manual.After(vm.world.delay(vm.FailureDomain, receiver.FailureDomain), func(time.Time) {
			if !receiver.down {
				receiver.exchange.Receive(notice)
			}
		})
	}
}

// familiarity is what the VM tells others of the objects that servers know.
func (vm *vm) familiarity() oleandervane.AffinityTracker {
	if vm.world.variant.OwnFamiliarity {
		return noFamiliarity{}
	}
	return vm.placer
}

// noFamiliarity tells nothing and learns nothing.
type noFamiliarity struct{}

func (noFamiliarity) PendingAffinity() []uint32 { return nil }
func (noFamiliarity) MergeAffinity(_ []uint32)  {}

// noSuspicions knows no requests that crash servers: the models have none.
type noSuspicions struct{}

func (noSuspicions) Suspects() []oleandervane.SuspectRequest    { return nil }
func (noSuspicions) Quarantined() []oleandervane.SuspectRequest { return nil }
func (noSuspicions) Merge(_, _ []oleandervane.SuspectRequest)   {}

// noStore is a store that VMs hear of otherwise.
type noStore struct{}

func (noStore) StoreRevision() (revision uint64, fresh bool) { return 0, false }
