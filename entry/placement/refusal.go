package placement

import "time"

const (
	// toleratedRefusals is the number of refusals without a success in between that do not suspend a server. A server that is full for
	// a moment is still the best one for its objects.
	toleratedRefusals = 2
	// minRefusalBackoff and maxRefusalBackoff bound the time for which a server that refused more requests gets none from this VM. It
	// doubles with each further refusal without a success in between.
	minRefusalBackoff = 100 * time.Millisecond
	maxRefusalBackoff = time.Second
	// maxPause bounds the time for which a server gets no requests because it asks for that.
	maxPause = 30 * time.Second
)

// recordRefusal suspends the server after it refused a request, at least for the time for which it wants none. Refusals of requests
// that were sent before the last one was refused do not extend the backoff.
func (server *server) recordRefusal(retryAfter time.Duration, sentAt, now time.Time) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.pausedUntil = later(server.pausedUntil, now.Add(min(retryAfter, maxPause)))
	if !sentAt.Before(server.refusedAt) {
		server.refusals++
		server.refusedAt = now
		server.refusedUntil = now.Add(server.refusalBackoff())
	}
}

// refusing reports whether the server gets no requests because it refused one. The caller must hold the mutex.
func (server *server) refusing(now time.Time) bool {
	return now.Before(server.refusedUntil) || now.Before(server.pausedUntil)
}

// refusalBackoff returns the backoff after the refusals since the last success, zero while they are tolerated. The caller must hold
// the mutex.
func (server *server) refusalBackoff() time.Duration {
	if server.refusals <= toleratedRefusals {
		return 0
	}
	backoff := minRefusalBackoff
	for range server.refusals - toleratedRefusals - 1 {
		backoff = min(2*backoff, maxRefusalBackoff)
	}
	return backoff
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// acceptedPerSecond returns this VM's part of the requests that the candidates can run a second; zero if it is not known.
func acceptedPerSecond(candidates []Candidate, responseTime time.Duration, vms int) float64 {
	if responseTime == 0 {
		return 0
	}
	slots := 0
	for _, candidate := range candidates {
		slots += candidate.Slots
	}
	return float64(slots) / responseTime.Seconds() / float64(max(1, vms))
}
