package forward

import (
	"errors"
	"sync"
	"time"

	"oleandervane.example"
)

const (
	// DefaultIdleLimit retires idle connections early. Opening one takes 1 ms, so that little is lost by it, while
	// each second of idleness is a chance to go silent unnoticed.
	DefaultIdleLimit = 2 * time.Second
	// MaxSilence is the longest time for which a request waits on a reused connection for its first byte.
	MaxSilence = 2 * time.Second
	// minSilence keeps kinds with a very short deadline from taking a brief delay for silence.
	minSilence = 50 * time.Millisecond
	// silenceShare is the part of a kind's deadline that may be spent on a silent connection: after a quarter, time
	// is left for a whole attempt elsewhere.
	silenceShare = 4
	// silenceMargin is how many times the usual first-byte time the limit must be. A kind that is slower uses new
	// connections only, because on a reused one slowness could not be told from silence.
	silenceMargin = 3
	// firstByteDecay is the factor by which the slowest known time shrinks with each newer one.
	firstByteDecay = 0.99
)

// errOpenLimit says that no connection was opened within the silence limit. A host that has vanished refuses nothing,
// and the whole deadline would be spent on it.
var errOpenLimit = errors.New("the connection could not be opened in time")

func silenceLimit(kind oleandervane.Kind) time.Duration {
	return min(max(kind.Deadline/silenceShare, minSilence), MaxSilence)
}

func (attempt *attempt) silenceLimit() time.Duration {
	return silenceLimit(attempt.request.Kind)
}

// openLimit is how long the opening of a connection may take.
func (attempt *attempt) openLimit() time.Duration {
	if limit := attempt.forwarder.settings.ConnectTimeout; limit > 0 {
		return limit
	}
	return attempt.silenceLimit()
}

// needsFresh says whether the attempt must open a connection. A non-idempotent request always does: on a pooled
// connection that went silent or was closed by the peer its outcome would be unknown, although a new connection
// could have served it.
func (attempt *attempt) needsFresh() bool {
	if !attempt.request.Kind.Idempotent {
		return true
	}
	if attempt.forwarder.settings.TrustReusedConnections {
		return false
	}
	usual := attempt.forwarder.firstBytes.slowest(attempt.request)
	return silenceMargin*usual > attempt.silenceLimit()
}

// firstByteTimes holds for each kind the slowest recent time until a response began, decaying.
type firstByteTimes struct {
	mutex sync.Mutex
	times map[kindKey]time.Duration
}

type kindKey struct {
	service oleandervane.ServiceName
	kind    oleandervane.KindName
}

func (firstByteTimes *firstByteTimes) note(request Request, took time.Duration) {
	key := kindKey{service: request.Service, kind: request.Kind.Name}
	firstByteTimes.mutex.Lock()
	defer firstByteTimes.mutex.Unlock()
	decayed := time.Duration(float64(firstByteTimes.times[key]) * firstByteDecay)
	firstByteTimes.times[key] = max(took, decayed)
}

func (firstByteTimes *firstByteTimes) slowest(request Request) time.Duration {
	firstByteTimes.mutex.Lock()
	defer firstByteTimes.mutex.Unlock()
	return firstByteTimes.times[kindKey{service: request.Service, kind: request.Kind.Name}]
}
