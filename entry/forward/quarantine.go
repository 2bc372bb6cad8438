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
	// recordedPeriod is how long a request that a record says was refused is refused at least. Meanwhile this VM hears from the
	// others whether it still is.
	recordedPeriod = 3 * time.Second
	// minExtension is the least time by which a quarantine is extended. The time left that VMs send to each other grows by the delay
	// of each notice.
	minExtension = 5 * time.Second
)

// Fingerprint identifies a request by its content.
type Fingerprint [16]byte

// Identity says which sends are of the same request. It is immutable.
type Identity struct {
	// Content identifies what the request says, whoever sends it.
	Content Fingerprint
	// Full also identifies the caller.
	Full Fingerprint
}

// IdentityOf returns the identity of a request. Its content is the method, target and body. The target is the host, path and query
// that the caller sent, because the service and kind that a route selects may change from one send to the next; without a host, it is
// the service, kind, path and query.
func IdentityOf(request Request) Identity {
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
	content := Fingerprint(hash.Sum(nil))
	full := sha256.Sum256(append(content[:], request.Caller...))
	return Identity{Content: content, Full: Fingerprint(full[:len(Fingerprint{})])}
}

// QuarantineEntry is a fingerprint that is refused for the time left. It is immutable.
type QuarantineEntry struct {
	Fingerprint Fingerprint
	// TimeLeft is relative, so that clocks of different VMs are not compared.
	TimeLeft time.Duration
}

// Quarantine refuses requests that broke connections on two runs of backend servers: one may be a coincidence, and waiting for
// a third would crash it needlessly. A server that started again is another run. A request is refused to all callers, because what
// crashes a server is its content. Only if servers answer the same content to others, it is refused to the caller whose sends
// crashed them: the content may be harmless, and many callers may have sent it to servers that ended for another reason. After its
// quarantine, one VM of the fleet tries the request, and the others refuse it until they know what came of it.
type Quarantine struct {
	timerService oleandervane.TimerService
	period       time.Duration
	// observer may be nil.
	observer oleandervane.SuspectObserver
	// coordinator may be nil; then this VM tries each request itself after its quarantine.
	coordinator oleandervane.TrialCoordinator
	// recorder may be nil.
	recorder oleandervane.QuarantineRecorder
	// refusedUntil is replaced as a whole, so that requests read it without a lock.
	refusedUntil atomic.Pointer[map[Fingerprint]time.Time]

	mutex    sync.Mutex
	suspects map[Fingerprint]suspect
	// unresolved are attempts that ended without a response although their connection did not break, the oldest first.
	unresolved []unresolvedAttempt
	// past has the last quarantine of each request that was refused, also after it has ended.
	past map[Fingerprint]pastQuarantine
	// nextTrial is when this VM may next claim the trial of a request in past.
	nextTrial map[Fingerprint]time.Time
	// answered has contents that servers answered recently.
	answered answeredTable
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
		nextTrial:    map[Fingerprint]time.Time{},
	}
	quarantine.refusedUntil.Store(&map[Fingerprint]time.Time{})
	return quarantine
}

// Refuses reports whether the request is refused now.
func (quarantine *Quarantine) Refuses(identity Identity) bool {
	return quarantine.Contains(identity.Content) || quarantine.Contains(identity.Full)
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

// Import adds the entries that a peer exported, but not those of contents that servers answered to this VM recently. A time left that
// is longer than the longest quarantine of this VM is shortened to it.
func (quarantine *Quarantine) Import(list []QuarantineEntry) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	now := quarantine.timerService.Now()
	for _, entry := range list {
		extension := now.Add(entry.TimeLeft).Sub(quarantine.past[entry.Fingerprint].until)
		if entry.TimeLeft > 0 && extension >= minExtension && !quarantine.answered.contains(entry.Fingerprint, now) {
			quarantine.add(entry.Fingerprint, now, min(entry.TimeLeft, maxQuarantinePeriods*quarantine.period), oleandervane.SuspectFromPeer)
		}
	}
}

// Restore refuses a request that was refused for the duration at some time, according to a record, until its trial. It changes nothing if
// this VM knows of a quarantine of the request.
func (quarantine *Quarantine) Restore(fingerprint Fingerprint, duration time.Duration) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	now := quarantine.timerService.Now()
	if _, found := quarantine.past[fingerprint]; found || quarantine.answered.contains(fingerprint, now) {
		return
	}
	quarantine.add(fingerprint, now, recordedPeriod, oleandervane.SuspectFromStore)
	quarantine.remember(fingerprint, pastQuarantine{
		duration: min(max(duration, quarantine.period), maxQuarantinePeriods*quarantine.period), until: now.Add(recordedPeriod),
	}, now)
}

// ServerHash returns the hash by which VMs identify a backend server to each other.
func ServerHash(id string) uint32 {
	return uint32(xxhash.Sum64String(id))
}

// recordAnswered removes a suspect: a request that is answered does not crash backend servers.
func (quarantine *Quarantine) recordAnswered(identity Identity) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	quarantine.answered.add(identity.Content, quarantine.timerService.Now())
	for _, fingerprint := range []Fingerprint{identity.Content, identity.Full} {
		if _, found := quarantine.past[fingerprint]; found && quarantine.recorder != nil {
			quarantine.recorder.ClearQuarantine(fingerprint)
		}
		delete(quarantine.past, fingerprint)
		delete(quarantine.nextTrial, fingerprint)
		if _, found := quarantine.suspects[fingerprint]; !found {
			continue
		}
		delete(quarantine.suspects, fingerprint)
		if quarantine.observer != nil {
			quarantine.observer.SuspicionCleared(fingerprint)
		}
	}
}

// blamed returns the fingerprint under which a crash counts. The caller must hold the mutex.
func (quarantine *Quarantine) blamed(identity Identity, now time.Time) Fingerprint {
	if _, found := quarantine.past[identity.Full]; found || quarantine.answered.contains(identity.Content, now) {
		return identity.Full
	}
	return identity.Content
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
	if quarantine.recorder != nil && source != oleandervane.SuspectFromPeer && source != oleandervane.SuspectFromStore {
		quarantine.recorder.RecordQuarantine(fingerprint, period)
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
	maps.DeleteFunc(quarantine.nextTrial, func(fingerprint Fingerprint, _ time.Time) bool {
		_, found := quarantine.past[fingerprint]
		return !found
	})
}
