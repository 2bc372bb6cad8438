package placement

import (
	"cmp"
	"slices"
	"time"

	"oleandervane.example"
)

const (
	// endStep is the least time between two ends of a run that count as different. Several requests and VMs find the same end.
	endStep = 400 * time.Millisecond
	// endLifetime is how long an end is sent to other VMs, so that those hear of it that have just started or missed a notice.
	endLifetime = 3 * time.Second
	// probePeriod is the time between two probes of a server that has ended.
	probePeriod = 500 * time.Millisecond
	// answeredPeriod is the time in which some server must have answered a VM that tells others of ends. A VM without any answer may be
	// the one that is cut off.
	answeredPeriod = time.Second
)

// findEnd records that this VM was refused a connection, which means that the run of the server has ended.
func (placer *Placer) findEnd(server *server) {
	now := placer.settings.TimerService.Now()
	if placer.wasAnswered(now) {
		server.mutex.Lock()
		server.foundEndAt = now
		server.mutex.Unlock()
	}
	placer.recordEnd(server, ColdAfterEnd, now)
}

// recordEnd records that the run of a server has ended. Its entry shows a new run only some time after its start, and until then the
// server counts as cold: if it is back, it has started since the last probe.
func (placer *Placer) recordEnd(server *server, cause ColdCause, endedAt time.Time) {
	duration := slowStart(placer.view.Load().registry, server.Service)
	if duration == 0 || !server.updateEnd(endedAt) {
		return
	}
	placer.extendCold(server, cause, duration+probePeriod, endedAt)
	if placer.settings.Prober != nil && server.beginProbing() {
		placer.probeLater(server)
	}
}

// updateEnd reports whether the end is later than the last one that is known, and than the last time at which the server was back.
func (server *server) updateEnd(endedAt time.Time) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if endedAt.Sub(server.endedAt) < endStep || !endedAt.After(server.backAt) {
		return false
	}
	server.endedAt = endedAt
	server.suspicion.active = false
	// The server is tried as one that has received no request yet.
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

// endProbing ends probes without a result.
func (server *server) endProbing() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.probing, server.absent = false, false
}

// recordBack records that the server accepts connections again. It is tried at once, as one that has received no request yet.
func (server *server) recordBack(now time.Time) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.probing, server.absent = false, false
	server.backAt, server.backoffUntil = now, time.Time{}
	server.sent.Store(0)
}

func (placer *Placer) probeLater(server *server) {
	placer.settings.TimerService.After(probePeriod, func(now time.Time) { placer.probe(server, now) })
}

// probe checks whether a server that has ended is back, if this VM is one of those that send to the server while it is cold. It goes on
// until the server is back, has a new run, or no longer counts as cold.
func (placer *Placer) probe(server *server, now time.Time) {
	current := placer.view.Load().byRun[server.target().RunHash()]
	if current == nil || current.serverState != server.serverState || !current.isCold(now) {
		server.endProbing()
		return
	}
	if current.warmUpAssigned() {
		switch placer.settings.Prober.ProbeConnection(current.Address) {
		case oleandervane.ConnectionAccepted:
			now := placer.settings.TimerService.Now()
			current.recordBack(now)
			placer.extendCold(current, ColdAfterEnd, slowStart(placer.view.Load().registry, current.Service), now)
			return
		case oleandervane.ConnectionRefused:
			placer.checkOwnConnection(current)
			placer.findEnd(current)
		}
	}
	placer.probeLater(current)
}

// checkOwnConnection opens a connection to another server if none has answered this VM lately, as when it gets few requests. It shows
// whether this VM is cut off.
func (placer *Placer) checkOwnConnection(refusing *server) {
	if placer.wasAnswered(placer.settings.TimerService.Now()) {
		return
	}
	for _, other := range placer.view.Load().services[refusing.Service] {
		if other.ID == refusing.ID || other.isAbsent() {
			continue
		}
		if placer.settings.Prober.ProbeConnection(other.Address) == oleandervane.ConnectionAccepted {
			placer.answeredAt.Store(placer.settings.TimerService.Now().UnixNano())
		}
		return
	}
}

// wasAnswered reports whether a server has answered this VM lately.
func (placer *Placer) wasAnswered(now time.Time) bool {
	return now.Sub(time.Unix(0, placer.answeredAt.Load())) < answeredPeriod
}

// isAbsent reports whether the server gets no requests until a probe finds that it accepts connections.
func (server *server) isAbsent() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.absent
}

// ServerEnds returns the ends that this VM found recently, the newest first.
func (placer *Placer) ServerEnds() []oleandervane.ServerEnd {
	now := placer.settings.TimerService.Now()
	return placer.collectEnds(func(server *server) (at time.Time, found bool) {
		return server.foundEndAt, now.Sub(server.foundEndAt) < endLifetime
	})
}

// KnownServerEnds returns the ends of servers that are cold because of them, whichever VM found them, the newest first.
func (placer *Placer) KnownServerEnds() []oleandervane.ServerEnd {
	now := placer.settings.TimerService.Now()
	return placer.collectEnds(func(server *server) (at time.Time, found bool) {
		return later(server.endedAt, server.backAt), !server.endedAt.IsZero() && now.Before(server.coldUntil)
	})
}

// collectEnds returns the ends that the function finds, the newest first. It calls the function with the mutex of the server held.
func (placer *Placer) collectEnds(find func(server *server) (at time.Time, found bool)) []oleandervane.ServerEnd {
	now := placer.settings.TimerService.Now()
	var serverEnds []oleandervane.ServerEnd
	for run, server := range placer.view.Load().byRun {
		server.mutex.Lock()
		at, found := find(server)
		server.mutex.Unlock()
		if found {
			serverEnds = append(serverEnds, oleandervane.ServerEnd{Server: run, Age: now.Sub(at)})
		}
	}
	slices.SortFunc(serverEnds, func(a, b oleandervane.ServerEnd) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Server, b.Server))
	})
	return serverEnds
}

// MergeServerEnds records the ends that other VMs found.
func (placer *Placer) MergeServerEnds(serverEnds []oleandervane.ServerEnd) {
	now, view := placer.settings.TimerService.Now(), placer.view.Load()
	for _, serverEnd := range serverEnds {
		if server := view.byRun[serverEnd.Server]; server != nil {
			placer.recordEnd(server, ColdByPeer, now.Add(-serverEnd.Age))
		}
	}
}
