package share

import (
	"oleandervane.example"
)

// PointByWeight maps a uniform random number in [0, 1) to a point for ChooseRegion, so that shed work is the
// lightest. Mix gives the share of the flow's requests that each kind makes up; kinds without one count as none.
// Heavier kinds take the lower points, and kinds of the same weight share theirs.
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
		// A kind that has not been seen yet takes the point right below the lighter ones.
		return min(heavier, largestPoint)
	}
	return min(heavier+same*uniform, largestPoint)
}

// largestPoint is the largest point that ChooseRegion takes.
const largestPoint = 1 - 1e-9
