package hosted

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervane.example"
	"oleandervane.example/fleet/registrywatch"
	"oleandervane.example/fleet/roster"
)

// beliefs takes over what the store says and passes it to the parts.
type beliefs struct {
	reader       oleandervane.RegistryReader
	roster       *roster.Roster
	timerService oleandervane.TimerService
	log          *logrus.Entry
	// publish is told of each new registry.
	publish  func(oleandervane.Registry)
	registry atomic.Pointer[oleandervane.Registry]
	// readAt is when the store last brought something.
	readAt atomic.Pointer[time.Time]

	mutex sync.Mutex
	keys  map[string]bool
	// held are removals that came while the store was away, until it is known whether the entries come back.
	held map[string]oleandervane.StoreChange
	// holdUntil is the end of the time in which removals are held.
	holdUntil time.Time
}

func newBeliefs(reader oleandervane.RegistryReader, roster *roster.Roster, timerService oleandervane.TimerService, log *logrus.Entry, publish func(oleandervane.Registry)) *beliefs {
	beliefs := &beliefs{
		reader: reader, roster: roster, timerService: timerService, log: log, publish: publish,
		keys: map[string]bool{}, held: map[string]oleandervane.StoreChange{},
	}
	beliefs.registry.Store(&oleandervane.Registry{})
	return beliefs
}

// age is the time since the store last brought a change.
func (beliefs *beliefs) age() time.Duration {
	readAt := beliefs.readAt.Load()
	if readAt == nil {
		return 0
	}
	return beliefs.timerService.Now().Sub(*readAt)
}

// Replace takes over all entries. Keys that are missing were removed.
func (beliefs *beliefs) Replace(entries []oleandervane.StoreEntry, revision uint64) {
	beliefs.mutex.Lock()
	missing := maps.Clone(beliefs.keys)
	beliefs.mutex.Unlock()
	changes := make([]oleandervane.StoreChange, 0, len(entries))
	for _, entry := range entries {
		delete(missing, entry.Key)
		changes = append(changes, oleandervane.StoreChange{Entry: entry})
	}
	for key := range missing {
		changes = append(changes, oleandervane.StoreChange{Entry: oleandervane.StoreEntry{Key: key, Version: revision}, Removed: true})
	}
	beliefs.Apply(oleandervane.StoreChanges{Changes: changes, Revision: revision})
}

// Apply takes over changes in order.
func (beliefs *beliefs) Apply(storeChanges oleandervane.StoreChanges) {
	beliefs.mutex.Lock()
	defer beliefs.mutex.Unlock()
	now := beliefs.timerService.Now()
	beliefs.readAt.Store(&now)
	beliefs.take(beliefs.hold(storeChanges.Changes, now))
}

// hold takes out removals that may be lapses during an outage of the store, and forgets those whose entry is back.
func (beliefs *beliefs) hold(changes []oleandervane.StoreChange, now time.Time) []oleandervane.StoreChange {
	holding := now.Before(beliefs.holdUntil)
	passed := make([]oleandervane.StoreChange, 0, len(changes))
	for _, change := range changes {
		delete(beliefs.held, change.Entry.Key)
		if change.Removed && holding {
			beliefs.held[change.Entry.Key] = change
			continue
		}
		passed = append(passed, change)
	}
	return passed
}

// take applies changes and publishes the result.
func (beliefs *beliefs) take(changes []oleandervane.StoreChange) {
	for _, change := range changes {
		if change.Removed {
			delete(beliefs.keys, change.Entry.Key)
		} else {
			beliefs.keys[change.Entry.Key] = true
		}
	}
	former := beliefs.registry.Load()
	registry, err := beliefs.reader.Apply(*former, changes)
	if err != nil {
		beliefs.log.WithError(err).Warn("entries in the store cannot be read and are left out")
	}
	if err := beliefs.roster.Apply(changes); err != nil {
		beliefs.log.WithError(err).Warn("entries of entry VMs cannot be read and are left out")
	}
	beliefs.registry.Store(&registry)
	beliefs.publish(registry)
	beliefs.logDifference(*former, registry)
}

// StoreUnavailable logs that the store is away. What is known stays in force.
func (beliefs *beliefs) StoreUnavailable(err error) {
	beliefs.log.WithError(err).WithField("store_age", beliefs.age().String()).Error("store is away; the known state stays in force")
}

// StoreRecovered holds removals for a while: entries that lapsed while the store was away come back if their owners live.
func (beliefs *beliefs) StoreRecovered(away time.Duration) {
	beliefs.log.WithField("away", away.String()).Info("store is back")
	beliefs.mutex.Lock()
	beliefs.holdUntil = beliefs.timerService.Now().Add(registrywatch.RemovalDelay)
	beliefs.mutex.Unlock()
	beliefs.timerService.After(registrywatch.RemovalDelay, func(time.Time) { beliefs.releaseHeld() })
}

// SourceChanged logs whether another VM passes the store on.
func (beliefs *beliefs) SourceChanged(followed bool) {
	if followed {
		beliefs.log.Info("changes of the store are read from a delegate of the failure domain")
		return
	}
	beliefs.log.Info("this VM watches the store itself")
}

// releaseHeld applies the removals of entries that did not come back.
func (beliefs *beliefs) releaseHeld() {
	beliefs.mutex.Lock()
	defer beliefs.mutex.Unlock()
	if beliefs.timerService.Now().Before(beliefs.holdUntil) || len(beliefs.held) == 0 {
		return
	}
	changes := make([]oleandervane.StoreChange, 0, len(beliefs.held))
	for _, change := range beliefs.held {
		changes = append(changes, change)
	}
	clear(beliefs.held)
	beliefs.take(changes)
}

// logDifference writes a line for each thing that the VM believes from now on.
func (beliefs *beliefs) logDifference(former, next oleandervane.Registry) {
	if next.Table != nil && (former.Table == nil || former.Table.Revision != next.Table.Revision) {
		beliefs.log.WithFields(logrus.Fields{"revision": next.Table.Revision, "routes": len(next.Table.Routes)}).Info("configuration is in force")
	}
	for domain := range next.Evacuated {
		if !former.Evacuated[domain] {
			beliefs.log.WithField("evacuated", domain).Info("failure domain is evacuated; its backend servers get no requests")
		}
	}
	for domain := range former.Evacuated {
		if !next.Evacuated[domain] {
			beliefs.log.WithField("evacuated", domain).Info("evacuation of the failure domain has ended")
		}
	}
	for id, server := range next.BackendServers {
		if known, found := former.BackendServers[id]; !found || known != server {
			beliefs.log.WithFields(logrus.Fields{
				"server": id, "service": server.Service, "failure_domain": server.FailureDomain,
				"address": server.Address.String(), "leaving": server.Leaving, "cold_left": server.ColdLeft.String(),
			}).Info("backend server is listed")
		}
	}
	for id := range former.BackendServers {
		if _, found := next.BackendServers[id]; !found {
			beliefs.log.WithField("server", id).Info("backend server is gone")
		}
	}
}
