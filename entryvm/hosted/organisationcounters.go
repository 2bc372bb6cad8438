package hosted

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"oleandervane.example"
)

const (
	// shownOrganisations is the number of organisations that have metrics of their own.
	shownOrganisations = 20
	// otherOrganisations is the label of all others together.
	otherOrganisations = "other"
	// rankPeriod is the time between two choices of the shown organisations. Each choice halves what came before.
	rankPeriod = time.Minute
	// replaceFactor is how many times more requests another organisation needs to replace a shown one, so that organisations of nearly
	// the same size do not take turns.
	replaceFactor = 1.5
	// maxCountedOrganisations bounds the organisations whose size is tracked.
	maxCountedOrganisations = 4096
)

// organisationCounters counts requests by organisation: the largest have counters of their own, the rest is counted together. A counter
// never decreases while it is shown.
type organisationCounters struct {
	mutex sync.Mutex
	// sizes are recent requests of each organisation; older ones count less.
	sizes    map[oleandervane.OrganisationName]float64
	shown    map[oleandervane.OrganisationName]map[string]uint64
	others   map[string]uint64
	rankedAt time.Time
}

func newOrganisationCounters() *organisationCounters {
	return &organisationCounters{
		sizes: map[oleandervane.OrganisationName]float64{},
		shown: map[oleandervane.OrganisationName]map[string]uint64{}, others: map[string]uint64{},
	}
}

// record counts a request by its result, of which there are few.
func (counters *organisationCounters) record(name oleandervane.OrganisationName, result string, now time.Time) {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	if now.Sub(counters.rankedAt) >= rankPeriod {
		counters.rank()
		counters.rankedAt = now
	}
	if _, tracked := counters.sizes[name]; tracked || len(counters.sizes) < maxCountedOrganisations {
		counters.sizes[name]++
	}
	if counts, isShown := counters.shown[name]; isShown {
		counts[result]++
		return
	}
	if len(counters.shown) < shownOrganisations {
		counters.shown[name] = map[string]uint64{result: 1}
		return
	}
	counters.others[result]++
}

// rank replaces the smallest shown organisations by larger ones.
func (counters *organisationCounters) rank() {
	bySize := func(a, b oleandervane.OrganisationName) int {
		return cmp.Or(cmp.Compare(counters.sizes[a], counters.sizes[b]), cmp.Compare(a, b))
	}
	shown := slices.SortedFunc(maps.Keys(counters.shown), bySize)
	candidates := slices.SortedFunc(maps.Keys(counters.sizes), bySize)
	slices.Reverse(candidates)
	candidates = slices.DeleteFunc(candidates, func(name oleandervane.OrganisationName) bool { return counters.shown[name] != nil })
	for i, name := range candidates[:min(len(candidates), len(shown))] {
		if len(shown) < shownOrganisations || counters.sizes[name] < replaceFactor*counters.sizes[shown[i]] {
			break
		}
		for result, count := range counters.shown[shown[i]] {
			counters.others[result] += count
		}
		delete(counters.shown, shown[i])
		counters.shown[name] = map[string]uint64{}
	}
	for name := range counters.sizes {
		counters.sizes[name] /= 2
		if counters.sizes[name] < 1/math.E {
			delete(counters.sizes, name)
		}
	}
}

// write writes the counters in the Prometheus text format.
func (counters *organisationCounters) write(writer io.Writer) {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	for _, name := range slices.Sorted(maps.Keys(counters.shown)) {
		writeResults(writer, string(name), counters.shown[name])
	}
	writeResults(writer, otherOrganisations, counters.others)
}

func writeResults(writer io.Writer, organisation string, counts map[string]uint64) {
	for _, result := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(writer, "oleandervane_organisation_requests_total{organisation=%q,result=%q} %d\n", organisation, result, counts[result])
	}
}
