package bodymemory_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example/entry/bodymemory"
	"oleandervane.example/timer"
)

const capacity = 2 << 20

// Each of 32 callers returns at the time that it was told, and its body is held for a second. Guards against callers that are refused
// again when they return, and against bodies that exceed the budget.
func TestRefusedCallersFindRoomWhenTheyReturn(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	budget := bodymemory.New(manual, capacity)
	served, refusals := 0, 0
	var send func()
	send = func() {
		buffer := budget.Acquire(capacity / 2)
		if buffer == nil {
			refusals++
			delay, fits := budget.RetryAfter(capacity / 2)
			assert.Assert(t, fits)
			manual.After(delay, func(time.Time) { send() })
			return
		}
		served++
		assert.Assert(t, budget.Used() <= capacity)
		manual.After(time.Second, func(time.Time) { buffer.Release() })
	}
	for range 32 {
		send()
	}
	manual.Advance(100 * time.Second)
	assert.Equal(t, served, 32)
	assert.Equal(t, refusals, 31)
	_, fits := budget.RetryAfter(capacity + 1)
	assert.Assert(t, !fits)
}

// Guards against large bodies that displace all small ones.
func TestSmallBodiesFitBesideLargeOnes(t *testing.T) {
	budget := bodymemory.New(timer.System{}, capacity)
	large := budget.Acquire(budget.MaxBodyBytes())
	assert.Assert(t, large != nil && budget.Acquire(bodymemory.SmallBytes+1) == nil)
	small := budget.Acquire(1000)
	assert.Assert(t, small != nil)
	small.Release()
	assert.Equal(t, budget.Used(), budget.MaxBodyBytes())
	large.Release()
	assert.Assert(t, budget.Acquire(budget.MaxBodyBytes()) != nil, "the memory is not freed")
}

// Guards against a body of unknown length that is not read exactly, and against one that was cut off and looks complete.
func TestReadAll(t *testing.T) {
	const limit = 1600 << 10
	budget := bodymemory.New(timer.System{}, 32*capacity)
	for _, size := range []int{0, 1, 4095, 4096, 4097, 64 << 10, 64<<10 + 1, 1 << 20, 1<<20 + 1, limit} {
		sent := bytes.Repeat([]byte("0123456789abc"), size/13+1)[:size]
		buffer, body, err := budget.ReadAll(iotest.HalfReader(bytes.NewReader(sent)), limit)
		assert.NilError(t, err, "%d", size)
		assert.Assert(t, bytes.Equal(body, sent), "%d", size)
		buffer.Release()
		_, _, err = budget.ReadAll(io.MultiReader(bytes.NewReader(sent), iotest.ErrReader(io.ErrUnexpectedEOF)), limit)
		assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%d: %v", size, err)
	}
	_, _, err := bodymemory.New(timer.System{}, capacity/2).ReadAll(bytes.NewReader(make([]byte, limit)), limit)
	assert.ErrorIs(t, err, bodymemory.ErrNoRoom)
}
