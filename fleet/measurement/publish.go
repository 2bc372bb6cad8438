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

// Topics of published measurements.
const (
	loadTopic    = "load"
	summaryTopic = "region_summary"
)

// demandWindow is the time over which demand is averaged.
const demandWindow = 5 * time.Second

// demand counts the requests of one flow at this VM.
type demand struct {
	count     int
	startedAt time.Time
	perSecond float64
}

// CountRequest counts a request of a caller whose home region is home. A request is counted only at the VM where it
// first arrives, and not again at a VM that it is relayed to, so that demand is counted once.
func (measurement *Measurement) CountRequest(serviceName oleandervane.ServiceName, home oleandervane.Region) {
	flow := oleandervane.Flow{Service: serviceName, Home: home}
	measurement.mutex.Lock()
	defer measurement.mutex.Unlock()
	counted, found := measurement.demands[flow]
	if !found {
		counted = &demand{startedAt: measurement.settings.TimerService.Now()}
		measurement.demands[flow] = counted
	}
	counted.count++
}

// rollDemands starts a new window for each flow whose window has ended. A flow without requests in its window is
// removed.
func (measurement *Measurement) rollDemands(now time.Time) {
	for flow, counted := range measurement.demands {
		elapsed := now.Sub(counted.startedAt)
		if elapsed < demandWindow {
			continue
		}
		if counted.count == 0 {
			delete(measurement.demands, flow)
			continue
		}
		counted.perSecond = float64(counted.count) / elapsed.Seconds()
		counted.count = 0
		counted.startedAt = now
	}
}

// publish publishes the VM's own measurements of the backend servers assigned to it, and which other ones are leaving.
// Reports from other VMs are not repeated, so that a value has one owner. Under load a VM sees all backend servers of
// the region in responses; if every VM published all of them, the region would receive each report from every VM.
func (measurement *Measurement) publish(urgent bool) {
	now := measurement.settings.TimerService.Now()
	view := measurement.settings.Gossip.Membership().View()
	self := view.Self.ID
	measurement.mutex.Lock()
	measurement.publishedAt = now
	measurement.rollDemands(now)
	message := &peer.LoadReports{}
	for _, report := range measurement.reports {
		if report.Source != self || report.Age(now) >= reportLifetime {
			continue
		}
		if !report.Leaving && !assignedTo(view, report.BackendServer) {
			continue
		}
		message.Reports = append(message.Reports, &peer.LoadReportRecord{
			BackendServer: string(report.BackendServer),
			InFlight:      uint32(max(0, report.InFlight)),
			Queued:        uint32(max(0, report.Queued)),
			Leaving:       report.Leaving,
			Cold:          report.Cold,
			AgeMillis:     uint32(report.Age(now).Milliseconds()),
		})
	}
	for flow, counted := range measurement.demands {
		message.Demands = append(message.Demands, &peer.DemandRecord{
			Service: string(flow.Service), Home: string(flow.Home), PerSecond: float32(counted.perSecond),
		})
	}
	measurement.mutex.Unlock()
	slices.SortFunc(message.Reports, func(a, b *peer.LoadReportRecord) int { return cmp.Compare(a.AgeMillis, b.AgeMillis) })
	content := encodeReports(message)
	if urgent {
		measurement.settings.Gossip.PublishUrgently(loadTopic, gossip.RegionScope, content, reportLifetime)
		return
	}
	measurement.settings.Gossip.Publish(loadTopic, gossip.RegionScope, content, reportLifetime)
}

// encodeReports encodes the reports; if they are too large for a value, it leaves out the oldest.
func encodeReports(message *peer.LoadReports) []byte {
	for {
		content, err := proto.Marshal(message)
		if err != nil {
			return nil
		}
		if len(content) <= peer.MaxTopicValueBytes || len(message.Reports) == 0 {
			return content
		}
		message.Reports = message.Reports[:len(message.Reports)/2]
	}
}

// mergePeerReports merges the reports of other VMs of the region. The age of a report is the age of the value plus the
// age of the report when the value was written.
func (measurement *Measurement) mergePeerReports(now time.Time) {
	values := measurement.settings.Gossip.Values(loadTopic)
	self := string(measurement.settings.Gossip.Membership().Self().ID)
	measurement.mutex.Lock()
	defer measurement.mutex.Unlock()
	if len(measurement.mergedAt) > 2*len(values)+1 {
		clear(measurement.mergedAt)
	}
	for _, value := range values {
		if value.Owner == self || measurement.mergedAt[value.Owner].Equal(value.WrittenAt) {
			continue
		}
		measurement.mergedAt[value.Owner] = value.WrittenAt
		message, err := decodeReports(value.Content)
		if err != nil {
			continue
		}
		for _, record := range message.Reports {
			report := reportFromWire(record, value)
			if report.Age(now) < reportLifetime {
				measurement.record(report)
			}
		}
	}
}

func decodeReports(content []byte) (*peer.LoadReports, error) {
	message := &peer.LoadReports{}
	if err := proto.Unmarshal(content, message); err != nil {
		return nil, err
	}
	return message, nil
}

func reportFromWire(record *peer.LoadReportRecord, value gossip.Value) oleandervane.LoadReport {
	return oleandervane.LoadReport{
		BackendServer: oleandervane.BackendServerID(record.GetBackendServer()),
		InFlight:      int(record.GetInFlight()),
		Queued:        int(record.GetQueued()),
		Leaving:       record.GetLeaving(),
		Cold:          record.GetCold(),
		MeasuredAt:    value.WrittenAt.Add(-time.Duration(record.GetAgeMillis()) * time.Millisecond),
		Source:        oleandervane.VMID(value.Owner),
	}
}
