package forward

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"oleandervane.example"
)

const (
	// DefaultMaxBufferedBytes is the size up to which a response is held until it is complete.
	DefaultMaxBufferedBytes = 256 << 10
	// DefaultMaxAttempts bounds the attempts of one request, whatever the budget allows.
	DefaultMaxAttempts = 3
	// DefaultMaxIdle bounds the idle connections to one target, which has 3 or 9 slots shared by several VMs.
	DefaultMaxIdle = 4
)

// Settings are the settings of a Forwarder. Zero values take the defaults.
type Settings struct {
	MaxBufferedBytes int
	MaxAttempts      int
	MaxIdle          int
	IdleLimit        time.Duration
	QuarantinePeriod time.Duration
	// RelayTLS is for connections to entry VMs of other regions; nil sends in the clear.
	RelayTLS *tls.Config
}

func (settings Settings) withDefaults() Settings {
	if settings.MaxBufferedBytes == 0 {
		settings.MaxBufferedBytes = DefaultMaxBufferedBytes
	}
	if settings.MaxAttempts == 0 {
		settings.MaxAttempts = DefaultMaxAttempts
	}
	if settings.MaxIdle == 0 {
		settings.MaxIdle = DefaultMaxIdle
	}
	if settings.IdleLimit == 0 {
		settings.IdleLimit = DefaultIdleLimit
	}
	if settings.QuarantinePeriod == 0 {
		settings.QuarantinePeriod = DefaultQuarantinePeriod
	}
	return settings
}

// Forwarder forwards requests. All methods may be called from many goroutines at once.
type Forwarder struct {
	settings     Settings
	timerService oleandervane.TimerService
	// pool has the connections to backend servers, relays those to entry VMs; without TLS they are the same.
	pool         *pool
	relays       *pool
	budget       *budget
	quarantine   *Quarantine
	firstBytes   *firstByteTimes
	idPrefix     string
	attempts     atomic.Uint64
	stopRetiring func()
}

// New returns a forwarder. It must be closed.
func New(settings Settings, timerService oleandervane.TimerService) *Forwarder {
	settings = settings.withDefaults()
	pool := newPool(timerService, settings.IdleLimit, settings.MaxIdle, nil)
	relays := pool
	if settings.RelayTLS != nil {
		relays = newPool(timerService, settings.IdleLimit, settings.MaxIdle, settings.RelayTLS)
	}
	return &Forwarder{
		settings:     settings,
		timerService: timerService,
		pool:         pool,
		relays:       relays,
		budget:       newBudget(timerService),
		quarantine:   newQuarantine(timerService, settings.QuarantinePeriod),
		firstBytes:   &firstByteTimes{times: map[kindKey]time.Duration{}},
		idPrefix:     rand.Text(),
		stopRetiring: timerService.Every(settings.IdleLimit, func(now time.Time) {
			pool.retire(now)
			relays.retire(now)
		}),
	}
}

// Close closes idle connections. Requests in flight are not disturbed.
func (forwarder *Forwarder) Close() {
	forwarder.stopRetiring()
	forwarder.pool.closeIdle()
	forwarder.relays.closeIdle()
}

// Quarantine returns the quarantine, to exchange it with peers.
func (forwarder *Forwarder) Quarantine() *Quarantine {
	return forwarder.quarantine
}

func (forwarder *Forwarder) nextAttemptID() string {
	return forwarder.idPrefix + "-" + strconv.FormatUint(forwarder.attempts.Add(1), 36)
}

// Forward sends a request to a target of the chooser and returns what became of it. It sends the request again
// only if it is idempotent or has provably not run, to another target each time, within the deadline and the budget.
func (forwarder *Forwarder) Forward(ctx context.Context, request Request, chooser TargetChooser) Result {
	fingerprint := FingerprintOf(request)
	if forwarder.quarantine.Contains(fingerprint) {
		return Result{Outcome: oleandervane.NotRun, Reason: ReasonQuarantined}
	}
	forwarder.budget.noteRequest(request.Service)
	reservation, err := chooser.Choose(nil)
	if err != nil {
		return Result{Outcome: oleandervane.NotRun, Reason: ReasonNoBackendServer, Err: err}
	}
	series := &series{forwarder: forwarder, ctx: ctx, request: request, fingerprint: fingerprint, chooser: chooser}
	for reservation != nil {
		series.attempt(reservation)
		reservation = series.next()
	}
	return series.result
}

// series is the attempts of one request.
type series struct {
	forwarder   *Forwarder
	ctx         context.Context
	request     Request
	fingerprint Fingerprint
	chooser     TargetChooser
	excluded    []string
	// mayHaveRun is set once an attempt ended with an unknown outcome; from then on the request cannot be said not
	// to have run, whatever later attempts say.
	mayHaveRun bool
	result     Result
}

func (series *series) attempt(reservation Reservation) {
	attempt := series.forwarder.newAttempt(series.ctx, series.request, reservation)
	attempt.fingerprint = series.fingerprint
	attemptOutcome := attempt.run()
	series.excluded = append(series.excluded, attempt.target.ID)
	series.mayHaveRun = series.mayHaveRun || attemptOutcome.outcome == oleandervane.Unknown
	if attemptOutcome.outcome == oleandervane.NotRun && series.mayHaveRun {
		attemptOutcome.outcome = oleandervane.Unknown
	}
	series.result = Result{
		Outcome:  attemptOutcome.outcome,
		Reason:   attemptOutcome.reason,
		Response: attemptOutcome.response,
		Target:   attempt.target,
		Attempts: len(series.excluded),
		Err:      attemptOutcome.err,
	}
}

// next returns the reservation of a retry, or nil when there is to be none.
func (series *series) next() Reservation {
	if !series.mayRetry() || !series.forwarder.budget.takeRetry(series.request.Service) {
		return nil
	}
	reservation, err := series.chooser.Choose(series.excluded)
	if err != nil {
		series.forwarder.budget.returnRetry(series.request.Service)
		return nil
	}
	if slices.Contains(series.excluded, reservation.Target().ID) {
		reservation.Release(oleandervane.AttemptCancelled)
		series.forwarder.budget.returnRetry(series.request.Service)
		return nil
	}
	return reservation
}

func (series *series) mayRetry() bool {
	if series.result.Outcome == oleandervane.Answered || series.ctx.Err() != nil {
		return false
	}
	if series.mayHaveRun && !series.request.Kind.Idempotent {
		return false
	}
	switch series.result.Reason {
	case ReasonDeadline, ReasonCancelled, ReasonRefused, ReasonQuarantined:
		return false
	}
	if series.forwarder.quarantine.Contains(series.fingerprint) {
		return false
	}
	return series.result.Attempts < series.maxAttempts()
}

func (series *series) maxAttempts() int {
	if series.request.MaxAttempts > 0 {
		return series.request.MaxAttempts
	}
	return series.forwarder.settings.MaxAttempts
}
