package ticket

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"oleandervane.example"
	"oleandervane.example/entry/ticket/model"
	"oleandervane.example/figure"
)

const (
	modelSeed      = 20261204
	modelHistories = 4000
)

// ticketProcess runs a Ledger in the model. Each of the boolean fields disables one guard.
type ticketProcess struct {
	world             *model.World
	vm                int
	ledger            *Ledger
	withoutMark       bool
	withoutRevokeMark bool
	withoutFloor      bool
	foreignIsNotRun   bool
	unusedIsNotRun    bool
	runningIsNotRun   bool
	unknownIsNotRun   bool
	markedAfterWrite  bool
	withoutOwnKey     bool
	clockGoesBack     bool
}

// start is a protocol in which a replaced VM often gets the incarnation number of its predecessor, so that only the
// keys of their ledgers differ.
func (process ticketProcess) start(world *model.World, vm int) model.Process {
	process.world, process.vm = world, vm
	process.ledger = NewLedger(Settings{
		VM:          oleandervane.VMID(rune('a' + vm)),
		Incarnation: oleandervane.Incarnation(world.Choose(2)),
		Lifetime:    time.Minute,
		Retention:   time.Minute,
		// Only the newest response is stored, so that most resends are answered from the mark.
		MaxResponseBytes: responseOverheadBytes,
	}, world.Clock(vm))
	// Only whole segments of sequence numbers are evicted. The model issues few tickets, so most of them start a
	// segment.
	process.ledger.next = segmentMarks - 1
	if process.withoutOwnKey {
		process.ledger.key = []byte("key")
	}
	if process.clockGoesBack {
		process.ledger.clock = plainClock{start: world.Clock(vm).Now(), clock: world.Clock(vm)}
	}
	return &process
}

// plainClock is a clock of a ledger without the guard against steps back.
type plainClock struct {
	start time.Time
	clock model.Clock
}

func (plainClock plainClock) now() time.Duration { return plainClock.clock.Now().Sub(plainClock.start) }

func (process *ticketProcess) Issue() (string, bool) {
	process.ledger.next += uint64(process.world.Choose(2)) * segmentMarks / 2
	text, err := process.ledger.Issue("ledger", "filing")
	return text, err == nil
}

func (process *ticketProcess) Receive(key string) model.Decision {
	process.resetFloor()
	status, run := process.ledger.Begin(key, "ledger", "filing")
	if run == nil {
		return model.Decision{Outcome: process.outcome(status)}
	}
	if process.withoutMark || process.markedAfterWrite {
		delete(process.ledger.records, run.record.sequence)
		process.ledger.marks.set(run.record.sequence, markUnused)
	}
	return model.Decision{Run: ticketRun{run: run, process: process}}
}

func (process *ticketProcess) Query(key string) oleandervane.Outcome {
	process.resetFloor()
	return process.outcome(process.ledger.Query(key))
}

func (process *ticketProcess) Revoke(key string) oleandervane.Outcome {
	process.resetFloor()
	status := process.ledger.Query(key)
	if status.State == Unused && process.withoutRevokeMark {
		return oleandervane.NotRun
	}
	return process.outcome(process.ledger.Revoke(key))
}

// resetFloor makes the ledger look up forgotten tickets as well, if the guard against that is disabled.
func (process *ticketProcess) resetFloor() {
	if process.withoutFloor {
		process.ledger.marks.floor = 0
	}
}

func (process *ticketProcess) outcome(status Status) oleandervane.Outcome {
	falseNotRun := status.State == Foreign && process.foreignIsNotRun ||
		status.State == Unused && process.unusedIsNotRun ||
		status.State == Running && process.runningIsNotRun ||
		status.State == Recorded && status.outcome == oleandervane.Unknown && process.unknownIsNotRun
	if falseNotRun {
		return oleandervane.NotRun
	}
	return status.Outcome()
}

type ticketRun struct {
	run     *Run
	process *ticketProcess
}

func (run ticketRun) CheckBeforeWrite() error { return run.run.CheckExpiry() }

func (run ticketRun) Finish(outcome oleandervane.Outcome) {
	if !run.process.withoutMark {
		run.run.Finish(outcome, Response{})
	}
}

func runHistories(protocol model.Protocol) model.Report {
	total := model.Report{}
	for number := range modelHistories {
		total = total.Plus(runHistory(protocol, number))
	}
	return total
}

func runHistory(protocol model.Protocol, number int) model.Report {
	random := rand.New(rand.NewPCG(modelSeed, uint64(number)))
	return model.RunHistory(random.IntN, protocol)
}

// Guards against double runs and false "not run" outcomes, in any order of resends, kills, pauses, cuts, splits,
// replacements and clock steps.
func TestFigureAtMostOnce(t *testing.T) {
	t.Logf("seed %d, %d histories", modelSeed, modelHistories)
	report := runHistories(ticketProcess{}.start)
	t.Logf("%+v", report)
	assert.Assert(t, report.Runs > modelHistories, "the histories have too few runs to be significant")
	figure.Require(t, figure.Figure{Name: "request_double_runs", Value: float64(report.DoubleRuns), Unit: "requests", Bound: 0})
	figure.Require(t, figure.Figure{Name: "request_false_not_run", Value: float64(report.FalseNotRun), Unit: "requests", Bound: 0})
}

// Guards against the same failures as TestFigureAtMostOnce, with rapid, which shrinks a history that violates the
// guarantee to a short one.
func TestAtMostOnceShrinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		report := model.RunHistory(choose, ticketProcess{}.start)
		assert.Equal(t, report.DoubleRuns+report.FalseNotRun, 0)
	})
}

// Guards against a model that cannot find faults. Without any one of the guards, a history must violate the guarantee.
func TestMissingGuardViolatesGuarantee(t *testing.T) {
	for name, process := range map[string]ticketProcess{
		"mark of use":                     {withoutMark: true},
		"mark before the write":           {markedAfterWrite: true},
		"mark of revocation":              {withoutRevokeMark: true},
		"floor of forgotten tickets":      {withoutFloor: true},
		"key of one incarnation":          {withoutOwnKey: true},
		"clock that never goes back":      {clockGoesBack: true},
		"unknown for foreign tickets":     {foreignIsNotRun: true},
		"unknown for unused tickets":      {unusedIsNotRun: true},
		"unknown for running requests":    {runningIsNotRun: true},
		"unknown after broken connection": {unknownIsNotRun: true},
	} {
		t.Run(name, func(t *testing.T) {
			for number := range modelHistories {
				report := runHistory(process.start, number)
				if report.DoubleRuns+report.FalseNotRun > 0 {
					t.Logf("history %d: double runs %d, false not run %d", number, report.DoubleRuns, report.FalseNotRun)
					return
				}
			}
			t.Fatalf("%d histories did not reveal that the guard is missing", modelHistories)
		})
	}
}

// Measures the alternatives of decision 0001 with the same histories. The home VM runs some requests twice; if it does
// not, the histories have too few failures to distinguish the alternatives.
func TestFigureAlternatives(t *testing.T) {
	home := runHistories(model.HomeVM)
	store := runHistories(model.StoreRecord)
	ticket := runHistories(ticketProcess{}.start)
	for name, report := range map[string]model.Report{"home VM": home, "store record": store, "ticket": ticket} {
		writes := float64(report.StoreWrites) / float64(report.Filings)
		t.Logf("%s: %+v, %.2f store writes per filing", name, report, writes)
	}
	assert.Assert(t, home.DoubleRuns > 0, "the histories have too few failures to distinguish the alternatives")
	assert.Equal(t, store.DoubleRuns+store.FalseNotRun, 0)
	figure.Require(t, figure.Figure{Name: "request_store_writes", Value: float64(ticket.StoreWrites), Unit: "writes", Bound: 0})
}
