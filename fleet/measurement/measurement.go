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

// Times of a Measurement.
const (
	tickPeriod = 250 * time.Millisecond
	// shortestPublishPeriod is how often a VM shares what it measured in a region of up to publishingVMs. In a larger
	// one it shares less often, so that what a VM hears each second does not grow: 41 VMs that share each second would
	// take about 18 KB/s of the 20 KB/s for control.
	shortestPublishPeriod = 2 * time.Second
	publishingVMs         = 20
	// settleTime is how long after the start a VM does not probe, because its view of the region is incomplete.
	settleTime = 3 * time.Second
	// reportLife is how long a report is kept. Its age tells users what it is worth.
	reportLife = 60 * time.Second
	// assignmentPurpose starts the name under which VMs are chosen to probe a backend server.
	assignmentPurpose = "probe "
)

// Prober asks a backend server for its load without blocking: Probe returns at once and done is called later.
type Prober interface {
	Probe(backendServer oleandervane.BackendServer, done func(oleandervane.LoadReport, error))
}

// Gossip is what a Measurement needs of a gossip.Node.
type Gossip interface {
	Publish(topic string, scope gossip.Scope, content []byte, life time.Duration)
	PublishUrgently(topic string, scope gossip.Scope, content []byte, life time.Duration)
	PublishForRegion(topic string, scope gossip.Scope, content []byte, life time.Duration)
	Values(topic string) []gossip.Value
	RanksFirst(purpose string) bool
	BackendServers() ([]oleandervane.BackendServer, time.Time)
	Membership() *membership.Membership
}

var _ Gossip = (*gossip.Node)(nil)

// Settings are what a Measurement needs; all are required.
type Settings struct {
	TimerService  oleandervane.TimerService
	Gossip        Gossip
	Prober        Prober
	Configuration oleandervane.ConfigurationSource
	Random        *rand.Rand
	// ExpectedVMs is the number of entry VMs of the region by the VM's settings. The probe budget counts at least
	// as many, so that it holds while the view is incomplete.
	ExpectedVMs int
}

// probeState is what a VM remembers of its own probes of one backend server.
type probeState struct {
	startedAt time.Time
	running   bool
}

// Measurement implements oleandervane.LoadSource. Reports seen on requests take precedence over probes: while they
// come in, this VM does not probe.
type Measurement struct {
	settings  Settings
	startedAt time.Time

	mutex   sync.Mutex
	reports map[oleandervane.BackendServerID]oleandervane.LoadReport
	probes  map[oleandervane.BackendServerID]*probeState
	// heard has when each value was written that was read already.
	heard       map[string]time.Time
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
		heard:     map[string]time.Time{},
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

// LoadReport returns the newest report of a backend server that is known here, of whatever age below a minute.
func (measurement *Measurement) LoadReport(backendServerID oleandervane.BackendServerID) (oleandervane.LoadReport, bool) {
	now := measurement.settings.TimerService.Now()
	measurement.mutex.Lock()
	defer measurement.mutex.Unlock()
	report, found := measurement.reports[backendServerID]
	return report, found && report.Age(now) < reportLife
}

// Observe takes a report that came with the answer to a request.
func (measurement *Measurement) Observe(report oleandervane.LoadReport) {
	measurement.mutex.Lock()
	defer measurement.mutex.Unlock()
	report.Source = measurement.settings.Gossip.Membership().Self().ID
	measurement.take(report)
}

// ProbeCount returns how many probes this VM has started.
func (measurement *Measurement) ProbeCount() uint64 {
	measurement.mutex.Lock()
	defer measurement.mutex.Unlock()
	return measurement.probeCount
}

// take keeps a report if it is newer than the one held, and says whether it newly names the server as leaving.
func (measurement *Measurement) take(report oleandervane.LoadReport) bool {
	held, found := measurement.reports[report.BackendServer]
	if found && !report.MeasuredAt.After(held.MeasuredAt) {
		return false
	}
	measurement.reports[report.BackendServer] = report
	return report.Leaving && !held.Leaving
}

func (measurement *Measurement) tick(now time.Time) {
	measurement.hear(now)
	backendServers, _ := measurement.settings.Gossip.BackendServers()
	for _, backendServer := range measurement.due(backendServers, now) {
		measurement.settings.Prober.Probe(backendServer, func(report oleandervane.LoadReport, err error) {
			measurement.probed(backendServer, report, err)
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
	return shortestPublishPeriod * time.Duration(vms) / publishingVMs
}

// due returns the backend servers to probe now.
func (measurement *Measurement) due(backendServers []oleandervane.BackendServer, now time.Time) []oleandervane.BackendServer {
	view := measurement.settings.Gossip.Membership().View()
	vms := max(measurement.settings.ExpectedVMs, view.KnownIn(view.Self.Region))
	measurement.mutex.Lock()
	defer measurement.mutex.Unlock()
	if now.Sub(measurement.startedAt) < settleTime || view.Self.State == oleandervane.VMDead {
		return nil
	}
	measurement.forget(backendServers, now)
	var result []oleandervane.BackendServer
	for _, backendServer := range backendServers {
		if !assignedTo(view, backendServer.ID) {
			continue
		}
		interval := measurement.interval(backendServer, vms)
		if measurement.mayProbe(backendServer.ID, interval, now) {
			result = append(result, backendServer)
		}
	}
	return result
}

// assignedTo says whether this VM is one of those that probe the backend server.
func assignedTo(view *membership.View, backendServerID oleandervane.BackendServerID) bool {
	own := view.Region(view.Self.Region)
	return membership.Rank(view.Self.ID, own, assignmentPurpose+string(backendServerID), 0) < assigned
}

// mayProbe says whether a probe is due, and counts it as started.
func (measurement *Measurement) mayProbe(backendServerID oleandervane.BackendServerID, interval time.Duration, now time.Time) bool {
	state, found := measurement.probes[backendServerID]
	if !found {
		// The first probe comes after a part of the interval, so that VMs that restart often stay within the budget
		// and do not probe at the same time.
		part := interval/2 + time.Duration(measurement.settings.Random.Int64N(int64(interval)/2+1))
		measurement.probes[backendServerID] = &probeState{startedAt: now.Add(part - interval)}
		return false
	}
	if state.running || now.Sub(state.startedAt) < interval {
		return false
	}
	report, heard := measurement.reports[backendServerID]
	self := measurement.settings.Gossip.Membership().Self().ID
	if heard && report.Source == self && report.MeasuredAt.After(state.startedAt) && report.Age(now) < interval {
		// A request of this VM brought a newer value.
		return false
	}
	state.startedAt = now
	state.running = true
	measurement.probeCount++
	return true
}

func (measurement *Measurement) probed(backendServer oleandervane.BackendServer, report oleandervane.LoadReport, err error) {
	measurement.mutex.Lock()
	if state, found := measurement.probes[backendServer.ID]; found {
		state.running = false
	}
	leaving := false
	if err == nil {
		report.BackendServer = backendServer.ID
		report.Source = measurement.settings.Gossip.Membership().Self().ID
		leaving = measurement.take(report)
	}
	measurement.mutex.Unlock()
	if leaving {
		measurement.publish(true)
	}
}

// forget drops what is known of backend servers that the list no longer names.
func (measurement *Measurement) forget(backendServers []oleandervane.BackendServer, now time.Time) {
	for backendServerID, report := range measurement.reports {
		if report.Age(now) >= reportLife {
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
