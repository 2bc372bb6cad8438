package ratelimit_test

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/fleet/ratelimit"
	"oleandervane.example/standin/limitfleet"
)

const (
	window  = 5 * time.Second
	overage = 0.1
	slack   = 20
)

type ignorer struct{}

func (ignorer) RateDecided(oleandervane.OrganisationName, oleandervane.RateLimit, ratelimit.Decision) {
}

func (ignorer) TokenMessageIgnored(string) {}

func newLimiter(node *limitfleet.Node) limitfleet.Limiter {
	return ratelimit.New(ratelimit.Settings{
		TimerService: node.Timer(), Membership: node, Settled: node.Settled, HeardCapacity: node.HeardCapacity,
		Sender: node, Observer: ignorer{}, Window: window, Overage: overage, Slack: slack,
	})
}

func newFleet(newLimiter func(node *limitfleet.Node) limitfleet.Limiter, seed uint64, regionDelay time.Duration) *limitfleet.Fleet {
	return limitfleet.New(limitfleet.Settings{
		VMs: 121, Domains: 9, Regions: 3, RegionDelay: regionDelay, Loss: 0.005, ListDelay: 1500 * time.Millisecond, Seed: seed,
		NewLimiter: newLimiter,
	})
}

// usual is the usual number of requests per second of each organisation. Limits are 1.6 times that, with a burst of one second.
var usual = map[oleandervane.OrganisationName]float64{"largest": 600, "large": 100, "middle": 17, "small": 6, "smallest": 2}

func limitOf(requests float64) oleandervane.RateLimit {
	return oleandervane.RateLimit{PerSecond: 1.6 * requests, Burst: 1.6 * requests}
}

func bound(limit oleandervane.RateLimit) float64 {
	return (limit.PerSecond*window.Seconds()+limit.Burst)*(1+overage) + slack
}

// run is a fleet with usual loads.
type run struct {
	*limitfleet.Fleet
	loads map[oleandervane.OrganisationName]*limitfleet.Load
}

func newRun(seed uint64, names ...oleandervane.OrganisationName) *run {
	return newRunOf(newLimiter, seed, 12*time.Millisecond, names...)
}

func newRunOf(newLimiter func(node *limitfleet.Node) limitfleet.Limiter, seed uint64, regionDelay time.Duration, names ...oleandervane.OrganisationName) *run {
	run := &run{Fleet: newFleet(newLimiter, seed, regionDelay), loads: map[oleandervane.OrganisationName]*limitfleet.Load{}}
	run.Timer.Advance(4 * time.Second)
	run.configure(nil)
	run.Timer.Advance(time.Second)
	for _, name := range names {
		run.loads[name] = run.Offer(name, usual[name])
	}
	run.Timer.Advance(4 * time.Second)
	return run
}

// configure sets the usual limits, except those that are given.
func (run *run) configure(limits map[oleandervane.OrganisationName]oleandervane.RateLimit) {
	var organisations []oleandervane.Organisation
	for name, requests := range usual {
		limit, found := limits[name]
		if !found {
			limit = limitOf(requests)
		}
		organisations = append(organisations, oleandervane.Organisation{Name: name, RateLimit: limit})
	}
	run.Configure(organisations...)
}

// heat makes organisations send 7.5 times their usual load.
func (run *run) heat(at []*limitfleet.Node, names ...oleandervane.OrganisationName) {
	for _, name := range names {
		run.Offer(name, 7.5*usual[name], at...)
	}
}

// owner returns the owner of an organisation's limit.
func (run *run) owner(name oleandervane.OrganisationName) *limitfleet.Node {
	owner, _ := run.Nodes[0].Limiter.(*ratelimit.Limiter).Owner(name)
	return run.Nodes[slices.IndexFunc(run.Nodes, func(node *limitfleet.Node) bool { return node.Self().ID == owner })]
}

// checkBounds checks that no window after a time had more requests of an organisation than its limit allows.
func (run *run) checkBounds(t *testing.T) {
	t.Helper()
	for name, load := range run.loads {
		assert.Check(t, float64(load.Busiest(window, 0)) <= bound(limitOf(usual[name])), "%s: %d of %.0f", name, load.Busiest(window, 0), bound(limitOf(usual[name])))
	}
}

// checkShare checks the share of the requests since a time that was admitted, of those within the limit of one token bucket for all
// VMs. With strict set, all requests of organisations with their usual load count as within it.
func (run *run) checkShare(t *testing.T, from time.Duration, least float64, strict bool) {
	t.Helper()
	for _, name := range slices.Sorted(maps.Keys(run.loads)) {
		load := run.loads[name]
		decided, admitted := load.Count(from, run.Now())
		share := float64(admitted) / float64(decided)
		if !strict || load.Rate > usual[name] {
			share = float64(admitted) / load.Attainable(limitOf(usual[name]), from, run.Now())
		}
		t.Logf("%-8s %.4f, busiest window %.2f of the bound", name, share, float64(load.Busiest(window, 0))/bound(limitOf(usual[name])))
		assert.Check(t, share >= least, "%s: %.4f", name, share)
	}
}

// some are the organisations in tests that need no large one, which takes most of the time of a test.
var (
	all  = slices.Sorted(maps.Keys(usual))
	some = []oleandervane.OrganisationName{"large", "middle", "smallest"}
)

func thirdCut(a, b *limitfleet.Node) bool {
	return a != b && (a.Number()%10 < 3 || b.Number()%10 < 3)
}

func halves(a, b *limitfleet.Node) bool { return a.Number()%2 != b.Number()%2 }

// Guards against limits that refuse requests within them, or that cost more than a datagram for each request.
func TestRequestsWithinLimits(t *testing.T) {
	for name, test := range map[string]struct {
		hotAt func(run *run) []*limitfleet.Node
		hot   []oleandervane.OrganisationName
		least float64
	}{
		"quiet day":    {hotAt: func(*run) []*limitfleet.Node { return nil }, least: 0.99},
		"hot on one":   {hotAt: func(run *run) []*limitfleet.Node { return run.Nodes[3:4] }, hot: []oleandervane.OrganisationName{"largest", "middle"}, least: 0.97},
		"hot on all":   {hotAt: func(*run) []*limitfleet.Node { return nil }, hot: []oleandervane.OrganisationName{"largest", "middle"}, least: 0.97},
		"small on one": {hotAt: func(run *run) []*limitfleet.Node { return run.Nodes[5:6] }, hot: []oleandervane.OrganisationName{"smallest"}, least: 0.97},
	} {
		t.Run(name, func(t *testing.T) {
			run := newRun(1, all...)
			run.heat(test.hotAt(run), test.hot...)
			messages, from := run.Messages, run.Now()
			run.Timer.Advance(20 * time.Second)
			run.checkBounds(t)
			run.checkShare(t, from, test.least, true)
			requests := 0
			for _, load := range run.loads {
				requests += len(load.Requests)
				for _, request := range load.Requests {
					assert.Check(t, request.DecidedAt-request.At <= ratelimit.AnswerTime)
				}
			}
			t.Logf("%d datagrams", run.Messages-messages)
			assert.Check(t, run.Messages <= requests, "%d datagrams, %d requests", run.Messages, requests)
		})
	}
}

// Guards against limits that are exceeded while VMs die, start or are cut off, or that refuse requests when that is over.
func TestLimitsDuringFaults(t *testing.T) {
	cut := func(isCut func(a, b *limitfleet.Node) bool) func(run *run) {
		return func(run *run) {
			run.Cut(isCut)
			run.Timer.Advance(8 * time.Second)
			run.Cut(nil)
		}
	}
	restart := func(chosen func(number int) bool, pause time.Duration) func(run *run) {
		return func(run *run) {
			for _, node := range run.Nodes {
				if chosen(node.Number()) {
					run.Kill(node)
				}
			}
			run.Timer.Advance(pause)
			for _, node := range run.Nodes {
				if chosen(node.Number()) {
					run.Start(node)
				}
			}
			run.Timer.Advance(5 * time.Second)
		}
	}
	for name, play := range map[string]func(run *run){
		"a third cut off":       cut(thirdCut),
		"halves":                cut(halves),
		"half die for 2 s":      restart(func(number int) bool { return number%2 == 0 }, 2*time.Second),
		"all start at once":     restart(func(int) bool { return true }, 200*time.Millisecond),
		"a VM dies with tokens": restart(func(number int) bool { return number == 3 }, 4*time.Second),
		"one after the other": func(run *run) {
			for i := 0; i < len(run.Nodes); i += 10 {
				run.Kill(run.Nodes[i])
				run.Timer.Advance(time.Second)
				run.Start(run.Nodes[i])
			}
		},
	} {
		for heated, heat := range map[string]func(run *run){
			"hot before": func(run *run) { run.heat(nil, some...); run.Timer.Advance(3 * time.Second) },
			"hot after":  func(run *run) { run.Timer.After(100*time.Millisecond, func(time.Time) { run.heat(nil, some...) }) },
		} {
			if heated == "hot after" && !strings.Contains(name, "cut") && name != "halves" {
				// VMs that die or start are cut off from nobody afterwards, and the load before decides what they have spent.
				continue
			}
			t.Run(name+", "+heated, func(t *testing.T) {
				run := newRun(2, some...)
				heat(run)
				from := run.Now()
				play(run)
				run.Timer.Advance(5 * time.Second)
				t.Log("with the fault:")
				run.checkShare(t, from, 0, false)
				for _, name := range some {
					run.Offer(name, usual[name])
				}
				run.Timer.Advance(window)
				t.Log("after it:")
				from = run.Now()
				run.Timer.Advance(10 * time.Second)
				run.checkBounds(t)
				run.checkShare(t, from, 0.99, false)
			})
		}
	}
}

// Guards against answers that come too late where a round trip takes nearly the time for which a request waits.
func TestLongRoundTrips(t *testing.T) {
	run := newRunOf(newLimiter, 6, 35*time.Millisecond, some...)
	check := func(least float64) {
		t.Helper()
		from := run.Now()
		run.Timer.Advance(10 * time.Second)
		run.checkSum(t, from, least)
	}
	check(0.99)
	run.heat(nil, "middle")
	check(0.97)
	run.heat(nil, some...)
	run.Timer.Advance(3 * time.Second)
	for _, name := range some {
		run.Offer(name, usual[name])
	}
	run.Timer.Advance(window)
	check(0.99)
	run.checkBounds(t)
}

// checkSum checks the share of the requests of all organisations within their limits that was admitted since a time.
func (run *run) checkSum(t *testing.T, from time.Duration, least float64) {
	t.Helper()
	sum, attainable := 0, 0.0
	for _, name := range slices.Sorted(maps.Keys(run.loads)) {
		if name == "largest" {
			continue
		}
		_, admitted := run.loads[name].Count(from, run.Now())
		sum += admitted
		attainable += run.loads[name].Attainable(limitOf(usual[name]), from, run.Now())
	}
	t.Logf("%d of %.0f", sum, attainable)
	assert.Check(t, float64(sum) >= least*attainable, "%d of %.0f", sum, attainable)
}

// Guards against limits that admit little while their owners are away, and when owners change. The deputy of an owner that has gone
// begins after up to 2 s; a VM that becomes the owner of a limit takes it over without a gap.
func TestOwnersChange(t *testing.T) {
	run := newRun(5, all...)
	owners := map[*limitfleet.Node]bool{}
	for _, name := range all {
		owners[run.owner(name)] = true
	}
	others := slices.DeleteFunc(slices.Clone(run.Nodes), func(node *limitfleet.Node) bool { return owners[node] })
	for _, name := range all {
		run.Offer(name, usual[name], others...)
	}
	check := func(pause time.Duration) {
		t.Helper()
		run.Timer.Advance(pause)
		from := run.Now()
		run.Timer.Advance(8 * time.Second)
		run.checkSum(t, from, 0.97)
		run.checkShare(t, from, 0, false)
	}
	run.Cut(func(a, b *limitfleet.Node) bool { return a != b && (owners[a] || owners[b]) })
	check(3 * time.Second)
	run.Cut(nil)
	check(0)
	for owner := range owners {
		run.Kill(owner)
	}
	check(3 * time.Second)
	for owner := range owners {
		run.Start(owner)
	}
	check(0)
	run.checkBounds(t)
}

// Guards against a lower limit that does not apply, and against refusals after a limit was removed.
func TestChangedLimits(t *testing.T) {
	run := newRun(3, "large", "middle")
	run.heat(nil, "large", "middle")
	run.Timer.Advance(5 * time.Second)
	lower := oleandervane.RateLimit{PerSecond: 20, Burst: 5}
	run.configure(map[oleandervane.OrganisationName]oleandervane.RateLimit{"large": lower, "middle": {}})
	run.Timer.Advance(time.Second + window)
	from := run.Now()
	run.Timer.Advance(15 * time.Second)
	assert.Check(t, float64(run.loads["large"].Busiest(window, from)) <= bound(lower), "%d", run.loads["large"].Busiest(window, from))
	_, admitted := run.loads["large"].Count(from, run.Now())
	assert.Check(t, float64(admitted) >= 0.97*15*lower.PerSecond, "%d", admitted)
	decided, admitted := run.loads["middle"].Count(from, run.Now())
	assert.Check(t, admitted == decided)
}
