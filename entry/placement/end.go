package placement

import (
	"cmp"
	"slices"
	"time"

	"oleandervane.example"
)

const (
	// endStep is the least time between two ends of a run that count as different. The same end is found by several requests, and its
	// age grows by the delay of each notice.
	endStep = 400 * time.Millisecond
	// endLifetime is how long an end is sent to other VMs: in several notices, because one may be lost.
	endLifetime = time.Second
	// probePeriod is the time between two probes of a server that has ended.
	probePeriod = 500 * time.Millisecond
)

// recordEnd records that the run of a server was found to have ended. Its entry shows a new run only some time after its start, and
// until then the server counts as cold: if it is back, it has started since the last probe.
func (placer *Placer) recordEnd(server *server, cause ColdCause, endedAt time.Time) {
	duration := slowStart(placer.view.Load().registry, server.Service)
	if duration == 0 || !server.recordEnd(endedAt) {
		return
	}
	placer.extendCold(server, cause, duration+probePeriod, endedAt)
	if placer.settings.Prober != nil && server.beginProbing() {
		placer.probeLater(server)
	}
}

// recordEnd reports whether the end is another one than the last one that is known. The VMs that send to the server while it is cold
// try it as one that has received no request yet.
func (server *server) recordEnd(endedAt time.Time) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if endedAt.Sub(server.endedAt) < endStep {
		return false
	}
	server.endedAt = endedAt
	server.sent.Store(0)
	return true
}

// beginProbing reports whether no probes go on yet.
func (server *server) beginProbing() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.probing {
		return false
	}
	server.probing, server.absent = true, true
	return true
}

// endProbing has the server get requests again.
func (server *server) endProbing() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.probing, server.absent = false, false
	server.backoffUntil = time.Time{}
	server.sent.Store(0)
}

func (placer *Placer) probeLater(server *server) {
	placer.settings.TimerService.After(probePeriod, func(now time.Time) { placer.probe(server, now) })
}

// probe checks whether a server that has ended is back, if this VM is one of those that send to the server while it is cold. Probes end
// when the server is back, when its entry shows a new run, or when it was not found to have ended for as long as it would be cold.
func (placer *Placer) probe(server *server, now time.Time) {
	current := placer.view.Load().byRun[server.target().RunHash()]
	if current == nil || current.serverState != server.serverState || !current.isCold(now) {
		server.endProbing()
		return
	}
	if !current.warmUpAssigned() {
		placer.probeLater(current)
		return
	}
	placer.settings.Prober.ProbeConnection(current.Address, func(connectionState oleandervane.ConnectionState) {
		now := placer.settings.TimerService.Now()
		if connectionState == oleandervane.ConnectionAccepted {
			current.endProbing()
			placer.extendCold(current, ColdAfterEnd, slowStart(placer.view.Load().registry, current.Service), now)
			return
		}
		if connectionState == oleandervane.ConnectionRefused {
			placer.recordEnd(current, ColdAfterEnd, now)
		}
		placer.probeLater(current)
	})
}

// ServerEnds returns the ends that were found recently, the newest first. A VM that hears of few others may be cut off from the servers
// as well, and returns none.
func (placer *Placer) ServerEnds() []oleandervane.ServerEnd {
	if placer.peerScale() == 0 {
		return nil
	}
	now := placer.settings.TimerService.Now()
	var serverEnds []oleandervane.ServerEnd
	for run, server := range placer.view.Load().byRun {
		server.mutex.Lock()
		age := now.Sub(server.endedAt)
		server.mutex.Unlock()
		if age < endLifetime {
			serverEnds = append(serverEnds, oleandervane.ServerEnd{Server: run, Age: age})
		}
	}
	slices.SortFunc(serverEnds, func(a, b oleandervane.ServerEnd) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Server, b.Server))
	})
	return serverEnds
}

// MergeServerEnds records the ends that another VM knows.
func (placer *Placer) MergeServerEnds(serverEnds []oleandervane.ServerEnd) {
	now, view := placer.settings.TimerService.Now(), placer.view.Load()
	for _, serverEnd := range serverEnds {
		if server := view.byRun[serverEnd.Server]; server != nil {
			placer.recordEnd(server, ColdByPeer, now.Add(-serverEnd.Age))
		}
	}
}
