package fairshare_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/entry/fairshare"
)

// sender is an organisation of a load, or several alike.
type sender struct {
	Name      string  `toml:"name"`
	Count     int     `toml:"count"`
	Rank      int     `toml:"rank"`
	PerSecond float64 `toml:"per_second"`
	// MinServed and MaxServed bound the share of its requests that are served.
	MinServed float64 `toml:"min_served"`
	MaxServed float64 `toml:"max_served"`
}

// load is a load on one service that all VMs share.
type load struct {
	Name     string   `toml:"name"`
	VMs      int      `toml:"vms"`
	Capacity float64  `toml:"capacity_per_second"`
	Sender   []sender `toml:"sender"`
}

// The bounds of the queue for each slot from which requests are refused: those of placement.
const (
	firstBound    = 3.5
	entitledBound = 3.0
	otherBound    = 2.5
	// runTime is the time that a request occupies a slot.
	runTime = 0.2
	step    = time.Millisecond
	settle  = 5 * time.Second
	end     = 30 * time.Second
	seeds   = 4
)

type count struct{ offered, served int }

func (count count) share() float64 { return float64(count.served) / float64(count.offered) }

// arrival is a request of an organisation.
type arrival struct {
	claimant fairshare.Claimant
	sender   string
}

// replay plays a load without a network: requests arrive at random at random VMs, and all queue for the same slots. Without shares, the
// same bound holds for all.
func replay(load load, seed uint64, shares bool) map[string]count {
	ledgers := make([]*fairshare.Ledger, load.VMs)
	for i := range ledgers {
		ledgers[i] = fairshare.NewLedger()
	}
	random := rand.New(rand.NewPCG(1, seed))
	now, queue, counts := time.Unix(1000, 0), 0.0, map[string]count{}
	slots := load.Capacity * runTime
	for at := time.Duration(0); at < end; at += step {
		now = now.Add(step)
		queue = max(0, queue-load.Capacity*step.Seconds())
		var arrivals []arrival
		for _, sender := range load.Sender {
			count := max(1, sender.Count)
			if random.Float64() < float64(count)*sender.PerSecond*step.Seconds() {
				claimant := fairshare.Claimant{Organisation: oleandervane.OrganisationName(fmt.Sprint(sender.Name, random.IntN(count))), Rank: sender.Rank}
				arrivals = append(arrivals, arrival{claimant, sender.Name})
			}
		}
		// In a fixed order the last senders would find the fullest queue.
		random.Shuffle(len(arrivals), func(i, j int) { arrivals[i], arrivals[j] = arrivals[j], arrivals[i] })
		for _, arrival := range arrivals {
			ledger := ledgers[random.IntN(len(ledgers))]
			claim := ledger.Offer("ledger", arrival.claimant, now)
			bound := otherBound
			if claim.Entitled {
				bound = entitledBound
			}
			if claim.First || !claim.Scarce || !shares {
				bound = firstBound
			}
			count := counts[arrival.sender]
			if at >= settle {
				count.offered++
			}
			if queue/slots < bound {
				queue++
				ledger.Serve("ledger", arrival.claimant)
				if at >= settle {
					count.served++
				}
			}
			counts[arrival.sender] = count
		}
	}
	return counts
}

// Guards against an organisation that takes the capacity of others, against one that is starved because of its rank, against a less
// urgent one that is served before a more urgent one, and against shares that nobody uses.
func TestLoads(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "loads.toml"))
	assert.NilError(t, err)
	var table struct {
		Load []load `toml:"load"`
	}
	assert.NilError(t, toml.Unmarshal(text, &table))
	for _, load := range table.Load {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprint(load.Name, " ", seed), func(t *testing.T) {
				if seed == 0 {
					for name, count := range replay(load, seed, false) {
						t.Logf("without shares, %s: %.3f", name, count.share())
					}
				}
				check(t, load, replay(load, seed, true))
			})
		}
	}
}

func check(t *testing.T, load load, counts map[string]count) {
	var all count
	for _, count := range counts {
		all.offered, all.served = all.offered+count.offered, all.served+count.served
	}
	seconds := (end - settle).Seconds()
	perSecond := float64(all.served) / seconds
	t.Logf("%.3f of all served", all.share())
	assert.Check(t, perSecond > 0.97*min(load.Capacity, float64(all.offered)/seconds), "capacity is unused: %.1f requests/s", perSecond)
	for _, sender := range load.Sender {
		share := counts[sender.Name].share()
		t.Logf("%s: %.3f", sender.Name, share)
		assert.Check(t, share >= sender.MinServed && (sender.MaxServed == 0 || share <= sender.MaxServed), "%s: %.3f served", sender.Name, share)
		assert.Check(t, share >= all.share()/4, "%s is starved: %.3f of %.3f", sender.Name, share, all.share())
	}
}

// Guards against counters that grow with the number of organisations.
func TestAccountsAreBounded(t *testing.T) {
	ledger := fairshare.NewLedger()
	now := time.Unix(1000, 0)
	for number := range 20 * fairshare.MaxAccounts {
		ledger.Offer("ledger", fairshare.Claimant{Organisation: oleandervane.OrganisationName(fmt.Sprint(number))}, now)
	}
	assert.Assert(t, ledger.Accounts("ledger") <= fairshare.MaxAccounts+1)
	ledger.Offer("ledger", fairshare.Claimant{Organisation: "last"}, now.Add(10*time.Minute))
	assert.Equal(t, ledger.Accounts("ledger"), 1)
}

func BenchmarkOffer(b *testing.B) {
	ledger := fairshare.NewLedger()
	now := time.Unix(1000, 0)
	for number := range b.N {
		now = now.Add(100 * time.Microsecond)
		claimant := fairshare.Claimant{Organisation: oleandervane.OrganisationName(fmt.Sprint(number % 80))}
		ledger.Offer("ledger", claimant, now)
		ledger.Serve("ledger", claimant)
	}
}
