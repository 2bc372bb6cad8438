// Package roster keeps the list of entry VMs in the platform's store: each VM holds its own entry there by a lease
// and learns of the others from their entries.
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

const (
	// KeyPrefix is the prefix of the keys of entry VMs in the store.
	KeyPrefix = "vms/"
	// leaseDuration is how long a VM that died stays listed. Callers are sent to it meanwhile.
	leaseDuration = 3 * time.Second
	// renewPeriod leaves room for two lost renewals within a lease, promptPeriod shows sooner that the store is away.
	renewPeriod  = time.Second
	promptPeriod = renewPeriod / 2
)

// ErrUnreadable is the error of an entry that cannot be read.
var ErrUnreadable = errors.New("the entry of the entry VM cannot be read")

// entry is the value of a VM's key.
type entry struct {
	Incarnation   uint64 `json:"incarnation"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	// Capacity is in requests a second.
	Capacity float64 `json:"capacity"`
}

// Observer is told how the VM's own entry fares.
type Observer interface {
	Registered(lease oleandervane.LeaseID)
	RegistrationFailed(err error)
}

// Roster is an oleandervane.Membership.
type Roster struct {
	self         oleandervane.EntryVM
	store        oleandervane.LeaseStore
	timerService oleandervane.TimerService
	observer     Observer
	// prompt says that the lease is to be renewed each promptPeriod.
	prompt func() bool
	// vms has the VMs in the store; listed is what EntryVMs returns.
	vms    map[oleandervane.VMID]oleandervane.EntryVM
	listed atomic.Pointer[[]oleandervane.EntryVM]
	// again asks for a new registration.
	again chan struct{}

	mutex   sync.Mutex
	lease   oleandervane.LeaseID
	leaving bool
}

// New returns a roster that lists only the VM itself. It renews its lease twice as often while prompt returns true.
func New(self oleandervane.EntryVM, store oleandervane.LeaseStore, timerService oleandervane.TimerService, observer Observer, prompt func() bool) *Roster {
	roster := &Roster{self: self, store: store, timerService: timerService, observer: observer, prompt: prompt, again: make(chan struct{}, 1)}
	roster.vms = map[oleandervane.VMID]oleandervane.EntryVM{}
	roster.list()
	return roster
}

// Self returns this VM.
func (roster *Roster) Self() oleandervane.EntryVM {
	return roster.self
}

// EntryVMs returns the VMs that are listed, and this one unless it leaves, ordered by id. The result must not be changed.
func (roster *Roster) EntryVMs() []oleandervane.EntryVM {
	return *roster.listed.Load()
}

// list renews what EntryVMs returns. The mutex is held, or nobody else knows the roster yet.
func (roster *Roster) list() {
	vms := maps.Clone(roster.vms)
	delete(vms, roster.self.ID)
	if !roster.leaving {
		vms[roster.self.ID] = roster.self
	}
	listed := slices.SortedFunc(maps.Values(vms), func(a, b oleandervane.EntryVM) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	roster.listed.Store(&listed)
}

// Apply takes over changes of keys of entry VMs. The error joins one for each entry that cannot be read.
func (roster *Roster) Apply(changes []oleandervane.StoreChange) error {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	var faults []error
	for _, change := range changes {
		id, found := strings.CutPrefix(change.Entry.Key, KeyPrefix)
		if !found {
			continue
		}
		if err := roster.apply(oleandervane.VMID(id), change); err != nil {
			faults = append(faults, err)
		}
	}
	roster.list()
	return errors.Join(faults...)
}

func (roster *Roster) apply(id oleandervane.VMID, change oleandervane.StoreChange) error {
	if change.Removed {
		delete(roster.vms, id)
		if id == roster.self.ID && roster.lease != 0 {
			signal(roster.again)
		}
		return nil
	}
	entryVM, err := decode(id, change.Entry.Value)
	if err != nil {
		delete(roster.vms, id)
		return err
	}
	roster.vms[id] = entryVM
	return nil
}

// Run keeps this VM's entry in the store until ctx ends or Leave is called.
func (roster *Roster) Run(ctx context.Context) {
	tick := make(chan struct{}, 1)
	defer roster.timerService.Every(promptPeriod, func(time.Time) { signal(tick) })()
	ticks := 0
	roster.register(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-roster.again:
			roster.register(ctx)
		case <-tick:
			ticks++
			if ticks%int(renewPeriod/promptPeriod) == 0 || roster.prompt() {
				roster.renew(ctx)
			}
		}
	}
}

// Leave removes this VM's entry; other VMs stop naming it.
func (roster *Roster) Leave(ctx context.Context) error {
	roster.mutex.Lock()
	roster.leaving = true
	roster.list()
	lease := roster.lease
	roster.mutex.Unlock()
	if lease == 0 {
		return nil
	}
	return eris.Wrap(roster.store.EndLease(ctx, lease), "removing the entry of this VM")
}

func (roster *Roster) isLeaving() bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.leaving
}

func (roster *Roster) register(ctx context.Context) {
	if roster.isLeaving() {
		return
	}
	lease, err := roster.store.GrantLease(ctx, leaseDuration)
	if err == nil {
		err = roster.write(ctx, lease)
	}
	if err != nil {
		roster.observer.RegistrationFailed(err)
		return
	}
	roster.mutex.Lock()
	roster.lease = lease
	left := roster.leaving
	roster.mutex.Unlock()
	if left {
		// Leave came while the entry was being written and did not know its lease.
		if err := roster.store.EndLease(ctx, lease); err != nil {
			roster.observer.RegistrationFailed(err)
		}
		return
	}
	roster.observer.Registered(lease)
}

func (roster *Roster) write(ctx context.Context, lease oleandervane.LeaseID) error {
	value, err := json.Marshal(entry{
		Incarnation:   uint64(roster.self.Incarnation),
		Region:        string(roster.self.Region),
		FailureDomain: string(roster.self.FailureDomain),
		CallerAddress: roster.self.CallerAddress.String(),
		PeerAddress:   roster.self.PeerAddress.String(),
		Capacity:      roster.self.Capacity,
	})
	if err != nil {
		return eris.Wrap(err, "encoding the entry of this VM")
	}
	_, err = roster.store.Commit(ctx, oleandervane.StoreTransaction{
		Writes: []oleandervane.StoreWrite{{Key: KeyPrefix + string(roster.self.ID), Value: value, Lease: lease}},
	})
	return err
}

func (roster *Roster) renew(ctx context.Context) {
	roster.mutex.Lock()
	lease, leaving := roster.lease, roster.leaving
	roster.mutex.Unlock()
	if leaving {
		return
	}
	if lease == 0 {
		roster.register(ctx)
		return
	}
	err := roster.store.RenewLease(ctx, lease)
	if errors.Is(err, oleandervane.ErrLeaseGone) {
		roster.register(ctx)
		return
	}
	if err != nil {
		roster.observer.RegistrationFailed(err)
	}
}

func decode(id oleandervane.VMID, value []byte) (oleandervane.EntryVM, error) {
	var entry entry
	if err := json.Unmarshal(value, &entry); err != nil {
		return oleandervane.EntryVM{}, eris.Wrapf(ErrUnreadable, "VM %q: %v", id, err)
	}
	callerAddress, err := netip.ParseAddrPort(entry.CallerAddress)
	if err != nil {
		return oleandervane.EntryVM{}, eris.Wrapf(ErrUnreadable, "VM %q: caller address: %v", id, err)
	}
	peerAddress, err := netip.ParseAddrPort(entry.PeerAddress)
	if err != nil {
		return oleandervane.EntryVM{}, eris.Wrapf(ErrUnreadable, "VM %q: peer address: %v", id, err)
	}
	return oleandervane.EntryVM{
		ID:            id,
		Incarnation:   oleandervane.Incarnation(entry.Incarnation),
		Region:        oleandervane.Region(entry.Region),
		FailureDomain: oleandervane.FailureDomain(entry.FailureDomain),
		CallerAddress: callerAddress,
		PeerAddress:   peerAddress,
		Capacity:      max(0, entry.Capacity),
	}, nil
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
