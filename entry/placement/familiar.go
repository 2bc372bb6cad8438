package placement

import (
	"sync"
	"time"
)

const (
	// familiarFor is how long a server is taken to remember an object after this VM's last request of it there.
	familiarFor = 20 * time.Second
	// maxFamiliar bounds the pairs of objects and servers that a VM keeps, 24 bytes each.
	maxFamiliar = 8192
)

// familiarity remembers which objects servers have handled lately for this VM.
type familiarity struct {
	mutex sync.Mutex
	// pairs has the last time of each pair of an object and a server, by their combined hash.
	pairs map[uint64]time.Time
}

func (familiarity *familiarity) note(pair uint64, now time.Time) {
	familiarity.mutex.Lock()
	defer familiarity.mutex.Unlock()
	if familiarity.pairs == nil || len(familiarity.pairs) >= maxFamiliar {
		// Starting over costs some requests that would have gone to a second server.
		familiarity.pairs = map[uint64]time.Time{}
	}
	familiarity.pairs[pair] = now
}

// mark sets the candidates that know the object by which they are scored.
func (familiarity *familiarity) mark(candidates []Candidate, now time.Time) {
	familiarity.mutex.Lock()
	defer familiarity.mutex.Unlock()
	for i, candidate := range candidates {
		at, found := familiarity.pairs[candidate.Score]
		candidates[i].Familiar = found && now.Sub(at) < familiarFor
	}
}
