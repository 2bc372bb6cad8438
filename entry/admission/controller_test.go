package admission

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/figure"
	"oleandervane.example/timer"
)

var (
	filing = loads[0].kind
	lookup = loads[1].kind
	bulk   = loads[2].kind
)

func newController(limit, queueLimit int) (*Controller, *timer.Manual) {
	manual := timer.NewManual(time.Unix(0, 0))
	return New(Settings{TimerService: manual, DefaultLimit: limit, QueueLimit: queueLimit}), manual
}

// Guards against light kinds starving below capacity because heavier requests keep arriving.
func TestFigureLightKindsBelowCapacity(t *testing.T) {
	heavy := []load{
		{kind: oleandervane.Kind{Name: "filing", Weight: 10, Deadline: 2 * time.Second}, share: 0.95},
		{kind: oleandervane.Kind{Name: "bulk", Weight: 1, Deadline: 5 * time.Second}, share: 0.05},
	}
	tally := drive(2, 0.95, true, heavy)["bulk"]
	share := float64(tally.inTime) / float64(tally.arrived)
	figure.Require(t, figure.Figure{Name: "admission_light_kind_at_95_percent", Value: share, Unit: "share", Direction: figure.AtLeast, Bound: 0.95})
}

// Guards against shedding heavy kinds while light kinds stay in the queue.
func TestLighterKindsAreShedFirst(t *testing.T) {
	for _, multiple := range []float64{2, 5, 10} {
		tallies := drive(3, multiple, true, loads)
		served := func(name oleandervane.KindName) float64 {
			return float64(tallies[name].inTime) / float64(tallies[name].arrived)
		}
		assert.Assert(t, served("filing") >= served("lookup") && served("lookup") >= served("bulk"))
		// Filings are 0.2 of the load. At five times the capacity, they use exactly all of it.
		servable := min(1, 1/(0.2*multiple))
		assert.Check(t, served("filing") >= 0.95*servable, "at %g times the capacity, a share of %.3f of the filings was answered in time, of %.3f that can be", multiple, served("filing"), servable)
	}
}

// Guards against a full queue that sheds the wrong request or gives the wrong reason.
func TestFullQueueShedsSmallestWeight(t *testing.T) {
	controller, manual := newController(1, 2)
	service := controller.service(driverService)
	submit := func(kind oleandervane.Kind) (*waiter, error) {
		return service.submit(manual.Now(), manual.Now().Add(kind.Deadline), kind)
	}
	running, err := submit(bulk)
	assert.Assert(t, running == nil && err == nil)
	first, err := submit(bulk)
	assert.NilError(t, err)
	second, err := submit(lookup)
	assert.NilError(t, err)
	_, err = submit(bulk)
	assert.ErrorIs(t, err, ErrQueueFull)
	assert.ErrorIs(t, err, oleandervane.ErrShed)
	third, err := submit(filing)
	assert.NilError(t, err)
	assert.ErrorIs(t, <-first.result, ErrOutweighed)
	// The queue was full, so the largest weight starts first. The lookup then misses its deadline.
	service.finish(manual.Now(), bulk.Name, manual.Now())
	assert.NilError(t, <-third.result)
	manual.Advance(filing.Deadline + sweepPeriod)
	assert.ErrorIs(t, <-second.result, ErrTooLate)
	counts := controller.Counts(driverService)
	assert.DeepEqual(t, counts, Counts{Started: 2, Shed: 3, InFlight: 1, Limit: 1})
}

// Guards against queueing requests that can no longer be answered in time.
func TestRequestTooLateIsShedImmediately(t *testing.T) {
	controller, manual := newController(1, 10)
	service := controller.service(driverService)
	release, err := controller.Admit(context.Background(), driverService, filing)
	assert.NilError(t, err)
	manual.Advance(time.Second)
	release()
	release, err = controller.Admit(context.Background(), driverService, filing)
	assert.NilError(t, err)
	defer release()
	_, err = service.submit(manual.Now(), manual.Now().Add(time.Second/2), filing)
	assert.ErrorIs(t, err, ErrTooLate)
}

// Guards against slots that are lost when callers cancel while the limit changes. Meant for the race detector.
func TestAdmitConcurrently(t *testing.T) {
	controller, manual := newController(3, 8)
	var group sync.WaitGroup
	for index := range 16 {
		group.Go(func() {
			for round := range 200 {
				ctx, cancel := context.WithCancel(context.Background())
				if (round+index)%3 == 0 {
					cancel()
				}
				release, err := controller.Admit(ctx, driverService, loads[round%3].kind)
				if err == nil {
					release()
					release()
				} else {
					assert.Check(t, errors.Is(err, oleandervane.ErrShed) || errors.Is(err, context.Canceled))
				}
				cancel()
				controller.SetLimit(driverService, 1+round%4)
				manual.Advance(time.Microsecond)
			}
		})
	}
	group.Wait()
	counts := controller.Counts(driverService)
	assert.Equal(t, counts.InFlight, 0)
	assert.Equal(t, counts.Queued, 0)
	controller.Close()
}

// Guards against queueing requests at a limit of zero, where none can start, and against a raised limit that does not
// start queued requests.
func TestSetLimit(t *testing.T) {
	controller, manual := newController(0, 8)
	_, err := controller.Admit(context.Background(), driverService, filing)
	assert.ErrorIs(t, err, ErrNoLimit)
	controller.SetLimit(driverService, 1)
	_, err = controller.Admit(context.Background(), driverService, filing)
	assert.NilError(t, err)
	service := controller.service(driverService)
	queued, err := service.submit(manual.Now(), manual.Now().Add(time.Second), filing)
	assert.NilError(t, err)
	controller.SetLimit(driverService, 2)
	assert.NilError(t, <-queued.result)
}

// Guards against ignoring the deadline of the context when it is earlier than that of the kind.
func TestEarlierDeadlineApplies(t *testing.T) {
	now := time.Unix(0, 0)
	early, cancel := context.WithDeadline(context.Background(), now.Add(time.Millisecond))
	defer cancel()
	assert.Equal(t, deadline(early, now, filing), now.Add(time.Millisecond))
	assert.Equal(t, deadline(context.Background(), now, filing), now.Add(filing.Deadline))
	assert.Equal(t, deadline(context.Background(), now, oleandervane.Kind{}), now.Add(noDeadline))
}

// Measures the cost of shedding a request at a full queue.
func BenchmarkFigureShed(b *testing.B) {
	controller, manual := newController(1, 64)
	service := controller.service(driverService)
	for range 65 {
		_, err := service.submit(manual.Now(), manual.Now().Add(time.Hour), filing)
		assert.NilError(b, err)
	}
	ctx := context.Background()
	shed := func() { _, _ = controller.Admit(ctx, driverService, bulk) }
	allocations := testing.AllocsPerRun(1000, shed)
	for b.Loop() {
		shed()
	}
	figure.Require(b, figure.Figure{Name: "admission_shed_allocations", Value: allocations, Unit: "allocs/op", Bound: 0})
	perShed := float64(b.Elapsed().Nanoseconds()) / float64(b.N) / 1000
	figure.Report(b, figure.Figure{Name: "admission_shed_time", Value: perShed, Unit: "us", Bound: 1})
}
