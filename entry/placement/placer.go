package placement

import (
	"math"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/entry/fairshare"
	"oleandervane.example/entry/forward"
)

const (
	// coldVMs is the number of VMs that send requests to one cold server. Each of them may send a request at the same
	// moment; with few of them the total stays low even while VMs disagree on which VMs these are.
	coldVMs = 2
	// unknownRank is the rank of a VM while it does not know the others. It is higher than that of any VM.
	unknownRank = math.MaxInt32
	// coldShare is the fraction of a cold server's tolerated rate that is used.
	coldShare = 0.8
	// responseTimeWeight is the weight of one response in the average response time of a route.
	responseTimeWeight = 0.05
)

// Settings are the dependencies and the policy of a Placer.
type Settings struct {
	TimerService oleandervane.TimerService
	Membership   oleandervane.Membership
	// Settled reports whether Membership has all VMs that run; nil means that it always has. Before, this VM sends nothing to cold
	// servers and to those with a rate limit, which get requests from few VMs of the fleet.
	Settled func() bool
	// Prober checks whether a server that has ended is back; nil leaves that to the requests.
	Prober oleandervane.ConnectionProber
	// HealthProber checks servers whose connections broke; nil ignores broken connections.
	HealthProber oleandervane.HealthProber
	// Observer is notified of changes in the state of servers; nil notifies nobody.
	Observer Observer
	// Policy is DefaultPolicy if it is zero.
	Policy Policy
}

// Observer is notified of changes in the state of backend servers.
type Observer interface {
	// BackoffStarted reports that a server gets no requests for the backoff after failures.
	BackoffStarted(id oleandervane.BackendServerID, attemptResult oleandervane.AttemptResult, backoff time.Duration)
	// DirectiveChanged reports that a server asks for something else: a rate limit in requests a second, zero for none, and whether it
	// leaves.
	DirectiveChanged(id oleandervane.BackendServerID, rateLimit float64, leaving bool)
	// ColdStarted reports that a server counts as cold for the duration although its entry does not say so.
	ColdStarted(id oleandervane.BackendServerID, cause ColdCause, duration time.Duration)
	// ServerChecked reports the check of a server whose connections broke.
	ServerChecked(id oleandervane.BackendServerID, checkResult CheckResult)
	// InvalidHeaders reports headers of a server's response that are ignored because their values make no sense.
	InvalidHeaders(id oleandervane.BackendServerID, names []string)
	// PeerCoverageChanged reports whether enough other VMs report their requests in flight; covered is how many of the
	// others do.
	PeerCoverageChanged(sufficient bool, covered, others int)
}

// ColdCause says why a server counts as cold.
type ColdCause string

// The causes for which a server counts as cold, besides its entry.
const (
	ColdByResponse      ColdCause = "response"
	ColdAfterEvacuation ColdCause = "evacuation"
	ColdAfterAbsence    ColdCause = "absence"
	// ColdAfterEnd says that the server refuses connections.
	ColdAfterEnd ColdCause = "connection_refused"
	// ColdByPeer says that the server refuses the connections of another VM.
	ColdByPeer ColdCause = "another_vm"
	// ColdAfterBreak says that a check after connections of the server broke found a new run.
	ColdAfterBreak ColdCause = "connections_broken"
)

// Placer tracks the state of the backend servers as this VM sees it and places requests. All methods are safe for
// concurrent use.
type Placer struct {
	settings Settings
	view     atomic.Pointer[view]
	// updates serializes Update.
	updates sync.Mutex

	peers      peerCounts
	affinities affinities
	runTimes   runTimeTracker
	// slowServices are those whose servers state at times that their machines are slow.
	slowServices slowServices
	returns      returnSchedule
	allLeaving   leavingTimes
	ledger       *fairshare.Ledger
	// answeredAt is when a server last answered a request, in Unix nanoseconds.
	answeredAt atomic.Int64

	responseTimesMutex sync.Mutex
	responseTimes      map[string]time.Duration
}

// view has the servers by service. It is replaced as a whole.
type view struct {
	registry oleandervane.Registry
	services map[oleandervane.ServiceName][]*server
	// preferences are the region preferences by service.
	preferences map[oleandervane.ServiceName]map[oleandervane.Region]float64
	// byHash has the servers by the hash that identifies them in the in-flight counts of VMs, byRun by that of their run.
	byHash map[uint32]*server
	byRun  map[uint32]*server
	// byAddress has the servers by address.
	byAddress map[netip.AddrPort]*server
}

// NewPlacer returns a placer without servers.
func NewPlacer(settings Settings) *Placer {
	if settings.Policy == (Policy{}) {
		settings.Policy = DefaultPolicy()
	}
	placer := &Placer{
		settings:      settings,
		responseTimes: map[string]time.Duration{},
		ledger:        fairshare.NewLedger(),
		peers:         peerCounts{sources: map[string]sourceCounts{}},
		allLeaving:    leavingTimes{since: map[string]time.Time{}},
		returns:       returnSchedule{last: map[oleandervane.ServiceName]time.Time{}},
		slowServices:  slowServices{slowAt: map[oleandervane.ServiceName]time.Time{}},
		runTimes:      runTimeTracker{routes: map[string]time.Duration{}, services: map[oleandervane.ServiceName]time.Duration{}},
	}
	placer.view.Store(&view{})
	return placer
}

// Update applies a registry and the VMs of the membership. Servers that stay keep their state; a server that restarted
// starts with a new state.
func (placer *Placer) Update(registry oleandervane.Registry) {
	placer.updates.Lock()
	defer placer.updates.Unlock()
	now := placer.settings.TimerService.Now()
	previous := placer.view.Load()
	self, vms := placer.settings.Membership.Self().ID, placer.settings.Membership.EntryVMs()
	settled := placer.settings.Settled == nil || placer.settings.Settled()
	known := map[oleandervane.BackendServerID]*server{}
	for _, servers := range previous.services {
		for _, server := range servers {
			known[server.ID] = server
		}
	}
	next := &view{
		registry:    registry,
		services:    map[oleandervane.ServiceName][]*server{},
		preferences: map[oleandervane.ServiceName]map[oleandervane.Region]float64{},
		byHash:      map[uint32]*server{},
		byRun:       map[uint32]*server{},
		byAddress:   map[netip.AddrPort]*server{},
	}
	for id, registered := range registry.BackendServers {
		current := updatedServer(known[id], registered, now)
		if previous.registry.Evacuated[registered.FailureDomain] && !registry.Evacuated[registered.FailureDomain] {
			placer.extendCold(current, ColdAfterEvacuation, slowStart(registry, registered.Service), now)
		}
		rank := unknownRank
		if settled {
			rank = rankOf(current.hash, self, vms)
		}
		current = current.withVMRank(rank, len(vms))
		next.services[registered.Service] = append(next.services[registered.Service], current)
		next.byHash[uint32(current.hash)] = current
		next.byRun[current.target().RunHash()] = current
		next.byAddress[current.Address] = current
	}
	for serviceName, servers := range next.services {
		next.preferences[serviceName] = regionPreferences(servers, registry.Evacuated)
	}
	placer.replaceView(next)
}

// updatedServer returns the server for an entry. The state of the known server is kept if the entry is for the same run
// at the same address.
func updatedServer(known *server, registered oleandervane.RegisteredServer, now time.Time) *server {
	if known == nil || known.StartedAt != registered.StartedAt || known.Address != registered.Address {
		return newServer(registered, now)
	}
	if known.RegisteredServer == registered {
		return known
	}
	return known.withEntry(registered, now)
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
	// Object identifies what the request is about; requests for one object go to the same servers.
	Object string
	// Home is the region of the caller.
	Home   oleandervane.Region
	Urgent bool
	// Organisation is the organisation of the caller; nil if it has none. Its regions apply besides those of the route.
	Organisation *oleandervane.Organisation
	// SharesCapacity is set in installations with organisations. Claimant then shares the capacity of the service with others if there
	// is too little. UrgentRoute says that no route of the service has priority over that of the request.
	SharesCapacity bool
	Claimant       fairshare.Claimant
	UrgentRoute    bool
}

// allows reports whether a region may run the request.
func (request Request) allows(region oleandervane.Region) bool {
	return request.Route.Allows(region) && request.Organisation.Allows(region)
}

// leavingKey identifies the servers of the request among those for which it is tracked whether all leave.
func (request Request) leavingKey() string {
	if request.Organisation == nil || len(request.Organisation.AllowedRegions) == 0 {
		return request.Route.Name
	}
	return request.Route.Name + "\x00" + string(request.Organisation.Name)
}

// Chooser returns a chooser for the attempts of one request.
func (placer *Placer) Chooser(request Request) *Chooser {
	return &Chooser{placer: placer, request: request}
}

// Chooser chooses the servers of the attempts of one request.
type Chooser struct {
	placer   *Placer
	request  Request
	decision Decision
	// claim is that of the first attempt. offered and served say that the request was counted.
	claim           fairshare.Claim
	offered, served bool
}

// Decision returns the last decision.
func (chooser *Chooser) Decision() Decision {
	return chooser.decision
}

// Choose returns a reservation for one attempt on a server that is not excluded.
func (chooser *Chooser) Choose(excluded []string) (forward.Reservation, error) {
	placer, request := chooser.placer, chooser.request
	now := placer.settings.TimerService.Now()
	chooser.offer(now)
	stateChecks := chooser.decision.StateChecks
	servers, candidates, leaving, decision := chooser.decide(excluded, now)
	chooser.decision = decision
	chooser.decision.StateChecks = stateChecks
	chooser.decision.PeerCountsKnown = placer.peerScale() > 0
	chooser.countUnused(candidates, leaving)
	if chooser.decision.Chosen < 0 {
		chooser.spreadReturn(servers, candidates, now)
		return nil, eris.Wrap(oleandervane.ErrNoBackendServer, chooser.decision.Reason)
	}
	candidate := candidates[chooser.decision.Chosen]
	server := servers[candidate.index]
	if !server.admit(placer.coldInterval(request.Service), now) {
		// Another request took the only one that the server accepts for now.
		return chooser.Choose(append(slices.Clone(excluded), string(server.ID)))
	}
	chooser.decision.Cold = candidate.Cold
	chooser.serve()
	server.inFlight.Add(1)
	server.sent.Add(1)
	return &reservation{
		placer: placer, server: server, route: request.Route.Name, reservedAt: now,
		score: candidate.Score, queuedPerSlot: candidate.queuedPerSlot(),
		chooser: chooser, excluded: excluded, statePath: chooser.statePath(server, candidate, now),
	}, nil
}

// offer counts the request of the claimant once, and takes its claim.
func (chooser *Chooser) offer(now time.Time) {
	if !chooser.request.SharesCapacity || chooser.offered {
		return
	}
	chooser.offered = true
	chooser.claim = chooser.placer.ledger.Offer(chooser.request.Service, chooser.request.Claimant, now)
}

// serve counts once that the request is sent.
func (chooser *Chooser) serve() {
	if chooser.offered && !chooser.served {
		chooser.served = true
		chooser.placer.ledger.Serve(chooser.request.Service, chooser.request.Claimant)
	}
}

// decide decides on the request with the state of the servers now.
func (chooser *Chooser) decide(excluded []string, now time.Time) (servers []*server, candidates []Candidate, leaving int, decision Decision) {
	placer, request := chooser.placer, chooser.request
	servers, candidates, leaving = placer.candidates(request, excluded, now)
	preferred := placer.rank(request, candidates)
	return servers, candidates, leaving, placer.settings.Policy.Decide(RequestProfile{
		Urgent:       request.Urgent,
		Claim:        chooser.claim,
		UrgentRoute:  request.UrgentRoute,
		Idempotent:   request.Route.Idempotent(),
		ResponseTime: placer.averageResponseTime(request.Route.Name),
		RunTimes:     placer.runTimes.get(request.Route.Name, request.Service),
		Region:       preferred,
	}, candidates)
}

// rank sorts the candidates for a request, best first, and returns the region whose servers the decision prefers, if any.
func (placer *Placer) rank(request Request, candidates []Candidate) (preferred oleandervane.Region) {
	if request.Route.Kind == oleandervane.RouteDownload {
		// Responses to downloads are large, and bandwidth between regions is the scarcest resource.
		Rank(request.Home, candidates)
		return ""
	}
	Rank("", candidates)
	if prefersRegion(objectHash(request.Object), request.Home, placer.view.Load().preferences[request.Service][request.Home]) {
		return request.Home
	}
	return ""
}

// countUnused counts the servers that are not used because of what they said.
func (chooser *Chooser) countUnused(candidates []Candidate, leaving int) {
	chooser.decision.LeavingServers = leaving
	for _, candidate := range candidates {
		if candidate.OverLimit {
			chooser.decision.LimitedServers++
		}
		if candidate.Refusing {
			chooser.decision.RefusingServers++
		}
	}
	if len(candidates) == 0 && leaving > 0 {
		chooser.decision.Reason = ReasonLeaving
	}
}

// spreadReturn spreads the return of callers that are refused because of what servers said over the rate that those accept.
func (chooser *Chooser) spreadReturn(servers []*server, candidates []Candidate, now time.Time) {
	perSecond := 0.0
	switch chooser.decision.Reason {
	case ReasonLimited:
		perSecond = limitedPerSecond(candidates, servers[0].vms)
	case ReasonRefusing:
		perSecond = acceptedPerSecond(candidates, chooser.placer.averageResponseTime(chooser.request.Route.Name), servers[0].vms)
	}
	if perSecond > 0 {
		chooser.decision.RetryAfter = chooser.placer.returns.delay(chooser.request.Service, perSecond, now)
	}
}

// extendCold has a server count as cold for the duration, unless it does for longer already.
func (placer *Placer) extendCold(server *server, cause ColdCause, duration time.Duration, now time.Time) {
	if server.extendCold(now.Add(duration), now) && placer.settings.Observer != nil {
		placer.settings.Observer.ColdStarted(server.ID, cause, duration)
	}
}

// coldInterval is the interval between two requests of this VM to a cold server.
func (placer *Placer) coldInterval(serviceName oleandervane.ServiceName) time.Duration {
	table := placer.view.Load().registry.Table
	if table == nil || table.Services[serviceName].ColdPerSecond <= 0 {
		return time.Second
	}
	return time.Duration(coldVMs / (coldShare * table.Services[serviceName].ColdPerSecond) * float64(time.Second))
}

// candidates returns all servers of the service, the candidates among them that may run the request, and the number of servers that
// are no candidates because they said that they leave.
func (placer *Placer) candidates(request Request, excluded []string, now time.Time) (servers []*server, candidates []Candidate, leaving int) {
	view := placer.view.Load()
	servers = view.services[request.Service]
	object := objectHash(request.Object)
	scale := placer.peerScale()
	candidates = make([]Candidate, 0, len(servers))
	for i, server := range servers {
		if server.Leaving || view.registry.Evacuated[server.FailureDomain] || !request.allows(server.Region) {
			continue
		}
		candidate := server.candidate(object, scale, now)
		candidate.index = i
		candidates = append(candidates, candidate)
	}
	staying := slices.DeleteFunc(slices.Clone(candidates), func(candidate Candidate) bool { return candidate.Leaving })
	allLeave := len(staying) == 0 && len(candidates) > 0
	if !placer.allLeaving.exceeded(request.leavingKey(), allLeave, now) {
		leaving = len(candidates) - len(staying)
		candidates = staying
	}
	candidates = slices.DeleteFunc(candidates, func(candidate Candidate) bool { return slices.Contains(excluded, string(candidate.ID)) })
	placer.affinities.markCandidates(candidates, now)
	return servers, candidates, leaving
}

// averageResponseTime returns the average time from the choice of the server to the response for requests of a route;
// zero before the first response.
func (placer *Placer) averageResponseTime(route string) time.Duration {
	placer.responseTimesMutex.Lock()
	defer placer.responseTimesMutex.Unlock()
	return placer.responseTimes[route]
}

// relativeResponseTime returns a time as a multiple of the average response time of a route; 1 before the first
// response.
func (placer *Placer) relativeResponseTime(route string, took time.Duration) float64 {
	return multiple(took, placer.averageResponseTime(route))
}

func multiple(took, average time.Duration) float64 {
	if average == 0 {
		return 1
	}
	return float64(took) / float64(average)
}

// recordResponseTime records a response time and returns it as a multiple of the previous average.
func (placer *Placer) recordResponseTime(route string, took time.Duration) float64 {
	placer.responseTimesMutex.Lock()
	defer placer.responseTimesMutex.Unlock()
	average := placer.responseTimes[route]
	placer.responseTimes[route] = average + time.Duration(float64(took-average)*responseTimeWeight)
	if average == 0 {
		placer.responseTimes[route] = took
	}
	return multiple(took, average)
}
