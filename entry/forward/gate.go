package forward

import (
	"errors"
	"net"
	"sync/atomic"

	"oleandervane.example/responsehead"
)

// The states of a gate.
const (
	gateIdle int32 = iota
	gateArmed
	gateChecking
	gateWritten
	gateSealed
)

var (
	errSealed      = errors.New("the attempt has ended and may not write any more")
	errUnsolicited = errors.New("the peer sent bytes before the request was written")
)

// gate is a connection that tracks whether any byte of the current attempt was passed to the operating system. Its
// state changes by compare-and-swap: once seal has found that nothing was written, nothing can be written any more.
// This proof does not depend on the behaviour of net/http after an error: httptrace's WroteRequest reports a failed
// flush whether or not a part of it was sent.
type gate struct {
	net.Conn
	state       atomic.Int32
	beforeWrite atomic.Pointer[func() error]
	refusal     atomic.Pointer[error]
	// idleBreak is called when the peer closes or resets the connection while no attempt uses it.
	idleBreak atomic.Pointer[func()]
	// begins is set when the first byte of a request is about to be written. Only Read uses checker. invalid is set when the response
	// has an invalid head or came before the request.
	begins  atomic.Bool
	checker responsehead.Checker
	invalid atomic.Bool
	// encrypted says that Conn encrypts: it may have sent a part of a record when it reports that nothing was written.
	encrypted bool
}

// arm starts an attempt. beforeWrite is called immediately before its first byte is written.
func (gate *gate) arm(beforeWrite func() error) {
	gate.beforeWrite.Store(&beforeWrite)
	gate.state.CompareAndSwap(gateIdle, gateArmed)
}

// markIdle ends an attempt whose response was read completely; the connection may be used for another one.
func (gate *gate) markIdle() {
	gate.state.CompareAndSwap(gateWritten, gateIdle)
}

// seal ends an attempt that failed and reports whether a byte may have been written.
func (gate *gate) seal() (written bool) {
	for {
		state := gate.state.Load()
		if state == gateWritten {
			return true
		}
		if gate.state.CompareAndSwap(state, gateSealed) {
			return false
		}
	}
}

// Write writes the first byte only while the attempt is armed and if beforeWrite returns no error.
func (gate *gate) Write(buffer []byte) (int, error) {
	if gate.state.CompareAndSwap(gateArmed, gateChecking) {
		return gate.writeFirst(buffer)
	}
	if gate.state.Load() != gateWritten {
		return 0, errSealed
	}
	return gate.Conn.Write(buffer)
}

func (gate *gate) writeFirst(buffer []byte) (int, error) {
	// The function refers to the request, whose body must not outlive it while the connection is idle.
	beforeWrite := gate.beforeWrite.Swap(nil)
	if err := (*beforeWrite)(); err != nil {
		gate.refusal.Store(&err)
		gate.state.CompareAndSwap(gateChecking, gateSealed)
		return 0, err
	}
	gate.begins.Store(true)
	if !gate.state.CompareAndSwap(gateChecking, gateWritten) {
		return 0, errSealed
	}
	count, err := gate.Conn.Write(buffer)
	if count == 0 && err != nil && !gate.encrypted {
		// The operating system accepted nothing, for example after a reset by the peer.
		gate.state.CompareAndSwap(gateWritten, gateSealed)
	}
	return count, err
}

// Read fails when bytes arrive while no request has been written, such as the delayed rest of an earlier response, and at a response
// with an invalid head.
func (gate *gate) Read(buffer []byte) (int, error) {
	count, err := gate.Conn.Read(buffer)
	// Reads of a connection that this VM closed fail with net.ErrClosed.
	if count == 0 && err != nil && gate.state.Load() == gateIdle && !errors.Is(err, net.ErrClosed) {
		if idleBreak := gate.idleBreak.Load(); idleBreak != nil {
			(*idleBreak)()
		}
	}
	if count > 0 && gate.state.Load() != gateWritten {
		gate.invalid.Store(true)
		return 0, errUnsolicited
	}
	if count > 0 {
		if gate.begins.CompareAndSwap(true, false) {
			gate.checker.Begin()
		}
		if err := gate.checker.Check(buffer[:count]); err != nil {
			gate.invalid.Store(true)
			return 0, err
		}
	}
	return count, err
}

// refused returns the error with which beforeWrite refused the attempt, or nil.
func (gate *gate) refused() error {
	if refusal := gate.refusal.Load(); refusal != nil {
		return *refusal
	}
	return nil
}
