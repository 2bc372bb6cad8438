package share

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

var regionNames = []oleandervane.Region{"huye", "kigali", "musanze"}

func configuration() *oleandervane.Configuration {
	result := &oleandervane.Configuration{
		Regions: map[oleandervane.Region]oleandervane.RegionSettings{},
		Services: map[oleandervane.ServiceName]oleandervane.Service{
			"ledger": {
				Name: "ledger", Headroom: 0.2, ShiftCap: 0.05, FailoverCap: 0.5,
				ShiftWindow: 10 * time.Second, RequestBytes: 4000,
			},
		},
	}
	for _, from := range regionNames {
		result.Regions[from] = oleandervane.RegionSettings{Name: from}
		for _, to := range regionNames {
			if from != to {
				result.Links = append(result.Links, oleandervane.Link{From: from, To: to, Delay: 12 * time.Millisecond, BytesPerSecond: 500e6})
			}
		}
	}
	return result
}

// Guards against a policy that shifts more than the cap, or sends more than the home region's room and the grants
// allow, when demand, capacity and grants change at random between decisions.
func TestDecideStaysWithinCapAndRoom(t *testing.T) {
	const seed = 1
	random := rand.New(rand.NewPCG(seed, 0))
	policy := NewPolicy(nil)
	for history := range 300 {
		now := start
		input := oleandervane.SteeringInput{Configuration: configuration()}
		for range 60 {
			now = now.Add(time.Second)
			input.Now = now
			if random.IntN(4) == 0 {
				input.Summaries, input.Grants = nil, nil
				for _, region := range regionNames {
					input.Summaries = append(input.Summaries, oleandervane.RegionSummary{
						Region: region, Service: "ledger", CapacityPerSecond: 100 * random.Float64(),
						DemandPerSecond: 100 * random.Float64(), MeasuredAt: now.Add(-time.Duration(random.IntN(20)) * time.Second),
					})
					for _, to := range regionNames {
						if to != region && random.IntN(3) > 0 {
							input.Grants = append(input.Grants, oleandervane.Grant{
								Service: "ledger", From: region, To: to, PerSecond: 30 * random.Float64(), ExpiresAt: now.Add(5 * time.Second),
							})
						}
					}
				}
			}
			decision := policy.Decide(input)
			for flow, vector := range decision.Shares {
				checkRoom(t, history, input, flow, vector)
				for _, earlier := range input.History {
					if now.Sub(earlier.From) < 10*time.Second {
						assert.Assert(t, vector.ShiftFrom(earlier.Shares[flow]) <= 0.05+1e-6, "seed %d history %d flow %v", seed, history, flow)
					}
				}
			}
			input.Shares = decision.Shares
			input.History = append(input.History, oleandervane.SharesAt{From: now, Shares: decision.Shares})
		}
	}
}

func checkRoom(t *testing.T, history int, input oleandervane.SteeringInput, flow oleandervane.Flow, vector oleandervane.ShareVector) {
	t.Helper()
	for _, summary := range input.Summaries {
		if summary.Region != flow.Home {
			continue
		}
		room := map[oleandervane.Region]float64{flow.Home: summary.CapacityPerSecond * 0.8}
		for _, grant := range input.Grants {
			if grant.From == flow.Home && grant.ExpiresAt.After(input.Now) {
				room[grant.To] += grant.PerSecond
			}
		}
		for region, share := range vector {
			assert.Assert(t, share*summary.DemandPerSecond <= room[region]+1e-6, "history %d flow %v region %s", history, flow, region)
		}
	}
}
