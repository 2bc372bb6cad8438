package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/fleet/exchange"
)

const (
	// noticeTimeout is how long a delegate may be silent before its followers watch the store themselves. Notices come
	// every 125 ms (exchange.DefaultPeriod), and every 250 ms when the VMs of the own domain and the other domains are
	// together 20 or more. Seven notices in a row may be lost at 125 ms, three at 250 ms.
	noticeTimeout = 1100 * time.Millisecond
	// checkPeriod is how often a follower checks whether its delegate has new changes.
	checkPeriod = 100 * time.Millisecond
	// callTimeout bounds a call to another VM, which responds from memory.
	callTimeout = 500 * time.Millisecond
	// askedVMs is how many VMs are asked at the same time if notices name none that is ahead. The store may refuse a third of them.
	askedVMs = 2
)

// ErrNoDelegate is the error of a follower that finds no delegate in contact with the store.
var ErrNoDelegate = errors.New("no delegate of the failure domain is in contact with the store")

// ErrNoVMAhead is the error of a VM that finds no other VM with a later revision in contact with the store.
var ErrNoVMAhead = errors.New("no VM with a later revision is in contact with the store")

// Notices reports the store revisions that other VMs have applied. exchange.Exchange implements it.
type Notices interface {
	// StoreRevision returns the revision of a VM of the own failure domain.
	StoreRevision(id oleandervane.VMID, maxAge time.Duration) (revision oleandervane.StoreRevision, fresh bool)
	// VMsAhead returns the VMs of any failure domain that are in contact with the store and have applied a later revision.
	VMsAhead(revision oleandervane.StoreRevision, maxAge time.Duration) []oleandervane.VMID
	// Unheard returns the listed VMs of which no notices came, neither their own nor those of their failure domains.
	Unheard(maxAge time.Duration) []oleandervane.EntryVM
}

// ChangesClient reads store changes from another VM.
type ChangesClient interface {
	Changes(ctx context.Context, from oleandervane.EntryVM, after oleandervane.StoreRevision) (Response, error)
}

// Settings are the dependencies of a Follower.
type Settings struct {
	TimerService oleandervane.TimerService
	Membership   oleandervane.Membership
	Notices      Notices
	Client       ChangesClient
}

// Follower reads the store through the delegates of its failure domain, or through any VM if the store does not answer.
type Follower struct {
	settings Settings
	// newsAt is when a VM in contact with the store last responded; nil before.
	newsAt atomic.Pointer[time.Time]
}

// NewFollower returns a follower.
func NewFollower(settings Settings) *Follower {
	return &Follower{settings: settings}
}

// roles describes the delegates of the own failure domain and the role of this VM.
type roles struct {
	// others are the delegates other than this VM.
	others     []oleandervane.EntryVM
	isDelegate bool
	// hasFollowers is set if this VM is a delegate and the domain has VMs that are not.
	hasFollowers bool
}

func rolesOf(membership oleandervane.Membership) roles {
	self, vms := membership.Self(), membership.EntryVMs()
	delegates := exchange.Delegates(vms, self.FailureDomain)
	var roles roles
	for _, delegate := range delegates {
		if delegate.ID == self.ID {
			roles.isDelegate = true
			continue
		}
		roles.others = append(roles.others, delegate)
	}
	domainSize := 0
	for _, vm := range vms {
		if vm.FailureDomain == self.FailureDomain {
			domainSize++
		}
	}
	roles.hasFollowers = roles.isDelegate && domainSize > len(delegates)
	return roles
}

// IsFollower reports whether this VM should read from a delegate when it can.
func (follower *Follower) IsFollower() bool {
	roles := rolesOf(follower.settings.Membership)
	return !roles.isDelegate && len(roles.others) > 0
}

// DelegateStore returns a store that reads from a delegate which has applied the given revision or a later one. It returns
// false if this VM has to watch the store itself.
func (follower *Follower) DelegateStore(revision oleandervane.StoreRevision) (oleandervane.PrefixStore, bool) {
	if _, _, found := follower.delegate(revision); !found {
		return nil, false
	}
	return delegateStore{follower}, true
}

// delegate returns the delegate in contact with the store that has applied the latest revision, and that revision, if it is
// not older than the given one.
func (follower *Follower) delegate(revision oleandervane.StoreRevision) (delegate oleandervane.EntryVM, applied oleandervane.StoreRevision, found bool) {
	roles := rolesOf(follower.settings.Membership)
	if roles.isDelegate {
		return oleandervane.EntryVM{}, oleandervane.StoreRevision{}, false
	}
	applied = revision
	for _, other := range roles.others {
		if otherRevision, fresh := follower.settings.Notices.StoreRevision(other.ID, noticeTimeout); fresh && otherRevision.Compare(applied) >= 0 {
			delegate, applied, found = other, otherRevision, true
		}
	}
	return delegate, applied, found
}

// IsBehind reports whether another VM that is in contact with the store has applied a later revision than the given one.
func (follower *Follower) IsBehind(revision oleandervane.StoreRevision) bool {
	return len(follower.settings.Notices.VMsAhead(revision, noticeTimeout)) > 0
}

// HasNews reports whether a VM in contact with the store responded within the given time. The wall clock is checked as well, because the
// monotonic clock stands still while a VM is suspended.
func (follower *Follower) HasNews(limit time.Duration) bool {
	newsAt, now := follower.newsAt.Load(), follower.settings.TimerService.Now()
	return newsAt != nil && now.Sub(*newsAt) < limit && now.Round(0).Sub(newsAt.Round(0)) < limit
}

// IsCutOff reports whether other VMs may have dropped this one from their lists: some of those that are listed send no notices. A
// VM that the store refuses is dropped when its lease has ended, after 3 s.
func (follower *Follower) IsCutOff() bool {
	return len(follower.settings.Notices.Unheard(noticeTimeout)) > 0
}

// ChangesAhead reads the changes after a revision from a VM of any failure domain that is in contact with the store and has applied a
// later revision, or all entries if full is true. If notices name none, it asks some VMs that send none.
func (follower *Follower) ChangesAhead(ctx context.Context, after oleandervane.StoreRevision) (storeChanges oleandervane.StoreChanges, full bool, err error) {
	ahead := follower.settings.Notices.VMsAhead(after, noticeTimeout)
	if len(ahead) == 0 {
		return follower.ask(ctx, follower.choose(follower.settings.Notices.Unheard(noticeTimeout), askedVMs), after)
	}
	vms := slices.Clone(follower.settings.Membership.EntryVMs())
	vms = slices.DeleteFunc(vms, func(vm oleandervane.EntryVM) bool { return !slices.Contains(ahead, vm.ID) })
	return follower.ask(ctx, follower.choose(vms, 1), after)
}

// choose returns some of the VMs. Those of the own failure domain come first, because links between domains cost. Among these the
// choice is random: many VMs may be behind at the same time, and one link could not serve them all in time.
func (follower *Follower) choose(vms []oleandervane.EntryVM, count int) []oleandervane.EntryVM {
	own := follower.settings.Membership.Self().FailureDomain
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	slices.SortStableFunc(vms, func(a, b oleandervane.EntryVM) int {
		if (a.FailureDomain == own) == (b.FailureDomain == own) {
			return 0
		}
		if a.FailureDomain == own {
			return -1
		}
		return 1
	})
	return vms[:min(count, len(vms))]
}

// ask reads changes from several VMs at the same time and returns the first that come up to a later revision.
func (follower *Follower) ask(ctx context.Context, vms []oleandervane.EntryVM, after oleandervane.StoreRevision) (storeChanges oleandervane.StoreChanges, full bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		Response
		err error
	}
	results := make(chan result, len(vms))
	for _, vm := range vms {
		go func() {
			response, err := follower.read(ctx, vm, after)
			if err == nil && response.Revision.Compare(after) <= 0 {
				err = eris.Wrapf(ErrNoVMAhead, "%s is at revision %v, not after %v", vm.ID, response.Revision, after)
			}
			results <- result{response, err}
		}()
	}
	err = eris.Wrap(ErrNoVMAhead, "reading changes")
	for range vms {
		result := <-results
		if result.err == nil {
			return oleandervane.StoreChanges{Changes: result.Changes, Revision: result.Revision}, result.Full, nil
		}
		err = result.err
	}
	return oleandervane.StoreChanges{}, false, err
}

// read reads the changes after a revision from a VM, within callTimeout.
func (follower *Follower) read(ctx context.Context, vm oleandervane.EntryVM, after oleandervane.StoreRevision) (Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer follower.settings.TimerService.After(callTimeout, func(time.Time) { cancel() })()
	response, err := follower.settings.Client.Changes(ctx, vm, after)
	if err == nil && response.Fresh {
		now := follower.settings.TimerService.Now()
		follower.newsAt.Store(&now)
	}
	return response, eris.Wrapf(err, "reading changes from %s", vm.ID)
}

// delegateStore is the store as read through a delegate.
type delegateStore struct {
	follower *Follower
}

// List returns the entries with a prefix from a delegate's replica.
func (delegateStore delegateStore) List(ctx context.Context, prefix string) ([]oleandervane.StoreEntry, oleandervane.StoreRevision, error) {
	changes, _, revision, err := delegateStore.read(ctx, oleandervane.StoreRevision{})
	if err != nil {
		return nil, oleandervane.StoreRevision{}, err
	}
	entries := make([]oleandervane.StoreEntry, 0, len(changes))
	for _, change := range changes {
		entries = append(entries, change.Entry)
	}
	return slices.DeleteFunc(entries, func(entry oleandervane.StoreEntry) bool { return !strings.HasPrefix(entry.Key, prefix) }), revision, nil
}

// WatchPrefix waits for new changes at a delegate, at most for wait. It fails with ErrNoDelegate when no delegate is in
// contact with the store any more, and with oleandervane.ErrHistoryGone when the delegate no longer has all changes after
// the revision.
func (delegateStore delegateStore) WatchPrefix(ctx context.Context, prefix string, after oleandervane.StoreRevision, wait time.Duration) (oleandervane.StoreChanges, error) {
	changed, err := delegateStore.await(ctx, after, wait)
	if err != nil || !changed {
		return oleandervane.StoreChanges{Revision: after}, err
	}
	changes, full, revision, err := delegateStore.read(ctx, after)
	if err != nil {
		return oleandervane.StoreChanges{}, err
	}
	if full || revision.Era != after.Era {
		return oleandervane.StoreChanges{}, eris.Wrap(oleandervane.ErrHistoryGone, "reading changes from a delegate")
	}
	changes = slices.DeleteFunc(changes, func(change oleandervane.StoreChange) bool { return !strings.HasPrefix(change.Entry.Key, prefix) })
	return oleandervane.StoreChanges{Changes: changes, Revision: revision}, nil
}

// await waits until a delegate has applied a later revision than the given one; it returns false after wait.
func (delegateStore delegateStore) await(ctx context.Context, after oleandervane.StoreRevision, wait time.Duration) (changed bool, err error) {
	timerService := delegateStore.follower.settings.TimerService
	tick := make(chan struct{}, 1)
	defer timerService.Every(checkPeriod, func(time.Time) {
		select {
		case tick <- struct{}{}:
		default:
		}
	})()
	for end := timerService.Now().Add(wait); ; {
		_, applied, found := delegateStore.follower.delegate(after)
		if !found {
			return false, eris.Wrap(ErrNoDelegate, "following the store")
		}
		if applied.Compare(after) > 0 {
			return true, nil
		}
		if !timerService.Now().Before(end) {
			return false, nil
		}
		select {
		case <-tick:
		case <-ctx.Done():
			return false, eris.Wrap(context.Cause(ctx), "following the store")
		}
	}
}

func (delegateStore delegateStore) read(ctx context.Context, after oleandervane.StoreRevision) (changes []oleandervane.StoreChange, full bool, revision oleandervane.StoreRevision, err error) {
	follower := delegateStore.follower
	delegate, _, found := follower.delegate(after)
	if !found {
		return nil, false, oleandervane.StoreRevision{}, eris.Wrap(ErrNoDelegate, "reading changes")
	}
	response, err := follower.read(ctx, delegate, after)
	changes, full, revision = response.Changes, response.Full, response.Revision
	if err != nil {
		return nil, false, oleandervane.StoreRevision{}, eris.Wrapf(ErrNoDelegate, "%v", err)
	}
	if revision.Compare(after) < 0 || revision.Number == 0 {
		return nil, false, oleandervane.StoreRevision{}, eris.Wrapf(ErrNoDelegate, "%s is at revision %v, behind %v", delegate.ID, revision, after)
	}
	return changes, full, revision, nil
}
