package grant

import (
	"time"

	"oleandervane.example"
	"oleandervane.example/steering/internal/guard"
)

const (
	// Lifetime is how long a grant is in force. A source VM that receives no new grant stops sending by then.
	Lifetime = 5 * time.Second
	// freshAge is the age up to which measurements count in full. A probe period of 5 s is usual.
	freshAge = 5 * time.Second
	// coldCost is the room that a request needs in a region whose caches are cold for its flow, in warm requests.
	// Traffic that arrived within the shift window counts as cold.
	coldCost = 1.5
	// staleAge is the age at which measurements no longer give room to other regions. At 20 s, 75% of the room is left.
	staleAge = 65 * time.Second
	// unlimitedPerSecond replaces a limit whose guard is disabled.
	unlimitedPerSecond = 1e12
)

// Source is the state of one source region for one service, as a receiving VM knows it. It is immutable.
type Source struct {
	Region oleandervane.Region
	// DemandPerSecond is the demand that the source region last reported.
	DemandPerSecond float64
	// OverflowPerSecond is the demand for which the source region has no room itself.
	OverflowPerSecond float64
	// ShiftPart is the largest increase of the source's admitted rate here within a window, as a share of its demand: the
	// shift cap times this region's part of it.
	ShiftPart float64
	// AdmittedPerSecond is the rate that this VM admitted from the source in the last period.
	AdmittedPerSecond float64
	// LowestShare is the smallest share of the source's demand that this VM admitted at any time of the window.
	LowestShare float64
}

// AllotmentInput has everything that an allotment depends on. It is immutable.
type AllotmentInput struct {
	Service oleandervane.Service
	Region  oleandervane.Region
	// Part is the share of the region's capacity that this VM owns.
	Part              float64
	CapacityPerSecond float64
	// DemandPerSecond is the demand of the region's own callers.
	DemandPerSecond float64
	// OwnPerSecond is the rate that the region's own callers offered to this VM in the last period.
	OwnPerSecond float64
	// Age is the age of the region's capacity and demand.
	Age time.Duration
	// Remaining is the share of capacity that planned drains leave.
	Remaining float64
	Sources   []Source
	disabled  guard.Disabled
}

// Allotment is how much of a service one VM admits, in requests per second. It is immutable.
type Allotment struct {
	// TotalPerSecond bounds the rate that the VM admits in total: its part of the region's capacity less headroom.
	TotalPerSecond float64
	// LimitPerSecond bounds the rate that it admits from each source region.
	LimitPerSecond map[oleandervane.Region]float64
}

// Allot splits a VM's part of its region's capacity less headroom: first the region's own demand, then the rest among
// source regions by their overflow. It is a pure function.
func Allot(input AllotmentInput) Allotment {
	total := input.Part * input.CapacityPerSecond * (1 - input.Service.Headroom)
	allotment := Allotment{
		TotalPerSecond: total,
		LimitPerSecond: make(map[oleandervane.Region]float64, len(input.Sources)),
	}
	if input.disabled.Capacity {
		allotment.TotalPerSecond = unlimitedPerSecond
	}
	own := max(input.Part*input.DemandPerSecond, input.OwnPerSecond)
	if input.disabled.OwnFirst {
		own = 0
	}
	room := max(0, total-own) * freshness(input.Age)
	limits := fill(input, room)
	for i, source := range input.Sources {
		limit := chargeColdCaches(source, limits[i])
		if input.disabled.Capacity {
			limit = unlimitedPerSecond
		}
		allotment.LimitPerSecond[source.Region] = min(limit, shiftLimit(input, source))
	}
	return allotment
}

// chargeColdCaches lowers the limit of a source that is new in the region: its requests need more room until caches are
// warm. The rate that is admitted already stays, because lowering it would shed requests.
func chargeColdCaches(source Source, limit float64) float64 {
	warm := source.LowestShare * source.DemandPerSecond
	if limit <= warm {
		return limit
	}
	return max(warm+(limit-warm)/coldCost, min(limit, source.AdmittedPerSecond))
}

// freshness returns the share of room that measurements of the given age still give to other regions.
func freshness(age time.Duration) float64 {
	if age <= freshAge {
		return 1
	}
	return max(0, 1-float64(age-freshAge)/float64(staleAge-freshAge))
}

// shiftLimit returns the largest rate from a source whose increase within the window is at most ShiftPart.
func shiftLimit(input AllotmentInput, source Source) float64 {
	if input.disabled.ArrivalCap {
		return unlimitedPerSecond
	}
	return (source.LowestShare + source.ShiftPart*input.Part) * source.DemandPerSecond
}

// fill splits room among sources. The rates that sources use now come first, so that neither a drain nor the overflow
// of another source reduces them; then overflow; then the rest by demand, so that a grant is in force before a sudden
// overflow.
func fill(input AllotmentInput, room float64) []float64 {
	limits := make([]float64, len(input.Sources))
	wants := make([]float64, len(input.Sources))
	for i, source := range input.Sources {
		wants[i] = source.AdmittedPerSecond
	}
	room = addScaled(limits, wants, room)
	room *= input.Remaining
	for i, source := range input.Sources {
		wants[i] = max(0, source.OverflowPerSecond*input.Part-limits[i])
	}
	room = addScaled(limits, wants, room)
	demand := 0.0
	for _, source := range input.Sources {
		demand += source.DemandPerSecond
	}
	if demand <= 0 {
		return limits
	}
	for i, source := range input.Sources {
		limits[i] += room * source.DemandPerSecond / demand
	}
	return limits
}

// addScaled adds wants to limits, scaled down to the room if they do not fit, and returns the room left.
func addScaled(limits, wants []float64, room float64) float64 {
	total := 0.0
	for _, want := range wants {
		total += want
	}
	if total <= 0 {
		return room
	}
	scale := min(1, room/total)
	for i, want := range wants {
		limits[i] += want * scale
	}
	return room - total*scale
}

// Grants returns the allotment's grants to source regions.
func (allotment Allotment) Grants(serviceName oleandervane.ServiceName, region oleandervane.Region, now time.Time) []oleandervane.Grant {
	grants := make([]oleandervane.Grant, 0, len(allotment.LimitPerSecond))
	for source, limit := range allotment.LimitPerSecond {
		if limit <= 0 {
			continue
		}
		grants = append(grants, oleandervane.Grant{
			Service: serviceName, From: source, To: region, PerSecond: limit, ExpiresAt: now.Add(Lifetime),
		})
	}
	return grants
}

// Admit returns the admitted rates of offered rates, by home region: first the region's own callers, then each source
// up to its limit, scaled down to the room that is left. The sum is never above TotalPerSecond.
func (allotment Allotment) Admit(region oleandervane.Region, offered map[oleandervane.Region]float64) map[oleandervane.Region]float64 {
	admitted := make(map[oleandervane.Region]float64, len(offered))
	admitted[region] = min(offered[region], allotment.TotalPerSecond)
	left := allotment.TotalPerSecond - admitted[region]
	sourceTotal := 0.0
	for home, rate := range offered {
		if home != region {
			admitted[home] = min(rate, allotment.LimitPerSecond[home])
			sourceTotal += admitted[home]
		}
	}
	if sourceTotal <= left {
		return admitted
	}
	for home := range admitted {
		if home != region {
			admitted[home] *= left / sourceTotal
		}
	}
	return admitted
}
