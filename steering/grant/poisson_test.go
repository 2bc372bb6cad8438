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

// smallInputs are fakeInputs with smaller rates and the shift cap of the demo's first service.
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

// smallRegion has the VMs of a region whose source region sends single requests at random.
type smallRegion struct {
	manual      *timer.Manual
	controllers []*Controller
	random      *rand.Rand
}

func newSmallRegion(t *testing.T, vms int, seed uint64) *smallRegion {
	region := &smallRegion{manual: timer.NewManual(start), random: rand.New(rand.NewPCG(seed, 0))}
	for i := range vms {
		controller := NewController(oleandervane.EntryVM{ID: vmName(i), Region: "huye"}, smallInputs{fakeInputs{region.manual}, vms}, nil)
		t.Cleanup(controller.Run(region.manual))
		region.controllers = append(region.controllers, controller)
	}
	region.manual.Advance(ListLag + 2*time.Second)
	return region
}

// granted returns the rate that the VMs grant together.
func (region *smallRegion) granted() float64 {
	sum := 0.0
	for _, controller := range region.controllers {
		for _, grant := range controller.Grants() {
			sum += grant.PerSecond
		}
	}
	return sum
}

// offerForSecond offers requests at the rate for one second and returns how many were admitted.
func (region *smallRegion) offerForSecond(perSecond float64) (admitted int) {
	const steps = 100
	for range steps {
		if region.random.Float64() < perSecond/steps {
			controller := region.controllers[region.random.IntN(len(region.controllers))]
			if controller.TryAdmit(region.manual.Now(), "ledger", "kigali") {
				admitted++
			}
		}
		region.manual.Advance(time.Second / steps)
	}
	return admitted
}

const smallDemand = 40.0

// Guards against a shift that stalls at a small rate because grants follow the smallest count of a single second, which
// lies far below the rate by chance. A source that sends single requests as fast as its grants allow must reach half of
// its demand of 40/s within 60 s; the cap of 0.15 per 10 s allows 0.9.
func TestShiftGrowsWithSingleRequests(t *testing.T) {
	const seconds = 60
	for _, vms := range []int{1, 4} {
		for seed := range uint64(3) {
			region := newSmallRegion(t, vms, seed+1)
			admitted := 0
			for second := range seconds {
				count := region.offerForSecond(min(region.granted(), smallDemand))
				if second >= seconds-10 {
					admitted += count
				}
			}
			share := float64(admitted) / 10 / smallDemand
			assert.Assert(t, share >= 0.5, "%d VMs, seed %d: the source reached %.2f of its demand", vms, seed+1, share)
		}
	}
}

// Guards against a shift above the cap at a small rate: grants to a source that has sent nothing for a window, and the
// growth of grants between any two times of a window, are at most what the cap allows.
func TestSmallShiftsStayWithinCap(t *testing.T) {
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
			region.offerForSecond(min(granted[second], smallDemand))
		}
		for range window + 1 {
			region.offerForSecond(0)
		}
		assert.Assert(t, region.granted() <= capPerWindow+1e-9, "%d VMs: %.2f granted to a silent source", vms, region.granted())
	}
}
