package placement

import "time"

// endStep is the least time between two ends of a run that count as different. The same end is found by several requests.
const endStep = 500 * time.Millisecond

// recordEnd records that the run of a server was found to have ended. Its entry shows a new run only some time after its start, and
// until then the server counts as cold: if it is back, it has just started.
func (placer *Placer) recordEnd(server *server, cause ColdCause, endedAt time.Time) {
	if duration := slowStart(placer.view.Load().registry, server.Service); duration > 0 && server.recordEnd(endedAt) {
		placer.extendCold(server, cause, duration+endStep, endedAt)
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
