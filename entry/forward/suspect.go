package forward

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oleandervane.example"
)

const (
	// suspectExportPeriod is how long a suspect is sent to peers; after that, they have received it.
	suspectExportPeriod = 3 * time.Second
	// maxExportedSuspects bounds the crashes that are sent at a time, 26 bytes each.
	maxExportedSuspects = 16
	// maxCrashesOfRun is how many crashes of one run are tolerated: the connections of a bad backend server may break several
	// times.
	maxCrashesOfRun = 2
	// sameCrash is the time within which broken connections to a run belong to one crash. A server is back after seconds.
	sameCrash = time.Second
	// unresolvedPeriod is the time within which the end of a server is known: its entry is removed after some heartbeats.
	unresolvedPeriod = 10 * time.Second
	// endedPeriod is how long a run that has ended is remembered; it is longer than the time limits of most requests.
	endedPeriod = 30 * time.Second
	// maxUnresolved bounds the attempts that are kept until then, 64 bytes each.
	maxUnresolved = 1024
	// maxSuspects bounds the fingerprints that have broken one connection so far.
	maxSuspects = 4096
)

// suspect has the crashes for which a request may be the cause, in the order in which this VM learned of them.
type suspect []crash

// crash is the end of a run of a backend server, as seen by a connection that broke.
type crash struct {
	// run is the hash of the run.
	run uint32
	at  time.Time
}

// unresolvedAttempt is an attempt after which the run of the backend server may have ended unnoticed.
type unresolvedAttempt struct {
	identity Identity
	run      uint32
	endedAt  time.Time
}

// lastAt returns the time of the newest crash.
func (suspect suspect) lastAt() time.Time {
	var last time.Time
	for _, crash := range suspect {
		if crash.at.After(last) {
			last = crash.at
		}
	}
	return last
}

// index returns the index of the entry for a crash, or -1: connections of one run that break at nearly the same time belong to
// one crash.
func (suspect suspect) index(crash crash) int {
	for i, known := range suspect {
		if known.run == crash.run && known.at.Sub(crash.at).Abs() < sameCrash {
			return i
		}
	}
	return -1
}

// isEnough reports whether the crashes are enough to refuse the request. A VM learns late that a server has started again under
// its id, so that a third crash of the run that it knows counts like one of another run.
func (suspect suspect) isEnough() bool {
	for _, crash := range suspect[1:] {
		if crash.run != suspect[0].run {
			return true
		}
	}
	return len(suspect) > maxCrashesOfRun
}

// recordBroken records a connection to a run of a backend server that was broken by the request.
func (quarantine *Quarantine) recordBroken(identity Identity, run uint32) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	now := quarantine.timerService.Now()
	quarantine.recordSuspect(quarantine.blamed(identity, now), crash{run: run, at: now}, oleandervane.SuspectBrokenConnection)
}

// recordUnresolved records an attempt that ended without a response and without a broken connection: the time limit passed, or the
// caller left.
func (quarantine *Quarantine) recordUnresolved(identity Identity, run uint32) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	now := quarantine.timerService.Now()
	if endedAt, found := quarantine.ended[run]; found && now.Sub(endedAt) < endedPeriod {
		quarantine.recordSuspect(quarantine.blamed(identity, now), crash{run: run, at: now}, oleandervane.SuspectServerEnded)
		return
	}
	attempts := slices.DeleteFunc(quarantine.unresolved, func(attempt unresolvedAttempt) bool {
		return now.Sub(attempt.endedAt) >= unresolvedPeriod
	})
	if len(attempts) >= maxUnresolved {
		attempts = slices.Delete(attempts, 0, 1)
	}
	quarantine.unresolved = append(attempts, unresolvedAttempt{identity: identity, run: run, endedAt: now})
}

// RecordEnd records that the run of a backend server has ended unplanned. Requests whose attempts there ended recently without a
// response, or end so from now on, may be the cause.
func (quarantine *Quarantine) RecordEnd(target Target) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	now, run := quarantine.timerService.Now(), target.RunHash()
	maps.DeleteFunc(quarantine.ended, func(_ uint32, endedAt time.Time) bool { return now.Sub(endedAt) >= endedPeriod })
	quarantine.ended[run] = now
	for _, attempt := range quarantine.unresolved {
		if attempt.run == run && now.Sub(attempt.endedAt) < unresolvedPeriod && !quarantine.Refuses(attempt.identity) {
			quarantine.recordSuspect(quarantine.blamed(attempt.identity, now), crash{run: run, at: now}, oleandervane.SuspectServerEnded)
		}
	}
	quarantine.unresolved = slices.DeleteFunc(quarantine.unresolved, func(attempt unresolvedAttempt) bool { return attempt.run == run })
}

// recordSuspect must be called with the mutex held.
func (quarantine *Quarantine) recordSuspect(fingerprint Fingerprint, crash crash, source oleandervane.SuspectSource) {
	now := quarantine.timerService.Now()
	known := slices.DeleteFunc(slices.Clone(quarantine.suspects[fingerprint]), quarantine.isOutdated(now))
	if i := known.index(crash); i >= 0 {
		if source != oleandervane.SuspectFromPeer {
			known[i].at = crash.at
			quarantine.suspects[fingerprint] = known
		}
		return
	}
	if quarantine.observer != nil {
		quarantine.observer.RequestSuspected(fingerprint, crash.run, source)
	}
	known = append(known, crash)
	if former, found := quarantine.past[fingerprint]; found {
		delete(quarantine.suspects, fingerprint)
		if !now.Before(former.until) {
			quarantine.add(fingerprint, now, min(2*former.duration, maxQuarantinePeriods*quarantine.period), source)
		}
		return
	}
	if known.isEnough() {
		delete(quarantine.suspects, fingerprint)
		quarantine.add(fingerprint, now, quarantine.period, source)
		return
	}
	quarantine.suspects[fingerprint] = known
	if len(quarantine.suspects) > maxSuspects {
		quarantine.evictSuspects(now)
	}
}

// isOutdated returns a function that reports whether a crash no longer counts.
func (quarantine *Quarantine) isOutdated(now time.Time) func(crash) bool {
	return func(crash crash) bool { return now.Sub(crash.at) >= quarantine.period }
}

// evictSuspects removes the suspects whose period has passed, and the oldest one if there are still too many. The caller must
// hold the mutex.
func (quarantine *Quarantine) evictSuspects(now time.Time) {
	maps.DeleteFunc(quarantine.suspects, func(_ Fingerprint, suspect suspect) bool {
		return now.Sub(suspect.lastAt()) >= quarantine.period
	})
	if len(quarantine.suspects) <= maxSuspects {
		return
	}
	var oldest Fingerprint
	oldestAt := now
	for fingerprint, suspect := range quarantine.suspects {
		if lastAt := suspect.lastAt(); !lastAt.After(oldestAt) {
			oldest, oldestAt = fingerprint, lastAt
		}
	}
	delete(quarantine.suspects, oldest)
}

// ExportSuspects returns the requests that broke a connection recently, with one entry for each crash, the newest first, at
// most 16 of them. VMs exchange them several times a second, so that each is sent several times.
func (quarantine *Quarantine) ExportSuspects() []oleandervane.SuspectRequest {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	now := quarantine.timerService.Now()
	var list []oleandervane.SuspectRequest
	for fingerprint, suspect := range quarantine.suspects {
		for _, crash := range suspect {
			if age := now.Sub(crash.at); age <= suspectExportPeriod {
				list = append(list, oleandervane.SuspectRequest{Fingerprint: fingerprint, Server: crash.run, Since: age})
			}
		}
	}
	slices.SortFunc(list, func(a, b oleandervane.SuspectRequest) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return list[:min(len(list), maxExportedSuspects)]
}

// ImportSuspects records requests that broke a connection of a peer. A request that broke connections to two servers,
// at any VMs, is refused from now on. Contents that servers answered to this VM recently are not suspected.
func (quarantine *Quarantine) ImportSuspects(list []oleandervane.SuspectRequest) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	now := quarantine.timerService.Now()
	for _, suspectRequest := range list {
		fingerprint := Fingerprint(suspectRequest.Fingerprint)
		if quarantine.Contains(fingerprint) || quarantine.answered.contains(fingerprint, now) {
			continue
		}
		quarantine.recordSuspect(fingerprint, crash{run: suspectRequest.Server, at: now.Add(-max(0, suspectRequest.Since))}, oleandervane.SuspectFromPeer)
	}
}
