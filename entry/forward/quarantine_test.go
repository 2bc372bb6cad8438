package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/timer"
)

// Guards against a suspect that other VMs do not hear of, because it keeps the place of its first broken connection behind newer
// suspects, and against one that takes two places.
func TestNewestSuspectsAreExportedOnce(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	quarantine := newQuarantine(manual, time.Minute)
	broken := func(number byte, server string) {
		manual.Advance(10 * time.Millisecond)
		quarantine.recordBroken(Fingerprint{number}, ServerHash(server))
	}
	broken(0, "i-1")
	for number := byte(1); number <= maxExportedSuspects; number++ {
		broken(number, "i-1")
	}
	broken(0, "i-1")
	quarantine.recordAnswered(Fingerprint{1})
	broken(1, "i-1")
	exported := map[oleandervane.SuspectRequest]bool{}
	fingerprints := map[Fingerprint]int{}
	for _, suspectRequest := range quarantine.ExportSuspects() {
		suspectRequest.Since = 0
		exported[suspectRequest] = true
		fingerprints[suspectRequest.Fingerprint]++
	}
	assert.Equal(t, fingerprints[Fingerprint{0}], 1)
	assert.Equal(t, fingerprints[Fingerprint{1}], 1)
	assert.Equal(t, len(exported), maxExportedSuspects)
}

// Guards against a request that crashes a server again and again while the VM does not learn that the server has started again
// under its id, and against one crash that counts as several because it broke several connections.
func TestThirdCrashOfAKnownRunCounts(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	quarantine := newQuarantine(manual, time.Minute)
	for crashes := 1; crashes <= 3; crashes++ {
		assert.Assert(t, !quarantine.Contains(Fingerprint{1}), "refused after %d crashes", crashes-1)
		for range 3 {
			quarantine.recordBroken(Fingerprint{1}, ServerHash("i-1"))
		}
		manual.Advance(2 * sameCrash)
	}
	assert.Assert(t, quarantine.Contains(Fingerprint{1}))
}
