package entryvm

import (
	"math/rand/v2"
	"time"

	"oleandervane.example"
)

// randomBits of an incarnation tell two runs apart that start in the same microsecond.
const randomBits = 10

// newIncarnation returns the incarnation of a process that starts now. A later start gives a larger value.
func newIncarnation(now time.Time) oleandervane.Incarnation {
	start := uint64(now.UnixNano()) >> randomBits << randomBits
	return oleandervane.Incarnation(start | rand.Uint64N(1<<randomBits))
}
