package share

import (
	"time"

	"oleandervane.example"
)

// DrainState says how far planned drains are in one region for one service. It is immutable.
type DrainState struct {
	// Part is the share of the region's capacity that is drained in the end, in [0, 1].
	Part float64
	// Progress is how much of that has been emptied, in [0, 1].
	Progress float64
}

// DrainStateFunc gives the drainage of a region for a service at a time.
type DrainStateFunc func(now time.Time, region oleandervane.Region, serviceName oleandervane.ServiceName) DrainState

// Remaining returns the share of the region's capacity that is left to traffic of other regions.
func (drainage DrainState) Remaining() float64 {
	return 1 - drainage.Part*drainage.Progress
}

// Usable returns what is left to the region's own demand. It falls in proportion to progress from what the region
// serves without the drain to what it serves after it, so that the flow's shares move at an even pace: a fall from
// the full capacity would move nothing while there is room, and then more than the cap allows.
func (drainage DrainState) Usable(usable, demand float64) float64 {
	if drainage.Part <= 0 || drainage.Progress <= 0 {
		return usable
	}
	before := min(usable, demand)
	after := min(usable*(1-drainage.Part), demand)
	return before + drainage.Progress*(after-before)
}
