package oleandervane

import (
	"maps"
	"time"
)

// Flow is the unit of steering: the traffic of one service from callers of one home region.
type Flow struct {
	Service ServiceName
	Home    Region
}

// ShareVector maps each serving region to the share of a flow that it serves. Shares are in [0, 1] and sum to at
// most 1; the rest is shed as not run. It is immutable.
type ShareVector map[Region]float64

// With returns a copy in which the region has the given share.
func (shareVector ShareVector) With(region Region, share float64) ShareVector {
	result := maps.Clone(shareVector)
	if result == nil {
		result = ShareVector{}
	}
	result[region] = share
	return result
}

// ShiftFrom returns the shift since an earlier vector: the sum over regions of the increases of their shares.
// A share that is shed instead is not counted, because shedding moves no traffic to another region.
func (shareVector ShareVector) ShiftFrom(earlier ShareVector) float64 {
	shift := 0.0
	for region, share := range shareVector {
		shift += max(0, share-earlier[region])
	}
	return shift
}

// RegionSummary is what a region reports to others about one service. It is immutable.
type RegionSummary struct {
	Region  Region
	Service ServiceName
	// CapacityPerSecond is the rate that the region's usable backend servers can serve, in requests per second.
	CapacityPerSecond float64
	// UsedPerSecond is the rate that they serve now, for callers of all regions.
	UsedPerSecond float64
	// DemandPerSecond is the rate of requests of callers whose home is this region, wherever they are served.
	DemandPerSecond float64
	MeasuredAt      time.Time
}

// Grant is the rate that a receiving region has room for from one source region, until ExpiresAt. It is immutable.
type Grant struct {
	Service   ServiceName
	From      Region
	To        Region
	PerSecond float64
	ExpiresAt time.Time
}

// SteeringInput has everything that a steering decision depends on. It is immutable.
type SteeringInput struct {
	Now           time.Time
	Configuration *Configuration
	Summaries     []RegionSummary
	Grants        []Grant
	// Shares are the shares in force before the decision.
	Shares map[Flow]ShareVector
	// History has earlier shares, oldest first, that are younger than the longest shift window.
	History []SharesAt
	// LostRegions are regions in which no entry VM is alive, or that have no usable backend server.
	LostRegions map[Region]bool
}

// SharesAt is the shares in force from a time on.
type SharesAt struct {
	From   time.Time
	Shares map[Flow]ShareVector
}

// SteeringDecision is the result of a steering decision. It is immutable.
type SteeringDecision struct {
	Shares map[Flow]ShareVector
	// Reasons explain for each flow, in plain words, what bounded its shares.
	Reasons map[Flow]string
}
