package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// settleTime is the time after a fault during which no time limit is checked.
	settleTime = 4 * time.Second
	// drainLimit is the time after which a leaving server must get no new requests. It includes 1 s for a busy machine.
	drainLimit = 2*time.Second + time.Second
	// applyLimit is the time within which a configuration must be in force. It includes 1 s for a busy machine.
	applyLimit = 2*time.Second + time.Second
	// recoveredShare is the share of requests that must succeed after the last fault.
	recoveredShare = 0.9
	// minResponses is the number of responses below which a run has checked too little.
	minResponses = 300
	// minEvents is the number of drains, of evacuations, of cold starts, of returns and of configurations that a run must check.
	minEvents = 1
	// evacuationLimit is the time after which an evacuated failure domain must get no new requests.
	evacuationLimit = 5 * time.Second
	// A cold server tolerates coldRateFactor times coldPerSecond plus coldBurst requests in any second, from all VMs together.
	coldRateFactor = 1.5
	coldBurst      = 5
	// retryRatio, retryBase and budgetWindow are the total retry budget of all VMs, as in their settings.
	retryRatio   = 0.2
	retryBase    = 100
	budgetWindow = 10 * time.Second
)

// response is the result of one request at a caller.
type response struct {
	requestID string
	unsafe    bool
	status    int
	body      string
	// broken is set if no complete response was received.
	broken bool
	// abandoned is set if the soak ended while the caller waited.
	abandoned bool
	at        time.Time
}

// check records responses and the violations of the system's guarantees.
type check struct {
	journal    *journal
	mutex      sync.Mutex
	responses  []response
	violations []string
	// drains, versions, evacuations and coldStarts count those that were checked.
	drains      int
	versions    int
	evacuations int
	coldStarts  int
	// returns counts the servers that started again and were checked.
	returns int
	// signals counts the signals of servers that were checked, crashes the requests that crash servers.
	signals, crashes int
	// restores counts the restores of the store that were checked.
	restores int
}

func (check *check) fail(format string, arguments ...any) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	check.violations = append(check.violations, fmt.Sprintf(format, arguments...))
}

// count increments a counter of checked events.
func (check *check) count(counter *int) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	*counter++
}

// recordResponse records a response and checks immediately that a successful response is complete and belongs to the
// request.
func (check *check) recordResponse(response response) {
	if !response.broken && response.status == http.StatusOK && response.body != bodyOf(response.requestID) {
		check.fail("request %s got the response %q", response.requestID, response.body)
	}
	check.mutex.Lock()
	defer check.mutex.Unlock()
	check.responses = append(check.responses, response)
}

// promisesNotRun reports whether a status guarantees that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// finish checks the guarantees that cover the whole run. It must be called after all requests have ended.
func (check *check) finish(lastFault time.Time) {
	check.mutex.Lock()
	responses := check.responses
	check.mutex.Unlock()
	served, requests := 0, 0
	for _, response := range responses {
		runs := check.journal.runsOf(response.requestID)
		if response.unsafe && runs > 1 {
			check.fail("unsafe request %s ran %d times", response.requestID, runs)
		}
		if response.unsafe && !response.broken && promisesNotRun(response.status) && runs > 0 {
			check.fail("request %s was answered %d and ran", response.requestID, response.status)
		}
		if response.at.After(lastFault.Add(settleTime)) && !response.abandoned {
			requests++
			if response.status == http.StatusOK {
				served++
			}
		}
	}
	if float64(served) < recoveredShare*float64(requests) {
		check.fail("%d of %d requests were served after the last fault", served, requests)
	}
	check.checkBudget()
	if len(responses) < minResponses || requests == 0 || min(check.drains, check.versions, check.evacuations, check.coldStarts, check.returns, check.restores) < minEvents {
		check.fail("too little was checked: %d answers, %d after the last fault, %d drains, %d versions, %d evacuations, %d cold starts, %d returns, %d restores",
			len(responses), requests, check.drains, check.versions, check.evacuations, check.coldStarts, check.returns, check.restores)
	}
}

// checkBudget checks that servers got no more repeated requests in any window than the total retry budget allows.
// First requests are counted in that window or in the one half a window earlier, whichever has more.
func (check *check) checkBudget() {
	check.journal.mutex.Lock()
	first, repeated := check.journal.first, check.journal.repeated
	check.journal.mutex.Unlock()
	for _, end := range repeated {
		from := end.Add(-budgetWindow)
		repeats := len(timesBetween(repeated, from, end)) + 1
		requests := max(len(timesBetween(first, from, end)), len(timesBetween(first, from.Add(-budgetWindow/2), end.Add(-budgetWindow/2))))
		if allowed := retryRatio*float64(requests) + retryBase; float64(repeats) > allowed {
			check.fail("servers got %d repeated requests in %v, %0.f are allowed", repeats, budgetWindow, allowed)
			return
		}
	}
}

// checkCold checks the rate at which a server ran requests while it was cold.
func (check *check) checkCold(server string, runTimes []time.Time) {
	check.count(&check.coldStarts)
	check.checkColdRate(server, runTimes)
}

// checkColdRate checks the requests of each second at a server that was cold.
func (check *check) checkColdRate(server string, times []time.Time) {
	most := 0
	for _, end := range times {
		most = max(most, len(timesBetween(times, end.Add(-time.Second), end))+1)
	}
	if allowed := coldRateFactor*coldPerSecond + coldBurst; float64(most) > allowed {
		check.fail("%s got %d requests in a second while it was cold, %.0f are allowed", server, most, allowed)
	}
}

// checkRestore checks that a server that was drained before the store was restored ran no requests afterwards, and that no VM lost the
// configuration.
func (check *check) checkRestore(server string, vmsWithout []string, runTimes []time.Time) {
	if len(runTimes) > 0 {
		check.fail("%s ran %d requests after the store had lost its drain", server, len(runTimes))
	}
	for _, vm := range vmsWithout {
		check.fail("%s no longer served the configuration that the store had lost", vm)
	}
}

// checkEvacuated checks that a server ran no requests from evacuationLimit after the start of an evacuation until its end.
func (check *check) checkEvacuated(server string, runTimes []time.Time) {
	if len(runTimes) > 0 {
		check.fail("%s ran %d requests while its failure domain was evacuated", server, len(runTimes))
	}
}
