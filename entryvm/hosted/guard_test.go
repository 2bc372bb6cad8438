package hosted

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"oleandervane.example/timer"
)

// Guards against a panic in one step that ends the process, prevents later steps, or is not logged.
func TestPanicEndsOneStep(t *testing.T) {
	output := &bytes.Buffer{}
	log := newLogger(DefaultSettings(), output)
	observer := &observer{log: log.WithField("vm", "vm-1"), set: metrics.NewSet()}
	manual := timer.NewManual(time.Unix(1000, 0))
	timers := guardedTimers{TimerService: manual, guard: guard{observer: observer}}
	ticks := 0
	timers.Every(time.Second, func(time.Time) {
		ticks++
		if ticks == 1 {
			panic("first tick")
		}
	})
	timers.After(time.Second, func(time.Time) { panic("only fire") })
	manual.Advance(3 * time.Second)
	assert.Equal(t, ticks, 3)
	starts := 0
	guard{observer: observer}.keepRunning(context.Background(), "watcher", func(context.Context) {
		starts++
		if starts == 1 {
			panic("first start")
		}
	})
	assert.Equal(t, starts, 2)
	for _, panicked := range []string{"first tick", "only fire", "first start"} {
		assert.Assert(t, strings.Contains(output.String(), panicked), "%q is not in the log", panicked)
	}
	assert.Equal(t, observer.set.GetOrCreateCounter("oleandervane_panics_total").Get(), uint64(3))
}
