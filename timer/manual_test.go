package timer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/timer"
)

var (
	_ oleandervane.TimerService = timer.System{}
	_ oleandervane.TimerService = (*timer.Manual)(nil)
)

func ExampleManual() {
	manual := timer.NewManual(time.Unix(0, 0).UTC())
	cancel := manual.Every(time.Second, func(now time.Time) { fmt.Println("tick", now.Unix()) })
	manual.After(1500*time.Millisecond, func(now time.Time) { fmt.Println("fire", now.UnixMilli()) })
	manual.Advance(2 * time.Second)
	cancel()
	manual.Advance(time.Minute)
	// Output:
	// tick 1
	// fire 1500
	// tick 2
}

// Guards against an event that is skipped or called late because a callback added it while time advanced.
func TestManualRunsEventsAddedDuringAdvance(t *testing.T) {
	manual := timer.NewManual(time.Unix(0, 0))
	var fired []int64
	manual.After(time.Second, func(time.Time) {
		manual.After(time.Second, func(now time.Time) { fired = append(fired, now.Unix()) })
	})
	manual.Advance(10 * time.Second)
	assert.DeepEqual(t, fired, []int64{2})
}
