package forward

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/timer"
)

// identity returns the identity of a request whose caller is not distinguished.
func identity(fingerprint Fingerprint) Identity {
	return Identity{Content: fingerprint, Full: fingerprint}
}

// Guards against a suspect that other VMs do not hear of, because it keeps the place of its first broken connection behind newer
// suspects, and against one that takes two places.
func TestNewestSuspectsAreExportedOnce(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	quarantine := newQuarantine(manual, time.Minute)
	broken := func(number byte, server string) {
		manual.Advance(10 * time.Millisecond)
		quarantine.recordBroken(identity(Fingerprint{number}), ServerHash(server))
	}
	broken(0, "i-1")
	for number := byte(1); number <= maxExportedSuspects; number++ {
		broken(number, "i-1")
	}
	broken(0, "i-1")
	quarantine.recordAnswered(identity(Fingerprint{1}))
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
			quarantine.recordBroken(identity(Fingerprint{1}), ServerHash("i-1"))
		}
		manual.Advance(2 * sameCrash)
	}
	assert.Assert(t, quarantine.Contains(Fingerprint{1}))
}

// Guards against a request that crashes two more servers each time that its quarantine ends, for as long as its caller sends it.
func TestRequestThatCrashesAfterItsQuarantineIsRefusedForLonger(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	quarantine := newQuarantine(manual, time.Minute)
	crashes := 0
	for range time.Hour / time.Second {
		manual.Advance(time.Second)
		if quarantine.Contains(Fingerprint{1}) {
			continue
		}
		quarantine.recordBroken(identity(Fingerprint{1}), uint32(crashes))
		crashes++
	}
	assert.Assert(t, crashes <= 8, "%d servers ended in an hour", crashes)
}

// Guards against a quarantine that never ends because VMs exchange the time left, which grows by the delay of each notice.
func TestQuarantineEndsAlthoughPeersSendIt(t *testing.T) {
	const delay = 100 * time.Millisecond
	manual := timer.NewManual(time.Unix(1000, 0))
	first, second := newQuarantine(manual, time.Minute), newQuarantine(manual, time.Minute)
	first.recordBroken(identity(Fingerprint{1}), 1)
	first.recordBroken(identity(Fingerprint{1}), 2)
	for range 80 * time.Second / delay {
		fromFirst, fromSecond := first.Export(), second.Export()
		manual.Advance(delay)
		second.Import(fromFirst)
		first.Import(fromSecond)
	}
	assert.Assert(t, !first.Contains(Fingerprint{1}))
}

// Guards against a content that many callers send being refused to all of them because servers ended that were running it, and
// against one caller whose sends of such a content crash servers being served forever.
func TestAnsweredContentIsRefusedOnlyToTheCallerThatCrashesServers(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	quarantine, peer := newQuarantine(manual, time.Minute), newQuarantine(manual, time.Minute)
	content := Fingerprint{1}
	callers := []Identity{{Content: content, Full: Fingerprint{2}}, {Content: content, Full: Fingerprint{3}}, {Content: content, Full: Fingerprint{4}}}
	quarantine.recordAnswered(callers[0])
	for i, caller := range callers {
		quarantine.recordBroken(caller, uint32(i))
		peer.recordBroken(caller, uint32(i))
	}
	assert.Assert(t, peer.Refuses(callers[0]))
	quarantine.Import(peer.Export())
	quarantine.ImportSuspects(peer.ExportSuspects())
	for _, caller := range callers {
		assert.Assert(t, !quarantine.Refuses(caller))
	}
	quarantine.recordBroken(callers[0], 7)
	assert.Assert(t, quarantine.Refuses(callers[0]))
	assert.Assert(t, !quarantine.Refuses(callers[1]))
	manual.Advance(answeredPeriod)
	quarantine.Import(peer.Export())
	assert.Assert(t, quarantine.Refuses(callers[1]))
}

// Guards against a VM that refuses a request for a shorter time than the VM that quarantined it.
func TestLongerQuarantineIsNotShortenedByPeers(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	first, second := newQuarantine(manual, time.Minute), newQuarantine(manual, time.Minute)
	first.recordBroken(identity(Fingerprint{1}), 1)
	first.recordBroken(identity(Fingerprint{1}), 2)
	manual.Advance(time.Minute)
	first.recordBroken(identity(Fingerprint{1}), 3)
	second.Import(first.Export())
	manual.Advance(time.Minute + time.Second)
	assert.Assert(t, first.Contains(Fingerprint{1}))
	assert.Assert(t, second.Contains(Fingerprint{1}))
}

// claims is an oleandervane.TrialCoordinator of one VM: it grants the given number of claims.
type claims struct {
	left, released int
}

func (claims *claims) ClaimTrial(context.Context, [16]byte) bool {
	claims.left--
	return claims.left >= 0
}

func (claims *claims) ReleaseTrial([16]byte) { claims.released++ }

// Guards against a VM that sends a request after its quarantine although another VM tries it, that keeps a trial after the request
// was answered, and that lets other sends pass during its own trial.
func TestRequestIsSentAfterItsQuarantineOnlyInATrial(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	quarantine, claims := newQuarantine(manual, time.Minute), &claims{}
	quarantine.coordinator = claims
	deadly := identity(Fingerprint{1})
	begin := func() (*trial, bool) { return quarantine.beginTrial(t.Context(), deadly) }
	_, allowed := begin()
	assert.Assert(t, allowed)
	quarantine.recordBroken(deadly, 1)
	quarantine.recordBroken(deadly, 2)
	manual.Advance(time.Minute)
	_, allowed = begin()
	assert.Assert(t, !allowed, "the trial could not be claimed")
	claims.left = 2
	_, allowed = begin()
	assert.Assert(t, !allowed, "the last claim was a moment ago")
	manual.Advance(trialPause)
	first, allowed := begin()
	assert.Assert(t, allowed)
	_, allowed = begin()
	assert.Assert(t, !allowed, "the request is being tried")
	first.end(oleandervane.NotRun)
	assert.Equal(t, claims.released, 1)
	second, allowed := begin()
	assert.Assert(t, allowed, "the former trial did not run")
	quarantine.recordAnswered(deadly)
	second.end(oleandervane.Answered)
	assert.Equal(t, claims.released, 2)
	third, allowed := begin()
	assert.Assert(t, allowed && third == nil, "the request is harmless")
}

// Guards against a trial that is released after a crash, so that another VM crashes a server before it hears of it.
func TestTrialThatMayHaveCrashedAServerIsNotReleased(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	quarantine, claims := newQuarantine(manual, time.Minute), &claims{left: 1}
	quarantine.coordinator = claims
	deadly := identity(Fingerprint{1})
	quarantine.recordBroken(deadly, 1)
	quarantine.recordBroken(deadly, 2)
	manual.Advance(time.Minute)
	trial, allowed := quarantine.beginTrial(t.Context(), deadly)
	assert.Assert(t, allowed)
	quarantine.recordBroken(deadly, 3)
	trial.end(oleandervane.Unknown)
	assert.Equal(t, claims.released, 0)
	assert.Assert(t, quarantine.Refuses(deadly))
}
