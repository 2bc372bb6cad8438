package balance

import "time"

const (
	// ejectAfter is the number of consecutive broken or timed-out attempts after which an instance is ejected.
	ejectAfter = 3
	// firstEjection is the delay before the first trial attempt. Each further ejection doubles the delay, up to
	// longestEjection.
	firstEjection   = time.Second
	longestEjection = time.Minute
	// MaxEjectedShare is the largest share of a service's instances that may be ejected at the same time. This allows
	// for the loss of one of two failure domains; if more instances fail, the cause is probably not the instances.
	MaxEjectedShare = 0.5
)

// ejection tracks the failures of an instance and whether it is excluded from new attempts because of them.
type ejection struct {
	failures  int
	ejections int
	ejected   bool
	startedAt time.Time
	until     time.Time
}

// fail counts a failed attempt and reports whether the instance should be ejected: after ejectAfter consecutive
// failures, or immediately if the trial attempt after an ejection failed.
func (ejection *ejection) fail() bool {
	ejection.failures++
	return ejection.failures >= ejectAfter || ejection.ejected
}

func (ejection *ejection) eject(now time.Time) {
	if !ejection.ejected {
		ejection.startedAt = now
	}
	ejection.ejected = true
	ejection.until = now.Add(min(longestEjection, firstEjection<<min(ejection.ejections, 10)))
	ejection.ejections++
}

// succeed ends an ejection and returns its duration, or zero if the instance was not ejected.
func (ejection *ejection) succeed(now time.Time) time.Duration {
	ejection.failures = 0
	if !ejection.ejected {
		if ejection.ejections > 0 && now.After(ejection.until.Add(longestEjection)) {
			ejection.ejections = 0
		}
		return 0
	}
	ejection.ejected = false
	ejection.until = now
	return now.Sub(ejection.startedAt)
}

// allowsAttempt reports whether the instance may get an attempt. An ejected instance gets one attempt at a time, after
// its delay has passed.
func (ejection *ejection) allowsAttempt(now time.Time, inFlight int) bool {
	return !ejection.ejected || (inFlight == 0 && !now.Before(ejection.until))
}
