package measurement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/gossip"
	"oleandervane.example/fleet/membership"
)

// Constants of a Measurement.
const (
	tickPeriod = 250 * time.Millisecond
	// minPublishPeriod is the period at which a VM publishes its measurements in a region of up to publishingVMs VMs.
	// In a larger region the period is longer, so that the data that a VM receives each second does not grow: 41 VMs
	// that publish each second would take about 18 KB/s of the 20 KB/s for control traffic.
	minPublishPeriod = 2 * time.Second
	publishingVMs    = 20
	// settleTime is how long after the start a VM does not probe, because its view of the region is still incomplete.
	settleTime = 3 * time.Second
	// reportLifetime is how long a report is stored. Code that uses a report takes its age into account.
	reportLifetime = 60 * time.Second
	// assignmentPurpose is the prefix of the purpose for which VMs are ranked to probe a backend server.
	assignmentPurpose = "probe "
)

// Prober requests the load of a backend server without blocking: Probe returns at once and done is called later.
type Prober interface {
	Probe(backendServer oleandervane.BackendServer, done func(oleandervane.LoadReport, error))
}

// Gossip is the part of gossip.Node that a Measurement uses.
type Gossip interface {
	Publish(topic string, scope gossip.Scope, content []byte, lifetime time.Duration)
	PublishUrgently(topic string, scope gossip.Scope, content []byte, lifetime time.Duration)
	PublishForRegion(topic string, scope gossip.Scope, content []byte, lifetime time.Duration)
	Values(topic string) []gossip.Value
	RanksFirst(purpose string) bool
	BackendServers() ([]oleandervane.BackendServer, time.Time)
	Membership() *membership.Membership
}

var _ Gossip = (*gossip.Node)(nil)

// Settings configure a Measurement; all fields are required.
type Settings struct {
	TimerService  oleandervane.TimerService
	Gossip        Gossip
	Prober        Prober
	Configuration oleandervane.ConfigurationSource
	Random        *rand.Rand
	// ExpectedVMs is the number of entry VMs of the region according to the VM's settings. The probe budget assumes at
	// least as many VMs, so that it is also respected while the view is incomplete.
	ExpectedVMs int
}

// probeState is the state of a VM's own probes of one backend server.
type probeState struct {
	startedAt time.Time
	running   bool
}

// Measurement implements oleandervane.LoadSource. Load reports in responses to requests take precedence over probes:
// while they arrive, this VM does not probe.
type Measurement struct {
	settings  Settings
	startedAt time.Time

	mutex   sync.Mutex
	reports map[oleandervane.BackendServerID]oleandervane.LoadReport
	probes  map[oleandervane.BackendServerID]*probeState
	// mergedAt has, by owner, when the newest merged value was written.
	mergedAt    map[string]time.Time
	demands     map[oleandervane.Flow]*demand
	publishedAt time.Time
	probeCount  uint64
	cancel      func()
}

var _ oleandervane.LoadSource = (*Measurement)(nil)

// New returns a Measurement. Call Start to begin probing.
func New(settings Settings) *Measurement {
	return &Measurement{
		settings:  settings,
		startedAt: settings.TimerService.Now(),
		reports:   map[oleandervane.BackendServerID]oleandervane.LoadReport{},
		probes:    map[oleandervane.BackendServerID]*probeState{},
		mergedAt:  map[string]time.Time{},
		demands:   map[oleandervane.Flow]*demand{},
	}
}

// Start begins probing.
func (measurement *Measurement) Start() {
	measurement.mutex.Lock()
	defer measurement.mutex.Unlock()
	measurement.cancel = measurement.settings.TimerService.Every(tickPeriod, measurement.tick)
}

// Stop ends probing.
func (measurement *Measurement) Stop() {
	measurement.mutex.Lock()
	defer measurement.mutex.Unlock()
	if measurement.cancel != nil {
		measurement.cancel()
	}
}

// LoadReport returns the newest known report of a backend server that is younger than a minute.
func (measurement *Measurement) LoadReport(backendServerID oleandervane.BackendServerID) (oleandervane.LoadReport, bool) {
	now := measurement.settings.TimerService.Now()
	measurement.mutex.Lock()
	defer measurement.mutex.Unlock()
	report, found := measurement.reports[backendServerID]
	return report, found && report.Age(now) < reportLifetime
}

// Observe records a load report that came with the response to a request.
func (measurement *Measurement) Observe(report oleandervane.LoadReport) {
	measurement.mutex.Lock()
	defer measurement.mutex.Unlock()
	report.Source = measurement.settings.Gossip.Membership().Self().ID
	measurement.record(report)
}

// ProbeCount returns the number of probes that this VM has started.
func (measurement *Measurement) ProbeCount() uint64 {
	measurement.mutex.Lock()
	defer measurement.mutex.Unlock()
	return measurement.probeCount
}

// record stores a report if it is newer than the previous one, and reports whether the server has started to leave.
func (measurement *Measurement) record(report oleandervane.LoadReport) bool {
	previous, found := measurement.reports[report.BackendServer]
	if found && !report.MeasuredAt.After(previous.MeasuredAt) {
		return false
	}
	measurement.reports[report.BackendServer] = report
	return report.Leaving && !previous.Leaving
}

func (measurement *Measurement) tick(now time.Time) {
	measurement.mergePeerReports(now)
	backendServers, _ := measurement.settings.Gossip.BackendServers()
	for _, backendServer := range measurement.dueProbes(backendServers, now) {
		measurement.settings.Prober.Probe(backendServer, func(report oleandervane.LoadReport, err error) {
			measurement.handleProbe(backendServer, report, err)
		})
	}
	measurement.mutex.Lock()
	publish := now.Sub(measurement.publishedAt) >= measurement.publishPeriod()
	measurement.mutex.Unlock()
	if publish {
		measurement.publish(false)
		measurement.publishSummaries(backendServers)
	}
}

func (measurement *Measurement) publishPeriod() time.Duration {
	view := measurement.settings.Gossip.Membership().View()
	vms := max(publishingVMs, len(view.Region(view.Self.Region)))
	return minPublishPeriod * time.Duration(vms) / publishingVMs
}

// dueProbes returns the backend servers to probe now.
func (measurement *Measurement) dueProbes(backendServers []oleandervane.BackendServer, now time.Time) []oleandervane.BackendServer {
	view := measurement.settings.Gossip.Membership().View()
	vms := max(measurement.settings.ExpectedVMs, view.KnownVMCount(view.Self.Region))
	measurement.mutex.Lock()
	defer measurement.mutex.Unlock()
	if now.Sub(measurement.startedAt) < settleTime || view.Self.State == oleandervane.VMDead {
		return nil
	}
	measurement.removeStale(backendServers, now)
	var result []oleandervane.BackendServer
	for _, backendServer := range backendServers {
		if !assignedTo(view, backendServer.ID) {
			continue
		}
		interval := measurement.probeInterval(backendServer, vms)
		if measurement.startProbe(backendServer.ID, interval, now) {
			result = append(result, backendServer)
		}
	}
	return result
}

// assignedTo reports whether this VM is one of those that probe the backend server.
func assignedTo(view *membership.View, backendServerID oleandervane.BackendServerID) bool {
	own := view.Region(view.Self.Region)
	return membership.Rank(view.Self.ID, own, assignmentPurpose+string(backendServerID), 0) < assignedVMs
}

// startProbe reports whether a probe is due, and if so marks it as started.
func (measurement *Measurement) startProbe(backendServerID oleandervane.BackendServerID, interval time.Duration, now time.Time) bool {
	state, found := measurement.probes[backendServerID]
	if !found {
		// The first probe is delayed by a part of the interval, so that VMs that restart often stay within the budget
		// and do not probe at the same time.
		part := interval/2 + time.Duration(measurement.settings.Random.Int64N(int64(interval)/2+1))
		measurement.probes[backendServerID] = &probeState{startedAt: now.Add(part - interval)}
		return false
	}
	if state.running || now.Sub(state.startedAt) < interval {
		return false
	}
	report, reported := measurement.reports[backendServerID]
	self := measurement.settings.Gossip.Membership().Self().ID
	if reported && report.Source == self && report.MeasuredAt.After(state.startedAt) && report.Age(now) < interval {
		// A request of this VM returned a newer report.
		return false
	}
	state.startedAt = now
	state.running = true
	measurement.probeCount++
	return true
}

func (measurement *Measurement) handleProbe(backendServer oleandervane.BackendServer, report oleandervane.LoadReport, err error) {
	measurement.mutex.Lock()
	if state, found := measurement.probes[backendServer.ID]; found {
		state.running = false
	}
	leaving := false
	if err == nil {
		report.BackendServer = backendServer.ID
		report.Source = measurement.settings.Gossip.Membership().Self().ID
		leaving = measurement.record(report)
	}
	measurement.mutex.Unlock()
	if leaving {
		measurement.publish(true)
	}
}

// removeStale removes expired reports, and the probe state of backend servers that are no longer listed.
func (measurement *Measurement) removeStale(backendServers []oleandervane.BackendServer, now time.Time) {
	for backendServerID, report := range measurement.reports {
		if report.Age(now) >= reportLifetime {
			delete(measurement.reports, backendServerID)
		}
	}
	for backendServerID := range measurement.probes {
		named := slices.ContainsFunc(backendServers, func(backendServer oleandervane.BackendServer) bool {
			return backendServer.ID == backendServerID
		})
		if !named {
			delete(measurement.probes, backendServerID)
		}
	}
}
