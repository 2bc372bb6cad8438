package forward

import (
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
	// quarantineServers is the number of different backend servers on which a request must have ended in a broken
	// connection: one may be chance, and a third would be lost for nothing.
	quarantineServers = 2
	// DefaultQuarantinePeriod is long enough for two crashed backend servers to come back, and short enough for a
	// request that was blamed wrongly.
	DefaultQuarantinePeriod = time.Minute
	// maxQuarantined bounds the list that is sent to peers, 24 bytes each.
	maxQuarantined = 256
	// suspectNews is how long a suspect is told to peers, which then have heard of it.
	suspectNews = 3 * time.Second
	// maxExportedSuspects bounds what is told at a time, 26 bytes each.
	maxExportedSuspects = 16
	// maxSuspects bounds the fingerprints that have ended one connection so far.
	maxSuspects = 4096
)

// Fingerprint identifies what a request asks for.
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

// Quarantine refuses requests that broke connections on several backend servers.
type Quarantine struct {
	timerService oleandervane.TimerService
	period       time.Duration
	// until is replaced as a whole, so that requests read it without a lock.
	until atomic.Pointer[map[Fingerprint]time.Time]

	mutex    sync.Mutex
	suspects map[Fingerprint]suspect
	order    []Fingerprint
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
	quarantine.until.Store(&map[Fingerprint]time.Time{})
	return quarantine
}

// Contains says whether requests of the fingerprint are refused now.
func (quarantine *Quarantine) Contains(fingerprint Fingerprint) bool {
	until, found := (*quarantine.until.Load())[fingerprint]
	return found && quarantine.timerService.Now().Before(until)
}

// Export returns the fingerprints that are refused now, ordered, at most 256 of them.
func (quarantine *Quarantine) Export() []QuarantineEntry {
	now := quarantine.timerService.Now()
	var list []QuarantineEntry
	for fingerprint, until := range *quarantine.until.Load() {
		if left := until.Sub(now); left > 0 {
			list = append(list, QuarantineEntry{Fingerprint: fingerprint, TimeLeft: left})
		}
	}
	slices.SortFunc(list, func(a, b QuarantineEntry) int {
		return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return list
}

// Import adds what a peer exported. A time left that is longer than the own period is shortened to it.
func (quarantine *Quarantine) Import(list []QuarantineEntry) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	now := quarantine.timerService.Now()
	for _, quarantined := range list {
		if quarantined.TimeLeft > 0 {
			quarantine.refuse(quarantined.Fingerprint, now, min(quarantined.TimeLeft, quarantine.period))
		}
	}
}

// noteBroken counts a broken connection against the fingerprint.
func (quarantine *Quarantine) noteBroken(fingerprint Fingerprint, backendServer string) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	quarantine.suspect(fingerprint, ServerHash(backendServer), quarantine.timerService.Now())
}

// ServerHash is the hash by which VMs name a backend server to one another.
func ServerHash(id string) uint32 {
	return uint32(xxhash.Sum64String(id))
}

// suspect is called with the mutex held.
func (quarantine *Quarantine) suspect(fingerprint Fingerprint, server uint32, brokenAt time.Time) {
	now := quarantine.timerService.Now()
	earlier, found := quarantine.suspects[fingerprint]
	if found && earlier.server != server && now.Sub(earlier.brokenAt) < quarantine.period {
		delete(quarantine.suspects, fingerprint)
		quarantine.refuse(fingerprint, now, quarantine.period)
		return
	}
	if !found {
		quarantine.order = append(quarantine.order, fingerprint)
	}
	quarantine.suspects[fingerprint] = suspect{server: server, brokenAt: brokenAt}
	if len(quarantine.order) > maxSuspects {
		delete(quarantine.suspects, quarantine.order[0])
		quarantine.order = quarantine.order[1:]
	}
}

// ExportSuspects returns the requests that broke a connection lately, the newest first, at most 16 of them. VMs tell one
// another several times a second, so that each is told some times.
func (quarantine *Quarantine) ExportSuspects() []oleandervane.SuspectRequest {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	now := quarantine.timerService.Now()
	var list []oleandervane.SuspectRequest
	for _, fingerprint := range slices.Backward(quarantine.order) {
		suspect, found := quarantine.suspects[fingerprint]
		if !found {
			continue
		}
		age := now.Sub(suspect.brokenAt)
		if age > suspectNews || len(list) == maxExportedSuspects {
			break
		}
		list = append(list, oleandervane.SuspectRequest{Fingerprint: fingerprint, Server: suspect.server, Since: age})
	}
	return list
}

// ImportSuspects takes over requests that broke a connection of a peer. One that broke connections to two servers, at
// whatever VMs, is refused from now on.
func (quarantine *Quarantine) ImportSuspects(list []oleandervane.SuspectRequest) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	now := quarantine.timerService.Now()
	for _, one := range list {
		fingerprint := Fingerprint(one.Fingerprint)
		if known, found := quarantine.suspects[fingerprint]; found && known.server == one.Server || quarantine.Contains(fingerprint) {
			continue
		}
		quarantine.suspect(fingerprint, one.Server, now.Add(-max(0, one.Since)))
	}
}

// noteAnswered clears the suspicion: a request that is answered does not break backend servers.
func (quarantine *Quarantine) noteAnswered(fingerprint Fingerprint) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	delete(quarantine.suspects, fingerprint)
}

func (quarantine *Quarantine) refuse(fingerprint Fingerprint, now time.Time, period time.Duration) {
	until := maps.Clone(*quarantine.until.Load())
	maps.DeleteFunc(until, func(_ Fingerprint, end time.Time) bool { return !now.Before(end) })
	if _, found := until[fingerprint]; !found && len(until) >= maxQuarantined {
		return
	}
	if end := now.Add(period); end.After(until[fingerprint]) {
		until[fingerprint] = end
	}
	quarantine.until.Store(&until)
}
