package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/entry/fairshare"
	"oleandervane.example/timer"
)

// Guards against decisions that ignore affinity, queue requests at a busy server, give the last capacity to less urgent
// requests, or send an unsafe request to a server that has just failed.
func TestDecide(t *testing.T) {
	second := Candidate{ID: "b", Slots: 3}
	third := Candidate{ID: "c", Slots: 3}
	cases := []struct {
		name       string
		profile    RequestProfile
		candidates []Candidate
		chosen     int
		reason     string
	}{
		{"first choice", RequestProfile{}, []Candidate{{ID: "a", Slots: 3}, second, third}, 0, ReasonFirstChoice},
		{"first choice has a free slot", RequestProfile{}, []Candidate{{ID: "a", Slots: 3, Load: 2}, second, third}, 0, ReasonFirstChoice},
		{"first choice has a queue, second choice has affinity", RequestProfile{}, []Candidate{{ID: "a", Slots: 3, Load: 4}, {ID: "b", Slots: 3, HasAffinity: true}, third}, 1, ReasonLessLoad},
		{"first choice has a short queue, second choice has no affinity", RequestProfile{}, []Candidate{{ID: "a", Slots: 3, Load: 4}, second, third}, 0, ReasonFirstChoice},
		{"first choice has a long queue, second choice has no affinity", RequestProfile{}, []Candidate{{ID: "a", Slots: 3, Load: 7}, second, third}, 1, ReasonLessLoad},
		{"one server that fails often", RequestProfile{}, []Candidate{{ID: "a", Slots: 3, Avoided: true}, second, third}, 1, ReasonFirstChoice},
		{"many servers that fail often", RequestProfile{}, []Candidate{{ID: "a", Slots: 3, Avoided: true}, {ID: "b", Slots: 3, Avoided: true}, third}, 0, ReasonFirstChoice},
		{"third choice is not used while the first two have room", RequestProfile{}, []Candidate{{ID: "a", Slots: 3, Load: 6}, {ID: "b", Slots: 3, Load: 6}, third}, 0, ReasonFirstChoice},
		{"third choice is not used when the first two are busy", RequestProfile{}, []Candidate{{ID: "a", Slots: 3, Load: 8}, {ID: "b", Slots: 3, Load: 8}, third}, -1, ReasonBusy},
		{"ordinary request is refused", RequestProfile{}, []Candidate{{ID: "a", Slots: 3, Load: 9}, {ID: "b", Slots: 3, Load: 9}}, -1, ReasonBusy},
		{"urgent request uses the last capacity", RequestProfile{Urgent: true}, []Candidate{{ID: "a", Slots: 3, Load: 9}, {ID: "b", Slots: 3, Load: 9}}, 0, ReasonFirstChoice},
		{"urgent request is refused", RequestProfile{Urgent: true}, []Candidate{{ID: "a", Slots: 3, Load: 11}, {ID: "b", Slots: 3, Load: 11}}, -1, ReasonBusy},
		{"short request avoids a queue of long ones", RequestProfile{RunTimes: RunTimes{Route: 1, Service: 4}}, []Candidate{{ID: "a", Slots: 3, Load: 4}, second, third}, 1, ReasonLessLoad},
		{"long request waits behind short ones", RequestProfile{RunTimes: RunTimes{Route: 4, Service: 1}}, []Candidate{{ID: "a", Slots: 3, Load: 7}, second, third}, 0, ReasonFirstChoice},
		{"slow server counts as loaded", RequestProfile{}, []Candidate{{ID: "a", Slots: 3, Load: 1, Slowdown: 5}, {ID: "b", Slots: 3, Load: 1}}, 1, ReasonLessLoad},
		{"suspended server is skipped", RequestProfile{}, []Candidate{{ID: "a", Slots: 3, Suspended: true}, second}, 1, ReasonFirstChoice},
		{"unsafe request skips a server on probation", RequestProfile{}, []Candidate{{ID: "a", Slots: 3, OnProbation: true}, second}, 1, ReasonFirstChoice},
		{"idempotent request tries a server on probation", RequestProfile{Idempotent: true}, []Candidate{{ID: "a", Slots: 3, OnProbation: true}, second}, 0, ReasonFirstChoice},
		{"only servers on probation", RequestProfile{}, []Candidate{{ID: "a", Slots: 3, OnProbation: true}}, 0, ReasonNoEligibleServer},
		{"new server gets an idempotent request", RequestProfile{Idempotent: true}, []Candidate{{ID: "a", Slots: 3}, second, {ID: "c", Slots: 3, Unused: true}}, 2, ReasonNewServer},
		{"new server gets no unsafe request", RequestProfile{}, []Candidate{{ID: "a", Slots: 3}, {ID: "b", Slots: 3, Load: 9, Unused: true}}, 0, ReasonFirstChoice},
		{"server in the region of the caller", RequestProfile{Region: "norte"}, []Candidate{{ID: "a", Slots: 3}, second, third, {ID: "d", Slots: 3, Region: "norte"}}, 3, ReasonFirstChoice},
		{"server in the region of the caller behind a failure", RequestProfile{Region: "norte"}, []Candidate{{ID: "a", Slots: 3, Suspended: true}, second, third, {ID: "d", Slots: 3}, {ID: "e", Slots: 3, Region: "norte"}}, 4, ReasonFirstChoice},
		{"all servers are suspended", RequestProfile{}, []Candidate{{ID: "a", Slots: 3, Suspended: true}}, -1, ReasonNoServer},
		{"no servers", RequestProfile{}, nil, -1, ReasonNoServer},
	}
	for _, decideCase := range cases {
		t.Run(decideCase.name, func(t *testing.T) {
			decision := DefaultPolicy().Decide(decideCase.profile, decideCase.candidates)
			assert.Equal(t, decision.Chosen, decideCase.chosen)
			assert.Equal(t, decision.Reason, decideCase.reason)
			assert.Equal(t, decision.RetryAfter > 0, decideCase.chosen < 0)
		})
	}
}

// Guards against a Retry-After that is much too short, so that callers come back long before a server has room.
func TestRefusalReturnsTimeUntilQueueIsFinished(t *testing.T) {
	candidates := []Candidate{{ID: "a", Slots: 3, Load: 12}, {ID: "b", Slots: 3, Load: 9}}
	decision := DefaultPolicy().Decide(RequestProfile{ResponseTime: 200 * time.Millisecond}, candidates)
	assert.Equal(t, decision.RetryAfter, 600*time.Millisecond)
}

func ranked(object string, servers []oleandervane.BackendServerID) []Candidate {
	var candidates []Candidate
	for _, id := range servers {
		candidates = append(candidates, Candidate{ID: id, Slots: 3, Score: score(objectHash(object), memberHash(string(id)))})
	}
	Rank("", candidates)
	return candidates
}

func serverNames(count int) []oleandervane.BackendServerID {
	var names []oleandervane.BackendServerID
	for i := range count {
		names = append(names, oleandervane.BackendServerID(fmt.Sprintf("i-%04d", i)))
	}
	return names
}

// Guards against a ranking that loses affinity when a server leaves: only objects of the lost server may move.
func TestRankMovesOnlyObjectsOfALostServer(t *testing.T) {
	servers := serverNames(16)
	lost := servers[5]
	remaining := append(append([]oleandervane.BackendServerID{}, servers[:5]...), servers[6:]...)
	for i := range 500 {
		object := fmt.Sprint(i)
		before, after := ranked(object, servers)[0].ID, ranked(object, remaining)[0].ID
		assert.Assert(t, before == after || before == lost, "object %s moved from %s to %s", object, before, after)
	}
}

// Guards against a hash that assigns far more objects to some servers than to others.
func TestRankSpreadsObjects(t *testing.T) {
	servers := serverNames(16)
	counts := map[oleandervane.BackendServerID]int{}
	const objects = 3200
	for i := range objects {
		counts[ranked(fmt.Sprint(i), servers)[0].ID]++
	}
	for _, id := range servers {
		mean := objects / len(servers)
		assert.Assert(t, counts[id] > mean*2/3 && counts[id] < mean*4/3, "%s has %d of %d objects", id, counts[id], objects)
	}
}

// Guards against a cold server that receives requests from all VMs or from none.
func TestFewVMsSendToAColdServer(t *testing.T) {
	var vms []oleandervane.EntryVM
	for _, id := range serverNames(16) {
		vms = append(vms, oleandervane.EntryVM{ID: oleandervane.VMID(id)})
	}
	for _, server := range serverNames(50) {
		assigned := 0
		for _, vm := range vms {
			if rankOf(memberHash(string(server)), vm.ID, vms) < coldVMs {
				assigned++
			}
		}
		assert.Equal(t, assigned, coldVMs)
	}
}

// Guards against an organisation beyond its share that is served before others, against an urgent route of one that goes before a less
// urgent route of one with a claim, and against bounds that change where nobody competes.
func TestClaims(t *testing.T) {
	first, other := fairshare.Claim{Scarce: true, Entitled: true, First: true}, fairshare.Claim{Scarce: true}
	entitled := fairshare.Claim{Scarce: true, Entitled: true}
	for _, testCase := range []struct {
		name     string
		profile  RequestProfile
		pressure float64
		want     string
	}{
		{"within its share", RequestProfile{Claim: first, UrgentRoute: true}, 3.4, ReasonFirstChoice},
		{"within its share, too much load", RequestProfile{Claim: first, UrgentRoute: true}, 3.6, ReasonBusy},
		{"within its share, less urgent route", RequestProfile{Claim: first}, 2.9, ReasonFirstChoice},
		{"within its share, less urgent route, more load", RequestProfile{Claim: first}, 3.1, ReasonBusy},
		{"sends more", RequestProfile{Claim: entitled, UrgentRoute: true}, 2.9, ReasonFirstChoice},
		{"sends more, too much load", RequestProfile{Claim: entitled, UrgentRoute: true}, 3.1, ReasonBusy},
		{"sends more, less urgent route", RequestProfile{Claim: entitled}, 2.4, ReasonFirstChoice},
		{"over its share, urgent", RequestProfile{Claim: other, UrgentRoute: true, Urgent: true}, 2.6, ReasonOverShare},
		{"over its share, less load", RequestProfile{Claim: other, UrgentRoute: true}, 2.4, ReasonFirstChoice},
		{"over its share, less urgent route", RequestProfile{Claim: other}, 2.1, ReasonOverShare},
		{"enough for all, urgent", RequestProfile{Urgent: true}, 3.4, ReasonFirstChoice},
		{"enough for all", RequestProfile{UrgentRoute: true}, 2.6, ReasonBusy},
	} {
		decision := DefaultPolicy().Decide(testCase.profile, []Candidate{{ID: "s", Slots: 100, Load: 100 * testCase.pressure}})
		assert.Equal(t, decision.Reason, testCase.want, testCase.name)
		assert.Equal(t, decision.Chosen >= 0, testCase.want == ReasonFirstChoice, testCase.name)
	}
}

// Guards against a request that counts several times in the shares of its organisation, because it needs several attempts.
func TestRequestCountsOnceInTheShares(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	placer := fleet(manual, 1)[0]
	placer.Update(registryOf(registered("a", "d"), registered("b", "d")))
	request := requestFor("1")
	request.SharesCapacity, request.Claimant = true, fairshare.Claimant{Organisation: "o"}
	chooser := placer.Chooser(request)
	var excluded []string
	for range 2 {
		reservation, err := chooser.Choose(excluded)
		assert.NilError(t, err)
		excluded = append(excluded, reservation.Target().ID)
		reservation.Release(oleandervane.AttemptShed)
	}
	claim := placer.ledger.Offer("ledger", request.Claimant, manual.Now())
	assert.Equal(t, claim.UsePerSecond, placer.ledger.Offer("ledger", request.Claimant, manual.Now()).UsePerSecond)
	assert.Assert(t, claim.UsePerSecond > 0 && claim.UsePerSecond < 0.3, "%v", claim)
}
