package placement

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
)

const (
	// coldVMs is the number of VMs that send to one cold server. Each may send one request at once, so that few
	// of them keep the sum of all VMs low also while VMs disagree on who they are.
	coldVMs = 2
	// coldShare is the part of the tolerated rate of a cold server that is used.
	coldShare = 0.8
	// usualTimeWeight is the weight of one answer in the usual time of a route.
	usualTimeWeight = 0.05
)

// Settings are the parts that a Placer needs.
type Settings struct {
	TimerService oleandervane.TimerService
	Membership   oleandervane.Membership
	// Observer is told what changes the belief about a server.
	Observer Observer
	// Policy is DefaultPolicy if it is zero.
	Policy Policy
}

// Observer is told what changes the belief about a backend server.
type Observer interface {
	// BackoffStarted says that a server gets no requests for a while after failures.
	BackoffStarted(id oleandervane.BackendServerID, attemptResult oleandervane.AttemptResult, rest time.Duration)
	// PeerCoverageChanged says whether enough other VMs tell what they have in flight: covered of the others.
	PeerCoverageChanged(known bool, covered, others int)
}

// Placer keeps what this VM knows of the backend servers and places requests. All methods may be called from many
// goroutines at once.
type Placer struct {
	settings Settings
	view     atomic.Pointer[view]
	// updates serializes Update.
	updates sync.Mutex

	foreign     foreignCounts
	familiarity familiarity
	work        workTimes

	timesMutex sync.Mutex
	times      map[string]time.Duration
}

// view is the servers by service, replaced as a whole.
type view struct {
	registry oleandervane.Registry
	services map[oleandervane.ServiceName][]*server
	// byHash finds the servers of counts.
	byHash map[uint32]*server
}

// NewPlacer returns a placer that knows no servers.
func NewPlacer(settings Settings) *Placer {
	if settings.Policy == (Policy{}) {
		settings.Policy = DefaultPolicy()
	}
	placer := &Placer{
		settings: settings,
		times:    map[string]time.Duration{},
		foreign:  foreignCounts{sources: map[string]sourceCounts{}},
		work:     workTimes{routes: map[string]time.Duration{}, services: map[oleandervane.ServiceName]time.Duration{}},
	}
	placer.view.Store(&view{})
	return placer
}

// Update takes over a registry and the VMs of the membership. Servers that stay keep what is known of them; one that started again does not.
func (placer *Placer) Update(registry oleandervane.Registry) {
	placer.updates.Lock()
	defer placer.updates.Unlock()
	now := placer.settings.TimerService.Now()
	former := placer.view.Load()
	self, vms := placer.settings.Membership.Self().ID, placer.settings.Membership.EntryVMs()
	known := map[oleandervane.BackendServerID]*server{}
	for _, servers := range former.services {
		for _, server := range servers {
			known[server.ID] = server
		}
	}
	next := &view{registry: registry, services: map[oleandervane.ServiceName][]*server{}, byHash: map[uint32]*server{}}
	for id, registered := range registry.BackendServers {
		current := renewed(known[id], registered, now)
		if former.registry.Evacuated[registered.FailureDomain] && !registry.Evacuated[registered.FailureDomain] {
			current.extendCold(now.Add(slowStart(registry, registered.Service)))
		}
		current = current.withWarms(ranksFirst(current.hash, self, vms, coldVMs))
		next.services[registered.Service] = append(next.services[registered.Service], current)
		next.byHash[uint32(current.hash)] = current
	}
	placer.replaceView(next)
}

// renewed returns the server for an entry. A changed entry of the same run shares what is known of it.
func renewed(known *server, registered oleandervane.RegisteredServer, now time.Time) *server {
	if known == nil || known.StartedAt != registered.StartedAt || known.Address != registered.Address {
		return newServer(registered, now)
	}
	if known.RegisteredServer == registered {
		return known
	}
	return known.with(registered, now)
}

func slowStart(registry oleandervane.Registry, serviceName oleandervane.ServiceName) time.Duration {
	if registry.Table == nil {
		return 0
	}
	return registry.Table.Services[serviceName].SlowStart
}

// Request is a request to place. It is immutable.
type Request struct {
	Service oleandervane.ServiceName
	Route   oleandervane.Route
	// Object identifies what the request is about; requests of one object go to the same servers.
	Object string
	// Home is the region of the caller.
	Home   oleandervane.Region
	Urgent bool
}

// Chooser returns a chooser for the attempts of one request.
func (placer *Placer) Chooser(need Request) *Chooser {
	return &Chooser{placer: placer, need: need}
}

// Chooser chooses the servers of the attempts of one request.
type Chooser struct {
	placer   *Placer
	need     Request
	decision Decision
}

// Decision returns the last decision.
func (chooser *Chooser) Decision() Decision {
	return chooser.decision
}

// Choose returns a server that is not excluded and holds a place there.
func (chooser *Chooser) Choose(excluded []string) (forward.Reservation, error) {
	placer, need := chooser.placer, chooser.need
	now := placer.settings.TimerService.Now()
	servers, candidates := placer.candidates(need, excluded, now)
	preferred := oleandervane.Region("")
	if need.Route.Kind == oleandervane.RouteDownload {
		// Downloads are large, and bytes between regions are the scarcest of all.
		preferred = need.Home
	}
	Rank(preferred, candidates)
	chooser.decision = placer.settings.Policy.Decide(Question{
		Urgent:     need.Urgent,
		Repeatable: need.Route.Idempotent(),
		WorkTime:   placer.usualTime(need.Route.Name),
		Work:       placer.work.get(need.Route.Name, need.Service),
	}, candidates)
	chooser.decision.PeerCountsKnown = placer.othersScale() > 0
	if chooser.decision.Chosen < 0 {
		return nil, eris.Wrap(oleandervane.ErrNoBackendServer, chooser.decision.Reason)
	}
	candidate := candidates[chooser.decision.Chosen]
	server := servers[candidate.index]
	if !server.takeCold(placer.coldInterval(need.Service), now) {
		return nil, eris.Wrap(oleandervane.ErrNoBackendServer, "cold server was taken by another request")
	}
	server.inFlight.Add(1)
	server.sent.Add(1)
	return &reservation{
		placer: placer, server: server, route: need.Route.Name, takenAt: now,
		pair: candidate.Score, waiting: candidate.waiting(),
	}, nil
}

// coldInterval is the time between two requests of this VM to a cold server.
func (placer *Placer) coldInterval(serviceName oleandervane.ServiceName) time.Duration {
	table := placer.view.Load().registry.Table
	if table == nil || table.Services[serviceName].ColdPerSecond <= 0 {
		return time.Second
	}
	return time.Duration(coldVMs / (coldShare * table.Services[serviceName].ColdPerSecond) * float64(time.Second))
}

// candidates returns the servers that may run the request.
func (placer *Placer) candidates(need Request, excluded []string, now time.Time) ([]*server, []Candidate) {
	view := placer.view.Load()
	servers := view.services[need.Service]
	object := objectHash(need.Object)
	scale := placer.othersScale()
	candidates := make([]Candidate, 0, len(servers))
	for i, server := range servers {
		if server.Leaving || view.registry.Evacuated[server.FailureDomain] || !need.Route.Allows(server.Region) ||
			slices.Contains(excluded, string(server.ID)) {
			continue
		}
		candidate := server.candidate(object, scale, now)
		candidate.index = i
		candidates = append(candidates, candidate)
	}
	placer.familiarity.mark(candidates, now)
	return servers, candidates
}

// usualTime is the usual time of requests of a route, from the choice to the answer; zero before the first answer.
func (placer *Placer) usualTime(route string) time.Duration {
	placer.timesMutex.Lock()
	defer placer.timesMutex.Unlock()
	return placer.times[route]
}

// relative returns a time as a multiple of the usual time of a route, 1 before the first answer.
func (placer *Placer) relative(route string, took time.Duration) float64 {
	return multiple(took, placer.usualTime(route))
}

func multiple(took, usual time.Duration) float64 {
	if usual == 0 {
		return 1
	}
	return float64(took) / float64(usual)
}

// noteTime takes over the time of an answer and returns it as a multiple of the usual time.
func (placer *Placer) noteTime(route string, took time.Duration) float64 {
	placer.timesMutex.Lock()
	defer placer.timesMutex.Unlock()
	usual := placer.times[route]
	placer.times[route] = usual + time.Duration(float64(took-usual)*usualTimeWeight)
	if usual == 0 {
		placer.times[route] = took
	}
	return multiple(took, usual)
}
