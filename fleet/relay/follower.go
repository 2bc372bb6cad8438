package relay

import (
	"context"
	"errors"
	"slices"
	"strings"
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
	// callTimeout bounds a call to a delegate, which responds from memory.
	callTimeout = 500 * time.Millisecond
)

// ErrNoDelegate is the error of a follower that finds no delegate in contact with the store.
var ErrNoDelegate = errors.New("no delegate of the failure domain is in contact with the store")

// Notices reports the store revision that another VM of the failure domain has applied. exchange.Exchange implements it.
type Notices interface {
	StoreRevision(id oleandervane.VMID, maxAge time.Duration) (revision uint64, fresh bool)
}

// ChangesClient reads store changes from another VM.
type ChangesClient interface {
	Changes(ctx context.Context, from oleandervane.EntryVM, after uint64) (changes []oleandervane.StoreChange, full bool, revision uint64, err error)
}

// Settings are the dependencies of a Follower.
type Settings struct {
	TimerService oleandervane.TimerService
	Membership   oleandervane.Membership
	Notices      Notices
	Client       ChangesClient
}

// Follower reads the store through the delegates of its failure domain.
type Follower struct {
	settings Settings
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
func (follower *Follower) DelegateStore(revision uint64) (oleandervane.PrefixStore, bool) {
	if _, _, found := follower.delegate(revision); !found {
		return nil, false
	}
	return delegateStore{follower}, true
}

// delegate returns the delegate in contact with the store that has applied the latest revision, and that revision, if it is
// not older than the given one.
func (follower *Follower) delegate(revision uint64) (delegate oleandervane.EntryVM, applied uint64, found bool) {
	roles := rolesOf(follower.settings.Membership)
	if roles.isDelegate {
		return oleandervane.EntryVM{}, 0, false
	}
	applied = revision
	for _, other := range roles.others {
		if otherRevision, fresh := follower.settings.Notices.StoreRevision(other.ID, noticeTimeout); fresh && otherRevision >= applied {
			delegate, applied, found = other, otherRevision, true
		}
	}
	return delegate, applied, found
}

// delegateStore is the store as read through a delegate.
type delegateStore struct {
	follower *Follower
}

// List returns the entries with a prefix from a delegate's replica.
func (delegateStore delegateStore) List(ctx context.Context, prefix string) ([]oleandervane.StoreEntry, uint64, error) {
	changes, _, revision, err := delegateStore.read(ctx, 0)
	if err != nil {
		return nil, 0, err
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
func (delegateStore delegateStore) WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) (oleandervane.StoreChanges, error) {
	changed, err := delegateStore.await(ctx, after, wait)
	if err != nil || !changed {
		return oleandervane.StoreChanges{Revision: after}, err
	}
	changes, full, revision, err := delegateStore.read(ctx, after)
	if err != nil {
		return oleandervane.StoreChanges{}, err
	}
	if full {
		return oleandervane.StoreChanges{}, eris.Wrap(oleandervane.ErrHistoryGone, "reading changes from a delegate")
	}
	changes = slices.DeleteFunc(changes, func(change oleandervane.StoreChange) bool { return !strings.HasPrefix(change.Entry.Key, prefix) })
	return oleandervane.StoreChanges{Changes: changes, Revision: revision}, nil
}

// await waits until a delegate has applied a later revision than the given one; it returns false after wait.
func (delegateStore delegateStore) await(ctx context.Context, after uint64, wait time.Duration) (changed bool, err error) {
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
		if applied > after {
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

func (delegateStore delegateStore) read(ctx context.Context, after uint64) (changes []oleandervane.StoreChange, full bool, revision uint64, err error) {
	follower := delegateStore.follower
	delegate, _, found := follower.delegate(after)
	if !found {
		return nil, false, 0, eris.Wrap(ErrNoDelegate, "reading changes")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer follower.settings.TimerService.After(callTimeout, func(time.Time) { cancel() })()
	changes, full, revision, err = follower.settings.Client.Changes(ctx, delegate, after)
	if err != nil {
		return nil, false, 0, eris.Wrapf(ErrNoDelegate, "reading changes from %s: %v", delegate.ID, err)
	}
	if revision < after || revision == 0 {
		return nil, false, 0, eris.Wrapf(ErrNoDelegate, "%s is at revision %d, behind %d", delegate.ID, revision, after)
	}
	return changes, full, revision, nil
}
