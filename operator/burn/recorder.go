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
	// maxSeries bounds the services and kinds that are counted, and with them memory: 128 series take 7 MB.
	maxSeries = 128
	maxEvents = 256
)

// Recorder counts requests on an entry VM. Record takes no lock and no memory.
type Recorder struct {
	vm           oleandervane.VMID
	incarnation  oleandervane.Incarnation
	timerService oleandervane.TimerService
	since        time.Time
	cancel       func()
	uncounted    atomic.Uint64
	// series is replaced as a whole when the configuration changes; the map is never written.
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
	minute, hour track
}

// track has the open bucket of one width and the closed ones, oldest first.
type track struct {
	width  time.Duration
	kept   int
	open   atomic.Pointer[counter]
	mutex  sync.Mutex
	closed []*counter
}

// counter is a bucket that counts. A request that read the open one just before it was closed still counts in it.
type counter struct {
	start                       int64
	good, late, notRun, unknown atomic.Uint64
}

func (counter *counter) counts() Counts {
	return Counts{counter.good.Load(), counter.late.Load(), counter.notRun.Load(), counter.unknown.Load()}
}

// NewRecorder returns a recorder that counts nothing until SetConfiguration.
func NewRecorder(vm oleandervane.VMID, incarnation oleandervane.Incarnation, timerService oleandervane.TimerService) *Recorder {
	recorder := &Recorder{vm: vm, incarnation: incarnation, timerService: timerService, since: timerService.Now().UTC()}
	recorder.series.Store(&map[seriesKey]*series{})
	// The period is shorter than a bucket, so that a late tick shifts few requests to the bucket before.
	recorder.cancel = timerService.Every(time.Second, recorder.turn)
	return recorder
}

// Close stops the recorder's timer.
func (recorder *Recorder) Close() {
	recorder.cancel()
}

// SetConfiguration counts the kinds that have an objective from now on. Counters of kinds that stay are kept.
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
			kept, found := old[key]
			if !found {
				kept = newSeries(now)
			}
			kept.latency.Store(int64(objectives[kind].Latency))
			next[key] = kept
		}
	}
	recorder.series.Store(&next)
}

func newSeries(now time.Time) *series {
	series := &series{minute: track{width: minuteWidth, kept: keptMinutes}, hour: track{width: hourWidth, kept: keptHours}}
	series.minute.turn(now)
	series.hour.turn(now)
	return series
}

// Record counts one request that was admitted or refused, with the time it took.
func (recorder *Recorder) Record(service oleandervane.ServiceName, kind oleandervane.KindName, outcome oleandervane.Outcome, took time.Duration) {
	series, found := (*recorder.series.Load())[seriesKey{service, kind}]
	if !found {
		recorder.uncounted.Add(1)
		return
	}
	late := int64(took) > series.latency.Load()
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

// Note keeps an event that burn may coincide with, such as a revision in force or a region lost.
func (recorder *Recorder) Note(text string) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.events = append(recorder.events, Event{recorder.timerService.Now().UTC(), text})
	if len(recorder.events) > maxEvents {
		recorder.events = recorder.events[1:]
	}
}

func (recorder *Recorder) turn(now time.Time) {
	for _, series := range *recorder.series.Load() {
		series.minute.turn(now)
		series.hour.turn(now)
	}
}

// turn opens a new bucket when the time of the open one is over. An empty bucket is kept as well, because a request
// that read it as the open one may not have counted yet.
func (track *track) turn(now time.Time) {
	start := now.Truncate(track.width).Unix()
	open := track.open.Load()
	if open != nil && open.start >= start {
		return
	}
	track.mutex.Lock()
	defer track.mutex.Unlock()
	if open != nil {
		track.closed = append(track.closed, open)
	}
	track.open.Store(&counter{start: start})
	oldest := start - int64(track.kept)*int64(track.width/time.Second)
	for len(track.closed) > 0 && track.closed[0].start < oldest {
		track.closed = track.closed[1:]
	}
}

// Response returns all buckets with requests.
func (recorder *Recorder) Response() Response {
	recorder.mutex.Lock()
	events := append([]Event{}, recorder.events...)
	recorder.mutex.Unlock()
	response := Response{
		VM: recorder.vm, Incarnation: recorder.incarnation, Since: recorder.since, Buckets: []Bucket{}, Events: events,
		Uncounted: recorder.uncounted.Load(),
	}
	for key, series := range *recorder.series.Load() {
		for _, track := range []*track{&series.minute, &series.hour} {
			for _, counter := range track.all() {
				if counts := counter.counts(); counts != (Counts{}) {
					response.Buckets = append(response.Buckets, Bucket{Key{
						recorder.vm, recorder.incarnation, key.service, key.kind, counter.start, int64(track.width / time.Second),
					}, counts})
				}
			}
		}
	}
	return response
}

func (track *track) all() []*counter {
	track.mutex.Lock()
	defer track.mutex.Unlock()
	return append(append([]*counter{}, track.closed...), track.open.Load())
}
