package share

import (
	"oleandervane.example"
)

// PointByWeight maps a uniform random number in [0, 1) to a point for ChooseRegion, so that kinds of the smallest
// weight are shed first. Mix has the share of each kind in the flow's requests; a kind that it lacks counts as 0.
// Heavier kinds get the lower points, and kinds of the same weight share a range of points.
func PointByWeight(service oleandervane.Service, mix map[oleandervane.KindName]float64, kindName oleandervane.KindName, uniform float64) float64 {
	weight := service.Kinds[kindName].Weight
	heavier, same := 0.0, 0.0
	for name, share := range mix {
		switch other := service.Kinds[name].Weight; {
		case other > weight:
			heavier += share
		case other == weight:
			same += share
		}
	}
	if same == 0 {
		// A kind that has not been seen yet gets the point right below the lighter kinds.
		return min(heavier, largestPoint)
	}
	return min(heavier+same*uniform, largestPoint)
}

// largestPoint is the largest point that PointByWeight returns; ChooseRegion requires points below 1.
const largestPoint = 1 - 1e-9
