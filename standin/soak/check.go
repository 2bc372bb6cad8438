package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// settleTime is how long after a fault no bound on time holds.
	settleTime = 4 * time.Second
	// drainLimit is the time in which a server that leaves must get no new requests, with room for a busy machine.
	drainLimit = 2*time.Second + time.Second
	// applyLimit is the time in which a configuration must be in force, with room for a busy machine.
	applyLimit = 2*time.Second + time.Second
	// recoveredShare is the share of requests that must be answered with success after the last fault.
	recoveredShare = 0.9
	// enoughAnswers is the number of answers below which a run has shown too little.
	enoughAnswers = 300
	// enoughEvents is the number of drains, evacuations, cold starts and configurations that have to be checked.
	enoughEvents = 1
	// evacuationLimit is the time in which a failure domain that is evacuated must get no new requests.
	evacuationLimit = 5 * time.Second
	// A cold server bears coldMargin times its rate and coldExtra more in any second, from all VMs together.
	coldMargin = 1.5
	coldExtra  = 5
	// retryRatio, retryBase and budgetWindow are the retry budget of all VMs together, as their settings have it.
	retryRatio   = 0.2
	retryBase    = 100
	budgetWindow = 10 * time.Second
)

// answer is what a caller got for one request.
type answer struct {
	requestID string
	unsafe    bool
	status    int
	body      string
	broken    bool
	// abandoned says that the soak ended while the caller waited.
	abandoned bool
	at        time.Time
}

// check collects answers and broken promises.
type check struct {
	journal  *journal
	mutex    sync.Mutex
	answers  []answer
	broken   []string
	drains   int
	versions int
	// evacuations and coldStarts count what was checked of these.
	evacuations int
	coldStarts  int
}

func (check *check) fail(format string, arguments ...any) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	check.broken = append(check.broken, fmt.Sprintf(format, arguments...))
}

// count adds one to a number of things that were checked.
func (check *check) count(number *int) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	*number++
}

// noteAnswer checks what can be checked at once: a success is whole and the caller's own.
func (check *check) noteAnswer(answer answer) {
	if !answer.broken && answer.status == http.StatusOK && answer.body != bodyOf(answer.requestID) {
		check.fail("request %s got %q", answer.requestID, answer.body)
	}
	check.mutex.Lock()
	defer check.mutex.Unlock()
	check.answers = append(check.answers, answer)
}

// promised says whether a status promises that the request has not run and never will.
func promised(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// finish checks what holds over the whole run, when nothing runs any more.
func (check *check) finish(lastFault time.Time) {
	check.mutex.Lock()
	answers := check.answers
	check.mutex.Unlock()
	served, asked := 0, 0
	for _, answer := range answers {
		runs := check.journal.runsOf(answer.requestID)
		if answer.unsafe && runs > 1 {
			check.fail("unsafe request %s ran %d times", answer.requestID, runs)
		}
		if answer.unsafe && !answer.broken && promised(answer.status) && runs > 0 {
			check.fail("request %s was answered %d and ran", answer.requestID, answer.status)
		}
		if answer.at.After(lastFault.Add(settleTime)) && !answer.abandoned {
			asked++
			if answer.status == http.StatusOK {
				served++
			}
		}
	}
	if float64(served) < recoveredShare*float64(asked) {
		check.fail("%d of %d requests were served after the last fault", served, asked)
	}
	check.checkBudget()
	if len(answers) < enoughAnswers || asked == 0 || min(check.drains, check.versions, check.evacuations, check.coldStarts) < enoughEvents {
		check.fail("too little was checked: %d answers, %d after the last fault, %d drains, %d versions, %d evacuations, %d cold starts",
			len(answers), asked, check.drains, check.versions, check.evacuations, check.coldStarts)
	}
}

// checkBudget checks that in no window servers got more repeated requests than the budget of all VMs together. Requests
// are counted in the window or in the one half a window before it, whichever has more.
func (check *check) checkBudget() {
	check.journal.mutex.Lock()
	first, repeated := check.journal.first, check.journal.repeated
	check.journal.mutex.Unlock()
	for _, end := range repeated {
		from := end.Add(-budgetWindow)
		again := len(between(repeated, from, end)) + 1
		requests := max(len(between(first, from, end)), len(between(first, from.Add(-budgetWindow/2), end.Add(-budgetWindow/2))))
		if allowed := retryRatio*float64(requests) + retryBase; float64(again) > allowed {
			check.fail("servers got %d repeated requests in %v, %0.f are allowed", again, budgetWindow, allowed)
			return
		}
	}
}

// checkCold checks the requests that a server got while it was cold.
func (check *check) checkCold(server string, arrivals []time.Time) {
	check.count(&check.coldStarts)
	for _, end := range arrivals {
		last := len(between(arrivals, end.Add(-time.Second), end)) + 1
		if allowed := coldMargin*coldPerSecond + coldExtra; float64(last) > allowed {
			check.fail("%s got %d requests in a second while it was cold, %.0f are allowed", server, last, allowed)
			return
		}
	}
}

// checkEvacuated checks that a server got nothing from the limit on until its failure domain was taken back.
func (check *check) checkEvacuated(server string, arrivals []time.Time) {
	if len(arrivals) > 0 {
		check.fail("%s ran %d requests while its failure domain was evacuated", server, len(arrivals))
	}
}
