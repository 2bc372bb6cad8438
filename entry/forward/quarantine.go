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
	// maxQuarantinePeriods bounds the duration of a quarantine, which doubles each time that the request crashes a server after its
	// quarantine has ended.
	maxQuarantinePeriods = 16
	// pastPeriod is how long after its quarantine a request is still refused after a single crash.
	pastPeriod = time.Hour
	// minExtension is the least time by which a quarantine is extended. The time left that VMs send to each other grows by the delay
	// of each notice.
	minExtension = 5 * time.Second
)

// Fingerprint identifies a request by its content.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request: its content and its caller.
func FingerprintOf(request Request) Fingerprint {
	return ContentFingerprintOf(request).withCaller(request.Caller)
}

func (fingerprint Fingerprint) withCaller(caller string) Fingerprint {
	sum := sha256.Sum256(append(fingerprint[:], caller...))
	return Fingerprint(sum[:len(Fingerprint{})])
}

// ContentFingerprintOf returns the fingerprint of what a request says, whoever sends it: its method, target and body. The target is
// the host, path and query that the caller sent, because the service and kind that a route selects may change from one send to the
// next; without a host, it is the service, kind, path and query.
func ContentFingerprintOf(request Request) Fingerprint {
	hash := sha256.New()
	target := []string{request.Host, "", ""}
	if request.Host == "" {
		target = []string{"", string(request.Service), string(request.Kind.Name)}
	}
	for _, field := range append(target, request.Method, request.Path, request.RawQuery) {
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

// Quarantine refuses requests that broke connections on two runs of backend servers: one may be a coincidence, and waiting for
// a third would crash it needlessly. A server that started again is another run.
type Quarantine struct {
	timerService oleandervane.TimerService
	period       time.Duration
	// observer may be nil.
	observer oleandervane.SuspectObserver
	// refusedUntil is replaced as a whole, so that requests read it without a lock.
	refusedUntil atomic.Pointer[map[Fingerprint]time.Time]

	mutex    sync.Mutex
	suspects map[Fingerprint]suspect
	// unresolved are attempts that ended without a response although their connection did not break, the oldest first.
	unresolved []unresolvedAttempt
	// past has the last quarantine of each request that was refused, also after it has ended.
	past map[Fingerprint]pastQuarantine
	// ended has the runs that ended unplanned recently. Attempts there may wait for a response until their time limit.
	ended map[uint32]time.Time
}

// pastQuarantine is the last quarantine of a request.
type pastQuarantine struct {
	duration time.Duration
	until    time.Time
}

func newQuarantine(timerService oleandervane.TimerService, period time.Duration) *Quarantine {
	quarantine := &Quarantine{
		timerService: timerService,
		period:       period,
		suspects:     map[Fingerprint]suspect{},
		ended:        map[uint32]time.Time{},
		past:         map[Fingerprint]pastQuarantine{},
	}
	quarantine.refusedUntil.Store(&map[Fingerprint]time.Time{})
	return quarantine
}

// Contains reports whether requests with the fingerprint are refused now.
func (quarantine *Quarantine) Contains(fingerprint Fingerprint) bool {
	until, found := (*quarantine.refusedUntil.Load())[fingerprint]
	return found && quarantine.timerService.Now().Before(until)
}

// Export returns the fingerprints that are refused now, at most 256 of them, those that will be refused longest first.
func (quarantine *Quarantine) Export() []QuarantineEntry {
	now := quarantine.timerService.Now()
	var list []QuarantineEntry
	for fingerprint, until := range *quarantine.refusedUntil.Load() {
		if left := until.Sub(now); left > 0 {
			list = append(list, QuarantineEntry{Fingerprint: fingerprint, TimeLeft: left})
		}
	}
	slices.SortFunc(list, func(a, b QuarantineEntry) int {
		return cmp.Or(cmp.Compare(b.TimeLeft, a.TimeLeft), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
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
		extension := now.Add(entry.TimeLeft).Sub(quarantine.past[entry.Fingerprint].until)
		if entry.TimeLeft > 0 && extension >= minExtension {
			quarantine.add(entry.Fingerprint, now, min(entry.TimeLeft, quarantine.period), oleandervane.SuspectFromPeer)
		}
	}
}

// ServerHash returns the hash by which VMs identify a backend server to each other.
func ServerHash(id string) uint32 {
	return uint32(xxhash.Sum64String(id))
}

// recordAnswered removes a suspect: a request that is answered does not crash backend servers.
func (quarantine *Quarantine) recordAnswered(fingerprint Fingerprint) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	delete(quarantine.past, fingerprint)
	if _, found := quarantine.suspects[fingerprint]; !found {
		return
	}
	delete(quarantine.suspects, fingerprint)
	if quarantine.observer != nil {
		quarantine.observer.SuspicionCleared(fingerprint)
	}
}

// add refuses a request for the period. The caller must hold the mutex.
func (quarantine *Quarantine) add(fingerprint Fingerprint, now time.Time, period time.Duration, source oleandervane.SuspectSource) {
	until := maps.Clone(*quarantine.refusedUntil.Load())
	maps.DeleteFunc(until, func(_ Fingerprint, end time.Time) bool { return !now.Before(end) })
	if _, found := until[fingerprint]; !found && len(until) >= maxQuarantined {
		return
	}
	end := now.Add(period)
	if _, found := until[fingerprint]; !found && quarantine.observer != nil {
		quarantine.observer.RequestQuarantined(fingerprint, period, source)
	}
	until[fingerprint] = end
	quarantine.remember(fingerprint, pastQuarantine{duration: max(period, quarantine.period), until: end}, now)
	quarantine.refusedUntil.Store(&until)
}

// remember keeps a quarantine after its end. The caller must hold the mutex.
func (quarantine *Quarantine) remember(fingerprint Fingerprint, latest pastQuarantine, now time.Time) {
	if len(quarantine.past) >= maxQuarantined {
		maps.DeleteFunc(quarantine.past, func(_ Fingerprint, former pastQuarantine) bool {
			return now.Sub(former.until) >= pastPeriod
		})
	}
	if former, found := quarantine.past[fingerprint]; found {
		latest.duration = max(latest.duration, former.duration)
	} else if len(quarantine.past) >= maxQuarantined {
		return
	}
	quarantine.past[fingerprint] = latest
}
