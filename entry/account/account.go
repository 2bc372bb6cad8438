package account

import (
	"net/netip"
	"sync"
	"time"

	"oleandervane.example"
)

// Listener is one of the addresses of a VM that untrusted callers reach. Each has limits of its own, so that a flood at one leaves the
// others free.
type Listener int

// The listeners.
const (
	CallerListener Listener = iota
	DirectoryListener
	ReadinessListener
	listenerCount
)

// String returns the name of the listener in logs and metrics.
func (listener Listener) String() string {
	return [listenerCount]string{"caller", "directory", "readiness"}[listener]
}

// Cause says which limit a decision keeps.
type Cause string

// The causes.
const (
	CauseDescriptors Cause = "descriptors"
	CauseMemory      Cause = "memory"
	CauseRequests    Cause = "requests"
	CauseHeaderBytes Cause = "header_bytes"
)

const (
	// ConnectionBytes is the memory of a connection: buffers of the server, of the pipeline and stacks of goroutines.
	ConnectionBytes = 24 << 10
	// RequestBytes is the memory of a request that is served, with its connection to a backend server and a buffer of 32 KiB.
	RequestBytes = 64 << 10
	// minStall is how long a connection must have waited for its caller before it may be closed for another one. A round trip to a
	// caller takes up to 16 ms.
	minStall = 250 * time.Millisecond
	// searchPause is the time without another search after one that found no connection to close.
	searchPause = 50 * time.Millisecond
	// maxVictimShare bounds the connections that one search closes. Closing several makes searches rare in a flood.
	maxVictimShare = 1.0 / 32
	// ordinaryShare is the part of the memory up to which large headers are accepted. The rest is left for ordinary requests.
	ordinaryShare = 0.8
	// noBodyShare is the part of the total that bodies leave for requests without one. It holds 40 requests at a VM of 136 MB, where a
	// body of 64 MiB still fits beside 400 connections and 90 requests.
	noBodyShare = 1.0 / 32
	// aheadShare is the part of the limits up to which requests are started ahead of their turn.
	aheadShare = 0.5
)

// Observer is notified of decisions, after they were made.
type Observer interface {
	// Refused reports a connection or request that was not accepted.
	Refused(listener Listener, address netip.Addr, cause Cause)
	// Closed reports a connection that was closed because others need what it takes.
	Closed(closed Closed, cause Cause)
}

// Closed describes a connection that was closed.
type Closed struct {
	Listener Listener
	Address  netip.Addr
	Bytes    int64
	Stalled  time.Duration
}

// Account bounds what untrusted callers take. All methods are safe for concurrent use.
type Account struct {
	limits       Limits
	timerService oleandervane.TimerService
	observer     Observer

	mutex sync.Mutex
	pools [listenerCount]pool
	// bodyBytes are the bytes of request bodies, responseBytes those of buffered responses, requests the requests that are served.
	bodyBytes, responseBytes int64
	requests                 int
}

// pool is what the connections of a listener take.
type pool struct {
	connections map[*Connection]struct{}
	bytes       int64
	// searchAfter is when the next search for connections to close may begin.
	searchAfter time.Time
}

// New returns an account.
func New(limits Limits, timerService oleandervane.TimerService, observer Observer) *Account {
	account := &Account{limits: limits, timerService: timerService, observer: observer}
	for listener := range account.pools {
		account.pools[listener].connections = map[*Connection]struct{}{}
	}
	return account
}

// Open accounts for a new connection, or returns nil if it must be refused. Others that are slower and take more are closed for it by
// calling the functions that they were opened with.
func (account *Account) Open(listener Listener, address netip.Addr, closeConnection func()) *Connection {
	now := account.timerService.Now()
	connection := &Connection{account: account, listener: listener, address: address, close: closeConnection, bytes: ConnectionBytes, blockedAt: now}
	account.mutex.Lock()
	cause := account.exceeded(listener)
	var victims []*Connection
	if cause != "" {
		victims = account.victims(listener, now)
	}
	opened := cause == "" || cause == CauseDescriptors && len(victims) > 0
	if opened {
		pool := &account.pools[listener]
		pool.connections[connection] = struct{}{}
		pool.bytes += ConnectionBytes
	}
	account.mutex.Unlock()
	account.closeAll(victims, cause, now)
	if !opened {
		account.observer.Refused(listener, address, cause)
		return nil
	}
	return connection
}

// exceeded returns the limit that another connection would exceed, or an empty cause. The caller must hold the mutex.
func (account *Account) exceeded(listener Listener) Cause {
	switch {
	case len(account.pools[listener].connections) >= account.limits.Connections[listener]:
		return CauseDescriptors
	case !account.fits(listener, ConnectionBytes, 1):
		return CauseMemory
	}
	return ""
}

// fits reports whether the listener may take more bytes, up to a share of its limit. The caller must hold the mutex.
func (account *Account) fits(listener Listener, bytes int64, share float64) bool {
	limit := account.limits.Bytes[listener]
	if listener == CallerListener {
		limit = min(limit, account.limits.TotalBytes-account.bodyBytes)
	}
	return account.pools[listener].bytes+bytes <= int64(share*float64(limit))
}

// charge accounts for bytes of a listener, or closes connections and returns false.
func (account *Account) charge(listener Listener, bytes int64, share float64) bool {
	now := account.timerService.Now()
	account.mutex.Lock()
	fits := account.fits(listener, bytes, share)
	var victims []*Connection
	if fits {
		account.pools[listener].bytes += bytes
	} else {
		victims = account.victims(listener, now)
	}
	account.mutex.Unlock()
	account.closeAll(victims, CauseMemory, now)
	return fits
}

func (account *Account) release(listener Listener, bytes int64) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.pools[listener].bytes -= bytes
}

// victims removes the connections that are to be closed from the descriptors of the listener. Their bytes are released when they have
// ended. The caller must hold the mutex.
func (account *Account) victims(listener Listener, now time.Time) []*Connection {
	pool := &account.pools[listener]
	if now.Before(pool.searchAfter) {
		return nil
	}
	candidates := make([]Candidate, 0, len(pool.connections))
	connections := make([]*Connection, 0, len(pool.connections))
	for connection := range pool.connections {
		candidates = append(candidates, connection.candidate(now))
		connections = append(connections, connection)
	}
	chosen := Choose(candidates, max(1, int(maxVictimShare*float64(len(candidates)))))
	if len(chosen) == 0 {
		pool.searchAfter = now.Add(searchPause)
	}
	victims := make([]*Connection, 0, len(chosen))
	for _, number := range chosen {
		delete(pool.connections, connections[number])
		victims = append(victims, connections[number])
	}
	return victims
}

func (account *Account) closeAll(victims []*Connection, cause Cause, now time.Time) {
	for _, victim := range victims {
		candidate := victim.candidate(now)
		account.observer.Closed(Closed{Listener: victim.listener, Address: victim.address, Bytes: candidate.Bytes, Stalled: candidate.Stalled}, cause)
		victim.close()
	}
}

// BeginRequest accounts for a request that is about to be served. It returns nil if the request must be refused.
func (account *Account) BeginRequest() (end func()) {
	now := account.timerService.Now()
	account.mutex.Lock()
	cause := Cause("")
	switch {
	case account.requests >= account.limits.Requests:
		cause = CauseRequests
	case !account.fits(CallerListener, RequestBytes, 1):
		cause = CauseMemory
	}
	var victims []*Connection
	if cause == "" {
		account.requests++
		account.pools[CallerListener].bytes += RequestBytes
	} else {
		victims = account.victims(CallerListener, now)
	}
	account.mutex.Unlock()
	account.closeAll(victims, cause, now)
	if cause != "" {
		account.observer.Refused(CallerListener, netip.Addr{}, cause)
		return nil
	}
	return account.endRequest
}

func (account *Account) endRequest() {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.requests--
	account.pools[CallerListener].bytes -= RequestBytes
}

// BeginAhead accounts for the response of a request that starts ahead of its turn, until it is sent. It returns nil if the request must
// wait for its turn: such requests get only what others leave.
func (account *Account) BeginAhead() (end func()) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if account.requests >= int(aheadShare*float64(account.limits.Requests)) || !account.fits(CallerListener, RequestBytes, aheadShare) {
		return nil
	}
	account.pools[CallerListener].bytes += RequestBytes
	return func() { account.release(CallerListener, RequestBytes) }
}

// ReserveResponse accounts for bytes of a response that are buffered. It returns nil if there is no room; the response is then passed on
// in smaller parts.
func (account *Account) ReserveResponse(bytes int64) (release func()) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if account.responseBytes+bytes > account.limits.ResponseBytes {
		return nil
	}
	account.responseBytes += bytes
	return func() {
		account.mutex.Lock()
		defer account.mutex.Unlock()
		account.responseBytes -= bytes
	}
}

// ChargeBody accounts for bytes of a request body and reports whether there is room for them. Some room is left for other requests, which
// would be refused until a body is released.
func (account *Account) ChargeBody(bytes int64) bool {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if account.bodyBytes+account.pools[CallerListener].bytes+bytes > int64((1-noBodyShare)*float64(account.limits.TotalBytes)) {
		return false
	}
	account.bodyBytes += bytes
	return true
}

// ReleaseBody ends the account of bytes of a body.
func (account *Account) ReleaseBody(bytes int64) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.bodyBytes -= bytes
}

// Usage is what a listener takes.
type Usage struct {
	Connections int
	Bytes       int64
}

// Usage returns what the connections and requests of a listener take, without bodies.
func (account *Account) Usage(listener Listener) Usage {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	pool := account.pools[listener]
	return Usage{Connections: len(pool.connections), Bytes: pool.bytes}
}
