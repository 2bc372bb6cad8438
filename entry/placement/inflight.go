package placement

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"oleandervane.example"
)

const (
	// countsLifetime is how long the counts of a source stay valid. It allows for some lost notices; requests that were
	// in flight at a VM that died end soon.
	countsLifetime = 1500 * time.Millisecond
	// minCoverage is the minimum share of the other VMs whose counts must be known. Below it, the loads that servers
	// report are more accurate.
	minCoverage = 0.5
)

// peerCounts stores the requests in flight at other VMs, by the source that reported them.
type peerCounts struct {
	mutex   sync.Mutex
	sources map[string]sourceCounts
	// scale has the bits of the factor that extrapolates from the known counts to those of all other VMs; zero while
	// too few are known.
	scale atomic.Uint64
}

type sourceCounts struct {
	receivedAt time.Time
	vms        int
	counts     []oleandervane.ServerCount
}

// InFlight returns this VM's requests in flight by server. It also removes the counts of sources that stopped reporting.
func (placer *Placer) InFlight() []oleandervane.ServerCount {
	placer.expireSources()
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

// ReplaceInFlight replaces the counts of a source, which covers a number of other VMs, by all requests that it has in
// flight now.
func (placer *Placer) ReplaceInFlight(source string, vms int, counts []oleandervane.ServerCount) {
	peers := &placer.peers
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	view := placer.view.Load()
	view.addPeerCounts(peers.sources[source].counts, -1)
	view.addPeerCounts(counts, 1)
	peers.sources[source] = sourceCounts{receivedAt: placer.settings.TimerService.Now(), vms: vms, counts: counts}
	placer.updateScale()
}

func (placer *Placer) expireSources() {
	now := placer.settings.TimerService.Now()
	peers := &placer.peers
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	view := placer.view.Load()
	for name, known := range peers.sources {
		if now.Sub(known.receivedAt) > countsLifetime {
			view.addPeerCounts(known.counts, -1)
			delete(peers.sources, name)
		}
	}
	placer.updateScale()
}

// updateScale must be called with the mutex of the counts held.
func (placer *Placer) updateScale() {
	others, covered := len(placer.settings.Membership.EntryVMs())-1, 0
	for _, source := range placer.peers.sources {
		covered += source.vms
	}
	scale := 0.0
	if covered > 0 && float64(covered) >= minCoverage*float64(others) {
		scale = max(1, float64(others)/float64(covered))
	}
	previous := math.Float64frombits(placer.peers.scale.Swap(math.Float64bits(scale)))
	if observer := placer.settings.Observer; observer != nil && (previous > 0) != (scale > 0) {
		observer.PeerCoverageChanged(scale > 0, covered, others)
	}
}

// addPeerCounts adds counts, multiplied by a factor, to the requests in flight of other VMs. Servers that are not in
// the view are ignored.
func (view *view) addPeerCounts(counts []oleandervane.ServerCount, factor int64) {
	for _, count := range counts {
		if server := view.byHash[count.Server]; server != nil {
			server.peersInFlight.Add(factor * int64(count.Count))
		}
	}
}

// replaceView adds all known counts to the servers of a view and makes it the current view.
func (placer *Placer) replaceView(next *view) {
	peers := &placer.peers
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	for _, server := range next.byHash {
		server.peersInFlight.Store(0)
	}
	for _, source := range peers.sources {
		next.addPeerCounts(source.counts, 1)
	}
	placer.view.Store(next)
}

// peerScale returns the factor from the counts that other VMs reported to those of all other VMs; zero while too few
// VMs report counts.
func (placer *Placer) peerScale() float64 {
	return math.Float64frombits(placer.peers.scale.Load())
}
