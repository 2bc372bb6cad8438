package hosted

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervane.example"
	"oleandervane.example/fleet/registrywatch"
	"oleandervane.example/fleet/roster"
)

// settleCheckPeriod is the time between two checks whether the roster has settled.
const settleCheckPeriod = 50 * time.Millisecond

// replica is this VM's replica of the store. It applies changes and publishes the resulting registry.
type replica struct {
	reader       oleandervane.RegistryReader
	roster       *roster.Roster
	timerService oleandervane.TimerService
	log          *logrus.Entry
	// invalidEntries counts entries that could not be read.
	invalidEntries atomic.Uint64
	// publish is called with each new registry before it replaces the former one.
	publish  func(oleandervane.Registry)
	registry atomic.Pointer[oleandervane.Registry]
	// readAt is when entries or changes were last read from the store.
	readAt atomic.Pointer[time.Time]
	// revision is the revision of the store up to which changes are applied.
	revision atomic.Pointer[oleandervane.StoreRevision]

	// catchUps counts reads of changes from another VM in place of the store.
	catchUps atomic.Uint64

	mutex sync.Mutex
	// versions are the versions of the entries in force, by key; 0 for those that were read in a former era.
	versions map[string]uint64
	// era is that of the store as it was last read.
	era oleandervane.StoreEra
	// formerEntries are entries of backend servers that were replaced or removed.
	formerEntries *formerEntries
	// ignored has the former entries in the last list, by key. They come into force at ignoreUntil unless they change before.
	ignored     map[string]oleandervane.StoreEntry
	ignoreUntil time.Time
	// afterOutage is set from the end of an outage of the store until the entries are listed.
	afterOutage bool
	// deferredRemovals are removals that came after an outage of the store and wait until it is known whether their entries
	// come back.
	deferredRemovals map[string]oleandervane.StoreChange
	// deferUntil is the end of the time in which removals are deferred, formerDeferUntil what it was before the last outage.
	deferUntil, formerDeferUntil time.Time
}

func newReplica(reader oleandervane.RegistryReader, roster *roster.Roster, timerService oleandervane.TimerService, log *logrus.Entry, publish func(oleandervane.Registry)) *replica {
	replica := &replica{
		reader: reader, roster: roster, timerService: timerService, log: log, publish: publish,
		versions: map[string]uint64{}, formerEntries: newFormerEntries(reader), deferredRemovals: map[string]oleandervane.StoreChange{},
		ignored: map[string]oleandervane.StoreEntry{},
	}
	replica.registry.Store(&oleandervane.Registry{})
	return replica
}

// age returns the time since entries or changes were last read from the store.
func (replica *replica) age() time.Duration {
	readAt := replica.readAt.Load()
	if readAt == nil {
		return 0
	}
	return replica.timerService.Now().Sub(*readAt)
}

// Replace replaces all entries. Keys that are missing have been removed. After a restore of the store, removals are deferred, and the entry
// of a backend server that was replaced or removed before is ignored for formerLimit: the copy has it, and its server writes it again if
// it is still valid.
func (replica *replica) Replace(entries []oleandervane.StoreEntry, revision oleandervane.StoreRevision) {
	replica.mutex.Lock()
	missing := maps.Clone(replica.versions)
	if replica.beginEra(revision.Era) {
		replica.afterOutage = false
	}
	replica.endDeferralAfterCut(entries)
	clear(replica.ignored)
	ignoring := replica.timerService.Now().Before(replica.ignoreUntil)
	entries = slices.DeleteFunc(slices.Clone(entries), func(entry oleandervane.StoreEntry) bool {
		former := ignoring && replica.formerEntries.isFormer(entry, revision.Era)
		if former {
			delete(missing, entry.Key)
			replica.ignored[entry.Key] = entry
		}
		return former
	})
	replica.logIgnored(revision)
	replica.mutex.Unlock()
	changes := make([]oleandervane.StoreChange, 0, len(entries))
	for _, entry := range entries {
		delete(missing, entry.Key)
		changes = append(changes, oleandervane.StoreChange{Entry: entry})
	}
	for key := range missing {
		changes = append(changes, oleandervane.StoreChange{Entry: oleandervane.StoreEntry{Key: key, Version: revision.Number}, Removed: true})
	}
	replica.Apply(oleandervane.StoreChanges{Changes: changes, Revision: revision})
}

// beginEra defers removals if entries of the store are read that was restored since the last ones. It reports whether it was. The caller
// holds the mutex.
func (replica *replica) beginEra(era oleandervane.StoreEra) bool {
	former := replica.era
	replica.era = era
	if era == former || replica.readAt.Load() == nil {
		return false
	}
	replica.log.WithFields(logrus.Fields{"era": era, "former_era": former}).Warn("the store was restored from a copy; what is missing in it stays in force for a while")
	for key := range replica.versions {
		replica.versions[key] = 0
	}
	replica.deferRemovalsFor(registrywatch.RemovalDelay)
	replica.ignoreUntil = replica.timerService.Now().Add(formerLimit)
	replica.timerService.After(formerLimit, func(time.Time) { replica.applyIgnored() })
	return true
}

// applyIgnored applies the former entries that are still in the store, and that their servers have not written again.
func (replica *replica) applyIgnored() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.timerService.Now().Before(replica.ignoreUntil) || len(replica.ignored) == 0 {
		return
	}
	replica.log.WithFields(logrus.Fields{"entries": len(replica.ignored), "versions": replica.ignoredVersions()}).
		Info("entries of the copy of the store that were replaced or removed before it was restored come into force, because they were not written again")
	changes := make([]oleandervane.StoreChange, 0, len(replica.ignored))
	for _, entry := range replica.ignored {
		changes = append(changes, oleandervane.StoreChange{Entry: entry})
	}
	clear(replica.ignored)
	replica.applyChanges(changes)
}

// deferRemovalsFor defers removals from now on. The caller holds the mutex.
func (replica *replica) deferRemovalsFor(duration time.Duration) {
	replica.deferUntil = replica.timerService.Now().Add(duration)
	replica.timerService.After(duration, func(time.Time) { replica.applyDeferredRemovals() })
}

// endDeferralAfterCut ends the deferral of removals if the first list after an outage shows that only this VM was cut off. The
// entries of VMs have the shortest leases, so those of other VMs would have lapsed before any entry of a server. A deferral that had begun
// before the outage goes on.
func (replica *replica) endDeferralAfterCut(entries []oleandervane.StoreEntry) {
	if !replica.afterOutage {
		return
	}
	replica.afterOutage = false
	comparison := compare(replica.versions, entries, roster.KeyPrefix+string(replica.roster.Self().ID))
	cut := comparison.unchangedVMs > 0
	if cut {
		replica.deferUntil = replica.formerDeferUntil
	}
	replica.log.WithFields(logrus.Fields{
		"unchanged": comparison.unchanged, "missing": len(replica.versions) - comparison.found,
		"unchanged_vms": comparison.unchangedVMs, "known_vms": comparison.knownVMs, "removals_deferred": replica.timerService.Now().Before(replica.deferUntil),
	}).Info("entries are listed after an outage")
}

// logIgnored logs the entries that are ignored, and the revision of their list. The caller holds the mutex.
func (replica *replica) logIgnored(revision oleandervane.StoreRevision) {
	if len(replica.ignored) == 0 {
		return
	}
	replica.log.WithFields(logrus.Fields{
		"entries": len(replica.ignored), "versions": replica.ignoredVersions(), "store_era": revision.Era, "store_revision": revision.Number,
	}).Info("entries of the copy of the store that were replaced or removed before it was restored are ignored")
}

// ignoredVersions returns the versions of at most maxLoggedEntries ignored entries, by key. The caller holds the mutex.
func (replica *replica) ignoredVersions() map[string]uint64 {
	versions := map[string]uint64{}
	for key, entry := range replica.ignored {
		if len(versions) == maxLoggedEntries {
			break
		}
		versions[key] = entry.Version
	}
	return versions
}

// Apply applies changes in order.
func (replica *replica) Apply(storeChanges oleandervane.StoreChanges) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	now := replica.timerService.Now()
	first := replica.readAt.Load() == nil
	replica.beginEra(storeChanges.Revision.Era)
	replica.readAt.Store(&now)
	for _, change := range storeChanges.Changes {
		delete(replica.ignored, change.Entry.Key)
	}
	replica.applyChanges(replica.deferRemovals(storeChanges.Changes, now))
	replica.revision.Store(&storeChanges.Revision)
	if first {
		replica.timerService.After(roster.SettleTime, func(time.Time) { replica.publishSettled() })
	}
}

// deferRemovals defers removals of entries that may have lapsed during an outage of the store, and drops deferred removals
// of entries that are back. It returns the other changes.
func (replica *replica) deferRemovals(changes []oleandervane.StoreChange, now time.Time) []oleandervane.StoreChange {
	deferring := now.Before(replica.deferUntil)
	remaining := make([]oleandervane.StoreChange, 0, len(changes))
	for _, change := range changes {
		delete(replica.deferredRemovals, change.Entry.Key)
		if change.Removed && deferring {
			replica.deferredRemovals[change.Entry.Key] = change
			continue
		}
		remaining = append(remaining, change)
	}
	return remaining
}

// applyChanges applies changes and publishes the new registry.
func (replica *replica) applyChanges(changes []oleandervane.StoreChange) {
	replica.formerEntries.record(changes, replica.era, replica.timerService.Now())
	for _, change := range changes {
		if change.Removed {
			delete(replica.versions, change.Entry.Key)
		} else {
			replica.versions[change.Entry.Key] = change.Entry.Version
		}
	}
	former := replica.registry.Load()
	registry, err := replica.reader.Apply(*former, changes)
	if err != nil {
		replica.reportInvalid(err)
	}
	if err := replica.roster.Apply(changes); err != nil {
		replica.log.WithError(err).Warn("entries of entry VMs cannot be read and are ignored")
	}
	replica.publish(registry)
	replica.registry.Store(&registry)
	replica.logDifference(*former, registry)
}

// maxLoggedEntries bounds the entries that one log line describes.
const maxLoggedEntries = 10

// reportInvalid counts entries that cannot be read, and logs them in one line.
func (replica *replica) reportInvalid(err error) {
	faults := []error{err}
	if joined, isJoined := err.(interface{ Unwrap() []error }); isJoined {
		faults = joined.Unwrap()
	}
	replica.invalidEntries.Add(uint64(len(faults)))
	replica.log.WithError(errors.Join(faults[:min(len(faults), maxLoggedEntries)]...)).WithField("invalid", len(faults)).
		Warn("entries in the store cannot be read and are ignored")
}

// publishSettled publishes the registry in force again once the roster has settled: what depends on the other VMs is decided only
// then, and there may be no further change. A timer may fire a moment before the roster settles.
func (replica *replica) publishSettled() {
	if !replica.roster.Settled() {
		replica.timerService.After(settleCheckPeriod, func(time.Time) { replica.publishSettled() })
		return
	}
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.publish(*replica.registry.Load())
}

// StoreUnavailable logs that the store is unavailable. The replica stays in force.
func (replica *replica) StoreUnavailable(err error) {
	replica.log.WithError(err).WithField("store_age", replica.age().String()).Error("store is away; the known state stays in force")
}

// StoreRecovered defers removals for a while: entries that lapsed while the store was unavailable come back if their owners
// are alive. The first list ends the deferral if the store was unavailable to this VM only.
func (replica *replica) StoreRecovered(outage time.Duration) {
	replica.log.WithField("away", outage.String()).Info("store is back")
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if !replica.afterOutage {
		replica.formerDeferUntil = replica.deferUntil
	}
	replica.afterOutage = true
	replica.deferRemovalsFor(registrywatch.RemovalDelay)
}

// SourceChanged logs whether changes are read from another VM or from the store.
func (replica *replica) SourceChanged(relayed bool) {
	if relayed {
		replica.log.Info("store changes are read from a delegate of the failure domain")
		return
	}
	replica.log.Info("this VM watches the store itself")
}

// CaughtUp logs that changes were read from another VM because the store did not answer this one.
func (replica *replica) CaughtUp(revision oleandervane.StoreRevision, full bool) {
	replica.catchUps.Add(1)
	replica.log.WithFields(logrus.Fields{"store_era": revision.Era, "store_revision": revision.Number, "full": full}).
		Info("store changes were read from another VM because the store did not answer this one")
}

// applyDeferredRemovals applies the deferred removals of entries that did not come back.
func (replica *replica) applyDeferredRemovals() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.timerService.Now().Before(replica.deferUntil) || len(replica.deferredRemovals) == 0 {
		return
	}
	changes := make([]oleandervane.StoreChange, 0, len(replica.deferredRemovals))
	for _, change := range replica.deferredRemovals {
		changes = append(changes, change)
	}
	clear(replica.deferredRemovals)
	replica.applyChanges(changes)
}

// logDifference logs each change from the former registry to the next one.
func (replica *replica) logDifference(former, next oleandervane.Registry) {
	if next.Table != nil && (former.Table == nil || former.Table.Revision != next.Table.Revision) {
		replica.log.WithFields(logrus.Fields{"revision": next.Table.Revision, "routes": len(next.Table.Routes)}).Info("configuration is in force")
	}
	for domain := range next.Evacuated {
		if !former.Evacuated[domain] {
			replica.log.WithField("evacuated", domain).Info("failure domain is evacuated; its backend servers get no requests")
		}
	}
	for domain := range former.Evacuated {
		if !next.Evacuated[domain] {
			replica.log.WithField("evacuated", domain).Info("evacuation of the failure domain has ended")
		}
	}
	for id, server := range next.BackendServers {
		if known, found := former.BackendServers[id]; !found || known != server {
			replica.log.WithFields(logrus.Fields{
				"server": id, "service": server.Service, "failure_domain": server.FailureDomain,
				"address": server.Address.String(), "leaving": server.Leaving, "cold_left": server.ColdLeft.String(), "run": server.StartedAt,
			}).Info("backend server is listed")
		}
	}
	for id := range former.BackendServers {
		if _, found := next.BackendServers[id]; !found {
			replica.log.WithField("server", id).Info("backend server is gone")
		}
	}
}
