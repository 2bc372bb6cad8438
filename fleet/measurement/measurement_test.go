package measurement

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/figure"
	"oleandervane.example/fleet/gossip"
	"oleandervane.example/fleet/membership"
	"oleandervane.example/fleet/peer"
	"oleandervane.example/timer"
)

var pronostico = &oleandervane.Configuration{Services: map[oleandervane.ServiceName]oleandervane.Service{
	"pronostico": {Name: "pronostico", Slots: 9, ProbeCost: 6 * time.Millisecond, ServiceTime: 100 * time.Millisecond},
}}

// sharedGossip is the gossip of one VM; all VMs of a test share its values without delay.
type sharedGossip struct {
	members *membership.Membership
	clock   *timer.Manual
	values  map[string]map[string]gossip.Value
	servers []oleandervane.BackendServer
}

func (shared *sharedGossip) Publish(topic string, _ gossip.Scope, content []byte, lifetime time.Duration) {
	shared.put(topic, string(shared.members.Self().ID), content, lifetime)
}

func (shared *sharedGossip) PublishUrgently(topic string, _ gossip.Scope, content []byte, lifetime time.Duration) {
	shared.put(topic, string(shared.members.Self().ID), content, lifetime)
}

func (shared *sharedGossip) PublishForRegion(topic string, _ gossip.Scope, content []byte, lifetime time.Duration) {
	shared.put(topic, string(shared.members.Self().Region), content, lifetime)
}

func (shared *sharedGossip) put(topic, owner string, content []byte, lifetime time.Duration) {
	if shared.values[topic] == nil {
		shared.values[topic] = map[string]gossip.Value{}
	}
	now := shared.clock.Now()
	shared.values[topic][owner] = gossip.Value{Topic: topic, Owner: owner, WrittenAt: now, ExpiresAt: now.Add(lifetime), Content: content}
}

func (shared *sharedGossip) Values(topic string) []gossip.Value {
	var result []gossip.Value
	for _, value := range shared.values[topic] {
		result = append(result, value)
	}
	return result
}

func (shared *sharedGossip) RanksFirst(string) bool { return shared.members.Self().ID == "vm-000" }

func (shared *sharedGossip) BackendServers() ([]oleandervane.BackendServer, time.Time) {
	return shared.servers, shared.clock.Now()
}

func (shared *sharedGossip) Membership() *membership.Membership { return shared.members }

type fixedConfiguration struct{}

func (fixedConfiguration) Configuration() *oleandervane.Configuration { return pronostico }

// countingProber counts probes and responds after 6 ms.
type countingProber struct {
	clock *timer.Manual
	count *int
}

func (prober countingProber) Probe(_ oleandervane.BackendServer, done func(oleandervane.LoadReport, error)) {
	*prober.count++
	prober.clock.After(6*time.Millisecond, func(now time.Time) {
		done(oleandervane.LoadReport{InFlight: 4, MeasuredAt: now}, nil)
	})
}

// discardingTransport drops the pushes of a membership.
type discardingTransport struct{ membership.Transport }

func (discardingTransport) Push(netip.AddrPort, *peer.Packet, time.Duration, func(error)) {}

func entryVM(index int) oleandervane.EntryVM {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 7000)
	return oleandervane.EntryVM{
		ID: oleandervane.VMID(fmt.Sprintf("vm-%03d", index)), Incarnation: 1, Region: "centro", FailureDomain: "a",
		CallerAddress: address, PeerAddress: address,
	}
}

// startMeasurements starts count VMs, each of which regards a random share of the others as dead.
func startMeasurements(t testing.TB, count int, deadShare float64) ([]*Measurement, *timer.Manual, *int) {
	clock := timer.NewManual(time.Unix(1_800_000_000, 0))
	random := rand.New(rand.NewPCG(uint64(count), 1))
	probes := 0
	values := map[string]map[string]gossip.Value{}
	var result []*Measurement
	for index := range count {
		members := membership.New(membership.Settings{Self: entryVM(index), TimerService: clock, Transport: discardingTransport{}, Random: random})
		for other := range count {
			if other == index {
				continue
			}
			record := membership.Record{VM: entryVM(other), Version: 1}
			assert.NilError(t, members.HandlePush(&peer.Packet{From: record.Wire()}))
			if random.Float64() < deadShare {
				assert.NilError(t, members.HandlePush(&peer.Packet{From: record.WithState(oleandervane.VMDead).Wire()}))
			}
		}
		shared := &sharedGossip{members: members, clock: clock, values: values, servers: []oleandervane.BackendServer{{
			ID: "pronostico-1", Service: "pronostico", Region: "centro", Slots: 9,
		}}}
		measurement := New(Settings{
			TimerService: clock, Gossip: shared, Prober: countingProber{clock, &probes}, Configuration: fixedConfiguration{}, Random: random,
		})
		measurement.Start()
		result = append(result, measurement)
	}
	return result, clock, &probes
}

// Guards against probes that take more than 1% of an instance's slot time, both when views agree and when each VM
// regards 80% of the others as dead, so that many VMs consider themselves assigned.
func TestFigureProbeBudget(t *testing.T) {
	for _, count := range []int{1, 7, 41} {
		for name, deadShare := range map[string]float64{"agreeing": 0, "differing": 0.8} {
			_, clock, probes := startMeasurements(t, count, deadShare)
			clock.Advance(time.Minute)
			share := 100 * float64(*probes) * 0.006 / (9 * 60)
			assert.Assert(t, *probes > 0)
			figure.Require(t, figure.Figure{Name: fmt.Sprintf("fleet_probe_share_%s_%d", name, count), Value: share, Unit: "percent", Bound: 1})
		}
	}
}

// Guards the budget for control traffic under load, when every VM gets load reports of every backend server with its
// requests: in a region of 41 VMs and 60 backend servers, a VM must not receive a report of each server from each VM.
// The bound is an eighth of 20 KB/s.
func TestFigureReportsHeardUnderLoad(t *testing.T) {
	const vms, servers = 41, 60
	measurements, clock, _ := startMeasurements(t, vms, 0)
	cancel := clock.Every(time.Second, func(now time.Time) {
		for _, measurement := range measurements {
			for server := range servers {
				measurement.Observe(oleandervane.LoadReport{
					BackendServer: oleandervane.BackendServerID(fmt.Sprintf("pronostico-%03d", server)), InFlight: 4, MeasuredAt: now,
				})
			}
		}
	})
	defer cancel()
	clock.Advance(20 * time.Second)
	bytes := 0
	for _, value := range measurements[0].settings.Gossip.Values(loadTopic) {
		bytes += len(value.Content)
	}
	perSecond := float64(bytes) / measurements[0].publishPeriod().Seconds()
	figure.Require(t, figure.Figure{Name: "fleet_reports_heard_under_load", Value: perSecond, Unit: "B/s", Bound: 20_000 / 8})
}

// Guards against probes by a VM that has current reports from its requests, and against reports that lose their age or
// source.
func TestReportsKeepAgeAndSource(t *testing.T) {
	measurements, clock, probes := startMeasurements(t, 3, 0)
	clock.Advance(10 * time.Second)
	assert.Assert(t, *probes >= 10 && *probes <= 20, "%d probes", *probes)
	before := *probes
	for range 20 {
		for _, measurement := range measurements {
			measurement.Observe(oleandervane.LoadReport{BackendServer: "pronostico-1", InFlight: 7, MeasuredAt: clock.Now()})
		}
		clock.Advance(500 * time.Millisecond)
	}
	assert.Assert(t, *probes-before <= 2, "%d probes although requests returned load reports", *probes-before)
	measurements[1].Observe(oleandervane.LoadReport{BackendServer: "pronostico-2", InFlight: 1, Leaving: true, MeasuredAt: clock.Now()})
	measuredAt := clock.Now()
	clock.Advance(7 * time.Second)
	report, found := measurements[2].LoadReport("pronostico-2")
	assert.Assert(t, found && report.Leaving)
	assert.Equal(t, report.Source, oleandervane.VMID("vm-001"))
	assert.Assert(t, report.MeasuredAt.Sub(measuredAt).Abs() <= 2*time.Millisecond, "%v", report.MeasuredAt.Sub(measuredAt))
	clock.Advance(time.Minute)
	_, found = measurements[2].LoadReport("pronostico-2")
	assert.Assert(t, !found, "a report older than a minute must not be returned")
}

// Guards against counting an instance or a VM's demand twice, free slots that count on the basis of old reports, and a
// wrong coverage.
func TestSummarize(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	servers := make([]oleandervane.BackendServer, 0, 4)
	for index := range 4 {
		servers = append(servers, oleandervane.BackendServer{ID: oleandervane.BackendServerID(fmt.Sprint(index)), Service: "pronostico", Region: "centro", Slots: 9})
	}
	servers = append(servers, servers[0], oleandervane.BackendServer{ID: "9", Service: "pronostico", Region: "norte", Slots: 9})
	flow := oleandervane.Flow{Service: "pronostico", Home: "centro"}
	demands := []FlowDemand{{"a", flow, 20}, {"a", flow, 20}, {"b", flow, 5}, {"b", oleandervane.Flow{Service: "pronostico", Home: "norte"}, 50}}
	for _, test := range []struct {
		name                     string
		ages                     []time.Duration
		leaving, cold            bool
		capacity, used, coverage float64
	}{
		{"fresh", []time.Duration{0, 5 * time.Second, time.Second, 2 * time.Second}, false, false, 360, 120, 1},
		{"half stale", []time.Duration{17500 * time.Millisecond}, false, false, 90, 60, 0.25},
		{"stale", []time.Duration{30 * time.Second, time.Hour}, false, false, 0, 0, 0},
		{"leaving", []time.Duration{0}, true, false, 30, 30, 0.25},
		{"cold", []time.Duration{0}, false, true, 30, 30, 0.25},
	} {
		reports := map[oleandervane.BackendServerID]oleandervane.LoadReport{}
		oldest := now
		for index, age := range test.ages {
			id := servers[index].ID
			reports[id] = oleandervane.LoadReport{BackendServer: id, InFlight: 3, Leaving: test.leaving, Cold: test.cold, MeasuredAt: now.Add(-age)}
			if test.coverage > 0 && now.Add(-age).Before(oldest) {
				oldest = now.Add(-age)
			}
		}
		summaries := Summarize(now, "centro", pronostico, servers, reports, demands)
		assert.Equal(t, len(summaries), 1, test.name)
		summary := summaries[0]
		got := []float64{summary.CapacityPerSecond, summary.UsedPerSecond, summary.Coverage, summary.DemandPerSecond}
		assert.Equal(t, fmt.Sprintf("%.2f", got), fmt.Sprintf("%.2f", []float64{test.capacity, test.used, test.coverage, 25}), test.name)
		assert.Assert(t, summary.MeasuredAt.Equal(oldest), test.name)
	}
}

// Guards against summaries that do not reach other VMs with their age.
func TestSummariesAreShared(t *testing.T) {
	measurements, clock, _ := startMeasurements(t, 3, 0)
	for range 24 {
		measurements[1].CountRequest("pronostico", "centro")
		clock.Advance(500 * time.Millisecond)
	}
	summaries := measurements[2].Summaries()
	assert.Equal(t, len(summaries), 1)
	assert.Equal(t, summaries[0].Region, oleandervane.Region("centro"))
	assert.Assert(t, summaries[0].DemandPerSecond > 1 && summaries[0].DemandPerSecond < 3, "%v", summaries[0].DemandPerSecond)
	assert.Equal(t, summaries[0].Coverage, 1.0)
}

// Guards against values from a peer that crash the decoders or contain invalid rates.
func FuzzDecodeMeasurements(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("\n\x08\n\x06ledger"))
	f.Fuzz(func(t *testing.T, content []byte) {
		if message, err := decodeReports(content); err == nil {
			for _, record := range message.Reports {
				reportFromWire(record, gossip.Value{})
			}
		}
		summaries, err := decodeSummaries(content, "centro", time.Unix(0, 0))
		for _, summary := range summaries {
			if err == nil && !(summary.CapacityPerSecond >= 0 && summary.Coverage >= 0) {
				t.Fatalf("accepted %+v", summary)
			}
		}
	})
}

// Guards against an interval with which all VMs of a region together exceed the budget, at any fleet size.
func TestInterval(t *testing.T) {
	for vms := 1; vms < 3000; vms += 7 {
		for _, slots := range []int{0, 1, 3, 9, 64} {
			interval := ProbeInterval(vms, slots, 6*time.Millisecond)
			share := float64(vms) * 0.006 / interval.Seconds() / float64(max(1, slots))
			assert.Assert(t, share <= ProbeBudgetShare*1.000001 && interval >= MinProbeInterval, "%d VMs, %d slots: %v", vms, slots, interval)
		}
	}
}
