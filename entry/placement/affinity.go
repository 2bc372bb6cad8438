package placement

import (
	"sync"
	"time"
)

const (
	// affinityLifetime is how long a server is assumed to have affinity for an object after the last known request for
	// it.
	affinityLifetime = 20 * time.Second
	// affinityResendInterval is the time after which a VM sends the mark of the same pair to other VMs again, so that
	// the pair does not expire while it is in use.
	affinityResendInterval = 5 * time.Second
	// maxAffinities bounds the pairs of an object and a server that a VM stores, about 60 bytes each.
	maxAffinities = 32768
	// maxPendingMarks bounds the marks that wait to be sent to other VMs, 4 bytes each.
	maxPendingMarks = 1024
)

// affinities records which objects servers have handled recently, for this VM or, as far as other VMs report it, for
// others.
type affinities struct {
	mutex sync.Mutex
	// pairs is keyed by the mark of an object and a server. pending are the marks to send to other VMs.
	pairs   map[uint32]affinity
	pending []uint32
}

type affinity struct {
	// usedAt is the time of the last known request, sentAt the last time at which a VM sent the mark to others.
	usedAt, sentAt time.Time
}

// affinityMark returns the mark of a pair of an object and a server from the server's score for the object.
func affinityMark(score uint64) uint32 {
	return uint32(score)
}

// record records that a server has handled an object for this VM.
func (affinities *affinities) record(score uint64, now time.Time) {
	mark := affinityMark(score)
	affinities.mutex.Lock()
	defer affinities.mutex.Unlock()
	pair := affinities.pairs[mark]
	pair.usedAt = now
	if now.Sub(pair.sentAt) >= affinityResendInterval && len(affinities.pending) < maxPendingMarks {
		affinities.pending, pair.sentAt = append(affinities.pending, mark), now
	}
	affinities.put(mark, pair, now)
}

// put stores a pair. The caller must hold the mutex.
func (affinities *affinities) put(mark uint32, pair affinity, now time.Time) {
	if len(affinities.pairs) >= maxAffinities {
		for mark, pair := range affinities.pairs {
			if now.Sub(pair.usedAt) >= affinityLifetime {
				delete(affinities.pairs, mark)
			}
		}
	}
	if affinities.pairs == nil || len(affinities.pairs) >= maxAffinities {
		// Clearing the map costs little: some requests that could have gone to their second server do not.
		affinities.pairs = map[uint32]affinity{}
	}
	affinities.pairs[mark] = pair
}

// markCandidates sets HasAffinity of the candidates that have affinity for the object of their scores.
func (affinities *affinities) markCandidates(candidates []Candidate, now time.Time) {
	affinities.mutex.Lock()
	defer affinities.mutex.Unlock()
	for i, candidate := range candidates {
		pair, found := affinities.pairs[affinityMark(candidate.Score)]
		candidates[i].HasAffinity = found && now.Sub(pair.usedAt) < affinityLifetime
	}
}

// PendingAffinity returns the marks that this VM has not sent to other VMs recently, and clears them.
func (placer *Placer) PendingAffinity() []uint32 {
	affinities := &placer.affinities
	affinities.mutex.Lock()
	defer affinities.mutex.Unlock()
	pending := affinities.pending
	affinities.pending = nil
	return pending
}

// MergeAffinity stores marks from other VMs. This VM does not need to send them as well.
func (placer *Placer) MergeAffinity(marks []uint32) {
	now := placer.settings.TimerService.Now()
	affinities := &placer.affinities
	affinities.mutex.Lock()
	defer affinities.mutex.Unlock()
	for _, mark := range marks {
		affinities.put(mark, affinity{usedAt: now, sentAt: now}, now)
	}
}
