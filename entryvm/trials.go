package entryvm

import (
	"context"
	"encoding/hex"

	"oleandervane.example/fleet/membership"
)

// rankedTrials is an oleandervane.TrialCoordinator that selects one VM of the fleet for each request in each epoch. While views
// differ, it can select two.
type rankedTrials struct {
	entryVM *EntryVM
}

// ClaimTrial reports whether this VM ranks first for the request.
func (rankedTrials rankedTrials) ClaimTrial(_ context.Context, fingerprint [16]byte) bool {
	view := rankedTrials.entryVM.daemon.Node.Membership().View()
	epoch := membership.Epoch(rankedTrials.entryVM.timerService.Now())
	return membership.Rank(view.Self.ID, view.EntryVMs, "request_trial "+hex.EncodeToString(fingerprint[:]), epoch) == 0
}

// ReleaseTrial does nothing: the choice changes with the epoch.
func (rankedTrials) ReleaseTrial([16]byte) {}
