package placement

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/timer"
)

// refusingProber finds that servers refuse connections until a time.
type refusingProber struct {
	manual *timer.Manual
	until  time.Time
}

func (prober refusingProber) ProbeConnection(_ netip.AddrPort, done func(oleandervane.ConnectionState)) {
	if prober.manual.Now().Before(prober.until) {
		done(oleandervane.ConnectionRefused)
		return
	}
	done(oleandervane.ConnectionAccepted)
}

// A server stays away for longer than it would be cold while the store is away, and the VMs that try cold servers have no requests for
// it. Guards against all VMs taking it for warm when it returns.
func TestServerThatStaysAwayIsColdWhenItReturns(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	away := refusingProber{manual, manual.Now().Add(2 * slowStartTime)}
	placers := fleet(manual, 16)
	for i, placer := range placers {
		placer.settings.Prober = away
		placer.Update(registryOf(registered("away", "kigali-a")))
		if server := placer.view.Load().services["ledger"][0]; !server.warmUpAssigned() {
			placers[0], placers[i] = placers[i], placers[0]
		}
	}
	placers[0].ReplaceInFlight("others", 15, nil)
	placers[0].recordEnd(placers[0].view.Load().services["ledger"][0], ColdAfterEnd, manual.Now())
	for manual.Now().Before(away.until.Add(slowStartTime)) {
		sent := 0
		for _, placer := range placers {
			placer.ReplaceInFlight("others", 15, nil)
			for _, other := range placers {
				other.MergeServerEnds(placer.ServerEnds())
			}
			if reservation, err := placer.Chooser(requestFor("x")).Choose(nil); err == nil {
				sent++
				reservation.Release(oleandervane.AttemptAnswered)
			}
		}
		assert.Assert(t, sent <= coldVMs, "%d VMs sent to the server at %v", sent, manual.Now())
		manual.Advance(100 * time.Millisecond)
	}
}
