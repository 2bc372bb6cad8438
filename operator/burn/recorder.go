package burn

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oleandervane.example"
)

const (
	// maxSeries limits how many kinds of services are counted, to limit memory: 128 series use 7 MB.
	maxSeries = 128
	maxEvents = 256
)

// Recorder counts requests on an entry VM. Record takes no lock and allocates no memory.
type Recorder struct {
	vm           oleandervane.VMID
	incarnation  oleandervane.Incarnation
	timerService oleandervane.TimerService
	since        time.Time
	cancel       func()
	uncounted    atomic.Uint64
	// series points to a new map after each change of configuration; a published map is never modified.
	series atomic.Pointer[map[seriesKey]*series]

	mutex  sync.Mutex
	events []Event
}

type seriesKey struct {
	service oleandervane.ServiceName
	kind    oleandervane.KindName
}

type series struct {
	latency      atomic.Int64
	minute, hour history
}

// history has the open bucket of one width and the closed buckets, oldest first.
type history struct {
	width    time.Duration
	retained int
	open     atomic.Pointer[counter]
	mutex    sync.Mutex
	closed   []*counter
}

// counter is a bucket that is being counted. A request that loaded the open counter just before it was closed still
// counts in it.
type counter struct {
	start                       int64
	good, late, notRun, unknown atomic.Uint64
}

func (counter *counter) counts() Counts {
	return Counts{counter.good.Load(), counter.late.Load(), counter.notRun.Load(), counter.unknown.Load()}
}

// NewRecorder returns a recorder that counts nothing until SetConfiguration is called.
func NewRecorder(vm oleandervane.VMID, incarnation oleandervane.Incarnation, timerService oleandervane.TimerService) *Recorder {
	recorder := &Recorder{vm: vm, incarnation: incarnation, timerService: timerService, since: timerService.Now().UTC()}
	recorder.series.Store(&map[seriesKey]*series{})
	// The period is much shorter than a bucket, so that a late tick counts only few requests in the previous bucket.
	recorder.cancel = timerService.Every(time.Second, recorder.rotate)
	return recorder
}

// Close stops the recorder's timer.
func (recorder *Recorder) Close() {
	recorder.cancel()
}

// SetConfiguration starts counting the kinds that have an objective in the configuration. Kinds that were counted before
// keep their counters.
func (recorder *Recorder) SetConfiguration(configuration *oleandervane.Configuration) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	now := recorder.timerService.Now()
	old := *recorder.series.Load()
	next := map[seriesKey]*series{}
	for _, name := range slices.Sorted(maps.Keys(configuration.Services)) {
		objectives := configuration.Services[name].Objectives
		for _, kind := range slices.Sorted(maps.Keys(objectives)) {
			key := seriesKey{name, kind}
			if len(next) == maxSeries {
				break
			}
			current, found := old[key]
			if !found {
				current = newSeries(now)
			}
			current.latency.Store(int64(objectives[kind].Latency))
			next[key] = current
		}
	}
	recorder.series.Store(&next)
}

func newSeries(now time.Time) *series {
	series := &series{minute: history{width: minuteWidth, retained: retainedMinutes}, hour: history{width: hourWidth, retained: retainedHours}}
	series.minute.rotate(now)
	series.hour.rotate(now)
	return series
}

// Record counts one request that was admitted or refused, with its duration.
func (recorder *Recorder) Record(service oleandervane.ServiceName, kind oleandervane.KindName, outcome oleandervane.Outcome, duration time.Duration) {
	series, found := (*recorder.series.Load())[seriesKey{service, kind}]
	if !found {
		recorder.uncounted.Add(1)
		return
	}
	late := int64(duration) > series.latency.Load()
	series.minute.open.Load().add(outcome, late)
	series.hour.open.Load().add(outcome, late)
}

func (counter *counter) add(outcome oleandervane.Outcome, late bool) {
	switch {
	case outcome == oleandervane.NotRun:
		counter.notRun.Add(1)
	case outcome != oleandervane.Answered:
		counter.unknown.Add(1)
	case late:
		counter.late.Add(1)
	default:
		counter.good.Add(1)
	}
}

// AddEvent records an event that may explain a high burn rate, such as a revision that came into force or a lost region. The
// oldest event is dropped when there are more than maxEvents.
func (recorder *Recorder) AddEvent(text string) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.events = append(recorder.events, Event{recorder.timerService.Now().UTC(), text})
	if len(recorder.events) > maxEvents {
		recorder.events = recorder.events[1:]
	}
}

func (recorder *Recorder) rotate(now time.Time) {
	for _, series := range *recorder.series.Load() {
		series.minute.rotate(now)
		series.hour.rotate(now)
	}
}

// rotate opens a new bucket when the time of the open bucket is over. An empty bucket is retained as well, because a
// request that loaded it as the open bucket may not have counted yet.
func (history *history) rotate(now time.Time) {
	start := now.Truncate(history.width).Unix()
	open := history.open.Load()
	if open != nil && open.start >= start {
		return
	}
	history.mutex.Lock()
	defer history.mutex.Unlock()
	if open != nil {
		history.closed = append(history.closed, open)
	}
	history.open.Store(&counter{start: start})
	oldest := start - int64(history.retained)*int64(history.width/time.Second)
	for len(history.closed) > 0 && history.closed[0].start < oldest {
		history.closed = history.closed[1:]
	}
}

// Response returns all buckets that counted a request, and the recorded events.
func (recorder *Recorder) Response() Response {
	recorder.mutex.Lock()
	events := append([]Event{}, recorder.events...)
	recorder.mutex.Unlock()
	response := Response{
		VM: recorder.vm, Incarnation: recorder.incarnation, Since: recorder.since, Buckets: []Bucket{}, Events: events,
		Uncounted: recorder.uncounted.Load(),
	}
	for key, series := range *recorder.series.Load() {
		for _, history := range []*history{&series.minute, &series.hour} {
			for _, counter := range history.counters() {
				if counts := counter.counts(); counts != (Counts{}) {
					response.Buckets = append(response.Buckets, Bucket{Key{
						recorder.vm, recorder.incarnation, key.service, key.kind, counter.start, int64(history.width / time.Second),
					}, counts})
				}
			}
		}
	}
	return response
}

func (history *history) counters() []*counter {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	return append(append([]*counter{}, history.closed...), history.open.Load())
}
