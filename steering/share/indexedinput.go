package share

import (
	"maps"
	"slices"
	"time"

	"oleandervane.example"
)

// indexedInput is a steering input with regions as indices, which keeps a decision cheap at 132 flows.
type indexedInput struct {
	input   oleandervane.SteeringInput
	regions []oleandervane.Region
	index   map[oleandervane.Region]int
	lost    []bool
	// part, delay and linkBytes have one row for each home region.
	part      [][]float64
	delay     [][]time.Duration
	linkBytes [][]float64
	// near has for each home region the other regions in groups of the same delay, nearest first.
	near [][][]int
}

// serviceState is the known state of one service in all regions.
type serviceState struct {
	service  oleandervane.Service
	measured []bool
	// usable is the capacity less the headroom, in requests per second.
	usable []float64
	// drains is the state of planned drains.
	drains []DrainState
	demand []float64
	age    []time.Duration
	// granted has one row for each home region, in requests per second.
	granted [][]float64
}

func newIndexedInput(input oleandervane.SteeringInput) *indexedInput {
	configuration := input.Configuration
	regions := slices.Sorted(maps.Keys(configuration.Regions))
	size := len(regions)
	indexedInput := &indexedInput{
		input:     input,
		regions:   regions,
		index:     make(map[oleandervane.Region]int, size),
		lost:      make([]bool, size),
		part:      matrix[float64](size),
		delay:     matrix[time.Duration](size),
		linkBytes: matrix[float64](size),
	}
	for i, region := range regions {
		indexedInput.index[region] = i
		indexedInput.lost[i] = input.LostRegions[region]
	}
	indexedInput.readLinks(configuration.Links)
	for home := range regions {
		indexedInput.near = append(indexedInput.near, indexedInput.groups(home))
	}
	return indexedInput
}

func (indexedInput *indexedInput) readLinks(links []oleandervane.Link) {
	for _, link := range links {
		from, knownFrom := indexedInput.index[link.From]
		to, knownTo := indexedInput.index[link.To]
		if !knownFrom || !knownTo || from == to {
			continue
		}
		seconds := max(link.Delay, shortestDelay).Seconds()
		indexedInput.part[from][to] = 1 / (seconds * seconds)
		indexedInput.delay[from][to] = link.Delay
		indexedInput.linkBytes[from][to] = float64(link.BytesPerSecond)
	}
	for home := range indexedInput.part {
		total := 0.0
		for _, weight := range indexedInput.part[home] {
			total += weight
		}
		for to := range indexedInput.part[home] {
			if total > 0 {
				indexedInput.part[home][to] /= total
			}
		}
	}
}

// serviceStates groups the summaries and grants of the input by service.
func (indexedInput *indexedInput) serviceStates(names []oleandervane.ServiceName, drainState DrainStateFunc) []*serviceState {
	states := make([]*serviceState, len(names))
	byName := make(map[oleandervane.ServiceName]*serviceState, len(names))
	for i, name := range names {
		states[i] = indexedInput.newServiceState(indexedInput.input.Configuration.Services[name], drainState)
		byName[name] = states[i]
	}
	for _, summary := range indexedInput.input.Summaries {
		indexedInput.addSummary(byName[summary.Service], summary)
	}
	for _, grant := range indexedInput.input.Grants {
		indexedInput.addGrant(byName[grant.Service], grant)
	}
	return states
}

func (indexedInput *indexedInput) newServiceState(service oleandervane.Service, drainState DrainStateFunc) *serviceState {
	size := len(indexedInput.regions)
	state := &serviceState{
		service:  service,
		measured: make([]bool, size),
		usable:   make([]float64, size),
		drains:   make([]DrainState, size),
		demand:   make([]float64, size),
		age:      make([]time.Duration, size),
		granted:  matrix[float64](size),
	}
	for i, region := range indexedInput.regions {
		if drainState != nil {
			state.drains[i] = drainState(indexedInput.input.Now, region, service.Name)
		}
	}
	return state
}

func (indexedInput *indexedInput) addSummary(state *serviceState, summary oleandervane.RegionSummary) {
	region, known := indexedInput.index[summary.Region]
	if state == nil || !known {
		return
	}
	age := max(0, indexedInput.input.Now.Sub(summary.MeasuredAt))
	if state.measured[region] && state.age[region] <= age {
		return
	}
	state.measured[region] = true
	state.age[region] = age
	state.usable[region] = positive(summary.CapacityPerSecond) * (1 - state.service.Headroom)
	state.demand[region] = positive(summary.DemandPerSecond)
}

func (indexedInput *indexedInput) addGrant(state *serviceState, grant oleandervane.Grant) {
	from, knownFrom := indexedInput.index[grant.From]
	to, knownTo := indexedInput.index[grant.To]
	if state == nil || !knownFrom || !knownTo || !grant.ExpiresAt.After(indexedInput.input.Now) {
		return
	}
	state.granted[from][to] += positive(grant.PerSecond)
}

func matrix[Value any](size int) [][]Value {
	cells := make([]Value, size*size)
	rows := make([][]Value, size)
	for i := range rows {
		rows[i] = cells[i*size : (i+1)*size]
	}
	return rows
}

// positive returns a reported value, or 0 if it is negative or not a number.
func positive(value float64) float64 {
	if value > 0 {
		return value
	}
	return 0
}
