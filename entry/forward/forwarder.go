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
	// DefaultMaxResponseBytes bounds what is passed on of a response that does not end.
	DefaultMaxResponseBytes = 64 << 20
	// DefaultMaxAttempts bounds the attempts of one request, whatever the budget allows.
	DefaultMaxAttempts = 3
	// DefaultMaxIdle bounds the idle connections to one target, which has 3 or 9 slots shared by several VMs.
	DefaultMaxIdle = 4
)

// Settings are the settings of a Forwarder. Zero values take the defaults.
type Settings struct {
	MaxBufferedBytes int
	// MaxResponseBytes bounds the body of a response. A longer one is cut off, and its server counts as broken.
	MaxResponseBytes int64
	MaxAttempts      int
	MaxIdle          int
	IdleTimeout      time.Duration
	QuarantinePeriod time.Duration
	// RelayTLS is for connections to entry VMs of other regions; nil sends in the clear.
	RelayTLS *tls.Config
	// Dialect is how backend servers are spoken to; nil is oleandervane's own.
	Dialect oleandervane.BackendDialect
	// AllowUnframedBodies accepts a body that ends with its connection, unless the connection is reset.
	AllowUnframedBodies bool
	// TrustReusedConnections leaves it to the probes of the socket to find a connection that went silent. Requests that take
	// long can then use pooled connections.
	TrustReusedConnections bool
	// ConnectTimeout bounds the opening of a connection; zero takes a part of the kind's deadline.
	ConnectTimeout time.Duration
	// RetryBudget bounds retries; nil is 10% of the requests of this VM.
	RetryBudget RetryBudget
}

// RetryBudget bounds the attempts of a service beyond the first of each request.
type RetryBudget interface {
	RecordRequest(serviceName oleandervane.ServiceName)
	// AcquireRetry counts a retry if there is room for it.
	AcquireRetry(serviceName oleandervane.ServiceName) bool
	// ReturnRetry takes back a retry that was not sent.
	ReturnRetry(serviceName oleandervane.ServiceName)
}

func (settings Settings) withDefaults() Settings {
	if settings.MaxBufferedBytes == 0 {
		settings.MaxBufferedBytes = DefaultMaxBufferedBytes
	}
	if settings.MaxResponseBytes == 0 {
		settings.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if settings.MaxAttempts == 0 {
		settings.MaxAttempts = DefaultMaxAttempts
	}
	if settings.MaxIdle == 0 {
		settings.MaxIdle = DefaultMaxIdle
	}
	if settings.IdleTimeout == 0 {
		settings.IdleTimeout = DefaultIdleLimit
	}
	if settings.Dialect == nil {
		settings.Dialect = ownDialect{}
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
	budget       RetryBudget
	quarantine   *Quarantine
	firstBytes   *firstByteTimes
	idPrefix     string
	attempts     atomic.Uint64
	stopRetiring func()
}

// New returns a forwarder. It must be closed.
func New(settings Settings, timerService oleandervane.TimerService) *Forwarder {
	settings = settings.withDefaults()
	pool := newPool(timerService, settings.IdleTimeout, settings.MaxIdle, nil)
	relays := pool
	if settings.RelayTLS != nil {
		relays = newPool(timerService, settings.IdleTimeout, settings.MaxIdle, settings.RelayTLS)
	}
	if settings.RetryBudget == nil {
		settings.RetryBudget = NewRetryBudget(timerService, Allowance{Ratio: defaultRetryRatio})
	}
	return &Forwarder{
		settings:     settings,
		timerService: timerService,
		pool:         pool,
		relays:       relays,
		budget:       settings.RetryBudget,
		quarantine:   newQuarantine(timerService, settings.QuarantinePeriod),
		firstBytes:   &firstByteTimes{times: map[kindKey]time.Duration{}},
		idPrefix:     rand.Text(),
		stopRetiring: timerService.Every(settings.IdleTimeout, func(now time.Time) {
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
	forwarder.budget.RecordRequest(request.Service)
	reservation, err := chooser.Choose(nil)
	if err != nil {
		return Result{Outcome: oleandervane.NotRun, Reason: ReasonNoBackendServer, Err: err}
	}
	series := &series{startedAt: forwarder.timerService.Now(), forwarder: forwarder, ctx: ctx, request: request, fingerprint: fingerprint, chooser: chooser}
	for reservation != nil {
		series.attempt(reservation)
		reservation = series.next()
	}
	return series.finish()
}

// series is the attempts of one request.
type series struct {
	forwarder   *Forwarder
	ctx         context.Context
	request     Request
	fingerprint Fingerprint
	chooser     TargetChooser
	excluded    []string
	tries       []AttemptSummary
	startedAt   time.Time
	// mayHaveRun is set once an attempt ended with an unknown outcome; from then on the request cannot be said not
	// to have run, whatever later attempts say.
	mayHaveRun bool
	result     Result
	// failure is the answer of a backend server that failed, kept in case that the retry brings none.
	failure *Result
}

// finish returns the result of the last attempt, or the failure that a backend server answered before it.
func (series *series) finish() Result {
	if series.failure == nil {
		return series.result
	}
	if series.result.Outcome == oleandervane.Answered {
		series.failure.Response.Close()
		return series.result
	}
	series.failure.Attempts, series.failure.AttemptSummaries = series.result.Attempts, series.tries
	return *series.failure
}

func (series *series) attempt(reservation Reservation) {
	attempt := series.forwarder.newAttempt(series.ctx, series.request, reservation)
	attempt.fingerprint = series.fingerprint
	attemptOutcome := attempt.run()
	series.excluded = append(series.excluded, attempt.target.ID)
	series.tries = append(series.tries, AttemptSummary{
		Target:    attempt.target.ID,
		Outcome:   attemptOutcome.outcome,
		Reason:    attemptOutcome.reason,
		SentAfter: attempt.startedAt.Sub(series.startedAt),
	})
	series.mayHaveRun = series.mayHaveRun || attemptOutcome.outcome == oleandervane.Unknown
	if attemptOutcome.outcome == oleandervane.NotRun && series.mayHaveRun {
		attemptOutcome.outcome = oleandervane.Unknown
	}
	series.result = Result{
		Outcome:          attemptOutcome.outcome,
		Reason:           attemptOutcome.reason,
		Response:         attemptOutcome.response,
		Target:           attempt.target,
		Attempts:         len(series.excluded),
		AttemptSummaries: series.tries,
		Err:              attemptOutcome.err,
	}
}

// next returns the reservation of a retry, or nil when there is to be none.
func (series *series) next() Reservation {
	if series.failure == nil && series.retryRule().MayRetryFailure(series.attempted()) {
		failure := series.result
		series.failure, series.mayHaveRun = &failure, true
		series.result = Result{Outcome: oleandervane.Unknown, Reason: ReasonBroken, Target: failure.Target, Attempts: failure.Attempts}
	}
	if !series.retryRule().MayRetry(series.attempted()) || !series.forwarder.budget.AcquireRetry(series.request.Service) {
		return nil
	}
	reservation, err := series.chooser.Choose(series.excluded)
	if err != nil {
		series.forwarder.budget.ReturnRetry(series.request.Service)
		return nil
	}
	if slices.Contains(series.excluded, reservation.Target().ID) {
		reservation.Release(oleandervane.AttemptCancelled)
		series.forwarder.budget.ReturnRetry(series.request.Service)
		return nil
	}
	return reservation
}

func (series *series) attempted() RetryState {
	attempted := RetryState{
		Outcome:     series.result.Outcome,
		Reason:      series.result.Reason,
		MayHaveRun:  series.mayHaveRun,
		Abandoned:   series.ctx.Err() != nil || series.request.Abandoned != nil && series.request.Abandoned(),
		Quarantined: series.forwarder.quarantine.Contains(series.fingerprint),
		Attempts:    series.result.Attempts,
	}
	if response := series.result.Response; response != nil {
		attempted.Status, attempted.Streamed = response.Status, response.Streamed()
	}
	return attempted
}

func (series *series) retryRule() RetryPolicy {
	return RetryPolicy{
		Idempotent:    series.request.Kind.Idempotent,
		RetryFailures: series.request.RetryFailures,
		MaxAttempts:   series.maxAttempts(),
	}
}

func (series *series) maxAttempts() int {
	if series.request.MaxAttempts > 0 {
		return series.request.MaxAttempts
	}
	return series.forwarder.settings.MaxAttempts
}
