package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
)

// Guards against decisions that forget warmth, queue at a busy server, let less urgent requests take the last room, or
// send an unsafe request to a server that has just failed.
func TestDecide(t *testing.T) {
	second := Candidate{ID: "b", Slots: 3}
	third := Candidate{ID: "c", Slots: 3}
	cases := []struct {
		name       string
		question   Question
		candidates []Candidate
		chosen     int
		reason     string
	}{
		{"first choice", Question{}, []Candidate{{ID: "a", Slots: 3}, second, third}, 0, ReasonFirstChoice},
		{"first choice with a free slot", Question{}, []Candidate{{ID: "a", Slots: 3, Load: 2}, second, third}, 0, ReasonFirstChoice},
		{"first choice with a queue, the second knows the object", Question{}, []Candidate{{ID: "a", Slots: 3, Load: 4}, {ID: "b", Slots: 3, Familiar: true}, third}, 1, ReasonLessLoad},
		{"first choice with a short queue, the second would have to learn the object", Question{}, []Candidate{{ID: "a", Slots: 3, Load: 4}, second, third}, 0, ReasonFirstChoice},
		{"first choice with a long queue, the second would have to learn the object", Question{}, []Candidate{{ID: "a", Slots: 3, Load: 7}, second, third}, 1, ReasonLessLoad},
		{"one server that fails often", Question{}, []Candidate{{ID: "a", Slots: 3, Avoided: true}, second, third}, 1, ReasonFirstChoice},
		{"many servers that fail often", Question{}, []Candidate{{ID: "a", Slots: 3, Avoided: true}, {ID: "b", Slots: 3, Avoided: true}, third}, 0, ReasonFirstChoice},
		{"third choice stays cold while the first two have room", Question{}, []Candidate{{ID: "a", Slots: 3, Load: 6}, {ID: "b", Slots: 3, Load: 6}, third}, 0, ReasonFirstChoice},
		{"no third choice when the first two are busy", Question{}, []Candidate{{ID: "a", Slots: 3, Load: 8}, {ID: "b", Slots: 3, Load: 8}, third}, -1, ReasonBusy},
		{"ordinary request is refused", Question{}, []Candidate{{ID: "a", Slots: 3, Load: 9}, {ID: "b", Slots: 3, Load: 9}}, -1, ReasonBusy},
		{"urgent request takes the last room", Question{Urgent: true}, []Candidate{{ID: "a", Slots: 3, Load: 9}, {ID: "b", Slots: 3, Load: 9}}, 0, ReasonFirstChoice},
		{"urgent request is refused", Question{Urgent: true}, []Candidate{{ID: "a", Slots: 3, Load: 11}, {ID: "b", Slots: 3, Load: 11}}, -1, ReasonBusy},
		{"short request avoids a queue of long ones", Question{Work: Work{Route: 1, Service: 4}}, []Candidate{{ID: "a", Slots: 3, Load: 4}, second, third}, 1, ReasonLessLoad},
		{"long request waits behind short ones", Question{Work: Work{Route: 4, Service: 1}}, []Candidate{{ID: "a", Slots: 3, Load: 7}, second, third}, 0, ReasonFirstChoice},
		{"slow server counts as loaded", Question{}, []Candidate{{ID: "a", Slots: 3, Load: 1, Pace: 5}, {ID: "b", Slots: 3, Load: 1}}, 1, ReasonLessLoad},
		{"resting server is passed over", Question{}, []Candidate{{ID: "a", Slots: 3, Resting: true}, second}, 1, ReasonFirstChoice},
		{"unsafe request avoids a doubtful server", Question{}, []Candidate{{ID: "a", Slots: 3, Doubtful: true}, second}, 1, ReasonFirstChoice},
		{"repeatable request tries a doubtful server", Question{Repeatable: true}, []Candidate{{ID: "a", Slots: 3, Doubtful: true}, second}, 0, ReasonFirstChoice},
		{"only doubtful servers", Question{}, []Candidate{{ID: "a", Slots: 3, Doubtful: true}}, 0, ReasonDoubtful},
		{"new server is introduced", Question{Repeatable: true}, []Candidate{{ID: "a", Slots: 3}, second, {ID: "c", Slots: 3, Unused: true}}, 2, ReasonIntroduced},
		{"unsafe request does not introduce a server", Question{}, []Candidate{{ID: "a", Slots: 3}, {ID: "b", Slots: 3, Load: 9, Unused: true}}, 0, ReasonFirstChoice},
		{"all rest", Question{}, []Candidate{{ID: "a", Slots: 3, Resting: true}}, -1, ReasonNoServer},
		{"none", Question{}, nil, -1, ReasonNoServer},
	}
	for _, decideCase := range cases {
		t.Run(decideCase.name, func(t *testing.T) {
			decision := DefaultPolicy().Decide(decideCase.question, decideCase.candidates)
			assert.Equal(t, decision.Chosen, decideCase.chosen)
			assert.Equal(t, decision.Reason, decideCase.reason)
			assert.Equal(t, decision.RetryAfter > 0, decideCase.chosen < 0)
		})
	}
}

// Guards against callers that return long before there is room.
func TestRefusalTellsWhenTheQueueIsWorkedOff(t *testing.T) {
	candidates := []Candidate{{ID: "a", Slots: 3, Load: 12}, {ID: "b", Slots: 3, Load: 9}}
	decision := DefaultPolicy().Decide(Question{WorkTime: 200 * time.Millisecond}, candidates)
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

// Guards against a ranking that forgets objects when an instance leaves: only objects of the lost server may move.
func TestRankMovesOnlyObjectsOfALostServer(t *testing.T) {
	servers := serverNames(16)
	lost := servers[5]
	rest := append(append([]oleandervane.BackendServerID{}, servers[:5]...), servers[6:]...)
	for i := range 500 {
		object := fmt.Sprint(i)
		before, after := ranked(object, servers)[0].ID, ranked(object, rest)[0].ID
		assert.Assert(t, before == after || before == lost, "object %s moved from %s to %s", object, before, after)
	}
}

// Guards against a hash that gives some servers far more objects than others.
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

// Guards against a cold server that all VMs or none send to.
func TestFewVMsWarmAServer(t *testing.T) {
	var vms []oleandervane.EntryVM
	for _, id := range serverNames(16) {
		vms = append(vms, oleandervane.EntryVM{ID: oleandervane.VMID(id)})
	}
	for _, server := range serverNames(50) {
		warmers := 0
		for _, vm := range vms {
			if ranksFirst(memberHash(string(server)), vm.ID, vms, coldVMs) {
				warmers++
			}
		}
		assert.Equal(t, warmers, coldVMs)
	}
}
