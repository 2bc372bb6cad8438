package account

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// includedHeaderBytes and includedFields are the size of a header up to which it is accounted for with its connection.
	includedHeaderBytes = 2 << 10
	includedFields      = 40
	// fieldBytes is the memory of a header field in addition to its bytes. A header of 2,200 short fields with different names took
	// 111 bytes for each; a copy is passed on.
	fieldBytes = 160
	// headerStepBytes is the least memory of a header that is charged at once.
	headerStepBytes = 16 << 10
	// progressBytes is how much a caller must send or read to have made progress.
	progressBytes = 4 << 10
)

// Connection is the account of one connection.
type Connection struct {
	account  *Account
	listener Listener
	address  netip.Addr
	close    func()

	mutex sync.Mutex
	ended bool
	// bytes are charged to the account, headerBytes of them for the header of the current request.
	bytes, headerBytes int64
	// size and fields are those of the header that is being read.
	size, fields int64
	// serving is set from the end of a request's header until its response is complete.
	serving bool
	// served is set after the first request.
	served bool
	// blockedAt is when the VM began to wait for the caller; zero while it does not. blockedFor is the time of earlier waits since the
	// last progress, moved what the caller sent or read since then.
	blockedAt  time.Time
	blockedFor time.Duration
	moved      int
}

// candidate returns the connection as it is compared with others.
func (connection *Connection) candidate(now time.Time) Candidate {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	candidate := Candidate{Address: connection.address, Bytes: connection.bytes, Stalled: connection.blockedFor}
	if !connection.blockedAt.IsZero() {
		candidate.Stalled += now.Sub(connection.blockedAt)
	} else if connection.serving {
		candidate.Stalled = 0
	}
	candidate.Idle = connection.served && !connection.serving && connection.size == 0
	return candidate
}

// Block says that the VM begins to wait for the caller.
func (connection *Connection) Block() {
	now := connection.account.timerService.Now()
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.blockedAt = now
}

// Unblock says that the wait has ended and the caller has sent or read a number of bytes.
func (connection *Connection) Unblock(bytes int) {
	now := connection.account.timerService.Now()
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if !connection.blockedAt.IsZero() {
		connection.blockedFor += now.Sub(connection.blockedAt)
	}
	connection.blockedAt = time.Time{}
	connection.moved += bytes
	if connection.moved >= progressBytes {
		connection.blockedFor, connection.moved = 0, 0
	}
}

// AddHeader accounts for bytes and fields of a header, before they are parsed. It returns the size of the header so far, and whether
// there is room for it.
func (connection *Connection) AddHeader(bytes, fields int64) (size int64, fits bool) {
	connection.mutex.Lock()
	connection.size += bytes
	connection.fields += fields
	size = connection.size
	needed := 2*max(0, connection.size-includedHeaderBytes) + fieldBytes*max(0, connection.fields-includedFields)
	step := int64(0)
	if needed > connection.headerBytes {
		step = max(needed-connection.headerBytes, headerStepBytes)
	}
	connection.mutex.Unlock()
	if step == 0 {
		return size, true
	}
	if !connection.account.charge(connection.listener, step, ordinaryShare) {
		connection.account.observer.Refused(connection.listener, connection.address, CauseMemory)
		return size, false
	}
	if !connection.addHeaderBytes(step) {
		connection.account.release(connection.listener, step)
		return size, false
	}
	return size, true
}

// addHeaderBytes adds bytes that are charged, unless the connection has ended. The mutex of the account is locked before that of a
// connection, so that bytes are not released here.
func (connection *Connection) addHeaderBytes(bytes int64) (added bool) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.ended {
		return false
	}
	connection.headerBytes += bytes
	connection.bytes += bytes
	return true
}

// RefuseHeader reports a header that is too large.
func (connection *Connection) RefuseHeader() {
	connection.account.observer.Refused(connection.listener, connection.address, CauseHeaderBytes)
}

// BeginRequest says that the header of a request is complete, which ends a wait for the caller.
func (connection *Connection) BeginRequest() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.serving, connection.served = true, true
	connection.blockedAt, connection.blockedFor, connection.moved = time.Time{}, 0, 0
}

// EndRequest says that a response is complete and the connection is idle.
func (connection *Connection) EndRequest() {
	connection.mutex.Lock()
	released := connection.headerBytes
	connection.bytes -= released
	connection.headerBytes, connection.size, connection.fields = 0, 0, 0
	connection.serving = false
	connection.blockedFor, connection.moved = 0, 0
	connection.mutex.Unlock()
	if released > 0 {
		connection.account.release(connection.listener, released)
	}
}

// Phase reports whether a request is served, and otherwise whether a header has begun.
func (connection *Connection) Phase() (serving, begun bool) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.serving, connection.size > 0
}

// End ends the account of the connection. Later calls have no effect.
func (connection *Connection) End() {
	connection.mutex.Lock()
	released := connection.bytes
	ended := connection.ended
	connection.ended, connection.bytes, connection.headerBytes = true, 0, 0
	connection.mutex.Unlock()
	if ended {
		return
	}
	account := connection.account
	account.mutex.Lock()
	defer account.mutex.Unlock()
	pool := &account.pools[connection.listener]
	delete(pool.connections, connection)
	pool.bytes -= released
}
