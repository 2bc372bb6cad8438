package relay

import (
	"context"
	"sync"
	"time"

	"oleandervane.example"
)

const (
	// contactTimeout is how long after a response of the store a delegate counts as in contact. A delegate renews its
	// lease every 0.5 s.
	contactTimeout = 1200 * time.Millisecond
	// renewalTimeout is how long a lease renewal may be unanswered before the delegate counts as cut off from the
	// store. The store responds within milliseconds, or within a quarter of a second when it is slow.
	renewalTimeout = 400 * time.Millisecond
)

// ObservedStore is a store that records when it last responded.
type ObservedStore struct {
	oleandervane.LeaseStore
	oleandervane.PrefixStore
	timerService oleandervane.TimerService

	mutex       sync.Mutex
	respondedAt time.Time
	// renewalSentAt is when the lease renewal that is still unanswered was sent, or zero.
	renewalSentAt time.Time
}

// Observe returns a store that passes calls to the given stores and records when they last responded.
func Observe(leaseStore oleandervane.LeaseStore, prefixStore oleandervane.PrefixStore, timerService oleandervane.TimerService) *ObservedStore {
	return &ObservedStore{LeaseStore: leaseStore, PrefixStore: prefixStore, timerService: timerService}
}

// InContact reports whether the store responded a moment ago and no lease renewal has been unanswered for too long. It
// checks the wall clock as well, because the monotonic clock stands still while a VM is suspended.
func (observedStore *ObservedStore) InContact() bool {
	now := observedStore.timerService.Now()
	observedStore.mutex.Lock()
	defer observedStore.mutex.Unlock()
	if !observedStore.renewalSentAt.IsZero() && now.Sub(observedStore.renewalSentAt) > renewalTimeout {
		return false
	}
	age, wallAge := now.Sub(observedStore.respondedAt), now.Round(0).Sub(observedStore.respondedAt.Round(0))
	return !observedStore.respondedAt.IsZero() && age < contactTimeout && wallAge < contactTimeout
}

// RespondedWithin reports whether the store responded within the given time. It checks the wall clock as well, as InContact does.
func (observedStore *ObservedStore) RespondedWithin(limit time.Duration) bool {
	now := observedStore.timerService.Now()
	observedStore.mutex.Lock()
	defer observedStore.mutex.Unlock()
	age, wallAge := now.Sub(observedStore.respondedAt), now.Round(0).Sub(observedStore.respondedAt.Round(0))
	return !observedStore.respondedAt.IsZero() && age < limit && wallAge < limit
}

func (observedStore *ObservedStore) recordResponse(err error) {
	if err != nil {
		return
	}
	observedStore.mutex.Lock()
	defer observedStore.mutex.Unlock()
	observedStore.respondedAt = observedStore.timerService.Now()
}

// RenewLease renews a lease and records when the renewal was sent and answered.
func (observedStore *ObservedStore) RenewLease(ctx context.Context, lease oleandervane.LeaseID) error {
	observedStore.setRenewalSentAt(observedStore.timerService.Now())
	defer observedStore.setRenewalSentAt(time.Time{})
	err := observedStore.LeaseStore.RenewLease(ctx, lease)
	observedStore.recordResponse(err)
	return err
}

func (observedStore *ObservedStore) setRenewalSentAt(at time.Time) {
	observedStore.mutex.Lock()
	defer observedStore.mutex.Unlock()
	observedStore.renewalSentAt = at
}

// List lists entries and records when the store responded.
func (observedStore *ObservedStore) List(ctx context.Context, prefix string) ([]oleandervane.StoreEntry, oleandervane.StoreRevision, error) {
	entries, revision, err := observedStore.PrefixStore.List(ctx, prefix)
	observedStore.recordResponse(err)
	return entries, revision, err
}

// WatchPrefix waits for changes and records when the store responded.
func (observedStore *ObservedStore) WatchPrefix(ctx context.Context, prefix string, after oleandervane.StoreRevision, wait time.Duration) (oleandervane.StoreChanges, error) {
	storeChanges, err := observedStore.PrefixStore.WatchPrefix(ctx, prefix, after, wait)
	observedStore.recordResponse(err)
	return storeChanges, err
}
