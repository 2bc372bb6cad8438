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

// Ages of reports in a summary.
const (
	// freshAge is the age up to which a report counts as it is; staleAge is that from which it counts for nothing.
	// Between them the free slots of an instance shrink to none: old measurements must not invite traffic.
	freshAge = 5 * time.Second
	staleAge = 30 * time.Second
	// summaryLife is how long a region's summary is kept by others.
	summaryLife    = 60 * time.Second
	summaryPurpose = "summary"
	// coldShare is the part of an instance's capacity that counts while it starts cold.
	coldShare = 0.25
	// demandAge is the age up to which a VM's demand counts.
	demandAge = 15 * time.Second
)

// Summary is a region's summary of one service with what it covers. It is immutable.
type Summary struct {
	oleandervane.RegionSummary
	// Coverage is the share of the region's instances, in [0, 1], of which a report younger than 30 s was known.
	Coverage float64
}

// DemandOf is the demand of one flow at one VM.
type DemandOf struct {
	VM        oleandervane.VMID
	Flow      oleandervane.Flow
	PerSecond float64
}

// Summarize returns the summary of each service of a region, ordered by service. It is a pure function: each instance
// counts once, with its newest report, and each VM's demand counts once. The time of a summary is that of the oldest
// report in it, so its age is never understated. CapacityPerSecond counts instances that are neither leaving nor
// silent.
func Summarize(
	now time.Time, region oleandervane.Region, configuration *oleandervane.Configuration,
	backendServers []oleandervane.BackendServer, reports map[oleandervane.BackendServerID]oleandervane.LoadReport, demands []DemandOf,
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
		report, heard := reports[backendServer.ID]
		sumOf(sums, backendServer.Service, now).add(backendServer, service, report, heard, now)
	}
	addDemands(sums, region, demands, now)
	result := make([]Summary, 0, len(sums))
	for serviceName, total := range sums {
		result = append(result, total.summary(region, serviceName))
	}
	slices.SortFunc(result, func(a, b Summary) int { return cmp.Compare(a.Service, b.Service) })
	return result
}

// sum adds up the instances of one service.
type sum struct {
	instances, covered     int
	capacity, used, demand float64
	oldest                 time.Time
}

func sumOf(sums map[oleandervane.ServiceName]*sum, serviceName oleandervane.ServiceName, now time.Time) *sum {
	found, exists := sums[serviceName]
	if !exists {
		found = &sum{oldest: now}
		sums[serviceName] = found
	}
	return found
}

func (sum *sum) add(backendServer oleandervane.BackendServer, service oleandervane.Service, report oleandervane.LoadReport, heard bool, now time.Time) {
	sum.instances++
	if !heard || report.Age(now) >= staleAge {
		return
	}
	sum.covered++
	if report.MeasuredAt.Before(sum.oldest) {
		sum.oldest = report.MeasuredAt
	}
	perSlot := 1 / service.ServiceTime.Seconds()
	slots := float64(backendServer.Slots)
	busy := min(slots, float64(report.InFlight))
	// The part of the free slots that is taken for used grows with the age of the report.
	doubt := min(1, max(0, (report.Age(now)-freshAge).Seconds()/(staleAge-freshAge).Seconds()))
	sum.used += (busy + (slots-busy)*doubt) * perSlot
	if report.Leaving || backendServer.Leaving {
		// A leaving instance completes its requests and takes no more: what it uses is all that it can serve.
		sum.capacity += (busy + (slots-busy)*doubt) * perSlot
		return
	}
	if report.Cold {
		sum.capacity += max(coldShare*slots, busy+(slots-busy)*doubt) * perSlot
		return
	}
	sum.capacity += slots * perSlot
}

func addDemands(sums map[oleandervane.ServiceName]*sum, region oleandervane.Region, demands []DemandOf, now time.Time) {
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

// publishSummaries shares the region's summaries when this VM is the one to do so.
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
	measurement.settings.Gossip.PublishForRegion(summaryTopic, gossip.FleetScope, content, summaryLife)
}

func (measurement *Measurement) ownSummaries(backendServers []oleandervane.BackendServer, now time.Time) []Summary {
	region := measurement.settings.Gossip.Membership().Self().Region
	demands := measurement.knownDemands(now)
	measurement.mutex.Lock()
	defer measurement.mutex.Unlock()
	return Summarize(now, region, measurement.settings.Configuration.Configuration(), backendServers, measurement.reports, demands)
}

// knownDemands returns the demand that each VM of the region shared last. A request that enters at a VM of another
// region than the caller's home is not seen here.
func (measurement *Measurement) knownDemands(now time.Time) []DemandOf {
	var result []DemandOf
	for _, value := range measurement.settings.Gossip.Values(loadTopic) {
		message, err := decodeReports(value.Content)
		if err != nil || now.Sub(value.WrittenAt) > demandAge {
			continue
		}
		for _, record := range message.Demands {
			result = append(result, DemandOf{
				VM:        oleandervane.VMID(value.Owner),
				Flow:      oleandervane.Flow{Service: oleandervane.ServiceName(record.GetService()), Home: oleandervane.Region(record.GetHome())},
				PerSecond: float64(record.GetPerSecond()),
			})
		}
	}
	return result
}

// Summaries returns the newest summaries of all regions that are known here, with the age of the oldest report in
// each.
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

// decodeSummaries reads the value of a region. Numbers that cannot be true are refused with the whole value.
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
