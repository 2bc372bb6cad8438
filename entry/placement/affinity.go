package placement

import (
	"sync"
	"time"
)

const (
	// familiarFor is how long a server is taken to remember an object after its last request there that is known.
	familiarFor = 20 * time.Second
	// tellAgain is the time between two times at which a VM tells others of the same pair, so that it stays known while it
	// is in use.
	tellAgain = 5 * time.Second
	// maxFamiliar bounds the pairs of objects and servers that a VM keeps, about 60 bytes each.
	maxFamiliar = 32768
	// maxFamiliarNews bounds the pairs that wait to be told, 4 bytes each.
	maxFamiliarNews = 1024
)

// familiarity remembers which objects servers have handled lately, for this VM or, as far as they told it, for others.
type familiarity struct {
	mutex sync.Mutex
	// pairs are by the mark of an object and a server.
	pairs map[uint32]familiarPair
	news  []uint32
}

type familiarPair struct {
	// at is the last time that is known, toldAt the last time at which a VM told others.
	at, toldAt time.Time
}

// familiarMark is the mark of the pair by which a server is ranked for an object.
func familiarMark(score uint64) uint32 {
	return uint32(score)
}

// note takes over that a server has handled an object for this VM.
func (familiarity *familiarity) note(score uint64, now time.Time) {
	mark := familiarMark(score)
	familiarity.mutex.Lock()
	defer familiarity.mutex.Unlock()
	pair := familiarity.pairs[mark]
	pair.at = now
	if now.Sub(pair.toldAt) >= tellAgain && len(familiarity.news) < maxFamiliarNews {
		familiarity.news, pair.toldAt = append(familiarity.news, mark), now
	}
	familiarity.keep(mark, pair, now)
}

// keep is called with the mutex held.
func (familiarity *familiarity) keep(mark uint32, pair familiarPair, now time.Time) {
	if len(familiarity.pairs) >= maxFamiliar {
		for mark, pair := range familiarity.pairs {
			if now.Sub(pair.at) >= familiarFor {
				delete(familiarity.pairs, mark)
			}
		}
	}
	if familiarity.pairs == nil || len(familiarity.pairs) >= maxFamiliar {
		// Starting over costs some requests that would have gone to a second server.
		familiarity.pairs = map[uint32]familiarPair{}
	}
	familiarity.pairs[mark] = pair
}

// mark sets the candidates that know the object by which they are scored.
func (familiarity *familiarity) mark(candidates []Candidate, now time.Time) {
	familiarity.mutex.Lock()
	defer familiarity.mutex.Unlock()
	for i, candidate := range candidates {
		pair, found := familiarity.pairs[familiarMark(candidate.Score)]
		candidates[i].Familiar = found && now.Sub(pair.at) < familiarFor
	}
}

// FamiliarNews returns the marks of pairs that this VM has not told lately.
func (placer *Placer) FamiliarNews() []uint32 {
	familiarity := &placer.familiarity
	familiarity.mutex.Lock()
	defer familiarity.mutex.Unlock()
	news := familiarity.news
	familiarity.news = nil
	return news
}

// LearnFamiliar takes over marks that other VMs told. This VM need not tell them as well.
func (placer *Placer) LearnFamiliar(marks []uint32) {
	now := placer.settings.TimerService.Now()
	familiarity := &placer.familiarity
	familiarity.mutex.Lock()
	defer familiarity.mutex.Unlock()
	for _, mark := range marks {
		familiarity.keep(mark, familiarPair{at: now, toldAt: now}, now)
	}
}
