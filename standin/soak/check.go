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
	// enoughEvents is the number of drains and of configurations that have to be checked.
	enoughEvents = 1
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
	if len(answers) < enoughAnswers || asked == 0 || check.drains < enoughEvents || check.versions < enoughEvents {
		check.fail("too little was checked: %d answers, %d after the last fault, %d drains, %d versions", len(answers), asked, check.drains, check.versions)
	}
}
