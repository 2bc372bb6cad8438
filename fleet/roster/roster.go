// Package roster maintains the list of entry VMs in the platform's store: each VM keeps its own entry there under a lease
// and reads the entries of the others.
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
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
	// leaseDuration is how long a VM that died stays listed. Until then callers are still sent to it.
	leaseDuration = 3 * time.Second
	// renewPeriod allows for two lost renewals within a lease. fastRenewPeriod detects sooner that the store is unavailable.
	renewPeriod     = time.Second
	fastRenewPeriod = renewPeriod / 2
	// restoreSpread is the time over which the VMs write their entries again after the store was restored. All learn of it at the same
	// time, and each makes two writes: 300 VMs make 600, and the store takes 1,200 a second.
	restoreSpread = 500 * time.Millisecond
	// SettleTime is the time after the first listing in which this VM has read the entries of all VMs that started with it. After a loss
	// of power of all VMs, the first listing may lack most of them.
	SettleTime = 2 * time.Second
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

// Observer is notified of registrations of the VM's own entry.
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
	// renewFast reports whether the lease is renewed every fastRenewPeriod.
	renewFast func() bool
	// vms has the VMs in the store; listed is what EntryVMs returns.
	vms    map[oleandervane.VMID]oleandervane.EntryVM
	listed atomic.Pointer[[]oleandervane.EntryVM]
	// registerAgain requests a new registration.
	registerAgain chan struct{}

	mutex   sync.Mutex
	lease   oleandervane.LeaseID
	leaving bool
	// restoring is set from a restore of the store until this VM registers again.
	restoring bool
	// listedAt is when the first entries were applied; zero before.
	listedAt time.Time
}

// New returns a roster that lists only the VM itself. It renews its lease twice as often while renewFast returns true.
func New(self oleandervane.EntryVM, store oleandervane.LeaseStore, timerService oleandervane.TimerService, observer Observer, renewFast func() bool) *Roster {
	roster := &Roster{self: self, store: store, timerService: timerService, observer: observer, renewFast: renewFast, registerAgain: make(chan struct{}, 1)}
	roster.vms = map[oleandervane.VMID]oleandervane.EntryVM{}
	roster.updateListed()
	return roster
}

// Self returns this VM.
func (roster *Roster) Self() oleandervane.EntryVM {
	return roster.self
}

// EntryVMs returns the listed VMs, and this one unless it is leaving, ordered by id. The result must not be changed.
func (roster *Roster) EntryVMs() []oleandervane.EntryVM {
	return *roster.listed.Load()
}

// Settled reports whether EntryVMs has all VMs that run. Before, its length says nothing about the size of the fleet.
func (roster *Roster) Settled() bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return !roster.listedAt.IsZero() && roster.timerService.Now().Sub(roster.listedAt) >= SettleTime
}

// updateListed updates the result of EntryVMs. The caller holds the mutex, or the roster is not shared yet.
func (roster *Roster) updateListed() {
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

// Apply applies changes to the keys of entry VMs. The error joins one error for each entry that cannot be read.
func (roster *Roster) Apply(changes []oleandervane.StoreChange) error {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	if roster.listedAt.IsZero() {
		roster.listedAt = roster.timerService.Now()
	}
	var errs []error
	for _, change := range changes {
		id, found := strings.CutPrefix(change.Entry.Key, KeyPrefix)
		if !found {
			continue
		}
		if err := roster.apply(oleandervane.VMID(id), change); err != nil {
			errs = append(errs, err)
		}
	}
	roster.updateListed()
	return errors.Join(errs...)
}

func (roster *Roster) apply(id oleandervane.VMID, change oleandervane.StoreChange) error {
	if change.Removed {
		delete(roster.vms, id)
		if id == roster.self.ID && roster.lease != (oleandervane.LeaseID{}) {
			signal(roster.registerAgain)
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

// Run registers this VM and renews its entry in the store until ctx ends or Leave is called.
func (roster *Roster) Run(ctx context.Context) {
	tick := make(chan struct{}, 1)
	defer roster.timerService.Every(fastRenewPeriod, func(time.Time) { signal(tick) })()
	ticks := 0
	roster.register(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-roster.registerAgain:
			roster.register(ctx)
		case <-tick:
			ticks++
			if ticks%int(renewPeriod/fastRenewPeriod) == 0 || roster.renewFast() {
				roster.renew(ctx)
			}
		}
	}
}

// Restored registers this VM again after the store was restored: its lease may be gone, or its number be that of another lease.
func (roster *Roster) Restored() {
	roster.setLease(oleandervane.LeaseID{})
	roster.setRestoring(true)
	roster.timerService.After(rand.N(restoreSpread), func(time.Time) {
		if roster.isRestoring() {
			signal(roster.registerAgain)
		}
	})
}

// Leave removes this VM's entry, so that other VMs stop listing it.
func (roster *Roster) Leave(ctx context.Context) error {
	roster.mutex.Lock()
	roster.leaving = true
	roster.updateListed()
	lease := roster.lease
	roster.mutex.Unlock()
	if lease == (oleandervane.LeaseID{}) {
		return nil
	}
	return eris.Wrap(roster.store.EndLease(ctx, lease), "removing the entry of this VM")
}

func (roster *Roster) setRestoring(restoring bool) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	roster.restoring = restoring
}

func (roster *Roster) isRestoring() bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.restoring
}

func (roster *Roster) isLeaving() bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.leaving
}

func (roster *Roster) register(ctx context.Context) {
	roster.setRestoring(false)
	if roster.isLeaving() {
		return
	}
	lease, err := roster.store.GrantLease(ctx, leaseDuration)
	if err == nil {
		err = roster.write(ctx, lease)
	}
	if err != nil {
		// A former lease may still be alive without the entry, and its renewals would not show that.
		roster.setLease(oleandervane.LeaseID{})
		roster.observer.RegistrationFailed(err)
		return
	}
	roster.mutex.Lock()
	// The responses may have been the first ones of a new era.
	roster.lease, roster.restoring = lease, false
	leaving := roster.leaving
	roster.mutex.Unlock()
	if leaving {
		// Leave was called while the entry was being written and did not have its lease yet.
		if err := roster.store.EndLease(ctx, lease); err != nil {
			roster.observer.RegistrationFailed(err)
		}
		return
	}
	roster.observer.Registered(lease)
}

func (roster *Roster) setLease(lease oleandervane.LeaseID) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	roster.lease = lease
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
	lease, leaving, restoring := roster.lease, roster.leaving, roster.restoring
	roster.mutex.Unlock()
	if leaving || restoring {
		return
	}
	if lease == (oleandervane.LeaseID{}) {
		roster.register(ctx)
		return
	}
	err := roster.store.RenewLease(ctx, lease)
	if errors.Is(err, oleandervane.ErrLeaseGone) {
		if !roster.isRestoring() {
			roster.register(ctx)
		}
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
