package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// wellPlayed is a check of a run in which enough was seen and nothing broken.
func wellPlayed(start time.Time) *check {
	check := &check{journal: newJournal(), drains: 1, versions: 1, evacuations: 1, coldStarts: 1}
	for i := range 2 * enoughAnswers {
		id := fmt.Sprint(i)
		check.journal.noteArrival(id, start.Add(time.Duration(i)*time.Millisecond))
		check.journal.noteRun("i-0", id)
		check.noteAnswer(answer{requestID: id, unsafe: i%2 == 0, status: http.StatusOK, body: bodyOf(id), at: start.Add(time.Hour)})
	}
	return check
}

// Guards against a check that passes what it is there to find.
func TestEachCheckFails(t *testing.T) {
	start := time.Now()
	cases := map[string]struct {
		spoil func(check *check)
		want  string
	}{
		"nothing":                 {func(*check) {}, ""},
		"an unsafe request twice": {func(check *check) { check.journal.noteRun("i-1", "0") }, "ran 2 times"},
		"a safe request twice":    {func(check *check) { check.journal.noteRun("i-1", "1") }, ""},
		"refused and run": {func(check *check) {
			check.journal.noteRun("i-0", "x")
			check.noteAnswer(answer{requestID: "x", unsafe: true, status: http.StatusServiceUnavailable, at: start})
		}, "was answered 503 and ran"},
		"another answer": {func(check *check) {
			check.noteAnswer(answer{requestID: "x", status: http.StatusOK, body: bodyOf("y"), at: start})
		}, "got"},
		"no recovery": {func(check *check) {
			for i := range enoughAnswers {
				check.noteAnswer(answer{requestID: fmt.Sprint("lost", i), status: http.StatusBadGateway, at: start.Add(time.Hour)})
			}
		}, "were served after the last fault"},
		"too little":         {func(check *check) { check.drains = 0 }, "too little"},
		"no cold start":      {func(check *check) { check.coldStarts = 0 }, "too little"},
		"too many repeats":   {func(check *check) { repeat(check, start, 2*enoughAnswers/5+retryBase+1) }, "repeated requests"},
		"repeats in budget":  {func(check *check) { repeat(check, start, 2*enoughAnswers/5) }, ""},
		"a cold server":      {func(check *check) { check.checkCold("i-0", burst(start, 15)) }, "while it was cold"},
		"a cold server fed":  {func(check *check) { check.checkCold("i-0", burst(start, 14)) }, ""},
		"an evacuated one":   {func(check *check) { check.checkEvacuated("i-0", burst(start, 1)) }, "evacuated"},
		"an evacuated, idle": {func(check *check) { check.checkEvacuated("i-0", nil) }, ""},
	}
	for name, checkCase := range cases {
		t.Run(name, func(t *testing.T) {
			check := wellPlayed(start)
			checkCase.spoil(check)
			check.finish(start)
			found := strings.Join(check.broken, "; ")
			assert.Equal(t, found == "", checkCase.want == "", found)
			assert.Assert(t, strings.Contains(found, checkCase.want), found)
		})
	}
}

func repeat(check *check, start time.Time, count int) {
	for i := range count {
		check.journal.noteArrival("1", start.Add(time.Second+time.Duration(i)*time.Millisecond))
	}
}

func burst(start time.Time, count int) []time.Time {
	var times []time.Time
	for i := range count {
		times = append(times, start.Add(time.Duration(i)*time.Millisecond))
	}
	return times
}
