package forward

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandervane.example"
)

const (
	// DefaultQuarantinePeriod is long enough for two crashed backend servers to come back, and short enough for a
	// request that was quarantined wrongly.
	DefaultQuarantinePeriod = time.Minute
	// maxQuarantined bounds the list that is sent to peers, 24 bytes each.
	maxQuarantined = 256
	// suspectExportPeriod is how long a suspect is sent to peers; after that, they have received it.
	suspectExportPeriod = 3 * time.Second
	// maxExportedSuspects bounds the suspects that are sent at a time, 26 bytes each.
	maxExportedSuspects = 16
	// maxSuspects bounds the fingerprints that have broken one connection so far.
	maxSuspects = 4096
)

// Fingerprint identifies a request by its content.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request: its caller, service, kind, method, path, query and body.
func FingerprintOf(request Request) Fingerprint {
	hash := sha256.New()
	for _, field := range []string{request.Caller, string(request.Service), string(request.Kind.Name), request.Method, request.Path, request.RawQuery} {
		hash.Write(binary.AppendUvarint(nil, uint64(len(field))))
		hash.Write([]byte(field))
	}
	hash.Write(request.Body)
	return Fingerprint(hash.Sum(nil))
}

// QuarantineEntry is a fingerprint that is refused for the time left. It is immutable.
type QuarantineEntry struct {
	Fingerprint Fingerprint
	// TimeLeft is relative, so that clocks of different VMs are not compared.
	TimeLeft time.Duration
}

// Quarantine refuses requests that broke connections on two different backend servers: one may be a coincidence, and waiting
// for a third would crash it needlessly.
type Quarantine struct {
	timerService oleandervane.TimerService
	period       time.Duration
	// observer may be nil.
	observer oleandervane.SuspectObserver
	// refusedUntil is replaced as a whole, so that requests read it without a lock.
	refusedUntil atomic.Pointer[map[Fingerprint]time.Time]

	mutex    sync.Mutex
	suspects map[Fingerprint]suspect
}

type suspect struct {
	// server is the hash of the backend server's id.
	server   uint32
	brokenAt time.Time
}

func newQuarantine(timerService oleandervane.TimerService, period time.Duration) *Quarantine {
	quarantine := &Quarantine{
		timerService: timerService,
		period:       period,
		suspects:     map[Fingerprint]suspect{},
	}
	quarantine.refusedUntil.Store(&map[Fingerprint]time.Time{})
	return quarantine
}

// Contains reports whether requests with the fingerprint are refused now.
func (quarantine *Quarantine) Contains(fingerprint Fingerprint) bool {
	until, found := (*quarantine.refusedUntil.Load())[fingerprint]
	return found && quarantine.timerService.Now().Before(until)
}

// Export returns the fingerprints that are refused now, sorted, at most 256 of them.
func (quarantine *Quarantine) Export() []QuarantineEntry {
	now := quarantine.timerService.Now()
	var list []QuarantineEntry
	for fingerprint, until := range *quarantine.refusedUntil.Load() {
		if left := until.Sub(now); left > 0 {
			list = append(list, QuarantineEntry{Fingerprint: fingerprint, TimeLeft: left})
		}
	}
	slices.SortFunc(list, func(a, b QuarantineEntry) int {
		return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return list
}

// Import adds the entries that a peer exported. A time left that is longer than this VM's period is shortened to the
// period.
func (quarantine *Quarantine) Import(list []QuarantineEntry) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	now := quarantine.timerService.Now()
	for _, entry := range list {
		if entry.TimeLeft > 0 {
			quarantine.add(entry.Fingerprint, now, min(entry.TimeLeft, quarantine.period), oleandervane.SuspectFromPeer)
		}
	}
}

// recordBroken records a connection that was broken by the request with the fingerprint.
func (quarantine *Quarantine) recordBroken(fingerprint Fingerprint, backendServer string) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	quarantine.recordSuspect(fingerprint, ServerHash(backendServer), quarantine.timerService.Now(), oleandervane.SuspectBrokenConnection)
}

// ServerHash returns the hash by which VMs identify a backend server to each other.
func ServerHash(id string) uint32 {
	return uint32(xxhash.Sum64String(id))
}

// recordSuspect must be called with the mutex held.
func (quarantine *Quarantine) recordSuspect(fingerprint Fingerprint, server uint32, brokenAt time.Time, source oleandervane.SuspectSource) {
	now := quarantine.timerService.Now()
	if quarantine.observer != nil {
		quarantine.observer.RequestSuspected(fingerprint, server, source)
	}
	earlier, found := quarantine.suspects[fingerprint]
	if found && earlier.server != server && now.Sub(earlier.brokenAt) < quarantine.period {
		delete(quarantine.suspects, fingerprint)
		quarantine.add(fingerprint, now, quarantine.period, source)
		return
	}
	quarantine.suspects[fingerprint] = suspect{server: server, brokenAt: brokenAt}
	if len(quarantine.suspects) > maxSuspects {
		quarantine.evictSuspects(now)
	}
}

// evictSuspects removes the suspects whose period has passed, and the oldest one if there are still too many. The caller must
// hold the mutex.
func (quarantine *Quarantine) evictSuspects(now time.Time) {
	maps.DeleteFunc(quarantine.suspects, func(_ Fingerprint, suspect suspect) bool {
		return now.Sub(suspect.brokenAt) >= quarantine.period
	})
	if len(quarantine.suspects) <= maxSuspects {
		return
	}
	var oldest Fingerprint
	oldestAt := now
	for fingerprint, suspect := range quarantine.suspects {
		if !suspect.brokenAt.After(oldestAt) {
			oldest, oldestAt = fingerprint, suspect.brokenAt
		}
	}
	delete(quarantine.suspects, oldest)
}

// ExportSuspects returns the requests that broke a connection recently, the newest first, at most 16 of them. VMs
// exchange them several times a second, so that each is sent several times.
func (quarantine *Quarantine) ExportSuspects() []oleandervane.SuspectRequest {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	now := quarantine.timerService.Now()
	var list []oleandervane.SuspectRequest
	for fingerprint, suspect := range quarantine.suspects {
		if age := now.Sub(suspect.brokenAt); age <= suspectExportPeriod {
			list = append(list, oleandervane.SuspectRequest{Fingerprint: fingerprint, Server: suspect.server, Since: age})
		}
	}
	slices.SortFunc(list, func(a, b oleandervane.SuspectRequest) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return list[:min(len(list), maxExportedSuspects)]
}

// ImportSuspects records requests that broke a connection of a peer. A request that broke connections to two servers,
// at any VMs, is refused from now on.
func (quarantine *Quarantine) ImportSuspects(list []oleandervane.SuspectRequest) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	now := quarantine.timerService.Now()
	for _, suspectRequest := range list {
		fingerprint := Fingerprint(suspectRequest.Fingerprint)
		if known, found := quarantine.suspects[fingerprint]; found && known.server == suspectRequest.Server || quarantine.Contains(fingerprint) {
			continue
		}
		quarantine.recordSuspect(fingerprint, suspectRequest.Server, now.Add(-max(0, suspectRequest.Since)), oleandervane.SuspectFromPeer)
	}
}

// recordAnswered removes a suspect: a request that is answered does not crash backend servers.
func (quarantine *Quarantine) recordAnswered(fingerprint Fingerprint) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	if _, found := quarantine.suspects[fingerprint]; !found {
		return
	}
	delete(quarantine.suspects, fingerprint)
	if quarantine.observer != nil {
		quarantine.observer.SuspicionCleared(fingerprint)
	}
}

func (quarantine *Quarantine) add(fingerprint Fingerprint, now time.Time, period time.Duration, source oleandervane.SuspectSource) {
	until := maps.Clone(*quarantine.refusedUntil.Load())
	maps.DeleteFunc(until, func(_ Fingerprint, end time.Time) bool { return !now.Before(end) })
	if _, found := until[fingerprint]; !found && len(until) >= maxQuarantined {
		return
	}
	end, previous := now.Add(period), until[fingerprint]
	if end.After(previous) {
		until[fingerprint] = end
	}
	if previous.IsZero() && quarantine.observer != nil {
		quarantine.observer.RequestQuarantined(fingerprint, period, source)
	}
	quarantine.refusedUntil.Store(&until)
}
