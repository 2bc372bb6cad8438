package grant

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/timer"
)

// smallInputs are those of fakeInputs at a tenth of the rates, with the cap that the demo's first service has.
type smallInputs struct {
	fakeInputs
	vms int
}

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

func (inputs smallInputs) Roster() RosterView {
	vms := make([]oleandervane.VMID, inputs.vms)
	peers := make([]PeerCount, 0, inputs.vms)
	for i := range vms {
		vms[i] = vmName(i)
	}
	for _, vm := range vms {
		peers = append(peers, PeerCount{VM: vm, Counted: vms, OwnsPart: true, ReceivedAt: inputs.manual.Now()})
	}
	return RosterView{Now: inputs.manual.Now(), Alive: vms, Listed: vms, Peers: peers}
}

func vmName(number int) oleandervane.VMID {
	return oleandervane.VMID(fmt.Sprintf("huye-%03d", number))
}

// smallRegion is the VMs of a region whose source sends single requests at random.
type smallRegion struct {
	manual  *timer.Manual
	keepers []*Controller
	random  *rand.Rand
}

func newSmallRegion(t *testing.T, vms int, seed uint64) *smallRegion {
	region := &smallRegion{manual: timer.NewManual(start), random: rand.New(rand.NewPCG(seed, 0))}
	for i := range vms {
		keeper := NewController(oleandervane.EntryVM{ID: vmName(i), Region: "huye"}, smallInputs{fakeInputs{region.manual}, vms}, nil)
		t.Cleanup(keeper.Run(region.manual))
		region.keepers = append(region.keepers, keeper)
	}
	region.manual.Advance(ViewLag + 2*time.Second)
	return region
}

// granted returns what the VMs grant together.
func (region *smallRegion) granted() float64 {
	sum := 0.0
	for _, keeper := range region.keepers {
		for _, grant := range keeper.Grants() {
			sum += grant.PerSecond
		}
	}
	return sum
}

// second offers requests at the rate for a second and returns how many were admitted.
func (region *smallRegion) second(perSecond float64) (admitted int) {
	const steps = 100
	for range steps {
		if region.random.Float64() < perSecond/steps {
			keeper := region.keepers[region.random.IntN(len(region.keepers))]
			if keeper.TryAdmit(region.manual.Now(), "ledger", "kigali") {
				admitted++
			}
		}
		region.manual.Advance(time.Second / steps)
	}
	return admitted
}

const smallDemand = 40.0

// Guards a drain at a small rate: a source that sends single requests as fast as its grant allows must come to half
// of its demand of 40/s within 60 s, as the cap of 0.15 for each 10 s allows 0.9. The smallest count of single seconds
// lies far below the rate by chance.
func TestShiftGrowsWithSingleRequests(t *testing.T) {
	const seconds = 60
	for _, vms := range []int{1, 4} {
		for seed := range uint64(3) {
			region := newSmallRegion(t, vms, seed+1)
			admitted := 0
			for second := range seconds {
				count := region.second(min(region.granted(), smallDemand))
				if second >= seconds-10 {
					admitted += count
				}
			}
			share := float64(admitted) / 10 / smallDemand
			assert.Assert(t, share >= 0.5, "%d VMs, seed %d: the source came to %.2f of its demand", vms, seed+1, share)
		}
	}
}

// Guards the cap at a small rate: the grants of a source that has sent nothing for a window, and those of any two
// times of a window, grow by no more than the cap allows.
func TestSmallShiftsKeepTheCap(t *testing.T) {
	const seconds, capPerWindow, window = 60, 0.15 * smallDemand, 10
	for _, vms := range []int{1, 4} {
		region := newSmallRegion(t, vms, 1)
		var granted []float64
		for second := range seconds {
			granted = append(granted, region.granted())
			for before := max(0, second-window+1); before < second; before++ {
				growth := granted[second] - granted[before]
				assert.Assert(t, growth <= capPerWindow+1e-9, "%d VMs: grew by %.2f from second %d to %d", vms, growth, before, second)
			}
			region.second(min(granted[second], smallDemand))
		}
		for range window + 1 {
			region.second(0)
		}
		assert.Assert(t, region.granted() <= capPerWindow+1e-9, "%d VMs: %.2f granted to a silent source", vms, region.granted())
	}
}
