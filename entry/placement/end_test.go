package placement

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/timer"
)

// refusingProber finds that servers refuse connections until a time.
type refusingProber struct {
	manual *timer.Manual
	until  time.Time
}

func (refusingProber refusingProber) ProbeConnection(netip.AddrPort) oleandervane.ConnectionState {
	if refusingProber.manual.Now().Before(refusingProber.until) {
		return oleandervane.ConnectionRefused
	}
	return oleandervane.ConnectionAccepted
}

// A server stays away for longer than it would be cold while the store is away, and the VMs that try cold servers have no requests for
// it. Guards against all VMs taking it for warm when it returns, and against none trying it.
func TestServerThatStaysAwayIsColdWhenItReturns(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	away := refusingProber{manual: manual, until: manual.Now().Add(2 * slowStartTime)}
	placers := fleet(manual, 16)
	server := func(placer *Placer) *server { return placer.view.Load().services["ledger"][0] }
	for i, placer := range placers {
		placer.settings.Prober = away
		placer.Update(registryOf(registered("away", "kigali-a")))
		if !server(placer).warmUpAssigned() {
			placers[0], placers[i] = placers[i], placers[0]
		}
	}
	answer := func(placer *Placer) { placer.answeredAt.Store(manual.Now().UnixNano()) }
	answer(placers[0])
	placers[0].findEnd(server(placers[0]))
	back := 0
	for manual.Now().Before(away.until.Add(slowStartTime)) {
		sent := 0
		for _, placer := range placers {
			answer(placer)
			for _, other := range placers {
				other.MergeServerEnds(placer.ServerEnds())
			}
			if reservation, err := placer.Chooser(requestFor("x")).Choose(nil); err == nil {
				sent++
				reservation.Release(oleandervane.AttemptAnswered)
			}
		}
		assert.Assert(t, sent <= coldVMs, "%d VMs sent to the server at %v", sent, manual.Now())
		assert.Assert(t, sent == 0 || !manual.Now().Before(away.until), "a request was sent to the server while it was away")
		if manual.Now().Before(away.until.Add(time.Second)) {
			back += sent
		}
		manual.Advance(100 * time.Millisecond)
	}
	assert.Assert(t, back > 0, "nobody tried the server within a second of its return")
}

// portProber finds that only one port accepts connections.
type portProber uint16

func (portProber portProber) ProbeConnection(address netip.AddrPort) oleandervane.ConnectionState {
	if address.Port() == uint16(portProber) {
		return oleandervane.ConnectionAccepted
	}
	return oleandervane.ConnectionRefused
}

// Guards against a VM that is cut off from all servers and has the others take them for cold, and against one with few requests that
// does not tell the others of a server that stays away.
func TestOnlyAVMThatReachesServersTellsEnds(t *testing.T) {
	for port, told := range map[portProber]int{3: 0, 2: 1} {
		manual := timer.NewManual(time.Unix(1000, 0))
		placer := fleet(manual, 1)[0]
		placer.settings.Prober = port
		other := registered("b", "kigali-a")
		other.Address = netip.MustParseAddrPort("127.0.0.1:2")
		placer.Update(registryOf(registered("a", "kigali-a"), other))
		ended := slices.IndexFunc(placer.view.Load().services["ledger"], func(server *server) bool { return server.ID == "a" })
		placer.findEnd(placer.view.Load().services["ledger"][ended])
		assert.Equal(t, len(placer.ServerEnds()), 0)
		manual.Advance(2 * probePeriod)
		assert.Equal(t, len(placer.ServerEnds()), told)
	}
}
