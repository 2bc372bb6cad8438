package ratelimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
	"oleandervane.example/fleet/ratelimit"
	"oleandervane.example/standin/limitfleet"
)

// alternative is a limiter that decides by a function and exchanges no messages.
type alternative struct {
	limits map[oleandervane.OrganisationName]oleandervane.RateLimit
	// updatedAt is when the limits were first set.
	updatedAt time.Time
	admits    func(name oleandervane.OrganisationName, limit oleandervane.RateLimit) bool
	node      *limitfleet.Node
}

func (alternative *alternative) Update(table *oleandervane.RouteTable) {
	if alternative.updatedAt.IsZero() {
		alternative.updatedAt = alternative.node.Timer().Now()
	}
	alternative.limits = map[oleandervane.OrganisationName]oleandervane.RateLimit{}
	for _, organisation := range table.Organisations {
		alternative.limits[organisation.Name] = organisation.RateLimit
	}
}

func (alternative *alternative) Decide(name oleandervane.OrganisationName, decided func(oleandervane.RateAdmission)) {
	limit, found := alternative.limits[name]
	decided(oleandervane.RateAdmission{Admitted: !found || alternative.admits(name, limit)})
}

func (*alternative) Run() (cancel func()) { return func() {} }

func (*alternative) Receive(oleandervane.VMID, oleandervane.Incarnation, *peer.TokenMessage) {}

// newFixedShare returns a limiter whose VM has its share of each limit by capacity.
func newFixedShare(node *limitfleet.Node) limitfleet.Limiter {
	buckets, filledAt := map[oleandervane.OrganisationName]ratelimit.Bucket{}, map[oleandervane.OrganisationName]time.Time{}
	shares := &alternative{node: node}
	shares.admits = func(name oleandervane.OrganisationName, limit oleandervane.RateLimit) bool {
		sum := 0.0
		for _, vm := range node.EntryVMs() {
			sum += vm.CapacityOrOne()
		}
		share, now := node.Self().CapacityOrOne()/sum, node.Timer().Now()
		own := oleandervane.RateLimit{PerSecond: limit.PerSecond * share, Burst: limit.Burst * share}
		bucket, found := buckets[name]
		if !found {
			bucket, filledAt[name] = ratelimit.NewBucket(own), shares.updatedAt
		}
		bucket = bucket.WithLimit(own).WithFilled(now.Sub(filledAt[name]).Seconds())
		rest, taken := bucket.WithTaken(1)
		buckets[name], filledAt[name] = rest, now
		return taken == 1
	}
	return shares
}

// newGossip returns limiters whose VMs count the requests of all VMs in a window, and know of those of others that they can reach half
// a second later.
func newGossip(isCut *func(a, b *limitfleet.Node) bool) func(node *limitfleet.Node) limitfleet.Limiter {
	type admission struct {
		at   time.Time
		node *limitfleet.Node
	}
	admissions := map[oleandervane.OrganisationName][]admission{}
	return func(node *limitfleet.Node) limitfleet.Limiter {
		return &alternative{node: node, admits: func(name oleandervane.OrganisationName, limit oleandervane.RateLimit) bool {
			now, known := node.Timer().Now(), 0
			for len(admissions[name]) > 0 && now.Sub(admissions[name][0].at) >= window {
				admissions[name] = admissions[name][1:]
			}
			for _, other := range admissions[name] {
				if other.node == node || now.Sub(other.at) >= 500*time.Millisecond && !(*isCut)(node, other.node) {
					known++
				}
			}
			if float64(known) >= limit.PerSecond*window.Seconds()+limit.Burst {
				return false
			}
			admissions[name] = append(admissions[name], admission{now, node})
			return true
		}}
	}
}

// Guards against a design that is no better than the simpler ones: fixed shares, which lose what arrives unevenly, and counts in notices,
// which exceed limits. The figures are in docs/design/rate-limits.md.
func TestAlternatives(t *testing.T) {
	compared := []oleandervane.OrganisationName{"middle", "smallest"}
	const fixedShare, gossip, owners = "fixed share", "counts in notices", "owners"
	shares, excess := map[string]map[string]float64{}, map[string]map[string]float64{}
	connected := func(*limitfleet.Node, *limitfleet.Node) bool { return false }
	isCut := connected
	for name, newVariant := range map[string]func() func(node *limitfleet.Node) limitfleet.Limiter{
		fixedShare: func() func(*limitfleet.Node) limitfleet.Limiter { return newFixedShare },
		gossip:     func() func(*limitfleet.Node) limitfleet.Limiter { return newGossip(&isCut) },
		owners:     func() func(*limitfleet.Node) limitfleet.Limiter { return newLimiter },
	} {
		shares[name], excess[name] = map[string]float64{}, map[string]float64{}
		for load, play := range map[string]func(run *run){
			"quiet":      func(*run) {},
			"hot on one": func(run *run) { run.heat(run.Nodes[3:4], "middle") },
			"hot on all": func(run *run) { run.heat(nil, compared...) },
			"halves": func(run *run) {
				isCut = halves
				run.Cut(halves)
				run.heat(nil, compared...)
			},
			"a VM dies": func(run *run) { run.Kill(run.Nodes[3]) },
			"all start": func(run *run) {
				for _, node := range run.Nodes {
					run.Kill(node)
					run.Start(node)
				}
			},
		} {
			run := newRunOf(newVariant(), 4, 12*time.Millisecond, compared...)
			from := run.Now()
			play(run)
			run.Timer.Advance(10 * time.Second)
			isCut = connected
			shares[name][load], excess[name][load] = 1, 0
			for organisation, offered := range run.loads {
				_, admitted := offered.Count(from, run.Now())
				shares[name][load] = min(shares[name][load], float64(admitted)/offered.Attainable(limitOf(usual[organisation]), from, run.Now()))
				excess[name][load] = max(excess[name][load], float64(offered.Busiest(window, 0))/bound(limitOf(usual[organisation])))
			}
			t.Logf("%-17s %-10s least share %.3f, busiest window %.2f of the bound", name, load, shares[name][load], excess[name][load])
			assert.Check(t, name != owners || excess[name][load] <= 1, load)
		}
	}
	assert.Check(t, shares[owners]["quiet"] >= 0.99 && shares[owners]["hot on one"] >= 0.97)
	assert.Check(t, shares[fixedShare]["quiet"] < 0.5 && shares[fixedShare]["hot on one"] < 0.5)
	assert.Check(t, excess[gossip]["hot on all"] > 1 || excess[gossip]["halves"] > 1)
}
