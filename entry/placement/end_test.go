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

// statedHealth answers health checks and counts them.
type statedHealth struct {
	oleandervane.HealthState
	checks int
}

func (stated *statedHealth) ProbeHealth(oleandervane.BackendServer, string) oleandervane.HealthState {
	stated.checks++
	return stated.HealthState
}

// Connections of a server break at several VMs. Guards against a run that has ended and gets requests from VMs that were told of it or
// found it, against a check by each of them, and against a server that stays cold although its run goes on.
func TestBrokenConnectionsAreChecked(t *testing.T) {
	accepted := oleandervane.HealthState{Connection: oleandervane.ConnectionAccepted}
	restarted, warm := accepted, accepted
	restarted.ColdLeft, warm.Stated = slowStartTime, true
	for _, testCase := range []struct {
		name      string
		health    oleandervane.HealthState
		idle      bool
		breaks    int
		maxChecks int
		cold      bool
	}{
		{"a new run", restarted, true, 1, coldVMs, true},
		{"the same run", warm, true, 2, 16, false},
		{"refused", oleandervane.HealthState{Connection: oleandervane.ConnectionRefused}, true, 1, coldVMs, true},
		{"no answer, several connections", oleandervane.HealthState{}, true, 2, 16, true},
		{"no answer, one connection", oleandervane.HealthState{}, true, 1, 16, false},
		{"under a request", restarted, false, 1, 0, false},
		{"under two requests", restarted, false, 2, coldVMs, true},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			manual, health := timer.NewManual(time.Unix(1000, 0)), &statedHealth{HealthState: testCase.health}
			placers := fleet(manual, 16)
			registry := registryOf(registered("a", "kigali-a"), elsewhere("b", 2), elsewhere("c", 3), elsewhere("d", 4))
			service := registry.Table.Services["ledger"]
			service.HealthPath = "/healthz"
			registry.Table.Services["ledger"] = service
			for _, placer := range placers {
				placer.settings.HealthProber, placer.settings.Prober = health, portProber(2)
				placer.Update(registry)
				placer.answeredAt.Store(manual.Now().UnixNano())
				for range testCase.breaks {
					placer.ObserveBreak(registered("a", "").Address, testCase.idle)
				}
			}
			for range 10 {
				manual.Advance(50 * time.Millisecond)
				for _, placer := range placers {
					for _, other := range placers {
						other.MergeServerEnds(placer.ServerEnds())
					}
				}
			}
			assert.Check(t, health.checks <= testCase.maxChecks, "%d checks", health.checks)
			cold := 0
			for _, placer := range placers {
				server := placer.view.Load().byAddress[registered("a", "").Address]
				assert.Check(t, !server.isSuspected())
				if server.isCold(manual.Now()) {
					cold++
				}
			}
			assert.Equal(t, cold > 0, testCase.cold, "cold at %d VMs", cold)
			assert.Check(t, cold == 0 || cold == len(placers), "cold at %d VMs", cold)
		})
	}
}

func elsewhere(id oleandervane.BackendServerID, port uint16) oleandervane.RegisteredServer {
	server := registered(id, "kigali-a")
	server.Address = netip.AddrPortFrom(server.Address.Addr(), port)
	return server
}

// Guards against a VM that has just started and waits for the news of VMs whose notices do not reach it.
func TestUnsettledVMChecksAtOnce(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	health := &statedHealth{HealthState: oleandervane.HealthState{Connection: oleandervane.ConnectionAccepted, ColdLeft: slowStartTime}}
	placer := fleet(manual, 16)[0]
	placer.settings.HealthProber, placer.settings.Settled = health, func() bool { return false }
	registry := registryOf(registered("a", "kigali-a"), elsewhere("b", 2), elsewhere("c", 3), elsewhere("d", 4))
	registry.Table.Services["ledger"] = oleandervane.RoutedService{Name: "ledger", HealthPath: "/healthz", SlowStart: slowStartTime, ColdPerSecond: coldPerSecond}
	placer.Update(registry)
	placer.ObserveBreak(registered("a", "").Address, true)
	manual.Advance(time.Millisecond)
	assert.Equal(t, health.checks, 1)
	assert.Equal(t, len(placer.ServerEnds()), 1)
}
