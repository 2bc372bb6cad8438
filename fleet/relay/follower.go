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
	// noticeLimit is how long a delegate may be silent before its followers watch the store themselves. Notices come each
	// 250 ms, in large domains each 500 ms; there one may be lost.
	noticeLimit = 1100 * time.Millisecond
	// checkPeriod is how often a follower looks whether its delegate has news.
	checkPeriod = 100 * time.Millisecond
	// callLimit bounds a call to a delegate, which answers from memory.
	callLimit = 500 * time.Millisecond
)

// ErrNoDelegate is the error of a follower that hears of no delegate in contact with the store.
var ErrNoDelegate = errors.New("no delegate of the failure domain is in contact with the store")

// Notices tell how far another VM of the failure domain knows the store. exchange.Exchange is one.
type Notices interface {
	StoreRevision(id oleandervane.VMID, within time.Duration) (revision uint64, fresh bool)
}

// Caller reads changes from another VM.
type Caller interface {
	Changes(ctx context.Context, from oleandervane.EntryVM, after uint64) (changes []oleandervane.StoreChange, whole bool, revision uint64, err error)
}

// Settings are the parts that a Follower needs.
type Settings struct {
	TimerService oleandervane.TimerService
	Membership   oleandervane.Membership
	Notices      Notices
	Caller       Caller
}

// Follower reads the store from delegates.
type Follower struct {
	settings Settings
}

// NewFollower returns a follower.
func NewFollower(settings Settings) *Follower {
	return &Follower{settings: settings}
}

// roles says who passes the store on in a failure domain.
type roles struct {
	// others are the delegates beside this VM.
	others     []oleandervane.EntryVM
	isDelegate bool
	// followed says that this VM is a delegate and others are not.
	followed bool
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
	near := 0
	for _, vm := range vms {
		if vm.FailureDomain == self.FailureDomain {
			near++
		}
	}
	roles.followed = roles.isDelegate && near > len(delegates)
	return roles
}

// Follows says that this VM should read from a delegate when it can.
func (follower *Follower) Follows() bool {
	roles := rolesOf(follower.settings.Membership)
	return !roles.isDelegate && len(roles.others) > 0
}

// Delegated returns a store that reads from a delegate which knows the store at least up to a revision. It is false when
// this VM has to watch the store itself.
func (follower *Follower) Delegated(revision uint64) (oleandervane.PrefixStore, bool) {
	if _, _, found := follower.delegate(revision); !found {
		return nil, false
	}
	return followed{follower}, true
}

// delegate returns the delegate in contact with the store that is furthest, and how far it is, if that is at least a
// revision.
func (follower *Follower) delegate(revision uint64) (delegate oleandervane.EntryVM, reached uint64, found bool) {
	roles := rolesOf(follower.settings.Membership)
	if roles.isDelegate {
		return oleandervane.EntryVM{}, 0, false
	}
	reached = revision
	for _, other := range roles.others {
		if known, fresh := follower.settings.Notices.StoreRevision(other.ID, noticeLimit); fresh && known >= reached {
			delegate, reached, found = other, known, true
		}
	}
	return delegate, reached, found
}

// followed is the store as a delegate passes it on.
type followed struct {
	follower *Follower
}

// List returns the entries with a prefix that a delegate knows.
func (followed followed) List(ctx context.Context, prefix string) ([]oleandervane.StoreEntry, uint64, error) {
	changes, _, revision, err := followed.read(ctx, 0)
	if err != nil {
		return nil, 0, err
	}
	entries := make([]oleandervane.StoreEntry, 0, len(changes))
	for _, change := range changes {
		entries = append(entries, change.Entry)
	}
	return slices.DeleteFunc(entries, func(entry oleandervane.StoreEntry) bool { return !strings.HasPrefix(entry.Key, prefix) }), revision, nil
}

// WatchPrefix waits for news of a delegate, at most for wait. It fails with ErrNoDelegate when no delegate is in contact
// with the store any more, and with oleandervane.ErrHistoryGone when the delegate has no changes from that revision on.
func (followed followed) WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) (oleandervane.StoreChanges, error) {
	news, err := followed.await(ctx, after, wait)
	if err != nil || !news {
		return oleandervane.StoreChanges{Revision: after}, err
	}
	changes, whole, revision, err := followed.read(ctx, after)
	if err != nil {
		return oleandervane.StoreChanges{}, err
	}
	if whole {
		return oleandervane.StoreChanges{}, eris.Wrap(oleandervane.ErrHistoryGone, "reading changes from a delegate")
	}
	changes = slices.DeleteFunc(changes, func(change oleandervane.StoreChange) bool { return !strings.HasPrefix(change.Entry.Key, prefix) })
	return oleandervane.StoreChanges{Changes: changes, Revision: revision}, nil
}

// await waits until a delegate knows more than a revision.
func (followed followed) await(ctx context.Context, after uint64, wait time.Duration) (news bool, err error) {
	timerService := followed.follower.settings.TimerService
	tick := make(chan struct{}, 1)
	defer timerService.Every(checkPeriod, func(time.Time) {
		select {
		case tick <- struct{}{}:
		default:
		}
	})()
	for end := timerService.Now().Add(wait); ; {
		_, reached, found := followed.follower.delegate(after)
		if !found {
			return false, eris.Wrap(ErrNoDelegate, "following the store")
		}
		if reached > after {
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

func (followed followed) read(ctx context.Context, after uint64) (changes []oleandervane.StoreChange, whole bool, revision uint64, err error) {
	follower := followed.follower
	delegate, _, found := follower.delegate(after)
	if !found {
		return nil, false, 0, eris.Wrap(ErrNoDelegate, "reading changes")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer follower.settings.TimerService.After(callLimit, func(time.Time) { cancel() })()
	changes, whole, revision, err = follower.settings.Caller.Changes(ctx, delegate, after)
	if err != nil {
		return nil, false, 0, eris.Wrapf(ErrNoDelegate, "reading changes from %s: %v", delegate.ID, err)
	}
	if revision < after || revision == 0 {
		return nil, false, 0, eris.Wrapf(ErrNoDelegate, "%s is at revision %d, behind %d", delegate.ID, revision, after)
	}
	return changes, whole, revision, nil
}
