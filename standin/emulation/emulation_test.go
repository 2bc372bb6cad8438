package emulation

import (
	"bytes"
	"cmp"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example/entryvm/settingsfile"
)

const associationPath = "../../examples/scenarios/association.toml"

func association(t *testing.T) Scenario {
	t.Helper()
	return example(t, "association")
}

func example(t *testing.T, name string) Scenario {
	t.Helper()
	scenario, err := LoadScenario(filepath.Join(filepath.Dir(associationPath), name+".toml"))
	assert.NilError(t, err)
	return scenario
}

// replay is a case of testdata/replays.toml.
type replay struct {
	Name string `toml:"name"`
	Why  string `toml:"why"`
	// Scenario is the name of an example scenario; empty for association.
	Scenario string  `toml:"scenario"`
	Load     float64 `toml:"load"`
	Figure   string  `toml:"figure"`
	Margin   float64 `toml:"margin"`
	Events   []Event `toml:"events"`
	Rejected Variant `toml:"loser"`
}

// Guards against a change that loses the gain of an earlier design decision, by a replay of the load that led to it.
func TestReplays(t *testing.T) {
	const seeds = 6
	text, err := os.ReadFile("testdata/replays.toml")
	assert.NilError(t, err)
	var file struct {
		Replays []replay `toml:"replays"`
	}
	err = settingsfile.Decode("replays.toml", text, &file, func(settings struct {
		Replays []replay `toml:"replays"`
	}, faults *settingsfile.Faults,
	) {
		faults.Check(len(settings.Replays) > 0, "replays", "are missing")
	})
	assert.NilError(t, err)
	for _, replay := range file.Replays {
		t.Run(replay.Name, func(t *testing.T) {
			scenario := example(t, cmp.Or(replay.Scenario, "association")).WithLoad(replay.Load).WithEvents(replay.Events...)
			experiment := Experiment{Scenarios: []Scenario{scenario}, Variants: []Variant{{Name: "in_use"}, replay.Rejected}, Seeds: seeds}
			groups := Groups(experiment.Run(nil))
			inUse, rejected := groups[0].Mean(figureOf(t, replay.Figure)), groups[1].Mean(figureOf(t, replay.Figure))
			better := inUse-rejected >= replay.Margin
			if replay.Margin < 0 {
				better = inUse-rejected <= replay.Margin
			}
			assert.Assert(t, better, "%s: %s is %.3f in use and %.3f with %s", replay.Why, replay.Figure, inUse, rejected, replay.Rejected.Name)
		})
	}
}

func figureOf(t *testing.T, name string) func(result Result) float64 {
	t.Helper()
	for _, column := range columns() {
		if column.name == name {
			return column.figure
		}
	}
	t.Fatalf("no column %q", name)
	return nil
}

// Guards against runs that depend on more than their scenario, variant and seed, such as the order of map iteration, and
// against requests that are counted under no outcome.
func TestRunsAreReproducible(t *testing.T) {
	scenario := association(t).WithEvents(
		Event{Kind: EventBurst, At: seconds(3), For: seconds(3), Factor: 2},
		Event{Kind: EventCrash, At: seconds(5), For: seconds(2), Share: 0.2},
		Event{Kind: EventVMsKilled, At: seconds(7), For: seconds(2), Share: 0.4},
		Event{Kind: EventFailing, At: seconds(10), For: seconds(3), Share: 0.3, Factor: 0.5},
		Event{Kind: EventStoreUnavailable, At: seconds(12), For: seconds(4)},
		Event{Kind: EventEvacuate, At: seconds(13), For: seconds(5), Domain: "kigali-a"},
		Event{Kind: EventAbuse, At: seconds(15), For: seconds(5), Share: 0.3, Factor: 3},
		Event{Kind: EventSlow, At: seconds(20), For: seconds(5), Share: 0.3, Factor: 8},
	)
	first, second := Run(scenario, Variant{Name: "in_use"}, 7), Run(scenario, Variant{Name: "in_use"}, 7)
	assert.DeepEqual(t, first, second)
	other := Run(scenario, Variant{Name: "in_use"}, 8)
	assert.Assert(t, first.Score != other.Score)
	assert.Assert(t, first.Served+first.Refused+first.Failed > 0.999, "requests were counted under no outcome: %+v", first)
	assert.Assert(t, first.Served > 0.7 && first.Served < 1, "the share of served requests is not between 0.7 and 1: %+v", first)
}

func seconds(count int) settingsfile.Duration {
	return settingsfile.Duration(time.Duration(count) * time.Second)
}

// Guards against cold servers that get too many requests after an evacuation of their failure domain or a crash.
func TestColdServersAreNotOverrun(t *testing.T) {
	scenario := association(t).WithLoad(1.5).WithEvents(
		Event{Kind: EventCrash, At: seconds(8), For: seconds(3), Share: 0.4},
		Event{Kind: EventEvacuate, At: seconds(15), For: seconds(5), Domain: "kigali-a"},
	)
	overruns := 0
	for seed := range uint64(5) {
		overruns += Run(scenario, Variant{Name: "in_use"}, seed).ColdOverruns
	}
	// The entry of a crashed server stays in the registry, so that VMs see only by its first response that it is cold.
	assert.Assert(t, overruns <= 2, "%d cold servers got more requests than they tolerate", overruns)
}

// Guards against faults in the model of backend servers: its cache, its queue and its shedding.
func TestServerModel(t *testing.T) {
	scenario := association(t)
	world := newWorld(scenario, Variant{Name: "in_use"}, 1)
	server := world.serverOrder[0]
	var ended []responseOutcome
	var took []time.Duration
	send := func(object string) {
		sentAt := world.manual.Now()
		server.arrive(&work{object: object, runTime: time.Second, deadline: sentAt.Add(time.Minute), done: func(response response) {
			ended = append(ended, response.outcome)
			took = append(took, world.manual.Now().Sub(sentAt))
		}})
	}
	send("a")
	world.manual.Advance(2 * time.Second)
	send("a")
	world.manual.Advance(2 * time.Second)
	assert.DeepEqual(t, took, []time.Duration{time.Second, 300 * time.Millisecond})
	ended = nil
	for range server.service.Slots + server.service.Queue + 1 {
		send("a")
	}
	assert.DeepEqual(t, ended, []responseOutcome{answeredShed})
	server.crash(time.Second)
	assert.Equal(t, len(ended), 1+server.service.Slots+server.service.Queue)
	world.manual.Advance(1100 * time.Millisecond)
	assert.Assert(t, !server.down && server.isCold(world.manual.Now()))
	assert.Equal(t, len(server.cachedObjects), 0)
}

// Guards against an invalid scenario that is accepted.
func TestScenarioIsChecked(t *testing.T) {
	text, err := os.ReadFile(associationPath)
	assert.NilError(t, err)
	for change, want := range map[string]string{
		`kind = "safe"|kind = "some"`:                                   "kinds.lookup.kind",
		`service = "ledger"|service = "none"`:                           "kinds.lookup.service",
		`slots = 3|slots = 0`:                                           "services.ledger",
		`swing = 0.55|swing = 2.0`:                                      "wave",
		`vms = 4|vms = 0`:                                               "failure_domains.kigali-a",
		`name = "association"|title = "x"`:                              "unknown key",
		`length = "32s"|length = "soon"`:                                "length",
		"[delays]|[[events]]\nkind = \"flood\"\nfor = \"1s\"\n[delays]": "events.kind",
	} {
		before, after, _ := strings.Cut(change, "|")
		path := filepath.Join(t.TempDir(), "scenario.toml")
		assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(string(text), before, after, 1)), 0o600))
		_, err := LoadScenario(path)
		assert.ErrorIs(t, err, settingsfile.ErrSettings)
		assert.ErrorContains(t, err, want)
	}
}

// Guards against reports that cannot be written or lack rows.
func TestReports(t *testing.T) {
	scenario := association(t)
	scenario.Length = seconds(4)
	results := Experiment{Scenarios: []Scenario{scenario}, Variants: []Variant{{Name: "in_use"}, {Name: "alone", Isolated: true}}, Seeds: 2}.Run(nil)
	var table, rows, drawing bytes.Buffer
	assert.NilError(t, WriteTable(&table, results))
	assert.Equal(t, strings.Count(table.String(), "\n"), 3)
	assert.NilError(t, WriteCSV(&rows, results))
	assert.Equal(t, strings.Count(rows.String(), "\n"), 1+4*len(scenario.Kinds))
	assert.NilError(t, WritePlot(&drawing, scenario.Name, results))
	assert.Assert(t, strings.Contains(drawing.String(), "<svg"))
}
