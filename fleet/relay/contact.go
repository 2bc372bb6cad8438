package relay

import (
	"context"
	"sync"
	"time"

	"oleandervane.example"
)

const (
	// contactLimit is how long after an answer a delegate counts as in contact. It renews its lease each 0.5 s.
	contactLimit = 1200 * time.Millisecond
	// answerLimit is how long a renewal may go unanswered before the delegate counts as cut off. The store answers in
	// milliseconds, in a quarter of a second when it is slow.
	answerLimit = 400 * time.Millisecond
)

// ObservedStore is a store that notes when it answered.
type ObservedStore struct {
	oleandervane.LeaseStore
	oleandervane.PrefixStore
	timerService oleandervane.TimerService

	mutex      sync.Mutex
	answeredAt time.Time
	// askedAt is when the renewal was sent that has no answer yet, or zero.
	askedAt time.Time
}

// Observe returns a store that notes when the given one answered.
func Observe(leaseStore oleandervane.LeaseStore, prefixStore oleandervane.PrefixStore, timerService oleandervane.TimerService) *ObservedStore {
	return &ObservedStore{LeaseStore: leaseStore, PrefixStore: prefixStore, timerService: timerService}
}

// InContact says whether the store answered a moment ago and leaves no renewal without an answer. The wall clock counts
// as well: the steady clock stands still while a VM is suspended.
func (observedStore *ObservedStore) InContact() bool {
	now := observedStore.timerService.Now()
	observedStore.mutex.Lock()
	defer observedStore.mutex.Unlock()
	if !observedStore.askedAt.IsZero() && now.Sub(observedStore.askedAt) > answerLimit {
		return false
	}
	age, wallAge := now.Sub(observedStore.answeredAt), now.Round(0).Sub(observedStore.answeredAt.Round(0))
	return !observedStore.answeredAt.IsZero() && age < contactLimit && wallAge < contactLimit
}

func (observedStore *ObservedStore) noteAnswer(err error) {
	if err != nil {
		return
	}
	observedStore.mutex.Lock()
	defer observedStore.mutex.Unlock()
	observedStore.answeredAt = observedStore.timerService.Now()
}

// RenewLease renews a lease and notes when it was asked and answered.
func (observedStore *ObservedStore) RenewLease(ctx context.Context, lease oleandervane.LeaseID) error {
	observedStore.setAsked(observedStore.timerService.Now())
	defer observedStore.setAsked(time.Time{})
	err := observedStore.LeaseStore.RenewLease(ctx, lease)
	observedStore.noteAnswer(err)
	return err
}

func (observedStore *ObservedStore) setAsked(at time.Time) {
	observedStore.mutex.Lock()
	defer observedStore.mutex.Unlock()
	observedStore.askedAt = at
}

// List lists entries and notes the answer.
func (observedStore *ObservedStore) List(ctx context.Context, prefix string) ([]oleandervane.StoreEntry, uint64, error) {
	entries, revision, err := observedStore.PrefixStore.List(ctx, prefix)
	observedStore.noteAnswer(err)
	return entries, revision, err
}

// WatchPrefix watches and notes the answer.
func (observedStore *ObservedStore) WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) (oleandervane.StoreChanges, error) {
	storeChanges, err := observedStore.PrefixStore.WatchPrefix(ctx, prefix, after, wait)
	observedStore.noteAnswer(err)
	return storeChanges, err
}
