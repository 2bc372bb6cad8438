package placement

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
	"oleandervane.example/timer"
)

type members struct {
	self oleandervane.EntryVM
	vms  []oleandervane.EntryVM
}

func (members members) EntryVMs() []oleandervane.EntryVM { return members.vms }
func (members members) Self() oleandervane.EntryVM       { return members.self }

// fleet is VMs that know the same servers.
func fleet(manual *timer.Manual, count int) []*Placer {
	var vms []oleandervane.EntryVM
	for i := range count {
		vms = append(vms, oleandervane.EntryVM{ID: oleandervane.VMID(fmt.Sprintf("vm-%d", i))})
	}
	var placers []*Placer
	for _, vm := range vms {
		placers = append(placers, NewPlacer(Settings{TimerService: manual, Membership: members{vm, vms}}))
	}
	return placers
}

const (
	coldPerSecond = 2.6
	slowStartTime = 3 * time.Second
)

func registryOf(servers ...oleandervane.RegisteredServer) oleandervane.Registry {
	registry := oleandervane.Registry{
		Table: &oleandervane.RouteTable{Services: map[oleandervane.ServiceName]oleandervane.RoutedService{
			"ledger": {Name: "ledger", SlowStart: slowStartTime, ColdPerSecond: coldPerSecond},
		}},
		BackendServers: map[oleandervane.BackendServerID]oleandervane.RegisteredServer{},
		Evacuated:      map[oleandervane.FailureDomain]bool{},
	}
	for _, server := range servers {
		registry.BackendServers[server.ID] = server
	}
	return registry
}

func registered(id oleandervane.BackendServerID, domain oleandervane.FailureDomain) oleandervane.RegisteredServer {
	return oleandervane.RegisteredServer{BackendServer: oleandervane.BackendServer{
		ID: id, Service: "ledger", Region: "kigali", FailureDomain: domain, Slots: 3, Address: netip.MustParseAddrPort("127.0.0.1:1"),
	}}
}

func need(object string) Request {
	return Request{Service: "ledger", Route: oleandervane.Route{Name: "r"}, Object: object, Home: "kigali"}
}

// Replays the return of a cold server under full load: each of 16 VMs wants to send it 20 requests a second. Guards
// against a crash of the cold server, which tolerates 1.5 times its rate and 5 requests more in any second.
func TestColdServerGetsItsRateFromAllVMsTogether(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	placers := fleet(manual, 16)
	cold := registered("cold", "kigali-a")
	cold.ColdLeft = slowStartTime
	for _, placer := range placers {
		placer.Update(registryOf(cold))
	}
	var sent []time.Time
	for range 59 {
		for _, placer := range placers {
			if reservation, err := placer.Chooser(need("x")).Choose(nil); err == nil {
				sent = append(sent, manual.Now())
				reservation.Release(oleandervane.AttemptAnswered)
			}
		}
		manual.Advance(50 * time.Millisecond)
	}
	assert.Assert(t, len(sent) >= 5, "only %d requests warmed the server", len(sent))
	for i, from := range sent {
		within := 0
		for _, at := range sent[i:] {
			if at.Sub(from) < time.Second {
				within++
			}
		}
		assert.Assert(t, float64(within) <= 1.5*coldPerSecond+5, "%d requests in one second", within)
	}
}

// Guards against servers that take full load at once after their failure domain was empty.
func TestServersAreColdAfterAnEvacuation(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	placer := fleet(manual, 1)[0]
	registry := registryOf(registered("a", "kigali-a"))
	registry.Evacuated["kigali-a"] = true
	placer.Update(registry)
	_, err := placer.Chooser(need("x")).Choose(nil)
	assert.ErrorIs(t, err, oleandervane.ErrNoBackendServer)
	placer.Update(registryOf(registered("a", "kigali-a")))
	_, err = placer.Chooser(need("x")).Choose(nil)
	assert.NilError(t, err)
	_, err = placer.Chooser(need("x")).Choose(nil)
	assert.ErrorIs(t, err, oleandervane.ErrNoBackendServer, "a cold server gets one request an interval")
	manual.Advance(slowStartTime)
	_, err = placer.Chooser(need("x")).Choose(nil)
	assert.NilError(t, err)
}

// Guards against new work for a server that leaves, and against a region that may not run the request.
func TestServersThatMayNotRunTheRequest(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	placer := fleet(manual, 1)[0]
	leaving := registered("a", "kigali-a")
	leaving.Leaving = true
	placer.Update(registryOf(leaving))
	_, err := placer.Chooser(need("x")).Choose(nil)
	assert.ErrorIs(t, err, oleandervane.ErrNoBackendServer)
	placer.Update(registryOf(registered("b", "kigali-a")))
	elsewhere := need("x")
	elsewhere.Route.AllowedRegions = []oleandervane.Region{"huye"}
	_, err = placer.Chooser(elsewhere).Choose(nil)
	assert.ErrorIs(t, err, oleandervane.ErrNoBackendServer)
	_, err = placer.Chooser(need("x")).Choose([]string{"b"})
	assert.ErrorIs(t, err, oleandervane.ErrNoBackendServer)
}

// Replays servers that crash: guards against requests that go on to a server that nobody can reach, and against a
// server that is never tried again.
func TestUnreachableServerRestsAndIsTriedAgain(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	placer := fleet(manual, 1)[0]
	placer.Update(registryOf(registered("a", "kigali-a")))
	reservation, err := placer.Chooser(need("x")).Choose(nil)
	assert.NilError(t, err)
	reservation.Release(oleandervane.AttemptUnreachable)
	_, err = placer.Chooser(need("x")).Choose(nil)
	assert.ErrorIs(t, err, oleandervane.ErrNoBackendServer)
	manual.Advance(restFirst)
	reservation, err = placer.Chooser(need("x")).Choose(nil)
	assert.NilError(t, err)
	_, err = placer.Chooser(need("y")).Choose(nil)
	assert.ErrorIs(t, err, oleandervane.ErrNoBackendServer, "one request at a time tries the server")
	reservation.Release(oleandervane.AttemptAnswered)
	_, err = placer.Chooser(need("y")).Choose(nil)
	assert.NilError(t, err)
}

// Guards against knowledge of a former run that is held against a server that has started again.
func TestRestartedServerIsANewOne(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	placer := fleet(manual, 1)[0]
	placer.Update(registryOf(registered("a", "kigali-a")))
	reservation, err := placer.Chooser(need("x")).Choose(nil)
	assert.NilError(t, err)
	reservation.Release(oleandervane.AttemptUnreachable)
	again := registered("a", "kigali-a")
	again.StartedAt = 7
	placer.Update(registryOf(again))
	_, err = placer.Chooser(need("x")).Choose(nil)
	assert.NilError(t, err)
}

// Replays incident inc-754d of igihe-vane, in which servers turn slow and their requests time out: guards against a slow
// server that stays first choice because only answers tell of its pace.
func TestTimeoutCountsForThePace(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	placer := fleet(manual, 1)[0]
	placer.Update(registryOf(registered("a", "kigali-a")))
	take := func(result oleandervane.AttemptResult, took time.Duration) {
		reservation, err := placer.Chooser(need("x")).Choose(nil)
		assert.NilError(t, err)
		manual.Advance(took)
		reservation.Release(result)
	}
	for range paceSamples {
		take(oleandervane.AttemptAnswered, 200*time.Millisecond)
	}
	servers, candidates := placer.candidates(need("x"), nil, manual.Now())
	before := candidates[0].Pace
	take(oleandervane.AttemptTimedOut, 1500*time.Millisecond)
	assert.Assert(t, servers[0].candidate(0, 0, manual.Now()).Pace > 1.5*before)
}

// Replays an address that another server has taken over (incident inc-5983 of igihe-vane-grown): the entry of the former
// server stays for seconds, and each request of its objects spends an attempt there. Guards against requests that go on
// to a server which is known not to be at its address.
func TestServerWhoseAddressIsTakenIsLeftAlone(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	placer := fleet(manual, 1)[0]
	placer.Update(registryOf(registered("a", "kigali-a"), registered("b", "kigali-b")))
	reservation, err := placer.Chooser(need("x")).Choose(nil)
	assert.NilError(t, err)
	taken := reservation.Target().ID
	reservation.(forward.AnswerObserver).ObserveAnswer(oleandervane.Answer{NotRun: true, Misdirected: true})
	reservation.Release(oleandervane.AttemptShed)
	for range 3 {
		manual.Advance(time.Second)
		reservation, err := placer.Chooser(need("x")).Choose(nil)
		assert.NilError(t, err)
		assert.Assert(t, reservation.Target().ID != taken, "%v after the address was taken", manual.Now().Sub(time.Unix(1000, 0)))
		reservation.Release(oleandervane.AttemptAnswered)
	}
}

// Guards against a server that stays unused although a changed entry says that it is there, or that is never tried again.
func TestServerWhoseAddressWasTakenComesBack(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	placer := fleet(manual, 1)[0]
	only := registered("a", "kigali-a")
	misdirect := func() {
		reservation, err := placer.Chooser(need("x")).Choose(nil)
		assert.NilError(t, err)
		reservation.(forward.AnswerObserver).ObserveAnswer(oleandervane.Answer{NotRun: true, Misdirected: true})
		reservation.Release(oleandervane.AttemptShed)
		_, err = placer.Chooser(need("x")).Choose(nil)
		assert.ErrorIs(t, err, oleandervane.ErrNoBackendServer)
	}
	placer.Update(registryOf(only))
	misdirect()
	only.Software = "v2"
	placer.Update(registryOf(only))
	misdirect()
	manual.Advance(misdirectedRest)
	_, err := placer.Chooser(need("x")).Choose(nil)
	assert.NilError(t, err)
}
