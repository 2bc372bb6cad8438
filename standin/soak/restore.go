package soak

import (
	"context"
	"net/http"
	"time"

	"oleandervane.example"
	"oleandervane.example/standin/storestandin"
)

const (
	// storeDowntime is how long the store is down before it comes back from a copy.
	storeDowntime = 200 * time.Millisecond
	// rewriteDelay is the time from the return of the store until the operator and the backend servers have written their entries again.
	rewriteDelay = time.Second
	// restoreCheckTime is how long after that the guarantees are checked. VMs defer removals for 2.2 s after the return.
	restoreCheckTime = 2500 * time.Millisecond
)

// restoreStore drains a server, evacuates a failure domain and changes the configuration, which removes a key, and when all of these are in force the store
// comes back from a copy made before. It checks that none of them is undone, unless a VM is disturbed meanwhile.
func (soak *Soak) restoreStore(ctx context.Context, backend *backend) {
	if backend.leaving.Swap(true) {
		return
	}
	if soak.evacuating.Swap(true) {
		backend.leaving.Store(false)
		return
	}
	content, domain := soak.store.Content(), failureDomains[1]
	soak.logFault("%s is drained, %s is evacuated and the configuration changes, before the store loses all of these", backend.id, domain)
	soak.write("servers/"+backend.id, backend.entry("draining"))
	soak.write("op/evacuate/"+domain, "{}")
	version := soak.writeConfiguration()
	startedAt := time.Now()
	soak.pending.Go(func() {
		time.Sleep(evacuationLimit)
		restoredAt := soak.restore(content)
		time.Sleep(rewriteDelay)
		lost := soak.vmsWithout(ctx, version)
		soak.writeAgain()
		time.Sleep(restoreCheckTime)
		lost = append(lost, soak.vmsWithout(ctx, version)...)
		ended, undisturbed := time.Now(), true
		for _, vm := range soak.vms {
			vmUndisturbed, _ := vm.undisturbedSince(startedAt)
			undisturbed = undisturbed && vmUndisturbed
		}
		if undisturbed {
			soak.check.count(&soak.check.restores)
			soak.check.checkRestore(backend.id, lost, soak.check.journal.runsBetween(backend.id, restoredAt, ended))
			for _, other := range soak.backends {
				if other.domain == domain {
					soak.check.checkEvacuated(other.id, soak.check.journal.runsBetween(other.id, restoredAt, ended))
				}
			}
		}
		soak.remove("op/evacuate/" + domain)
		soak.evacuating.Store(false)
		soak.startCold(backend)
	})
}

// evacuateAgain evacuates a failure domain, ends that, and evacuates it again in a store that was restored from a copy made before. The
// second evacuation gets the revision of the first one. It checks that it is obeyed. There must be no other fault meanwhile.
func (soak *Soak) evacuateAgain() {
	content, domain := soak.store.Content(), failureDomains[1]
	key := "op/evacuate/" + domain
	soak.logFault("%s is evacuated, and again at the same revision of the restored store", domain)
	soak.write(key, "{}")
	first, err := soak.store.Get(context.Background(), key)
	if err != nil {
		soak.check.fail("the soak could not read %s: %v", key, err)
	}
	time.Sleep(rewriteDelay)
	soak.remove(key)
	time.Sleep(rewriteDelay)
	soak.expectEntry(key, string(first.Value))
	restoredAt := soak.restore(content.WithEntry(key, first.Value, first.Version))
	time.Sleep(rewriteDelay)
	soak.writeAgain()
	time.Sleep(evacuationLimit)
	ended := time.Now()
	soak.check.count(&soak.check.evacuations)
	for _, backend := range soak.backends {
		if backend.domain == domain {
			soak.check.checkEvacuated(backend.id, soak.check.journal.runsBetween(backend.id, restoredAt.Add(evacuationLimit), ended))
		}
	}
	soak.remove(key)
	time.Sleep(coldDuration)
}

// expectEntry records that the operator or a backend server wrote a key last, without writing it.
func (soak *Soak) expectEntry(key, value string) {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.written[key] = &value
}

// restore makes the store unavailable for a moment and then restores the copy.
func (soak *Soak) restore(content storestandin.Content) time.Time {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	faults := soak.store.Faults()
	faults.Down = true
	soak.store.SetFaults(faults)
	time.Sleep(storeDowntime)
	soak.store.Restore(content)
	faults.Down = false
	soak.store.SetFaults(faults)
	soak.restoredAt = time.Now()
	return soak.restoredAt
}

// writeAgain writes all entries of the operator and of the backend servers that the store has lost, and removes those that it has again.
func (soak *Soak) writeAgain() {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	for key, value := range soak.written {
		entry, err := soak.store.Get(context.Background(), key)
		if err != nil {
			soak.check.fail("the soak could not read %s: %v", key, err)
		}
		switch {
		case value == nil && entry.Version > 0:
			soak.commit(oleandervane.StoreTransaction{Removals: []string{key}})
		case value != nil && (entry.Version == 0 || string(entry.Value) != *value):
			soak.commit(oleandervane.StoreTransaction{Writes: []oleandervane.StoreWrite{{Key: key, Value: []byte(*value)}}})
		}
	}
}

// vmsWithout returns the VMs that do not serve a configuration version, or accept the key that it has removed.
func (soak *Soak) vmsWithout(ctx context.Context, version int) []string {
	var without []string
	for _, vm := range soak.vms {
		if soak.probe(ctx, vm, version) == http.StatusNotFound || soak.acceptsRemovedKey(ctx, vm, version) {
			without = append(without, vm.id)
		}
	}
	return without
}

// restoredAfter reports whether the store was restored within a time after a moment, so that what was written then may have been lost
// before it was in force.
func (soak *Soak) restoredAfter(moment time.Time, limit time.Duration) bool {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	return soak.restoredAt.After(moment) && soak.restoredAt.Before(moment.Add(limit))
}
