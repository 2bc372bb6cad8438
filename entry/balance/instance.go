package balance

import (
	"time"

	"oleandervane.example"
)

// instance is what this entry VM knows of one backend server. Its group's mutex guards it.
type instance struct {
	server oleandervane.BackendServer
	seed   uint64
	listed bool
	// absentFrom is when the list stopped naming the instance.
	absentFrom time.Time
	leaving    leavingState
	ramp       rampState
	// coldAt is when the newest report that called the instance cold was measured. Each report counts once, so that
	// the instance ramps up when reports stop.
	coldAt   time.Time
	ejection ejection
	load     loadState
	hold     movingMean
	// inFlight counts attempts of this VM; paced counts slots that stay closed for a while after a fast end.
	inFlight int
	paced    int
	// owned counts the slots of the instance that this VM owns, and ownedSlots has their numbers in rising order.
	owned           int
	ownedSlots      []int
	connectionLimit int
	shedUntil       time.Time
	sheds           int
}

// inUse is the number of slots that this VM holds at the instance.
func (instance *instance) inUse() int {
	return instance.inFlight + instance.paced
}

// leavingState holds the signs that an instance is leaving. A sign of the list holds while the list gives it; a sign
// of the instance itself holds until a report that is newer by more than the clocks' difference says otherwise.
type leavingState struct {
	byList   bool
	byReport bool
	since    time.Time
}

func (leavingState *leavingState) observe(report oleandervane.LoadReport) {
	if report.Leaving {
		if !leavingState.byReport || report.MeasuredAt.After(leavingState.since) {
			leavingState.since = report.MeasuredAt
		}
		leavingState.byReport = true
		return
	}
	if leavingState.byReport && report.MeasuredAt.After(leavingState.since.Add(reportSkew)) {
		leavingState.byReport = false
	}
}

func (leavingState *leavingState) leaving() bool {
	return leavingState.byList || leavingState.byReport
}

// rampState opens the slots of a cold instance one by one. All VMs of a region open the same slots at about the same
// time, so that the instance as a whole ramps up.
type rampState struct {
	ramping bool
	from    time.Time
}

func (rampState *rampState) start(now time.Time) {
	rampState.ramping = true
	rampState.from = now
}

// open returns how many of the slots may be used at the given time.
func (rampState *rampState) open(now time.Time, slots int) int {
	if !rampState.ramping {
		return slots
	}
	passed := now.Sub(rampState.from)
	if passed >= rampDuration {
		rampState.ramping = false
		return slots
	}
	return max(1, int(int64(slots)*int64(max(0, passed))/int64(rampDuration)))
}

// loadState is the newest load that is known of an instance, from a report or a response.
type loadState struct {
	known      bool
	inFlight   int
	queued     int
	measuredAt time.Time
	// startedSince counts own attempts that began after the load was measured.
	startedSince int
}

func (loadState *loadState) observe(report oleandervane.LoadReport) {
	if loadState.known && !report.MeasuredAt.After(loadState.measuredAt) {
		return
	}
	*loadState = loadState.with(report)
}

func (loadState loadState) with(report oleandervane.LoadReport) loadState {
	loadState.known = true
	loadState.inFlight = max(0, report.InFlight)
	loadState.queued = max(0, report.Queued)
	loadState.measuredAt = report.MeasuredAt
	loadState.startedSince = 0
	return loadState
}

// estimate returns the requests that the instance probably has, at least those of this VM.
func (instance *instance) estimate() int {
	if !instance.load.known {
		return instance.inUse()
	}
	return max(instance.inUse(), instance.load.inFlight+instance.load.queued+instance.load.startedSince)
}

// movingMean is an exponentially weighted mean of durations.
type movingMean struct {
	mean  time.Duration
	count int
}

// movingMeanLength is the number of samples after which an old one has lost most of its weight.
const movingMeanLength = 32

func (movingMean *movingMean) add(sample time.Duration) {
	movingMean.count = min(movingMean.count+1, movingMeanLength)
	movingMean.mean += (sample - movingMean.mean) / time.Duration(movingMean.count)
}
