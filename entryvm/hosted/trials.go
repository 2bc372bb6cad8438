package hosted

import (
	"context"
	"encoding/hex"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
)

const (
	// trialPrefix is the prefix of the keys of trials in the store. A key is present while a VM tries the request.
	trialPrefix = "trials/"
	// claimTimeout bounds how long a request waits for the store. Without the store, requests that crashed servers are not tried.
	claimTimeout = 500 * time.Millisecond
	// releaseTimeout bounds the removal of a key, which is removed with its lease otherwise.
	releaseTimeout = time.Second
)

// trialCoordinator is an oleandervane.TrialCoordinator. Each claim is a key in the store, under a lease.
type trialCoordinator struct {
	self         oleandervane.VMID
	store        oleandervane.LeaseStore
	timerService oleandervane.TimerService
	log          logrus.FieldLogger

	mutex sync.Mutex
	// leases has the leases of the trials of this VM that have not expired.
	leases map[[16]byte]oleandervane.LeaseID
}

func newTrialCoordinator(self oleandervane.VMID, store oleandervane.LeaseStore, timerService oleandervane.TimerService, log logrus.FieldLogger) *trialCoordinator {
	return &trialCoordinator{self: self, store: store, timerService: timerService, log: log, leases: map[[16]byte]oleandervane.LeaseID{}}
}

// ClaimTrial writes the key of the trial. It returns false if the key exists or the store does not respond.
func (trialCoordinator *trialCoordinator) ClaimTrial(ctx context.Context, fingerprint [16]byte) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	key := trialPrefix + hex.EncodeToString(fingerprint[:])
	lease, err := trialCoordinator.store.GrantLease(ctx, forward.TrialDuration)
	if err == nil {
		_, err = trialCoordinator.store.Commit(ctx, oleandervane.StoreTransaction{
			Conditions: map[string]uint64{key: 0},
			Writes:     []oleandervane.StoreWrite{{Key: key, Value: []byte(trialCoordinator.self), Lease: lease}},
		})
	}
	if err != nil {
		trialCoordinator.log.WithError(err).WithField("fingerprint", formatFingerprint(fingerprint)).
			Info("request stays refused because this VM could not claim its trial")
		trialCoordinator.end(lease)
		return false
	}
	trialCoordinator.mutex.Lock()
	defer trialCoordinator.mutex.Unlock()
	trialCoordinator.leases[fingerprint] = lease
	trialCoordinator.timerService.After(forward.TrialDuration, func(time.Time) { trialCoordinator.forget(fingerprint, lease) })
	return true
}

// forget drops a lease that has expired.
func (trialCoordinator *trialCoordinator) forget(fingerprint [16]byte, lease oleandervane.LeaseID) {
	trialCoordinator.mutex.Lock()
	defer trialCoordinator.mutex.Unlock()
	if trialCoordinator.leases[fingerprint] == lease {
		delete(trialCoordinator.leases, fingerprint)
	}
}

// ReleaseTrial removes the key of the trial.
func (trialCoordinator *trialCoordinator) ReleaseTrial(fingerprint [16]byte) {
	trialCoordinator.mutex.Lock()
	lease := trialCoordinator.leases[fingerprint]
	delete(trialCoordinator.leases, fingerprint)
	trialCoordinator.mutex.Unlock()
	trialCoordinator.end(lease)
}

// end ends a lease that is not needed any more. It does not wait for the store.
func (trialCoordinator *trialCoordinator) end(lease oleandervane.LeaseID) {
	if lease == (oleandervane.LeaseID{}) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := trialCoordinator.store.EndLease(ctx, lease); err != nil {
			trialCoordinator.log.WithError(err).Debug("lease of a trial could not be ended; it expires")
		}
	}()
}
