package placement

import (
	"time"

	"oleandervane.example"
)

// Candidate is what a VM knows of one backend server at one moment. It is immutable.
type Candidate struct {
	ID     oleandervane.BackendServerID
	Region oleandervane.Region
	// Score ranks the server for the object of the request.
	Score uint64
	Slots int
	// Load is the estimated number of requests that run or wait there, from all VMs.
	Load float64
	// Pace is how many times longer the server takes than others.
	Pace float64
	// Doubtful says that the server failed recently and has not proven itself since.
	Doubtful bool
	// Resting says that the VM sends nothing to the server for now: it failed a moment ago, or is cold and has had
	// its share.
	Resting bool
	// Avoided says that the server answers, but has failed many requests.
	Avoided bool
	// Familiar says that the server handled the object for this VM lately.
	Familiar bool
	// Unused says that the server has joined and received no request yet.
	Unused bool
	// index is the place of the server in the placer's list.
	index int
}

// pressure is the load for each slot, stretched by the pace.
func (candidate Candidate) pressure() float64 {
	return candidate.Load / float64(max(1, candidate.Slots)) * max(1, candidate.Pace)
}

// Question is a request that needs a backend server. It is immutable.
type Question struct {
	// Urgent says that no kind of request of the service ranks before this one.
	Urgent bool
	// Repeatable requests may be sent to a server that is being tried again.
	Repeatable bool
	// WorkTime is the usual time from the choice to the answer; zero when it is not known.
	WorkTime time.Duration
	// Work says how long requests of this route and of its service usually take.
	Work Work
}

// Decision is the choice for a question: a candidate, or how long until there may be room.
type Decision struct {
	// Chosen is an index into the candidates, or -1.
	Chosen     int
	Reason     string
	RetryAfter time.Duration
	// Pressure is the load for each slot of the best of the first choices, and Sound the number of servers that could
	// be chosen, for logs.
	Pressure        float64
	EligibleServers int
	// PeerCountsKnown says that the load is what VMs have in flight, and not what servers reported.
	PeerCountsKnown bool
}

// The reasons of decisions.
const (
	ReasonFirstChoice = "first_choice"
	ReasonLessLoad    = "second_choice_has_less_load"
	ReasonIntroduced  = "server_is_new"
	ReasonDoubtful    = "no_sound_server"
	ReasonNoServer    = "no_server"
	ReasonBusy        = "all_servers_are_busy"
)

// Decide chooses among candidates in the order of their ranking.
func (policy Policy) Decide(question Question, candidates []Candidate) Decision {
	sound := make([]int, 0, len(candidates))
	mayAvoid := policy.mayAvoid(candidates)
	for i, candidate := range candidates {
		if candidate.Resting || candidate.Doubtful && !question.Repeatable || candidate.Avoided && mayAvoid {
			continue
		}
		if candidate.Unused && question.Repeatable && !question.Urgent {
			return Decision{Chosen: i, Reason: ReasonIntroduced}
		}
		sound = append(sound, i)
	}
	if len(sound) == 0 {
		return decideUnsound(candidates)
	}
	bound := policy.OrdinaryBound
	if question.Urgent {
		bound = policy.UrgentBound
	}
	chosen, reason := policy.firstChoice(question.Work, candidates, sound[:min(policy.WarmChoices, len(sound))])
	decision := Decision{Chosen: chosen, Reason: reason, Pressure: candidates[chosen].pressure(), EligibleServers: len(sound)}
	if decision.Pressure >= bound {
		decision.Chosen, decision.Reason, decision.RetryAfter = -1, ReasonBusy, roomAfter(question, candidates, sound)
	}
	return decision
}

// mayAvoid says whether servers that fail often may be passed over. When many fail, the others would drown in the
// load of all, and requests are better tried where their objects are known.
func (policy Policy) mayAvoid(candidates []Candidate) bool {
	avoided := 0
	for _, candidate := range candidates {
		if candidate.Avoided {
			avoided++
		}
	}
	return float64(avoided) <= policy.AvoidedShare*float64(len(candidates))
}

// firstChoice returns the server among the warm ones that is likely to answer first.
func (policy Policy) firstChoice(work Work, candidates []Candidate, warm []int) (chosen int, reason string) {
	others := work.others()
	if policy.EqualRunTimes {
		others = 1
	}
	chosen, reason = warm[0], ReasonFirstChoice
	least := candidates[chosen].answerTime(1, others)
	for _, i := range warm[1:] {
		own := policy.ColdCost
		if candidates[i].Familiar {
			own = 1
		}
		if takes := candidates[i].answerTime(own, others); takes+policy.Margin <= least {
			chosen, reason, least = i, ReasonLessLoad, takes
		}
	}
	return chosen, reason
}

// waiting is the number of requests that a slot has to finish before a request that is sent to the server now.
func (candidate Candidate) waiting() float64 {
	slots := float64(max(1, candidate.Slots))
	return max(0, candidate.Load+1-slots) / slots
}

// answerTime estimates the time until the answer, in the usual time of the request at a server that knows the object. own
// is the time of the request itself, others that of the requests before it.
func (candidate Candidate) answerTime(own, others float64) float64 {
	return (candidate.waiting()*others + own) * max(1, candidate.Pace)
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

// decideUnsound takes the first server that is not at rest when no sound one is left: a request that may run nowhere
// else loses nothing by trying.
func decideUnsound(candidates []Candidate) Decision {
	for i, candidate := range candidates {
		if !candidate.Resting {
			return Decision{Chosen: i, Reason: ReasonDoubtful}
		}
	}
	return Decision{Chosen: -1, Reason: ReasonNoServer, RetryAfter: defaultRetryAfter}
}

// defaultRetryAfter is what a caller is told when nothing is known about when there will be room.
const defaultRetryAfter = 500 * time.Millisecond

// roomAfter estimates when the least loaded server has worked off its queue.
func roomAfter(question Question, candidates []Candidate, sound []int) time.Duration {
	if question.WorkTime == 0 {
		return defaultRetryAfter
	}
	rounds := candidates[leastPressure(candidates, sound)].pressure()
	return time.Duration(rounds * float64(question.WorkTime))
}
