package emulation

import (
	"cmp"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/exchange"
	"oleandervane.example/fleet/peer"
)

// startExchange creates the VM's exchange and starts to send its notices periodically, unless the variant isolates VMs.
func (vm *vm) startExchange() {
	vm.exchange = exchange.New(exchange.Settings{
		TimerService: vm.world.manual, Membership: vm, InFlight: vm.placer, Affinity: vm.affinityTracker(),
		Suspects: noSuspects{}, Directives: vm.placer, ServerEnds: vm.placer, Store: noStore{}, Sender: vm,
		Period: time.Duration(vm.world.variant.ExchangePeriod),
	})
	if vm.world.variant.Isolated {
		return
	}
	// VMs start at different times, so their notices are not synchronised.
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

// Send delivers a notice to other VMs over the modelled links.
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

// affinityTracker returns the tracker whose cache affinity the VM exchanges with others.
func (vm *vm) affinityTracker() oleandervane.AffinityTracker {
	if vm.world.variant.OwnAffinity {
		return noAffinity{}
	}
	return vm.placer
}

// noAffinity sends no cache affinity and ignores that of others.
type noAffinity struct{}

func (noAffinity) PendingAffinity() []uint32 { return nil }
func (noAffinity) MergeAffinity(_ []uint32)  {}

// noSuspects is a suspect tracker without entries: no request crashes the modelled servers.
type noSuspects struct{}

func (noSuspects) Suspects() []oleandervane.SuspectRequest    { return nil }
func (noSuspects) Quarantined() []oleandervane.SuspectRequest { return nil }
func (noSuspects) Merge(_, _ []oleandervane.SuspectRequest)   {}

// noStore reports no store revision in notices: the world updates VMs from the store itself.
type noStore struct{}

func (noStore) StoreRevision() (revision oleandervane.StoreRevision, fresh bool) {
	return oleandervane.StoreRevision{}, false
}
