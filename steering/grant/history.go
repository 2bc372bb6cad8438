package grant

import (
	"math"
	"slices"
	"time"

	"oleandervane.example"
)

// confidence is how many standard deviations a count of single requests may lie below its expected value and still
// count as random variation: 99% of counts lie above.
const confidence = 2.33

// admission is the traffic of one flow that was admitted within one period. It is immutable.
type admission struct {
	// requests is the number of single requests, which varies randomly; amount is the number admitted by rates.
	requests, amount float64
	// perSecond is the rate of both together; limitPerSecond is the limit that was in force.
	perSecond, limitPerSecond float64
	demandPerSecond           float64
	seconds                   float64
}

// period has the admissions between two ticks.
type period struct {
	until time.Time
	flows map[oleandervane.Flow]admission
}

// history has the periods of the longest shift window, oldest first.
type history struct {
	periods []period
}

func (history *history) add(latest period, longest time.Duration) {
	history.periods = append(history.periods, latest)
	for len(history.periods) > 0 && latest.until.Sub(history.periods[0].until) > longest {
		history.periods = history.periods[1:]
	}
}

// lastPerSecond returns the rate that was admitted in the last period.
func (history *history) lastPerSecond(flow oleandervane.Flow) float64 {
	if len(history.periods) == 0 {
		return 0
	}
	return history.periods[len(history.periods)-1].flows[flow].perSecond
}

// lowestShare returns the smallest share of demand that was admitted within the window. A VM that has not run for a
// whole window counts as having admitted nothing at its beginning.
//
// A count of single requests counts as the largest rate that may have caused it, but at most as the limit that was in
// force, because the smallest of several counts at a small rate lies far below that rate by chance. Counts of several
// periods together show a lasting decrease that no single count proves.
func (history *history) lowestShare(now time.Time, flow oleandervane.Flow, window time.Duration) float64 {
	within, covered := history.within(now, flow, window)
	if !covered {
		return 0
	}
	// A whole window without a request is not chance: the source sends nothing.
	counted := slices.ContainsFunc(within, func(admission admission) bool { return admission.requests > 0 })
	lowest := math.Inf(1)
	for length := 1; length <= len(within); length *= 2 {
		for first := 0; first+length <= len(within); first++ {
			lowest = min(lowest, largestShare(within[first:first+length], counted))
		}
	}
	return lowest
}

func (history *history) within(now time.Time, flow oleandervane.Flow, window time.Duration) (within []admission, covered bool) {
	for _, period := range history.periods {
		age := now.Sub(period.until)
		if age > window {
			continue
		}
		covered = covered || age >= window-Period
		within = append(within, period.flows[flow])
	}
	return within, covered
}

// largestShare returns the largest share of demand that consecutive admissions are consistent with, zero without
// demand. If counted is set, the admissions are counts of single requests, otherwise rates.
func largestShare(admissions []admission, counted bool) float64 {
	var requests, amount, allowed, demand float64
	for _, admission := range admissions {
		requests += admission.requests
		amount += admission.amount
		allowed += admission.limitPerSecond * admission.seconds
		demand += admission.demandPerSecond * admission.seconds
	}
	if demand <= 0 {
		return 0
	}
	if !counted {
		return amount / demand
	}
	return max(amount+requests, min(allowed, amount+largestMean(requests))) / demand
}

// largestMean returns the upper end of the score interval for the mean of a Poisson distribution, given one count.
func largestMean(count float64) float64 {
	return count + confidence*confidence/2 + confidence*math.Sqrt(count+confidence*confidence/4)
}
