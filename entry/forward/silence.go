package forward

import (
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"oleandervane.example"
)

const (
	// DefaultIdleTimeout closes idle connections early. Opening a connection takes 1 ms, so little is lost, while each
	// second of idleness is a chance to go silent unnoticed.
	DefaultIdleTimeout = 2 * time.Second
	// MaxSilenceTimeout is the longest time for which a request waits for the first byte on a reused connection.
	MaxSilenceTimeout = 2 * time.Second
	// minSilenceTimeout prevents a brief delay from being treated as silence for kinds with a very short deadline.
	minSilenceTimeout = 50 * time.Millisecond
	// silenceDivisor divides a kind's deadline into the part that may be spent on a silent connection: after a quarter,
	// there is time for a complete attempt elsewhere.
	silenceDivisor = 4
	// silenceMargin is how many times the slowest recent first-byte time the timeout must be. Slower kinds use new
	// connections only, because on a reused one a slow response could not be distinguished from silence.
	silenceMargin = 3
	// firstByteDecay is the factor by which the slowest known time decreases with each newer one.
	firstByteDecay = 0.99
	// meanWeight is the weight of the newest time in the mean.
	meanWeight = 0.1
)

// errConnectTimeout means that no connection was opened within the connect timeout. A host that has vanished does not
// refuse the connection, so that without this limit the attempt would take until the deadline.
var errConnectTimeout = errors.New("the connection could not be opened in time")

func silenceTimeout(kind oleandervane.Kind) time.Duration {
	return min(max(kind.Deadline/silenceDivisor, minSilenceTimeout), MaxSilenceTimeout)
}

func (attempt *attempt) silenceTimeout() time.Duration {
	return silenceTimeout(attempt.request.Kind)
}

// connectTimeout is how long the opening of a connection may take.
func (attempt *attempt) connectTimeout() time.Duration {
	if limit := attempt.forwarder.settings.ConnectTimeout; limit > 0 {
		return limit
	}
	return attempt.silenceTimeout()
}

// needsNewConnection reports whether the attempt must open a connection. A non-idempotent request always does: on a
// pooled connection that went silent or was closed by the peer, its outcome would be unknown, although a new connection
// could have served it. On a pooled connection, the response to a request without an id could not be told from the rest of an earlier
// exchange.
func (attempt *attempt) needsNewConnection() bool {
	if !attempt.request.Kind.Idempotent || !attempt.hasID() {
		return true
	}
	if attempt.forwarder.settings.TrustReusedConnections {
		return false
	}
	slowest := attempt.forwarder.firstBytes.of(attempt.request.Service, attempt.request.Kind.Name).slowest
	return silenceMargin*slowest > attempt.silenceTimeout()
}

// hasID reports whether the target can echo the id of the attempt. Some dialects send only an id of the caller.
func (attempt *attempt) hasID() bool {
	if attempt.request.ID != "" {
		return true
	}
	echoed := attempt.dialect().ReadResponse(http.StatusOK, attempt.header()).EchoedIDs
	return slices.Contains(echoed, attempt.id)
}

// firstByteTimes stores for each kind the times from the start of an attempt until the beginning of its response was read.
type firstByteTimes struct {
	mutex sync.Mutex
	times map[kindKey]firstByteTime
}

// firstByteTime has the slowest recent time, with decay, and the mean, in which recent times weigh most.
type firstByteTime struct {
	slowest, mean time.Duration
}

type kindKey struct {
	service oleandervane.ServiceName
	kind    oleandervane.KindName
}

func (firstByteTimes *firstByteTimes) record(request Request, took time.Duration) {
	key := kindKey{service: request.Service, kind: request.Kind.Name}
	firstByteTimes.mutex.Lock()
	defer firstByteTimes.mutex.Unlock()
	known, found := firstByteTimes.times[key]
	if !found {
		known.mean = took
	}
	firstByteTimes.times[key] = firstByteTime{
		slowest: max(took, time.Duration(float64(known.slowest)*firstByteDecay)),
		mean:    known.mean + time.Duration(meanWeight*float64(took-known.mean)),
	}
}

func (firstByteTimes *firstByteTimes) of(service oleandervane.ServiceName, kind oleandervane.KindName) firstByteTime {
	firstByteTimes.mutex.Lock()
	defer firstByteTimes.mutex.Unlock()
	return firstByteTimes.times[kindKey{service: service, kind: kind}]
}
