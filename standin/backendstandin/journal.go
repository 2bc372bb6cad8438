package backendstandin

import (
	"maps"
	"sync"
)

// journal counts the runs of each request, by the identity in HeaderFiling.
type journal struct {
	mutex sync.Mutex
	runs  map[string]int
	total int
}

func newJournal() *journal {
	return &journal{runs: map[string]int{}}
}

func (journal *journal) record(identity string) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.total++
	if identity != "" {
		journal.runs[identity]++
	}
}

func (journal *journal) snapshot() (runs map[string]int, total int) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return maps.Clone(journal.runs), journal.total
}
