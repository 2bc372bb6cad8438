package grant

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/timer"
)

// smallInputs are those of fakeInputs at a tenth of the rates, with the cap that the demo's first service has.
type smallInputs struct{ fakeInputs }

func (inputs smallInputs) Configuration() *oleandervane.Configuration {
	configuration := inputs.fakeInputs.Configuration()
	service := configuration.Services["ledger"]
	service.ShiftCap = 0.15
	result := configuration.WithService(service)
	return &result
}

func (inputs smallInputs) Summaries() []oleandervane.RegionSummary {
	return []oleandervane.RegionSummary{
		{Region: "huye", Service: "ledger", CapacityPerSecond: 200, DemandPerSecond: 0, MeasuredAt: inputs.manual.Now()},
		{Region: "kigali", Service: "ledger", CapacityPerSecond: 40, DemandPerSecond: 40, MeasuredAt: inputs.manual.Now()},
	}
}

// Guards a drain at a small rate: a source that sends single requests as fast as its grant allows must come to half
// of its demand of 40/s within 60 s, as the cap of 0.15 for each 10 s allows 0.9. The lowest share of a window is
// taken from counts of single seconds, whose chance fluctuations hold the limit down.
func TestShiftGrowsWithSingleRequests(t *testing.T) {
	const demand, seconds, steps, seed = 40.0, 60, 100, 1
	manual := timer.NewManual(start)
	keeper := NewKeeper(oleandervane.EntryVM{ID: "huye-000", Region: "huye"}, smallInputs{fakeInputs{manual}}, nil)
	defer keeper.Run(manual)()
	manual.Advance(ViewLag + 2*time.Second)
	random := rand.New(rand.NewPCG(seed, 0))
	admitted := 0
	for second := range seconds {
		granted := 0.0
		for _, grant := range keeper.Grants() {
			granted += grant.PerSecond
		}
		for range steps {
			if random.Float64() < min(granted, demand)/steps && keeper.Take(manual.Now(), "ledger", "kigali") && second >= seconds-10 {
				admitted++
			}
			manual.Advance(time.Second / steps)
		}
	}
	share := float64(admitted) / 10 / demand
	assert.Assert(t, share >= 0.5, "the source came to %.2f of its demand", share)
}
