package account

import (
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"oleandervane.example/timer"
)

// Guards against a flood in which cheap, patient or working callers lose their connections before the expensive and slow ones.
func TestExpensiveAndSlowConnectionsGoFirst(t *testing.T) {
	text, err := os.ReadFile("testdata/floods.toml")
	assert.NilError(t, err)
	var table struct {
		Cases []struct {
			Name, First string
			Connections []struct {
				Name    string
				Address netip.Addr
				KiB     int64
				Stalled float64
				Idle    bool
				Times   int
			}
		} `toml:"case"`
	}
	assert.NilError(t, toml.Unmarshal(text, &table))
	for _, floodCase := range table.Cases {
		t.Run(floodCase.Name, func(t *testing.T) {
			var candidates []Candidate
			names := []string{}
			for _, connection := range floodCase.Connections {
				for range max(1, connection.Times) {
					names = append(names, connection.Name)
					candidates = append(candidates, Candidate{
						Address: connection.Address, Bytes: connection.KiB << 10, Idle: connection.Idle,
						Stalled: time.Duration(connection.Stalled * float64(time.Second)),
					})
				}
			}
			first := ""
			if chosen := Choose(candidates, 1); len(chosen) > 0 {
				first = names[chosen[0]]
			}
			assert.Equal(t, first, floodCase.First)
		})
	}
}

type recorder struct {
	refused []Cause
	closed  []netip.Addr
}

func (recorder *recorder) Refused(_ Listener, _ netip.Addr, cause Cause) {
	recorder.refused = append(recorder.refused, cause)
}

func (recorder *recorder) Closed(closed Closed, _ Cause) {
	recorder.closed = append(recorder.closed, closed.Address)
}

// Guards against a flood at one listener that takes what another one or a later caller needs, and against connections that take
// descriptors or memory after their end.
func TestFloodLeavesRoomForOthers(t *testing.T) {
	manual, recorder := timer.NewManual(time.Unix(1000, 0)), &recorder{}
	limits := NewLimits(136<<20, 600)
	account := New(limits, manual, recorder)
	flooder, ordinary := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	var flood []*Connection
	closed := 0
	for range limits.Connections[CallerListener] {
		connection := account.Open(CallerListener, flooder, func() { closed++ })
		connection.AddHeader(50, 2)
		flood = append(flood, connection)
	}
	assert.Assert(t, account.Open(CallerListener, flooder, func() {}) == nil, "a connection beyond the limit while none is slow")
	assert.DeepEqual(t, recorder.refused, []Cause{CauseDescriptors})
	assert.Assert(t, account.Open(ReadinessListener, ordinary, func() {}) != nil)
	manual.Advance(time.Second)
	kept := account.Open(CallerListener, ordinary, func() { t.Error("the ordinary caller lost its connection") })
	assert.Assert(t, kept != nil)
	kept.BeginRequest()
	assert.Assert(t, closed > 0 && !slices.Contains(recorder.closed, ordinary))
	assert.Assert(t, account.Usage(CallerListener).Connections <= limits.Connections[CallerListener])
	for _, connection := range flood {
		connection.End()
		connection.End()
	}
	kept.EndRequest()
	kept.End()
	assert.Equal(t, account.Usage(CallerListener), Usage{})
}

// Guards against header fields, responses and requests ahead that take the memory of ordinary requests, and against a body that takes
// the memory of connections.
func TestMemoryIsLeftForOrdinaryRequests(t *testing.T) {
	limits := NewLimits(136<<20, 2870)
	account := New(limits, timer.NewManual(time.Unix(1000, 0)), &recorder{})
	for fits := true; fits; {
		_, fits = account.Open(CallerListener, netip.Addr{}, func() {}).AddHeader(16<<10, 3200)
	}
	reserved := 0
	for account.ReserveResponse(256<<10) != nil {
		reserved++
	}
	assert.Assert(t, reserved < int(limits.ResponseBytes>>17))
	assert.Assert(t, account.BeginAhead() == nil)
	assert.Assert(t, account.Open(CallerListener, netip.Addr{}, func() {}) != nil)
	end := account.BeginRequest()
	assert.Assert(t, end != nil)
	end()
	room := int64((1-noBodyShare)*float64(limits.TotalBytes)) - account.Usage(CallerListener).Bytes
	assert.Assert(t, !account.ChargeBody(room+1))
	assert.Assert(t, account.ChargeBody(room))
	for opened := true; opened; {
		opened = account.Open(CallerListener, netip.Addr{}, func() {}) != nil
	}
	left := limits.TotalBytes - room - account.Usage(CallerListener).Bytes
	assert.Assert(t, left >= 0 && left < ConnectionBytes)
}

// Guards against a deadlock of the account when a connection ends while its header is read and another one is opened.
func TestEndOfAConnectionBlocksNothing(t *testing.T) {
	account := New(NewLimits(136<<20, 2870), timer.NewManual(time.Unix(1000, 0)), nil)
	connection := account.Open(CallerListener, netip.Addr{}, func() {})
	connection.BeginRequest()
	connection.ended, connection.size = true, headerStepBytes
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100_000 {
			connection.AddHeader(0, 0)
		}
	}()
	deadline := time.After(20 * time.Second)
	for now := time.Unix(1000, 0); ; now = now.Add(searchPause) {
		searched := make(chan struct{})
		go func() {
			account.mutex.Lock()
			defer account.mutex.Unlock()
			account.victims(CallerListener, now)
			close(searched)
		}()
		select {
		case <-done:
			return
		case <-deadline:
			t.Fatal("the account is locked")
		case <-searched:
		}
	}
}

// Guards against bodies that leave no room for requests without a body at the smallest VM, and against a largest body that does not fit.
func TestBodiesLeaveRoomForRequests(t *testing.T) {
	account := New(NewLimits(136<<20, 2870), timer.NewManual(time.Unix(1000, 0)), &recorder{})
	for range 400 {
		assert.Assert(t, account.Open(CallerListener, netip.Addr{}, func() {}) != nil)
	}
	assert.Assert(t, account.ChargeBody(64<<20))
	for fits := true; fits; {
		fits = account.ChargeBody(64 << 10)
	}
	for range 32 {
		assert.Assert(t, account.BeginRequest() != nil)
	}
}
