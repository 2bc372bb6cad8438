// Package incarnation numbers the runs of an entry VM.
package incarnation

import (
	"math/rand/v2"
	"time"

	"oleandervane.example"
)

// randomBits is the number of low bits that are random, to distinguish two runs that start in the same microsecond.
const randomBits = 10

// New returns the incarnation of a process that starts now. A later start gives a larger value.
func New(now time.Time) oleandervane.Incarnation {
	start := uint64(now.UnixNano()) >> randomBits << randomBits
	return oleandervane.Incarnation(start | rand.Uint64N(1<<randomBits))
}
