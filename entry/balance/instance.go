package balance

import (
	"time"

	"oleandervane.example"
)

// instance is the state of one backend server as this entry VM sees it. The mutex of its group guards it.
type instance struct {
	server oleandervane.BackendServer
	seed   uint64
	listed bool
	// absentSince is when the instance was dropped from the list.
	absentSince time.Time
	leaving     leavingState
	ramp        rampState
	// coldAt is the measurement time of the newest report that marked the instance as cold. Each report starts the ramp
	// only once, so that the instance still ramps up when reports stop.
	coldAt      time.Time
	ejection    ejection
	load        loadState
	attemptTime movingMean
	// inFlight counts attempts of this VM. closedSlots counts slots that stay closed for a while after an attempt that
	// ended too fast.
	inFlight    int
	closedSlots int
	// owned counts the slots of the instance that this VM owns. ownedSlots has their numbers in ascending order.
	owned            int
	ownedSlots       []int
	connectionLimit  int
	backoffUntil     time.Time
	consecutiveSheds int
}

// inUse returns how many slots of the instance this VM occupies, by attempts in flight or as closed slots.
func (instance *instance) inUse() int {
	return instance.inFlight + instance.closedSlots
}

// leavingState tracks whether an instance is leaving, by the list or by its own reports. The mark of the list applies
// as long as it is listed. The mark of a report applies until a report without it that is newer by more than
// maxClockSkew.
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
	if leavingState.byReport && report.MeasuredAt.After(leavingState.since.Add(maxClockSkew)) {
		leavingState.byReport = false
	}
}

func (leavingState *leavingState) leaving() bool {
	return leavingState.byList || leavingState.byReport
}

// rampState opens the slots of a cold instance one after the other. All VMs of a region open the same slots at about
// the same time, so that the total load of the instance ramps up.
type rampState struct {
	ramping   bool
	startedAt time.Time
}

func (rampState *rampState) start(now time.Time) {
	rampState.ramping = true
	rampState.startedAt = now
}

// openSlots returns how many of the slots may be used at the given time.
func (rampState *rampState) openSlots(now time.Time, slots int) int {
	if !rampState.ramping {
		return slots
	}
	passed := now.Sub(rampState.startedAt)
	if passed >= rampDuration {
		rampState.ramping = false
		return slots
	}
	return max(1, int(int64(slots)*int64(max(0, passed))/int64(rampDuration)))
}

// loadState is the most recent load of an instance, from a report or a response.
type loadState struct {
	known      bool
	inFlight   int
	queued     int
	measuredAt time.Time
	// startedSince counts attempts of this VM that started after the load was recorded.
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

// estimate returns the estimated number of requests at the instance, which is at least the number from this VM.
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

// movingMeanLength is the number of samples after which an older sample has lost most of its weight.
const movingMeanLength = 32

func (movingMean *movingMean) add(sample time.Duration) {
	movingMean.count = min(movingMean.count+1, movingMeanLength)
	movingMean.mean += (sample - movingMean.mean) / time.Duration(movingMean.count)
}
