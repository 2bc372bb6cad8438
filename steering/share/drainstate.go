package share

import (
	"time"

	"oleandervane.example"
)

// DrainState is the state of planned drains in one region for one service. It is immutable.
type DrainState struct {
	// Part is the share of the region's capacity that is drained when the drains are complete, in [0, 1].
	Part float64
	// Progress is the share of Part that is drained now, in [0, 1].
	Progress float64
}

// DrainStateFunc returns the drain state of a region for a service at a time.
type DrainStateFunc func(now time.Time, region oleandervane.Region, serviceName oleandervane.ServiceName) DrainState

// Remaining returns the share of the region's capacity that is left for traffic of other regions.
func (drainState DrainState) Remaining() float64 {
	return 1 - drainState.Part*drainState.Progress
}

// Usable returns the capacity that is left for the region's own demand. It falls in proportion to progress, from the
// rate that the region serves without the drain to the rate that it serves after it, so that the flow's shares change
// at a constant rate. A fall from the full capacity would shift nothing while there is room, and then more than the
// cap allows.
func (drainState DrainState) Usable(usable, demand float64) float64 {
	if drainState.Part <= 0 || drainState.Progress <= 0 {
		return usable
	}
	before := min(usable, demand)
	after := min(usable*(1-drainState.Part), demand)
	return before + drainState.Progress*(after-before)
}
