package placement

import (
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/entry/fairshare"
)

// Candidate is the state of one backend server at one moment, as the VM sees it. It is immutable.
type Candidate struct {
	ID     oleandervane.BackendServerID
	Region oleandervane.Region
	// Score is the rendezvous score of the server for the object of the request.
	Score uint64
	Slots int
	// Load is the estimated number of requests that run or are queued at the server, from all VMs.
	Load float64
	// Slowdown is how many times longer the server takes than other servers.
	Slowdown float64
	// Slowness is how many times longer than usual work takes on the machine of the server at this moment; 0 and 1 say that it takes as
	// long as usual.
	Slowness float64
	// OnProbation says that the server failed recently and has not answered a request successfully since.
	OnProbation bool
	// Suspended says that the VM sends no requests to the server for now: the server is backing off after a failure,
	// another server has its address, or it is cold and has received its share of requests.
	Suspended bool
	// Avoided says that the server responds, but that many of its requests failed.
	Avoided bool
	// HasAffinity says that the server handled the object recently.
	HasAffinity bool
	// RateLimit is the number of requests a second that the server accepts from all VMs together; zero if it has no limit.
	// OverLimit says that the server is suspended because of it.
	RateLimit float64
	OverLimit bool
	// Refusing says that the server is suspended because it refused a request, Leaving that it said that it leaves.
	Refusing bool
	Leaving  bool
	// Cold says that the server counts as cold.
	Cold bool
	// Unused says that the server has joined and has not received a request yet.
	Unused bool
	// index is the index of the server in the placer's list of servers of the service.
	index int
}

// pressure is the load per slot, multiplied by the slowdown.
func (candidate Candidate) pressure() float64 {
	return candidate.Load / float64(max(1, candidate.Slots)) * max(1, candidate.Slowdown)
}

// RequestProfile describes a request that needs a backend server. It is immutable.
type RequestProfile struct {
	// Urgent says that no kind of request of the service has priority over this one.
	Urgent bool
	// Claim is the claim of the organisation; the zero value if the installation has none. UrgentRoute says that no route of the service
	// has priority over that of the request.
	Claim       fairshare.Claim
	UrgentRoute bool
	// Idempotent requests may be sent to a server that is on probation.
	Idempotent bool
	// ResponseTime is the average time from the choice of the server to the response; zero when it is not known.
	ResponseTime time.Duration
	// RunTimes are the average run times of requests of this route and of its service.
	RunTimes RunTimes
	// Region is the region whose servers come first among the first eligible ones; empty if all regions are alike.
	Region oleandervane.Region
}

// Decision is the decision for a request: the chosen candidate, or a delay after which a server may have room.
type Decision struct {
	// Chosen is an index into the candidates, or -1.
	Chosen     int
	Reason     string
	RetryAfter time.Duration
	// Pressure is the load per slot, multiplied by the slowdown, of the server that Decide prefers. EligibleServers is
	// the number of servers that may be chosen. Both are for logs.
	Pressure        float64
	EligibleServers int
	// Cold says that the chosen server counts as cold, for logs.
	Cold bool
	// LimitedServers, RefusingServers and LeavingServers are the numbers of servers that are not used because of what they said, for
	// logs.
	LimitedServers  int
	RefusingServers int
	LeavingServers  int
	// StateChecks is the number of servers whose state was read before the request was sent, for logs.
	StateChecks int
	// PeerCountsKnown says that the load is based on the in-flight counts of VMs, and not on the load that servers
	// reported.
	PeerCountsKnown bool
	// Claim is the claim of the organisation, for logs.
	Claim fairshare.Claim
}

// The reasons of decisions.
const (
	ReasonFirstChoice      = "first_choice"
	ReasonLessLoad         = "second_choice_has_less_load"
	ReasonNewServer        = "server_is_new"
	ReasonNoEligibleServer = "no_sound_server"
	ReasonNoServer         = "no_server"
	ReasonBusy             = "all_servers_are_busy"
	ReasonOverShare        = "organisation_over_its_share"
	ReasonLimited          = "servers_limit_their_requests"
	ReasonRefusing         = "servers_refuse_requests"
	ReasonLeaving          = "all_servers_leave"
)

// Decide chooses among candidates, which are in the order of their ranking.
func (policy Policy) Decide(profile RequestProfile, candidates []Candidate) Decision {
	eligible := make([]int, 0, len(candidates))
	mayAvoid := policy.mayAvoid(candidates)
	for i, candidate := range candidates {
		if candidate.Suspended || candidate.OnProbation && !profile.Idempotent || candidate.Avoided && mayAvoid {
			continue
		}
		if candidate.Unused && profile.Idempotent && !profile.Urgent {
			return Decision{Chosen: i, Reason: ReasonNewServer}
		}
		eligible = append(eligible, i)
	}
	if len(eligible) == 0 {
		return decideWithoutEligible(candidates)
	}
	if profile.Region != "" {
		// Servers that may not be chosen do not count, so that the failure of many servers does not move requests between regions.
		preferRegion(profile.Region, candidates, eligible[:min(policy.LocalChoices, len(eligible))])
	}
	bound := policy.bound(profile)
	chosen, reason := policy.fastestChoice(profile.RunTimes, candidates, eligible[:min(policy.WarmChoices, len(eligible))])
	decision := Decision{Chosen: chosen, Reason: reason, Pressure: candidates[chosen].pressure(), EligibleServers: len(eligible), Claim: profile.Claim}
	if decision.Pressure >= bound {
		decision.Chosen, decision.Reason, decision.RetryAfter = -1, ReasonBusy, retryDelay(profile, candidates, eligible)
		if profile.Claim.Scarce && !profile.Claim.Entitled {
			decision.Reason = ReasonOverShare
		}
	}
	return decision
}

// bound returns the pressure from which the request is refused. If organisations compete for a service, one that has had its share gives
// way to the others, and one that sends more than its share to those that do not; within an organisation, less urgent routes give way.
func (policy Policy) bound(profile RequestProfile) float64 {
	switch {
	case profile.Claim.Scarce && !profile.UrgentRoute:
		return policy.claimBound(profile.Claim) - policy.ClaimStep
	case profile.Claim.Scarce:
		return policy.claimBound(profile.Claim)
	case profile.Urgent:
		return policy.UrgentBound
	}
	return policy.OrdinaryBound
}

func (policy Policy) claimBound(claim fairshare.Claim) float64 {
	switch {
	case claim.First:
		return policy.UrgentBound
	case claim.Entitled:
		return policy.UrgentBound - policy.ClaimStep
	}
	return policy.OrdinaryBound
}

// mayAvoid reports whether servers that fail often may be skipped. When many servers fail, the remaining ones would be
// overloaded by the requests of all, and it is better to try requests on the servers that have affinity for their
// objects.
func (policy Policy) mayAvoid(candidates []Candidate) bool {
	avoided := 0
	for _, candidate := range candidates {
		if candidate.Avoided {
			avoided++
		}
	}
	return float64(avoided) <= policy.AvoidedShare*float64(len(candidates))
}

// fastestChoice returns the server that is likely to respond first among the choices, which are indexes into the
// candidates. The first choice is kept unless another one responds sooner by at least the margin.
func (policy Policy) fastestChoice(runTimes RunTimes, candidates []Candidate, choices []int) (chosen int, reason string) {
	others := runTimes.serviceRatio()
	if policy.EqualRunTimes {
		others = 1
	}
	chosen, reason = choices[0], ReasonFirstChoice
	least := candidates[chosen].responseTime(1, others)
	firstSlowed := candidates[chosen].Slowness >= notableSlowness
	for _, i := range choices[1:] {
		own := policy.ColdCost
		switch {
		case candidates[i].HasAffinity:
			own = 1
		case firstSlowed:
			own -= policy.SecondCopyCredit
		}
		if estimate := candidates[i].responseTime(own, others); estimate+policy.Margin <= least {
			chosen, reason, least = i, ReasonLessLoad, estimate
		}
	}
	return chosen, reason
}

// queuedPerSlot is the number of requests that each slot has to finish before a request that is sent to the server now.
func (candidate Candidate) queuedPerSlot() float64 {
	slots := float64(max(1, candidate.Slots))
	return max(0, candidate.Load+1-slots) / slots
}

// responseTime estimates the time until the response, as a multiple of the run time of the request on a server with
// affinity for the object. own is the run time of the request itself, others that of each request before it.
func (candidate Candidate) responseTime(own, others float64) float64 {
	return (candidate.queuedPerSlot()*others + own) * max(1, candidate.Slowdown) * max(1, candidate.Slowness)
}

func leastPressure(candidates []Candidate, among []int) int {
	least := among[0]
	for _, i := range among[1:] {
		if candidates[i].pressure() < candidates[least].pressure() {
			least = i
		}
	}
	return least
}

// decideWithoutEligible chooses the first server that is not suspended when no server is eligible: a request that
// cannot run on another server loses nothing by the attempt.
func decideWithoutEligible(candidates []Candidate) Decision {
	for i, candidate := range candidates {
		if !candidate.Suspended {
			return Decision{Chosen: i, Reason: ReasonNoEligibleServer}
		}
	}
	if slices.ContainsFunc(candidates, func(candidate Candidate) bool { return candidate.OverLimit }) {
		return Decision{Chosen: -1, Reason: ReasonLimited, RetryAfter: defaultRetryAfter}
	}
	if slices.ContainsFunc(candidates, func(candidate Candidate) bool { return candidate.Refusing }) {
		return Decision{Chosen: -1, Reason: ReasonRefusing, RetryAfter: defaultRetryAfter}
	}
	return Decision{Chosen: -1, Reason: ReasonNoServer, RetryAfter: defaultRetryAfter}
}

// defaultRetryAfter is the retry delay for a caller when the time until a server has room is unknown.
const defaultRetryAfter = 500 * time.Millisecond

// retryDelay estimates when the least loaded server will have finished its queue.
func retryDelay(profile RequestProfile, candidates []Candidate, eligible []int) time.Duration {
	if profile.ResponseTime == 0 {
		return defaultRetryAfter
	}
	rounds := candidates[leastPressure(candidates, eligible)].pressure()
	return time.Duration(rounds * float64(profile.ResponseTime))
}
