package balance

import "time"

const (
	// ejectAfter is the number of broken or timed-out attempts in a row after which an instance gets no work.
	ejectAfter = 3
	// firstEjection is the delay before the first trial; each further ejection doubles it up to longestEjection.
	firstEjection   = time.Second
	longestEjection = time.Minute
	// MaxEjectedShare is the largest share of a service's instances that are ejected at a time. One failure domain of
	// two may be gone; if more than that looks bad, the fault is probably not theirs.
	MaxEjectedShare = 0.5
)

// ejection tells whether an instance is kept from work because its attempts failed.
type ejection struct {
	failures int
	times    int
	ejected  bool
	from     time.Time
	until    time.Time
}

// fail counts a failed attempt and says whether the instance should be ejected: after ejectAfter failures in a row,
// or at once if it failed the trial after an ejection.
func (ejection *ejection) fail() bool {
	ejection.failures++
	return ejection.failures >= ejectAfter || ejection.ejected
}

func (ejection *ejection) eject(now time.Time) {
	if !ejection.ejected {
		ejection.from = now
	}
	ejection.ejected = true
	ejection.until = now.Add(min(longestEjection, firstEjection<<min(ejection.times, 10)))
	ejection.times++
}

// succeed ends an ejection and returns how long it lasted, or zero if there was none.
func (ejection *ejection) succeed(now time.Time) time.Duration {
	ejection.failures = 0
	if !ejection.ejected {
		if ejection.times > 0 && now.After(ejection.until.Add(longestEjection)) {
			ejection.times = 0
		}
		return 0
	}
	ejection.ejected = false
	ejection.until = now
	return now.Sub(ejection.from)
}

// mayTry says whether the instance may get an attempt: an ejected one gets one at a time, when its delay has passed.
func (ejection *ejection) mayTry(now time.Time, inFlight int) bool {
	return !ejection.ejected || (inFlight == 0 && !now.Before(ejection.until))
}
