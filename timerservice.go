package oleandervane

import "time"

// TimerService provides the current time and calls functions at later times. All parts of the system use it for
// time, so that tests can replace it by a manual one.
type TimerService interface {
	// Now returns the current time.
	Now() time.Time
	// Every calls tick once each period until cancel is called. The first call comes one period from now.
	Every(period time.Duration, tick func(now time.Time)) (cancel func())
	// After calls fire once, when delay has passed, unless cancel is called before.
	After(delay time.Duration, fire func(now time.Time)) (cancel func())
}
