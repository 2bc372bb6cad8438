package share

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/figure"
)

// largeInput is the input of a decision at the size expected in two years: 11 regions and 12 services, each with
// overflow.
func largeInput() oleandervane.SteeringInput {
	configuration := &oleandervane.Configuration{
		Regions: map[oleandervane.Region]oleandervane.RegionSettings{}, Services: map[oleandervane.ServiceName]oleandervane.Service{},
	}
	input := oleandervane.SteeringInput{Now: start, Configuration: configuration, Shares: map[oleandervane.Flow]oleandervane.ShareVector{}}
	for i := range 11 {
		from := oleandervane.Region(fmt.Sprintf("region%02d", i))
		configuration.Regions[from] = oleandervane.RegionSettings{Name: from}
		for j := range 11 {
			if i != j {
				configuration.Links = append(configuration.Links, oleandervane.Link{
					From: from, To: oleandervane.Region(fmt.Sprintf("region%02d", j)), Delay: time.Duration(5+i+j) * time.Millisecond, BytesPerSecond: 500e6,
				})
			}
		}
	}
	for s := range 12 {
		name := oleandervane.ServiceName(fmt.Sprintf("service%02d", s))
		configuration.Services[name] = oleandervane.Service{Name: name, Headroom: 0.2, ShiftCap: 0.05, FailoverCap: 0.5, ShiftWindow: 10 * time.Second, RequestBytes: 4000}
		for i := range 11 {
			from := oleandervane.Region(fmt.Sprintf("region%02d", i))
			input.Summaries = append(input.Summaries, oleandervane.RegionSummary{
				Region: from, Service: name, CapacityPerSecond: 1000, DemandPerSecond: 500 + 70*float64(i), MeasuredAt: start.Add(-time.Second),
			})
			for j := range 11 {
				if i != j {
					input.Grants = append(input.Grants, oleandervane.Grant{
						Service: name, From: from, To: oleandervane.Region(fmt.Sprintf("region%02d", j)), PerSecond: 20, ExpiresAt: start.Add(time.Hour),
					})
				}
			}
		}
	}
	policy := NewPolicy(nil)
	for second := range 10 {
		input.Now = start.Add(time.Duration(second) * time.Second)
		input.Shares = policy.Decide(input).Shares
		input.History = append(input.History, oleandervane.SharesAt{From: input.Now, Shares: input.Shares})
	}
	return input
}

// BenchmarkFigureDecision measures one decision with a full window of changing shares. A VM may use 1.3% of a core for
// control; the decision of each second may use a tenth of that (1.3 ms) and allocate a tenth of 64 MB (6.4 MB, which
// TestFigureMemory checks).
func BenchmarkFigureDecision(b *testing.B) {
	input := largeInput()
	policy := NewPolicy(nil)
	b.ReportAllocs()
	for b.Loop() {
		policy.Decide(input)
	}
	perDecision := b.Elapsed().Seconds() / float64(b.N)
	figure.Report(b, figure.Figure{Name: "steering_decision_11_regions_12_services", Value: 1e3 * perDecision, Unit: "ms", Bound: 1.3})
}

// BenchmarkFigureChooseRegion measures the choice on the request path.
func BenchmarkFigureChooseRegion(b *testing.B) {
	steerer := steererOf(largeInput())
	b.ReportAllocs()
	for b.Loop() {
		_, _ = steerer.ChooseRegion("service03", "region10", 0.9)
	}
	figure.Report(b, figure.Figure{Name: "steering_choose_region", Value: 1e9 * b.Elapsed().Seconds() / float64(b.N), Unit: "ns", Bound: 500})
}

func steererOf(input oleandervane.SteeringInput) *Steerer {
	steerer := NewSteerer(oleandervane.EntryVM{ID: "vm", Region: "region00"}, nil, NewPolicy(nil))
	decision := oleandervane.SteeringDecision{Shares: input.Shares}
	steerer.history = input.History
	steerer.publish(input.Now, input.Configuration, decision)
	return steerer
}

// Guards against a decision or a choice that allocates more memory than a VM can spare, and against a snapshot near
// the store's limit of 1 MB.
func TestFigureMemory(t *testing.T) {
	input := largeInput()
	policy := NewPolicy(nil)
	bytes := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			policy.Decide(input)
		}
	}).AllocedBytesPerOp()
	figure.Report(t, figure.Figure{Name: "steering_decision_bytes", Value: float64(bytes) / 1e6, Unit: "MB", Bound: 6.4})
	steerer := steererOf(input)
	allocations := testing.AllocsPerRun(100, func() { _, _ = steerer.ChooseRegion("service03", "region10", 0.9) })
	figure.Require(t, figure.Figure{Name: "steering_choose_region_allocations", Value: allocations, Unit: "allocs/op"})
	snapshot, found := steerer.Snapshot()
	assert.Assert(t, found)
	encoded, err := snapshot.Encode()
	assert.NilError(t, err)
	figure.Require(t, figure.Figure{Name: "steering_snapshot_bytes", Value: float64(len(encoded)), Unit: "bytes", Bound: MaxSnapshotBytes / 2})
}
