// Package registrywatch keeps a VM's replica of the platform's store up to date.
package registrywatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

const (
	// watchWait is how long one call of a watch waits at the store. Longer waits cost fewer calls; the socket detects a
	// connection that goes silent in the meantime.
	watchWait = 25 * time.Second
	// confirmWait is the wait of the first watch after a listing or a change. A store that is about to drop its history
	// may accept a watch that never receives the changes made since; the next call detects this. The phases in which
	// watches of the store receive nothing last a second.
	confirmWait = 1500 * time.Millisecond
	// batchShare is the share of the change limit, the time in which a change must be in force, that passes at most between two
	// calls of a watch. Changes come in series, and one call can return them all.
	batchShare = 0.4
	// firstBatchShare is the part of the longest pause that follows the first change of a series. The pause doubles with each further
	// change: servers that start at the same time write their entries within some ten milliseconds.
	firstBatchShare = 0.125
	// minRetryDelay and maxRetryDelay bound the backoff after a failed call.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = time.Second
	// unavailableAfter is how long calls must have failed before the store counts as unavailable.
	unavailableAfter = time.Second
	// behindTimeout is how long a call to the store may stay without a response while notices show that it answered another VM with a
	// later revision. It is then cancelled, and the changes are read from such a VM. The store responds within milliseconds, or
	// within a quarter of a second when it is slow, so that calls are not cancelled in the ordinary case.
	behindTimeout = 300 * time.Millisecond
	// behindCheckPeriod is the time between two checks whether another VM has a later revision.
	behindCheckPeriod = 100 * time.Millisecond
	// askPeriod is the time between two questions of a VM that the store refuses and that the others have dropped. A change is in
	// force at them up to 0.4 of the change limit after the write; one unanswered question still leaves time for the next one.
	askPeriod = 500 * time.Millisecond
	// RemovalDelay is how long, after the store was unavailable, entries that lapsed meanwhile are kept. Servers and VMs that
	// are alive have written their entries again by then.
	RemovalDelay = 2200 * time.Millisecond
)

// Sink receives the entries and changes that the watcher reads. Its methods are called from one goroutine.
type Sink interface {
	// Replace replaces all earlier entries.
	Replace(entries []oleandervane.StoreEntry, revision oleandervane.StoreRevision)
	// Apply applies changes in order.
	Apply(storeChanges oleandervane.StoreChanges)
	// StoreUnavailable reports that the store is unavailable, StoreRecovered that it is available again after the
	// given outage.
	StoreUnavailable(err error)
	StoreRecovered(outage time.Duration)
	// SourceChanged reports whether changes are read from another VM from now on, and not from the store.
	SourceChanged(relayed bool)
	// CaughtUp reports that the changes up to a revision were read from another VM because the store did not answer this one. If
	// full is true, all entries were read.
	CaughtUp(revision oleandervane.StoreRevision, full bool)
}

// Relay provides access to the store through another VM, which costs no call to the store.
type Relay interface {
	// DelegateStore returns a store that reads from a VM which has applied the given revision or a later one, or false if this
	// VM has to call the store itself.
	DelegateStore(revision oleandervane.StoreRevision) (oleandervane.PrefixStore, bool)
	// IsFollower reports whether this VM should read from another one when it can.
	IsFollower() bool
	// IsBehind reports whether a VM that is in contact with the store has applied a later revision than the given one.
	IsBehind(revision oleandervane.StoreRevision) bool
	// IsCutOff reports whether other VMs may have dropped this one from their lists, so that it does not hear of later revisions.
	IsCutOff() bool
	// ChangesAhead reads the changes after a revision from a VM that is ahead, or all entries if full is true.
	ChangesAhead(ctx context.Context, after oleandervane.StoreRevision) (storeChanges oleandervane.StoreChanges, full bool, err error)
}

// NoRelay is the Relay of VMs that all call the store themselves.
type NoRelay struct{}

// DelegateStore returns false.
func (NoRelay) DelegateStore(oleandervane.StoreRevision) (oleandervane.PrefixStore, bool) {
	return nil, false
}

// IsFollower returns false.
func (NoRelay) IsFollower() bool { return false }

// IsBehind returns false.
func (NoRelay) IsBehind(oleandervane.StoreRevision) bool { return false }

// IsCutOff returns false.
func (NoRelay) IsCutOff() bool { return false }

// ChangesAhead returns no changes.
func (NoRelay) ChangesAhead(_ context.Context, after oleandervane.StoreRevision) (oleandervane.StoreChanges, bool, error) {
	return oleandervane.StoreChanges{Revision: after}, false, nil
}

// Watcher reads all keys of the store and then watches them.
type Watcher struct {
	store        oleandervane.PrefixStore
	relay        Relay
	timerService oleandervane.TimerService
	sink         Sink
	// batchDelay is the longest pause between two calls of a watch, nextPause the last one in a series of changes.
	batchDelay, nextPause time.Duration
	// interrupt cancels the watch in progress.
	interrupt chan struct{}

	// revision is the revision that has been applied, if listed is set.
	revision oleandervane.StoreRevision
	listed   bool
	// confirmed is set if a watch has ended without changes since the last listing or change.
	confirmed bool
	// changed is set if the last watch returned changes.
	changed bool
	// direct is set if the next call goes to the store because the last call to another VM failed.
	direct bool
	// relayed is set if the last call went to another VM.
	relayed      bool
	failingSince time.Time
	unavailable  bool
	// askedAt is when the VM last asked others for changes.
	askedAt    time.Time
	retryDelay time.Duration
}

// New returns a watcher that starts with Run. A change has to be in force within changeLimit.
func New(store oleandervane.PrefixStore, relay Relay, timerService oleandervane.TimerService, sink Sink, changeLimit time.Duration) *Watcher {
	return &Watcher{
		store:        store,
		relay:        relay,
		timerService: timerService,
		sink:         sink,
		batchDelay:   time.Duration(batchShare * float64(changeLimit)),
		interrupt:    make(chan struct{}, 1),
		retryDelay:   minRetryDelay,
	}
}

// Run watches until ctx ends.
func (watcher *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		store, relayed := watcher.source()
		wasListed, startedAt := watcher.listed, watcher.timerService.Now()
		err := watcher.read(ctx, store, relayed)
		switch {
		case err == nil:
			watcher.listed = true
			watcher.recordContact()
			if wasListed && !relayed {
				watcher.pauseAfterWatch(ctx, watcher.timerService.Now().Sub(startedAt))
			}
		case errors.Is(err, oleandervane.ErrHistoryGone):
			watcher.listed = false
			watcher.pauseLonger(ctx)
		case relayed:
			// Changes from another VM are complete up to their revision, so the store is watched from that revision on.
			watcher.direct = true
		case errors.Is(err, errBehind) && watcher.listed:
			// The next watch continues from the revision that was read. If none was, the store has the changes.
			watcher.catchUp(ctx)
		default:
			// A watch that was interrupted may have missed changes that the next watch would not return either, so
			// all entries are listed again.
			watcher.listed = false
			watcher.recordFailure(ctx, err)
		}
	}
}

// source returns the store to read from, and whether it reads through another VM.
func (watcher *Watcher) source() (store oleandervane.PrefixStore, relayed bool) {
	if !watcher.direct {
		store, relayed = watcher.relay.DelegateStore(watcher.revision)
	}
	watcher.direct = false
	if relayed != watcher.relayed {
		watcher.relayed, watcher.confirmed = relayed, false
		watcher.sink.SourceChanged(relayed)
	}
	if !relayed {
		return watcher.store, false
	}
	return store, true
}

// errBehind is the cause of the end of a call to the store that other VMs have overtaken.
var errBehind = errors.New("the store does not respond to this VM, and another VM has a later revision or does not report its own")

// read lists the store if it has to; otherwise it watches the store. A call to the store itself fails with errBehind when it has had
// no response for behindTimeout while another VM has a later revision.
func (watcher *Watcher) read(ctx context.Context, store oleandervane.PrefixStore, relayed bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !relayed {
		revision, failing, checks := watcher.revision, !watcher.failingSince.IsZero(), 0
		defer watcher.timerService.Every(behindCheckPeriod, func(time.Time) {
			checks++
			if !watcher.relay.IsBehind(revision) && !(failing && watcher.relay.IsCutOff()) {
				checks = 0
			}
			if checks > int(behindTimeout/behindCheckPeriod) {
				cancel(errBehind)
			}
		})()
	}
	read := watcher.list
	if watcher.listed {
		read = watcher.watch
	}
	err := read(ctx, store)
	if err != nil && errors.Is(context.Cause(ctx), errBehind) {
		return errBehind
	}
	return err
}

// catchUp reads the changes after the revision of this VM from another one. What the VM does not learn in this way it learns from the
// store, so a failure has no consequences.
func (watcher *Watcher) catchUp(ctx context.Context) {
	storeChanges, full, err := watcher.relay.ChangesAhead(ctx, watcher.revision)
	if err != nil || storeChanges.Revision.Compare(watcher.revision) <= 0 {
		return
	}
	full = full || storeChanges.Revision.Era != watcher.revision.Era
	watcher.revision, watcher.confirmed = storeChanges.Revision, false
	if full {
		// Entries that lapsed while the store was unavailable to all VMs may be missing, as in the first listing after an outage.
		watcher.recordContact()
		watcher.sink.Replace(entriesOf(storeChanges.Changes), storeChanges.Revision)
	} else {
		watcher.sink.Apply(storeChanges)
	}
	watcher.sink.CaughtUp(storeChanges.Revision, full)
}

func entriesOf(changes []oleandervane.StoreChange) []oleandervane.StoreEntry {
	entries := make([]oleandervane.StoreEntry, 0, len(changes))
	for _, change := range changes {
		entries = append(entries, change.Entry)
	}
	return entries
}

func (watcher *Watcher) list(ctx context.Context, store oleandervane.PrefixStore) error {
	// A listing makes an interruption of the watch before it needless.
	select {
	case <-watcher.interrupt:
	default:
	}
	entries, revision, err := store.List(ctx, "")
	if err != nil {
		return err
	}
	if revision.Era < watcher.revision.Era {
		return eris.Wrapf(oleandervane.ErrStoreUnavailable, "listed era %d of the store after era %d", revision.Era, watcher.revision.Era)
	}
	watcher.recordContact()
	watcher.confirmed, watcher.revision = false, revision
	watcher.sink.Replace(entries, revision)
	return nil
}

func (watcher *Watcher) watch(ctx context.Context, store oleandervane.PrefixStore) error {
	wait := confirmWait
	if watcher.confirmed {
		wait = watchWait
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-watcher.interrupt:
			cancel()
		case <-ctx.Done():
		}
	}()
	storeChanges, err := store.WatchPrefix(ctx, "", watcher.revision, wait)
	if err != nil {
		return err
	}
	watcher.recordContact()
	// A follower that watches the store only because it finds no delegate looks for one after each short watch.
	watcher.confirmed = len(storeChanges.Changes) == 0 && !watcher.relayed && !watcher.relay.IsFollower()
	watcher.changed, watcher.revision, watcher.retryDelay = len(storeChanges.Changes) > 0, storeChanges.Revision, minRetryDelay
	if len(storeChanges.Changes) > 0 {
		watcher.sink.Apply(storeChanges)
	}
	return nil
}

// recordContact records that the store responded.
func (watcher *Watcher) recordContact() {
	if watcher.unavailable {
		watcher.sink.StoreRecovered(watcher.timerService.Now().Sub(watcher.failingSince))
	}
	watcher.unavailable, watcher.failingSince = false, time.Time{}
}

func (watcher *Watcher) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	now := watcher.timerService.Now()
	if watcher.failingSince.IsZero() {
		watcher.failingSince = now
	}
	if !watcher.unavailable && now.Sub(watcher.failingSince) >= unavailableAfter {
		watcher.unavailable = true
		watcher.sink.StoreUnavailable(err)
	}
	watcher.pauseAfterFailure(ctx, now.Add(time.Duration(float64(watcher.retryDelay)*(0.75+rand.Float64()/2))))
	watcher.retryDelay = min(2*watcher.retryDelay, maxRetryDelay)
}

// pauseAfterFailure pauses until the end, and reads changes from other VMs meanwhile.
func (watcher *Watcher) pauseAfterFailure(ctx context.Context, end time.Time) {
	for ctx.Err() == nil {
		now := watcher.timerService.Now()
		if watcher.relay.IsBehind(watcher.revision) || now.Sub(watcher.askedAt) >= askPeriod && watcher.relay.IsCutOff() {
			watcher.askedAt = now
			watcher.catchUp(ctx)
		}
		left := end.Sub(watcher.timerService.Now())
		if left <= 0 {
			return
		}
		watcher.pause(ctx, min(left, behindCheckPeriod))
	}
}

// Interrupt cancels the watch in progress. After a watch of the store itself, all keys are listed again; after one through
// another VM, the store itself is watched instead. Interrupt is called when another call to the store has failed: a watch
// that was waiting during an outage may never return any change.
func (watcher *Watcher) Interrupt() {
	select {
	case watcher.interrupt <- struct{}{}:
	default:
	}
}

// pauseAfterWatch pauses before the next watch if the last one returned changes, or returned at once. Pauses grow while this goes on.
func (watcher *Watcher) pauseAfterWatch(ctx context.Context, took time.Duration) {
	if took >= watcher.batchDelay {
		watcher.nextPause = 0
	}
	if watcher.changed || took < watcher.firstPause() {
		watcher.pauseLonger(ctx)
	}
}

func (watcher *Watcher) firstPause() time.Duration {
	return time.Duration(firstBatchShare * float64(watcher.batchDelay))
}

// pauseLonger pauses for twice the time of the last pause.
func (watcher *Watcher) pauseLonger(ctx context.Context) {
	watcher.nextPause = min(max(2*watcher.nextPause, watcher.firstPause()), watcher.batchDelay)
	watcher.pause(ctx, watcher.nextPause)
}

func (watcher *Watcher) pause(ctx context.Context, duration time.Duration) {
	done := make(chan struct{})
	defer watcher.timerService.After(duration, func(time.Time) { close(done) })()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
