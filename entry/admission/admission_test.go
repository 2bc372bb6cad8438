package admission

import (
	"fmt"
	"testing"
	"time"

	"oleandervane.example"
	"oleandervane.example/figure"
)

var loads = []load{
	{kind: oleandervane.Kind{Name: "filing", Weight: 10, Deadline: 2 * time.Second}, share: 0.2},
	{kind: oleandervane.Kind{Name: "lookup", Weight: 4, Deadline: time.Second}, share: 0.5},
	{kind: oleandervane.Kind{Name: "bulk", Weight: 1, Deadline: 30 * time.Second}, share: 0.3},
}

// goodput returns the weight of the requests answered in time, relative to the weight that the full capacity can serve
// with the mix of the loads, and the number of these requests, relative to the capacity.
func goodput(tallies map[oleandervane.KindName]*tally) (weighted, plain float64) {
	capacity := driverSlots * driverDuration.Seconds() / driverMean.Seconds()
	meanWeight := 0.0
	for _, load := range loads {
		meanWeight += load.share * float64(load.kind.Weight)
		weighted += float64(load.kind.Weight * tallies[load.kind.Name].inTime)
		plain += float64(tallies[load.kind.Name].inTime)
	}
	return weighted / (capacity * meanWeight), plain / capacity
}

// Guards against a collapse of the goodput under overload, as happens without admission control.
func TestFigureGoodputUnderOverload(t *testing.T) {
	for _, multiple := range []float64{2, 5, 10} {
		weighted, plain := goodput(drive(1, multiple, true, loads))
		name := fmt.Sprintf("admission_goodput_at_%gx", multiple)
		figure.Require(t, figure.Figure{Name: name, Value: plain, Unit: "ratio", Direction: figure.AtLeast, Bound: 0.9})
		figure.Require(t, figure.Figure{Name: name + "_weighted", Value: weighted, Unit: "ratio", Direction: figure.AtLeast, Bound: 0.9})
		weighted, plain = goodput(drive(1, multiple, false, loads))
		t.Logf("without admission control at %gx: %.3f, weighted %.3f", multiple, plain, weighted)
	}
}
