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

// Topics of shared measurements.
const (
	loadTopic    = "load"
	summaryTopic = "region_summary"
)

// demandWindow is the time over which demand is averaged.
const demandWindow = 5 * time.Second

// demand counts the requests of one flow at this VM.
type demand struct {
	count     int
	since     time.Time
	perSecond float64
}

// CountRequest counts a request of a caller whose home region is home. It is counted where the caller's request first
// arrives, and not again at the VM to which it is relayed, so that demand is counted once.
func (measurement *Measurement) CountRequest(serviceName oleandervane.ServiceName, home oleandervane.Region) {
	flow := oleandervane.Flow{Service: serviceName, Home: home}
	measurement.mutex.Lock()
	defer measurement.mutex.Unlock()
	counted, found := measurement.demands[flow]
	if !found {
		counted = &demand{since: measurement.settings.TimerService.Now()}
		measurement.demands[flow] = counted
	}
	counted.count++
}

// roll ends the window when it is over. A flow without requests in a window is dropped.
func (measurement *Measurement) roll(now time.Time) {
	for flow, counted := range measurement.demands {
		passed := now.Sub(counted.since)
		if passed < demandWindow {
			continue
		}
		if counted.count == 0 {
			delete(measurement.demands, flow)
			continue
		}
		counted.perSecond = float64(counted.count) / passed.Seconds()
		counted.count = 0
		counted.since = now
	}
}

// publish shares what this VM itself measured of the backend servers that are assigned to it, and which others are
// leaving. What it heard from others is not repeated, so that a value has one owner. Under load it sees all the region's
// backend servers on requests; if every VM shared all of them, the region would hear each of them from every VM.
func (measurement *Measurement) publish(urgent bool) {
	now := measurement.settings.TimerService.Now()
	view := measurement.settings.Gossip.Membership().View()
	self := view.Self.ID
	measurement.mutex.Lock()
	measurement.publishedAt = now
	measurement.roll(now)
	message := &peer.LoadReports{}
	for _, report := range measurement.reports {
		if report.Source != self || report.Age(now) >= reportLife {
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
	content := boundedReports(message)
	if urgent {
		measurement.settings.Gossip.PublishUrgently(loadTopic, gossip.RegionScope, content, reportLife)
		return
	}
	measurement.settings.Gossip.Publish(loadTopic, gossip.RegionScope, content, reportLife)
}

// boundedReports encodes the reports; when they are too many for a value, the oldest are left out.
func boundedReports(message *peer.LoadReports) []byte {
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

// hear takes the reports of other VMs of the region. Their ages are those of the value plus that of the report when
// the value was written.
func (measurement *Measurement) hear(now time.Time) {
	values := measurement.settings.Gossip.Values(loadTopic)
	self := string(measurement.settings.Gossip.Membership().Self().ID)
	measurement.mutex.Lock()
	defer measurement.mutex.Unlock()
	if len(measurement.heard) > 2*len(values)+1 {
		clear(measurement.heard)
	}
	for _, value := range values {
		if value.Owner == self || measurement.heard[value.Owner].Equal(value.WrittenAt) {
			continue
		}
		measurement.heard[value.Owner] = value.WrittenAt
		message, err := decodeReports(value.Content)
		if err != nil {
			continue
		}
		for _, record := range message.Reports {
			report := reportFromWire(record, value)
			if report.Age(now) < reportLife {
				measurement.take(report)
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
