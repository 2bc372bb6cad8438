package forward

import (
	"context"
	"time"

	"oleandervane.example"
)

const (
	// TrialDuration is longer than the time limits of most requests and the time in which other VMs hear of a crash.
	TrialDuration = 20 * time.Second
	// trialPause is the time between two attempts of a VM to claim the trial of a request.
	trialPause = 2 * time.Second
)

// trial is the only send of a request between its quarantine and the response that shows that it is harmless.
type trial struct {
	fingerprint Fingerprint
	quarantine  *Quarantine
}

// beginTrial returns nil if the request needs no trial, because it was not refused in the last pastPeriod. Otherwise it reports
// whether this VM may send the request now.
func (quarantine *Quarantine) beginTrial(ctx context.Context, identity Identity) (begun *trial, allowed bool) {
	fingerprint, needed := quarantine.reserveTrial(identity)
	switch {
	case !needed:
		return nil, true
	case fingerprint == Fingerprint{}:
		return nil, false
	case quarantine.coordinator != nil && !quarantine.coordinator.ClaimTrial(ctx, fingerprint):
		return nil, false
	}
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	quarantine.nextTrial[fingerprint] = quarantine.timerService.Now().Add(TrialDuration)
	if quarantine.observer != nil {
		quarantine.observer.TrialBegan(fingerprint)
	}
	return &trial{fingerprint: fingerprint, quarantine: quarantine}, true
}

// reserveTrial reports whether the request needs a trial, and keeps other sends at this VM from claiming one for trialPause. The
// fingerprint is zero if this VM must not claim one now.
func (quarantine *Quarantine) reserveTrial(identity Identity) (fingerprint Fingerprint, needed bool) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	now := quarantine.timerService.Now()
	for _, fingerprint := range []Fingerprint{identity.Content, identity.Full} {
		former, found := quarantine.past[fingerprint]
		if !found || now.Sub(former.until) >= pastPeriod {
			continue
		}
		if now.Before(former.until) || now.Before(quarantine.nextTrial[fingerprint]) {
			return Fingerprint{}, true
		}
		quarantine.nextTrial[fingerprint] = now.Add(trialPause)
		return fingerprint, true
	}
	return Fingerprint{}, false
}

// end ends the trial. Unless the request may have crashed a server, the next send may be at another VM.
func (trial *trial) end(outcome oleandervane.Outcome) {
	quarantine := trial.quarantine
	quarantine.mutex.Lock()
	_, uncertain := quarantine.past[trial.fingerprint]
	release := !uncertain || outcome == oleandervane.NotRun
	if release {
		delete(quarantine.nextTrial, trial.fingerprint)
	}
	quarantine.mutex.Unlock()
	if release && quarantine.coordinator != nil {
		quarantine.coordinator.ReleaseTrial(trial.fingerprint)
	}
}
