package share

import (
	"time"

	"oleandervane.example"
)

// shortestDelay is the smallest delay that a link counts with, so that a link without a stated delay does not get the
// whole cap.
const shortestDelay = time.Millisecond

// ReceiverPart returns the part of a flow's shift cap that one receiving region may use, in [0, 1]. The parts of
// all regions other than home sum to 1. They depend on the configuration alone and are proportional to
// 1/delay squared, so that near regions receive most, and VMs with different views of the fleet still agree about the
// parts.
func ReceiverPart(configuration *oleandervane.Configuration, home, receiver oleandervane.Region) float64 {
	if home == receiver {
		return 0
	}
	total := 0.0
	for region := range configuration.Regions {
		total += nearness(configuration, home, region)
	}
	if total == 0 {
		return 0
	}
	return nearness(configuration, home, receiver) / total
}

func nearness(configuration *oleandervane.Configuration, home, receiver oleandervane.Region) float64 {
	delay, linked := configuration.Delay(home, receiver)
	if home == receiver || !linked {
		return 0
	}
	seconds := max(delay, shortestDelay).Seconds()
	return 1 / (seconds * seconds)
}
