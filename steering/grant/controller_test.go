package grant

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/timer"
)

// fakeInputs are the inputs of the only VM of huye, with one source region.
type fakeInputs struct{ manual *timer.Manual }

func (inputs fakeInputs) Configuration() *oleandervane.Configuration {
	return &oleandervane.Configuration{
		Regions: map[oleandervane.Region]oleandervane.RegionSettings{"huye": {}, "kigali": {}},
		Services: map[oleandervane.ServiceName]oleandervane.Service{"ledger": {
			Name: "ledger", Headroom: 0.2, ShiftCap: 0.05, FailoverCap: 0.5, ShiftWindow: 10 * time.Second,
		}},
		Links: []oleandervane.Link{{From: "kigali", To: "huye", Delay: time.Millisecond, BytesPerSecond: 1e9}},
	}
}

func (inputs fakeInputs) Summaries() []oleandervane.RegionSummary {
	return []oleandervane.RegionSummary{
		{Region: "huye", Service: "ledger", CapacityPerSecond: 1000, DemandPerSecond: 500, MeasuredAt: inputs.manual.Now()},
		{Region: "kigali", Service: "ledger", CapacityPerSecond: 1000, DemandPerSecond: 1000, MeasuredAt: inputs.manual.Now()},
	}
}

func (inputs fakeInputs) Roster() RosterView {
	return RosterView{Now: inputs.manual.Now(), Alive: []oleandervane.VMID{"huye-000"}, Listed: []oleandervane.VMID{"huye-000"}}
}

func (inputs fakeInputs) LostRegions() map[oleandervane.Region]bool { return nil }

// Guards against a controller that admits more than the region's capacity less headroom, or more from a source than the
// shift cap allows, when many goroutines call TryAdmit at the same time while allotments change.
func TestControllerKeepsRatesUnderConcurrentRequests(t *testing.T) {
	const seconds, steps, workers, attempts = 25, 20, 4, 25
	manual := timer.NewManual(start)
	controller := NewController(oleandervane.EntryVM{ID: "huye-000", Region: "huye"}, fakeInputs{manual}, nil)
	defer controller.Run(manual)()
	manual.Advance(ListLag + 2*time.Second)
	admitted := map[oleandervane.Region]int{}
	sourceCounts := make([]int, seconds)
	var mutex sync.Mutex
	for second := range seconds {
		for range steps {
			now := manual.Now()
			var group sync.WaitGroup
			for range workers {
				group.Go(func() {
					for attempt := range attempts {
						for _, home := range []oleandervane.Region{"huye", "kigali"} {
							if home == "huye" && attempt%4 > 0 {
								continue
							}
							if controller.TryAdmit(now, "ledger", home) {
								mutex.Lock()
								admitted[home]++
								if home == "kigali" {
									sourceCounts[second]++
								}
								mutex.Unlock()
							}
						}
					}
				})
			}
			group.Wait()
			manual.Advance(time.Second / steps)
		}
	}
	const usable, burst = 800, 80 + 1
	assert.Assert(t, admitted["huye"]+admitted["kigali"] <= usable*seconds+burst, "more requests admitted than the region can serve: %v", admitted)
	for second, rate := range sourceCounts {
		lowest := 0
		if second >= 11 {
			lowest = min(sourceCounts[second-11], sourceCounts[second-10])
		}
		assert.Assert(t, rate <= lowest+50+10, "%d requests of kigali in second %d: %v", rate, second, sourceCounts)
	}
	assert.Assert(t, sourceCounts[seconds-1] > 50, "the admitted rate of a source with more demand does not grow: %v", sourceCounts)
}
