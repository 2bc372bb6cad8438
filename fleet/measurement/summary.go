package measurement

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"oleandervane.example"
	"oleandervane.example/fleet/gossip"
	"oleandervane.example/fleet/peer"
)

// Constants of summaries.
const (
	// freshAge is the age up to which the free slots in a report count fully; staleAge is the age from which the report
	// is ignored. Between them the counted free slots of an instance shrink to none: old measurements must not attract
	// traffic.
	freshAge = 5 * time.Second
	staleAge = 30 * time.Second
	// summaryLifetime is how long other VMs store the summaries of a region.
	summaryLifetime = 60 * time.Second
	summaryPurpose  = "summary"
	// coldShare is the share of an instance's capacity that counts during its cold start.
	coldShare = 0.25
	// maxDemandAge is the age up to which a VM's demand counts.
	maxDemandAge = 15 * time.Second
)

// Summary is a region's summary of one service with its coverage. It is immutable.
type Summary struct {
	oleandervane.RegionSummary
	// Coverage is the share of the region's instances, in [0, 1], that have a known report younger than 30 s.
	Coverage float64
}

// FlowDemand is the demand of one flow at one VM.
type FlowDemand struct {
	VM        oleandervane.VMID
	Flow      oleandervane.Flow
	PerSecond float64
}

// Summarize returns the summary of each service of a region, ordered by service. It is a pure function: each instance
// counts once, with its newest report, and each VM's demand counts once. The time of a summary is the time of its
// oldest report, so its age is never understated. CapacityPerSecond counts all instances with a report that is not
// stale; of a leaving instance only the slots in use.
func Summarize(
	now time.Time, region oleandervane.Region, configuration *oleandervane.Configuration,
	backendServers []oleandervane.BackendServer, reports map[oleandervane.BackendServerID]oleandervane.LoadReport, demands []FlowDemand,
) []Summary {
	if configuration == nil {
		return nil
	}
	sums := map[oleandervane.ServiceName]*sum{}
	counted := map[oleandervane.BackendServerID]bool{}
	for _, backendServer := range backendServers {
		service, found := configuration.Services[backendServer.Service]
		if !found || backendServer.Region != region || counted[backendServer.ID] || service.ServiceTime <= 0 {
			continue
		}
		counted[backendServer.ID] = true
		report, reported := reports[backendServer.ID]
		sumOf(sums, backendServer.Service, now).add(backendServer, service, report, reported, now)
	}
	addDemands(sums, region, demands, now)
	result := make([]Summary, 0, len(sums))
	for serviceName, total := range sums {
		result = append(result, total.summary(region, serviceName))
	}
	slices.SortFunc(result, func(a, b Summary) int { return cmp.Compare(a.Service, b.Service) })
	return result
}

// sum is the total over the instances of one service.
type sum struct {
	instances, covered     int
	capacity, used, demand float64
	oldest                 time.Time
}

func sumOf(sums map[oleandervane.ServiceName]*sum, serviceName oleandervane.ServiceName, now time.Time) *sum {
	existing, found := sums[serviceName]
	if !found {
		existing = &sum{oldest: now}
		sums[serviceName] = existing
	}
	return existing
}

func (sum *sum) add(backendServer oleandervane.BackendServer, service oleandervane.Service, report oleandervane.LoadReport, reported bool, now time.Time) {
	sum.instances++
	if !reported || report.Age(now) >= staleAge {
		return
	}
	sum.covered++
	if report.MeasuredAt.Before(sum.oldest) {
		sum.oldest = report.MeasuredAt
	}
	perSlot := 1 / service.ServiceTime.Seconds()
	slots := float64(backendServer.Slots)
	busy := min(slots, float64(report.InFlight))
	// The share of the free slots that counts as used grows with the age of the report.
	staleness := min(1, max(0, (report.Age(now)-freshAge).Seconds()/(staleAge-freshAge).Seconds()))
	sum.used += (busy + (slots-busy)*staleness) * perSlot
	if report.Leaving || backendServer.Leaving {
		// A leaving instance completes its requests and accepts no more: its capacity is what it uses.
		sum.capacity += (busy + (slots-busy)*staleness) * perSlot
		return
	}
	if report.Cold {
		sum.capacity += max(coldShare*slots, busy+(slots-busy)*staleness) * perSlot
		return
	}
	sum.capacity += slots * perSlot
}

func addDemands(sums map[oleandervane.ServiceName]*sum, region oleandervane.Region, demands []FlowDemand, now time.Time) {
	type source struct {
		vm   oleandervane.VMID
		flow oleandervane.Flow
	}
	counted := map[source]bool{}
	for _, demand := range demands {
		key := source{vm: demand.VM, flow: demand.Flow}
		if demand.Flow.Home != region || counted[key] {
			continue
		}
		counted[key] = true
		sumOf(sums, demand.Flow.Service, now).demand += max(0, demand.PerSecond)
	}
}

func (sum *sum) summary(region oleandervane.Region, serviceName oleandervane.ServiceName) Summary {
	coverage := 0.0
	if sum.instances > 0 {
		coverage = float64(sum.covered) / float64(sum.instances)
	}
	return Summary{
		Coverage: coverage,
		RegionSummary: oleandervane.RegionSummary{
			Region: region, Service: serviceName, CapacityPerSecond: sum.capacity, UsedPerSecond: sum.used,
			DemandPerSecond: sum.demand, MeasuredAt: sum.oldest,
		},
	}
}

// publishSummaries publishes the region's summaries if this VM ranks first for it.
func (measurement *Measurement) publishSummaries(backendServers []oleandervane.BackendServer) {
	if !measurement.settings.Gossip.RanksFirst(summaryPurpose) {
		return
	}
	now := measurement.settings.TimerService.Now()
	message := &peer.RegionSummaries{}
	for _, summary := range measurement.ownSummaries(backendServers, now) {
		message.Summaries = append(message.Summaries, &peer.SummaryRecord{
			Service:           string(summary.Service),
			CapacityPerSecond: float32(summary.CapacityPerSecond),
			UsedPerSecond:     float32(summary.UsedPerSecond),
			DemandPerSecond:   float32(summary.DemandPerSecond),
			Coverage:          float32(summary.Coverage),
			AgeMillis:         uint32(max(0, now.Sub(summary.MeasuredAt).Milliseconds())),
		})
	}
	content, err := proto.Marshal(message)
	if err != nil || len(message.Summaries) == 0 {
		return
	}
	measurement.settings.Gossip.PublishForRegion(summaryTopic, gossip.FleetScope, content, summaryLifetime)
}

func (measurement *Measurement) ownSummaries(backendServers []oleandervane.BackendServer, now time.Time) []Summary {
	region := measurement.settings.Gossip.Membership().Self().Region
	demands := measurement.knownDemands(now)
	measurement.mutex.Lock()
	defer measurement.mutex.Unlock()
	return Summarize(now, region, measurement.settings.Configuration.Configuration(), backendServers, measurement.reports, demands)
}

// knownDemands returns the demand that each VM of the region published last. It does not include requests that arrive
// at a VM of another region than the caller's home.
func (measurement *Measurement) knownDemands(now time.Time) []FlowDemand {
	var result []FlowDemand
	for _, value := range measurement.settings.Gossip.Values(loadTopic) {
		message, err := decodeReports(value.Content)
		if err != nil || now.Sub(value.WrittenAt) > maxDemandAge {
			continue
		}
		for _, record := range message.Demands {
			result = append(result, FlowDemand{
				VM:        oleandervane.VMID(value.Owner),
				Flow:      oleandervane.Flow{Service: oleandervane.ServiceName(record.GetService()), Home: oleandervane.Region(record.GetHome())},
				PerSecond: float64(record.GetPerSecond()),
			})
		}
	}
	return result
}

// Summaries returns the newest known summaries of all regions, each with the age of its oldest report.
func (measurement *Measurement) Summaries() []Summary {
	var result []Summary
	for _, value := range measurement.settings.Gossip.Values(summaryTopic) {
		summaries, err := decodeSummaries(value.Content, value.Owner, value.WrittenAt)
		if err == nil {
			result = append(result, summaries...)
		}
	}
	return result
}

// decodeSummaries decodes the value of a region. An invalid number makes the whole value invalid.
func decodeSummaries(content []byte, region string, writtenAt time.Time) ([]Summary, error) {
	message := &peer.RegionSummaries{}
	if err := proto.Unmarshal(content, message); err != nil {
		return nil, err
	}
	result := make([]Summary, 0, len(message.Summaries))
	for _, record := range message.Summaries {
		if err := record.Check(); err != nil {
			return nil, err
		}
		result = append(result, Summary{
			Coverage: float64(record.Coverage),
			RegionSummary: oleandervane.RegionSummary{
				Region:            oleandervane.Region(region),
				Service:           oleandervane.ServiceName(record.Service),
				CapacityPerSecond: float64(record.CapacityPerSecond),
				UsedPerSecond:     float64(record.UsedPerSecond),
				DemandPerSecond:   float64(record.DemandPerSecond),
				MeasuredAt:        writtenAt.Add(-time.Duration(record.AgeMillis) * time.Millisecond),
			},
		})
	}
	return result, nil
}
