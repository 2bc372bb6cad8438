package ticket

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/figure"
	"oleandervane.example/timer"
)

func newTestLedger(settings Settings) (*Ledger, *timer.Manual) {
	manual := timer.NewManual(time.Unix(1000, 0))
	settings.VM = "vm1"
	settings.Incarnation = 7
	return NewLedger(settings, manual), manual
}

func issue(t testing.TB, ledger *Ledger) string {
	t.Helper()
	text, err := ledger.Issue("ledger", "filing")
	assert.NilError(t, err)
	return text
}

// Guards against permitting more than one of concurrent resends of a ticket to run, and against waiters that miss the
// outcome.
func TestOnlyOneOfManyResendsRuns(t *testing.T) {
	ledger, _ := newTestLedger(Settings{})
	text := issue(t, ledger)
	var runs atomic.Int32
	var group sync.WaitGroup
	for range 64 {
		group.Go(func() {
			status, run := ledger.Begin(text, "ledger", "filing")
			if run != nil {
				runs.Add(1)
				run.Finish(oleandervane.Answered, Response{Status: 201, Complete: true})
			}
			if status.State != Fresh {
				waited := ledger.Wait(context.Background(), status)
				assert.Check(t, waited.Outcome() == oleandervane.Answered && waited.Response.Status == 201)
			}
		})
	}
	group.Wait()
	assert.Equal(t, runs.Load(), int32(1))
}

// Guards against a wrong state, and therefore a wrong outcome, in each condition that a ticket can be in.
func TestStates(t *testing.T) {
	ledger, manual := newTestLedger(Settings{Lifetime: time.Minute, Retention: time.Minute})
	successor, _ := newTestLedger(Settings{})
	text := issue(t, ledger)
	revoked := issue(t, ledger)
	unused := issue(t, ledger)
	check := func(ledger *Ledger, text string, state State, outcome oleandervane.Outcome) {
		t.Helper()
		status := ledger.Query(text)
		assert.Equal(t, status.State, state)
		assert.Equal(t, status.Outcome(), outcome)
	}
	check(ledger, text, Unused, oleandervane.Unknown)
	check(ledger, text[1:], Malformed, oleandervane.NotRun)
	check(ledger, "", Malformed, oleandervane.NotRun)
	// The successor has the same id and incarnation number. Only the key differs.
	check(successor, text, Foreign, oleandervane.Unknown)
	status, run := ledger.Begin(text, "ledger", "look-up")
	assert.Assert(t, status.State == Foreign && run == nil, "a ticket must not run a request of another kind")
	_, run = ledger.Begin(text, "ledger", "filing")
	check(ledger, text, Running, oleandervane.Unknown)
	assert.Equal(t, ledger.Revoke(text).State, Running)
	assert.Equal(t, ledger.Revoke(revoked).Outcome(), oleandervane.NotRun)
	status, _ = ledger.Begin(revoked, "ledger", "filing")
	assert.Equal(t, status.Outcome(), oleandervane.NotRun)
	manual.Advance(time.Hour)
	assert.ErrorIs(t, run.CheckExpiry(), ErrTicketExpired)
	check(ledger, unused, Expired, oleandervane.NotRun)
	check(ledger, text, Running, oleandervane.Unknown)
	run.Finish(oleandervane.Answered, Response{Status: 200})
	run.Finish(oleandervane.NotRun, Response{})
	check(ledger, text, Recorded, oleandervane.Answered)
}

// Guards against unbounded memory: responses are evicted first, marks remain until the tickets have expired, and from
// then on the outcome is unknown.
func TestMemoryIsBounded(t *testing.T) {
	const responseBytes = 1000
	ledger, manual := newTestLedger(Settings{
		Lifetime: time.Minute, Retention: time.Minute, MaxResponseBytes: 10 * (responseBytes + responseOverheadBytes), MaxTickets: 2 * segmentMarks,
	})
	texts := make([]string, 2*segmentMarks)
	for index := range texts {
		texts[index] = issue(t, ledger)
		_, run := ledger.Begin(texts[index], "ledger", "filing")
		run.Finish(oleandervane.Answered, Response{Status: 200, Body: make([]byte, responseBytes), Complete: true})
	}
	_, err := ledger.Issue("ledger", "filing")
	assert.ErrorIs(t, err, ErrTooManyTickets)
	assert.Equal(t, len(ledger.records), 10)
	status := ledger.Query(texts[0])
	assert.Assert(t, status.Outcome() == oleandervane.Answered && !status.Response.Complete)
	manual.Advance(2*time.Minute + time.Nanosecond)
	issue(t, ledger)
	status, run := ledger.Begin(texts[0], "ledger", "filing")
	assert.Assert(t, run == nil && status.State == Forgotten && status.Outcome() == oleandervane.Unknown)
}

// Guards against not counting a pause that stops the monotonic clock, and against a wall clock that steps back.
func TestPassed(t *testing.T) {
	for _, row := range [][3]time.Duration{{5, 5, 5}, {0, 30, 30}, {5, -60, 5}, {5, 60, 60}, {-1, -1, 0}} {
		assert.Equal(t, passed(row[0], row[1]), row[2])
	}
}

// Measures the time that a ticket adds to a request.
func BenchmarkFigureTicket(b *testing.B) {
	ledger := NewLedger(Settings{VM: "kigali-a-1", Incarnation: 7, MaxTickets: 1 << 40}, timer.System{})
	b.ReportAllocs()
	for b.Loop() {
		text, _ := ledger.Issue("ledger", "filing")
		_, run := ledger.Begin(text, "ledger", "filing")
		run.Finish(oleandervane.Answered, Response{Status: 200})
	}
	nanoseconds := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
	figure.Report(b, figure.Figure{Name: "request_ticket_cost", Value: nanoseconds, Unit: "ns", Bound: 10_000})
}
