package placement

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"oleandervane.example"
)

const (
	// countsLifetime is how long the counts of a source are believed: some notices may be lost, and what a VM that died
	// had in flight is over soon.
	countsLifetime = 1500 * time.Millisecond
	// enoughCovered is the share of the other VMs whose counts must be known. With fewer, the loads that servers report
	// say more.
	enoughCovered = 0.5
)

// foreignCounts keeps what other VMs have in flight, by who told it.
type foreignCounts struct {
	mutex   sync.Mutex
	sources map[string]sourceCounts
	// scale has the bits of the factor from the counts that are known to those of all other VMs; zero while too few
	// are known.
	scale atomic.Uint64
}

type sourceCounts struct {
	at     time.Time
	vms    int
	counts []oleandervane.ServerCount
}

// InFlight returns this VM's requests in flight by server. It also forgets sources that fell silent.
func (placer *Placer) InFlight() []oleandervane.ServerCount {
	placer.forgetSilent()
	var counts []oleandervane.ServerCount
	for _, servers := range placer.view.Load().services {
		for _, server := range servers {
			if count := server.inFlight.Load(); count > 0 {
				counts = append(counts, oleandervane.ServerCount{Server: uint32(server.hash), Count: int(count)})
			}
		}
	}
	return counts
}

// Learn takes over all requests in flight of a source, which covers a number of other VMs, in the place of those that
// it told before.
func (placer *Placer) Learn(source string, vms int, counts []oleandervane.ServerCount) {
	foreign := &placer.foreign
	foreign.mutex.Lock()
	defer foreign.mutex.Unlock()
	view := placer.view.Load()
	view.addOthers(foreign.sources[source].counts, -1)
	view.addOthers(counts, 1)
	foreign.sources[source] = sourceCounts{at: placer.settings.TimerService.Now(), vms: vms, counts: counts}
	placer.rescale()
}

func (placer *Placer) forgetSilent() {
	now := placer.settings.TimerService.Now()
	foreign := &placer.foreign
	foreign.mutex.Lock()
	defer foreign.mutex.Unlock()
	view := placer.view.Load()
	for name, known := range foreign.sources {
		if now.Sub(known.at) > countsLifetime {
			view.addOthers(known.counts, -1)
			delete(foreign.sources, name)
		}
	}
	placer.rescale()
}

// rescale is called with the mutex of the counts held.
func (placer *Placer) rescale() {
	others, covered := len(placer.settings.Membership.EntryVMs())-1, 0
	for _, source := range placer.foreign.sources {
		covered += source.vms
	}
	scale := 0.0
	if covered > 0 && float64(covered) >= enoughCovered*float64(others) {
		scale = max(1, float64(others)/float64(covered))
	}
	former := math.Float64frombits(placer.foreign.scale.Swap(math.Float64bits(scale)))
	if observer := placer.settings.Observer; observer != nil && (former > 0) != (scale > 0) {
		observer.PeerCoverageChanged(scale > 0, covered, others)
	}
}

// addOthers adds counts times a factor to what others have in flight. Servers that are not known here are left out.
func (view *view) addOthers(counts []oleandervane.ServerCount, factor int64) {
	for _, count := range counts {
		if server := view.byHash[count.Server]; server != nil {
			server.others.Add(factor * int64(count.Count))
		}
	}
}

// replaceView puts a view into force whose servers have all counts that are known.
func (placer *Placer) replaceView(next *view) {
	foreign := &placer.foreign
	foreign.mutex.Lock()
	defer foreign.mutex.Unlock()
	for _, server := range next.byHash {
		server.others.Store(0)
	}
	for _, source := range foreign.sources {
		next.addOthers(source.counts, 1)
	}
	placer.view.Store(next)
}

// othersScale returns the factor from what others told to what all others have in flight, and zero while too few told it.
func (placer *Placer) othersScale() float64 {
	return math.Float64frombits(placer.foreign.scale.Load())
}
