package placement

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
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

// fleet returns the placers of a number of VMs of one fleet.
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

func requestFor(object string) Request {
	return Request{Service: "ledger", Route: oleandervane.Route{Name: "r"}, Object: object, Home: "kigali"}
}

// A cold server returns under full load: each of 16 VMs has 20 requests a second for it. Guards against a crash of the
// cold server, which tolerates 1.5 times its rate plus 5 requests in any second.
func TestColdServerRateIsSharedByAllVMs(t *testing.T) {
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
			if reservation, err := placer.Chooser(requestFor("x")).Choose(nil); err == nil {
				sent = append(sent, manual.Now())
				reservation.Release(oleandervane.AttemptAnswered)
			}
		}
		manual.Advance(50 * time.Millisecond)
	}
	assert.Assert(t, len(sent) >= 5, "only %d requests reached the cold server", len(sent))
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

// VMs that have all started again know only themselves for a while. Guards against all of them sending to a cold server and to one with a
// rate limit, because each takes itself for the only VM.
func TestVMsThatDoNotKnowTheOthersSpareColdAndLimitedServers(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	settledAt := manual.Now().Add(2 * time.Second)
	cold, limited := registered("cold", "kigali-a"), registered("limited", "kigali-a")
	cold.ColdLeft = slowStartTime
	run := newServer(limited, manual.Now()).target().RunHash()
	registry := registryOf(cold, limited, registered("warm", "kigali-a"))
	var placers []*Placer
	for _, placer := range fleet(manual, 16) {
		self := placer.settings.Membership.Self()
		alone := NewPlacer(Settings{TimerService: manual, Membership: members{self, []oleandervane.EntryVM{self}}, Settled: func() bool { return !manual.Now().Before(settledAt) }})
		alone.Update(registry)
		alone.MergeDirectives([]oleandervane.ServerDirective{{Server: run, RateLimit: 1}})
		placers = append(placers, alone)
	}
	send := func() map[oleandervane.BackendServerID]int {
		counts := map[oleandervane.BackendServerID]int{}
		for number := range 10 {
			for _, placer := range placers {
				reservation, err := placer.Chooser(requestFor(fmt.Sprint(number))).Choose(nil)
				assert.NilError(t, err)
				counts[oleandervane.BackendServerID(reservation.Target().ID)]++
				reservation.Release(oleandervane.AttemptAnswered)
			}
			manual.Advance(100 * time.Millisecond)
		}
		return counts
	}
	assert.DeepEqual(t, send(), map[oleandervane.BackendServerID]int{"warm": 160})
	manual.Advance(time.Second)
	for _, placer := range placers {
		placer.Update(registry)
	}
	assert.Assert(t, send()["cold"] > 0, "the VM that knows that it is alone sends nothing to the cold server")
}

// Guards against servers that receive full load at once after their failure domain was evacuated.
func TestServersAreColdAfterAnEvacuation(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	placer := fleet(manual, 1)[0]
	registry := registryOf(registered("a", "kigali-a"))
	registry.Evacuated["kigali-a"] = true
	placer.Update(registry)
	_, err := placer.Chooser(requestFor("x")).Choose(nil)
	assert.ErrorIs(t, err, oleandervane.ErrNoBackendServer)
	placer.Update(registryOf(registered("a", "kigali-a")))
	_, err = placer.Chooser(requestFor("x")).Choose(nil)
	assert.NilError(t, err)
	_, err = placer.Chooser(requestFor("x")).Choose(nil)
	assert.ErrorIs(t, err, oleandervane.ErrNoBackendServer, "a cold server gets one request per interval")
	manual.Advance(slowStartTime)
	_, err = placer.Chooser(requestFor("x")).Choose(nil)
	assert.NilError(t, err)
}

// Guards against requests to a server that is leaving, that is excluded, or whose region may not run the request.
func TestIneligibleServersGetNoRequests(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	placer := fleet(manual, 1)[0]
	leaving := registered("a", "kigali-a")
	leaving.Leaving = true
	placer.Update(registryOf(leaving))
	_, err := placer.Chooser(requestFor("x")).Choose(nil)
	assert.ErrorIs(t, err, oleandervane.ErrNoBackendServer)
	placer.Update(registryOf(registered("b", "kigali-a")))
	elsewhere := requestFor("x")
	elsewhere.Route.AllowedRegions = []oleandervane.Region{"huye"}
	_, err = placer.Chooser(elsewhere).Choose(nil)
	assert.ErrorIs(t, err, oleandervane.ErrNoBackendServer)
	_, err = placer.Chooser(requestFor("x")).Choose([]string{"b"})
	assert.ErrorIs(t, err, oleandervane.ErrNoBackendServer)
}

// Reproduces a crash of a server. Guards against further requests to a server that is unreachable, and against a server
// that is never tried again.
func TestUnreachableServerBacksOffAndIsRetried(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	placer := fleet(manual, 1)[0]
	placer.Update(registryOf(registered("a", "kigali-a")))
	reservation, err := placer.Chooser(requestFor("x")).Choose(nil)
	assert.NilError(t, err)
	reservation.Release(oleandervane.AttemptUnreachable)
	_, err = placer.Chooser(requestFor("x")).Choose(nil)
	assert.ErrorIs(t, err, oleandervane.ErrNoBackendServer)
	manual.Advance(minBackoff)
	reservation, err = placer.Chooser(requestFor("x")).Choose(nil)
	assert.NilError(t, err)
	_, err = placer.Chooser(requestFor("y")).Choose(nil)
	assert.ErrorIs(t, err, oleandervane.ErrNoBackendServer, "one request at a time probes the server")
	reservation.Release(oleandervane.AttemptAnswered)
	_, err = placer.Chooser(requestFor("y")).Choose(nil)
	assert.NilError(t, err)
}

// Guards against state from a server's previous run that still applies after the server has restarted.
func TestRestartedServerStartsWithNewState(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	placer := fleet(manual, 1)[0]
	placer.Update(registryOf(registered("a", "kigali-a")))
	reservation, err := placer.Chooser(requestFor("x")).Choose(nil)
	assert.NilError(t, err)
	reservation.Release(oleandervane.AttemptUnreachable)
	restarted := registered("a", "kigali-a")
	restarted.StartedAt = 7
	placer.Update(registryOf(restarted))
	_, err = placer.Chooser(requestFor("x")).Choose(nil)
	assert.NilError(t, err)
}

// Reproduces incident inc-754d of igihe-vane, in which servers become slow and their requests time out. Guards against
// a slow server that stays the first choice because only responses count towards its slowdown.
func TestTimeoutCountsTowardsSlowdown(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	placer := fleet(manual, 1)[0]
	placer.Update(registryOf(registered("a", "kigali-a")))
	placeAndRelease := func(result oleandervane.AttemptResult, took time.Duration) {
		reservation, err := placer.Chooser(requestFor("x")).Choose(nil)
		assert.NilError(t, err)
		manual.Advance(took)
		reservation.Release(result)
	}
	for range minSlowdownSamples {
		placeAndRelease(oleandervane.AttemptAnswered, 200*time.Millisecond)
	}
	servers, candidates, _ := placer.candidates(requestFor("x"), nil, manual.Now())
	before := candidates[0].Slowdown
	placeAndRelease(oleandervane.AttemptTimedOut, 1500*time.Millisecond)
	assert.Assert(t, servers[0].candidate(0, 0, manual.Now()).Slowdown > 1.5*before)
}

// Reproduces incident inc-5983 of igihe-vane-grown, in which another server has taken over an address: the entry of the
// former server stays for seconds, and each request for its objects spends an attempt there. Guards against further
// requests to a server that is known not to be at its address.
func TestMisdirectedServerGetsNoRequests(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	placer := fleet(manual, 1)[0]
	placer.Update(registryOf(registered("a", "kigali-a"), registered("b", "kigali-b")))
	reservation, err := placer.Chooser(requestFor("x")).Choose(nil)
	assert.NilError(t, err)
	misdirectedServer := reservation.Target().ID
	reservation.(forward.ResponseObserver).ObserveResponse(oleandervane.ResponseMetadata{NotRun: true, Misdirected: true})
	reservation.Release(oleandervane.AttemptShed)
	for range 3 {
		manual.Advance(time.Second)
		reservation, err := placer.Chooser(requestFor("x")).Choose(nil)
		assert.NilError(t, err)
		assert.Assert(t, reservation.Target().ID != misdirectedServer, "%v after another server took over the address", manual.Now().Sub(time.Unix(1000, 0)))
		reservation.Release(oleandervane.AttemptAnswered)
	}
}

// Guards against a server that stays unused although a changed entry says that it is at the address, and against a
// server that is never tried again.
func TestMisdirectedServerIsUsedAgain(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	placer := fleet(manual, 1)[0]
	only := registered("a", "kigali-a")
	misdirect := func() {
		reservation, err := placer.Chooser(requestFor("x")).Choose(nil)
		assert.NilError(t, err)
		reservation.(forward.ResponseObserver).ObserveResponse(oleandervane.ResponseMetadata{NotRun: true, Misdirected: true})
		reservation.Release(oleandervane.AttemptShed)
		_, err = placer.Chooser(requestFor("x")).Choose(nil)
		assert.ErrorIs(t, err, oleandervane.ErrNoBackendServer)
	}
	placer.Update(registryOf(only))
	misdirect()
	only.Software = "v2"
	placer.Update(registryOf(only))
	misdirect()
	manual.Advance(misdirectedBackoff)
	_, err := placer.Chooser(requestFor("x")).Choose(nil)
	assert.NilError(t, err)
}

// Guards against callers who wait for the way to another region although one of the first servers of their object is in their own, and
// against a region with few servers that has to run all requests of its callers.
func TestRequestsDoNotLeaveARegionWithEnoughServers(t *testing.T) {
	placer := fleet(timer.NewManual(time.Unix(1000, 0)), 1)[0]
	registry := registryOf()
	regions := slices.Concat(slices.Repeat([]oleandervane.Region{"norte"}, 41), slices.Repeat([]oleandervane.Region{"occidente"}, 49), slices.Repeat([]oleandervane.Region{"centro"}, 10))
	for i, id := range serverNames(len(regions)) {
		server := registered(id, "a")
		server.Region = regions[i]
		registry.BackendServers[id] = server
	}
	placer.Update(registry)
	const objects = 2000
	// In a region with enough servers, the requests for an object run there if one of its first four servers is there.
	for home, share := range map[oleandervane.Region]float64{"norte": 1 - math.Pow(0.59, 4), "occidente": 1 - math.Pow(0.51, 4), "centro": 0.1} {
		local := 0
		for number := range objects {
			request := requestFor(fmt.Sprint(number))
			request.Home = home
			reservation, err := placer.Chooser(request).Choose(nil)
			assert.NilError(t, err)
			if registry.BackendServers[oleandervane.BackendServerID(reservation.Target().ID)].Region == home {
				local++
			}
			reservation.Release(oleandervane.AttemptAnswered)
		}
		assert.Assert(t, math.Abs(float64(local)/objects-share) < 0.05, "%d of %d requests from %s run there", local, objects, home)
	}
}

// Guards against callers who all change the region of their requests when one server of their region leaves.
func TestServerThatLeavesMovesFewRequestsToOtherRegions(t *testing.T) {
	var servers []*server
	for i, id := range serverNames(100) {
		servers = append(servers, newServer(registered(id, "a"), time.Unix(1000, 0)))
		servers[i].Region = [2]oleandervane.Region{"norte", "occidente"}[i/50]
	}
	for left := range 50 {
		before, after := regionPreferences(servers[left:], nil)["norte"], regionPreferences(servers[left+1:], nil)["norte"]
		assert.Assert(t, before-after >= 0 && before-after < 0.05, "from %v to %v", before, after)
	}
}

// Guards against a server outside the regions of the route or of the organisation that gets an attempt of a request, also when the
// others are excluded or have no capacity.
func TestServersOutsideTheRegionsGetNothing(t *testing.T) {
	placer := fleet(timer.NewManual(time.Unix(1000, 0)), 1)[0]
	var servers []oleandervane.RegisteredServer
	for _, region := range []oleandervane.Region{"a", "b", "c"} {
		for number := range 2 {
			server := registered(oleandervane.BackendServerID(fmt.Sprintf("%s-%d", region, number)), "d")
			server.Region = region
			servers = append(servers, server)
		}
	}
	placer.Update(registryOf(servers...))
	for _, testCase := range []struct{ route, organisation, want []oleandervane.Region }{
		{nil, nil, []oleandervane.Region{"a", "b", "c"}},
		{[]oleandervane.Region{"a", "b"}, nil, []oleandervane.Region{"a", "b"}},
		{nil, []oleandervane.Region{"b"}, []oleandervane.Region{"b"}},
		{[]oleandervane.Region{"a", "b"}, []oleandervane.Region{"b", "c"}, []oleandervane.Region{"b"}},
		{[]oleandervane.Region{"a"}, []oleandervane.Region{"c"}, nil},
	} {
		for number := range 50 {
			request := requestFor(fmt.Sprint(number))
			request.Route.AllowedRegions = testCase.route
			request.Organisation = &oleandervane.Organisation{Name: "o", AllowedRegions: testCase.organisation}
			chooser := placer.Chooser(request)
			var excluded []string
			for reservation, err := chooser.Choose(nil); err == nil; reservation, err = chooser.Choose(excluded) {
				target := reservation.Target()
				region := oleandervane.Region(target.ID[:1])
				assert.Assert(t, slices.Contains(testCase.want, region), "%v: %s", testCase, target.ID)
				excluded = append(excluded, target.ID)
				reservation.Release(oleandervane.AttemptShed)
			}
			assert.Assert(t, len(excluded) > 0 == (len(testCase.want) > 0), "%v", testCase)
		}
	}
}
