package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// passingCheck returns a check of a run that has enough responses and events and no violations.
func passingCheck(start time.Time) *check {
	check := &check{journal: newJournal(), drains: 1, versions: 1, evacuations: 1, coldStarts: 1, returns: 1, restores: 1}
	for i := range 2 * minResponses {
		id := fmt.Sprint(i)
		check.journal.recordArrival("i-0", id, start.Add(time.Duration(i)*time.Millisecond))
		check.journal.recordRun("i-0", id)
		check.recordResponse(response{requestID: id, unsafe: i%2 == 0, status: http.StatusOK, body: bodyOf(id), at: start.Add(time.Hour)})
	}
	return check
}

// Guards against a check that does not report the violation that it is meant to find.
func TestEachCheckFails(t *testing.T) {
	start := time.Now()
	cases := map[string]struct {
		violate func(check *check)
		want    string
	}{
		"no violation":             {func(*check) {}, ""},
		"unsafe request ran twice": {func(check *check) { check.journal.recordRun("i-1", "0") }, "ran 2 times"},
		"safe request ran twice":   {func(check *check) { check.journal.recordRun("i-1", "1") }, ""},
		"request ran despite status 503": {func(check *check) {
			check.journal.recordRun("i-0", "x")
			check.recordResponse(response{requestID: "x", unsafe: true, status: http.StatusServiceUnavailable, at: start})
		}, "was answered 503 and ran"},
		"response to another request": {func(check *check) {
			check.recordResponse(response{requestID: "x", status: http.StatusOK, body: bodyOf("y"), at: start})
		}, "got"},
		"no recovery": {func(check *check) {
			for i := range minResponses {
				check.recordResponse(response{requestID: fmt.Sprint("lost", i), status: http.StatusBadGateway, at: start.Add(time.Hour)})
			}
		}, "were served after the last fault"},
		"no drain":                          {func(check *check) { check.drains = 0 }, "too little"},
		"drain undone by a restore":         {func(check *check) { check.checkRestore("i-0", nil, []time.Time{start}) }, "had lost its drain"},
		"configuration undone by a restore": {func(check *check) { check.checkRestore("i-0", []string{"vm-1"}, nil) }, "no longer served"},
		"refused VM without the version":    {func(check *check) { check.checkRefused("vm-0", 3, http.StatusNotFound, false) }, "did not serve version 3"},
		"refused VM with a removed key":     {func(check *check) { check.checkRefused("vm-0", 3, http.StatusOK, true) }, "accepted the key"},
		"no restore":                        {func(check *check) { check.restores = 0 }, "too little"},
		"no cold start":                     {func(check *check) { check.coldStarts = 0 }, "too little"},
		"repeats above budget":              {func(check *check) { repeat(check, start, 2*minResponses/5+retryBase+1) }, "repeated requests"},
		"repeats within budget":             {func(check *check) { repeat(check, start, 2*minResponses/5) }, ""},
		"cold server above rate":            {func(check *check) { check.checkCold("i-0", burst(start, 15)) }, "while it was cold"},
		"cold server within rate":           {func(check *check) { check.checkCold("i-0", burst(start, 14)) }, ""},
		"no return":                         {func(check *check) { check.returns = 0 }, "too little"},
		"returned server above rate":        {func(check *check) { check.checkReturn("i-0", burst(start, 15)) }, "while it was cold"},
		"returned server within rate":       {func(check *check) { check.checkReturn("i-0", burst(start, 14)) }, ""},
		"evacuated server with request":     {func(check *check) { check.checkEvacuated("i-0", burst(start, 1)) }, "evacuated"},
		"limited server above limit":        {func(check *check) { check.checkSignal("i-0", signalLimit, spread(start, 60), start, 4) }, "limits its requests"},
		"limited server within limit":       {func(check *check) { check.checkSignal("i-0", signalLimit, spread(start, 20), start, 4) }, ""},
		"leaving server with late request":  {func(check *check) { check.checkSignal("i-0", signalLeaving, spread(start, 8), start, 4) }, "said that it leaves"},
		"leaving server with early request": {func(check *check) { check.checkSignal("i-0", signalLeaving, burst(start, 5), start, 4) }, ""},
		"paused server with requests":       {func(check *check) { check.checkSignal("i-0", signalPause, spread(start, 40), start, 4) }, "wanted no requests"},
		"paused server with probes":         {func(check *check) { check.checkSignal("i-0", signalPause, spread(start, 10), start, 4) }, ""},
		"request that goes on crashing":     {func(check *check) { check.checkCrashes("deadly-1", spread(start, 12)) }, "crashed 12 servers"},
		"request that is refused":           {func(check *check) { check.checkCrashes("deadly-1", burst(start, 8)) }, ""},
		"evacuated server without requests": {func(check *check) { check.checkEvacuated("i-0", nil) }, ""},
	}
	for name, checkCase := range cases {
		t.Run(name, func(t *testing.T) {
			check := passingCheck(start)
			checkCase.violate(check)
			check.finish(start)
			found := strings.Join(check.violations, "; ")
			assert.Equal(t, found == "", checkCase.want == "", "violations: %q, want %q", found, checkCase.want)
			assert.Assert(t, strings.Contains(found, checkCase.want), "violations: %q, want %q", found, checkCase.want)
		})
	}
}

func repeat(check *check, start time.Time, count int) {
	for i := range count {
		check.journal.recordArrival("i-0", "1", start.Add(time.Second+time.Duration(i)*time.Millisecond))
	}
}

func burst(start time.Time, count int) []time.Time {
	var times []time.Time
	for i := range count {
		times = append(times, start.Add(time.Duration(i)*time.Millisecond))
	}
	return times
}

// spread returns times over signalDuration.
func spread(start time.Time, count int) []time.Time {
	var times []time.Time
	for i := range count {
		times = append(times, start.Add(time.Duration(i+1)*signalDuration/time.Duration(count+1)))
	}
	return times
}
