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
	// DefaultMaxBufferedBytes is the size up to which a response is buffered until it is complete.
	DefaultMaxBufferedBytes = 256 << 10
	// DefaultMaxResponseBytes bounds how much of a response that does not end is forwarded.
	DefaultMaxResponseBytes = 64 << 20
	// DefaultMaxAttempts bounds the attempts of one request, whatever the budget allows.
	DefaultMaxAttempts = 3
	// DefaultAbortDelay is the abort delay of entry VMs. Servers may work for a caller that has left for half a second at most.
	DefaultAbortDelay = 250 * time.Millisecond
	// DefaultMaxIdle bounds the idle connections to one target, which has 3 or 9 slots shared by several VMs.
	DefaultMaxIdle = 4
)

// Settings are the settings of a Forwarder. Zero values select the defaults.
type Settings struct {
	MaxBufferedBytes int
	// MaxResponseBytes bounds the body of a response. A longer one is truncated, and its server counts as broken.
	MaxResponseBytes int64
	MaxAttempts      int
	MaxIdle          int
	IdleTimeout      time.Duration
	QuarantinePeriod time.Duration
	// RelayTLS is for connections to entry VMs of other regions; nil sends in the clear.
	RelayTLS *tls.Config
	// Dialect is the dialect of backend servers; nil selects oleandervane's own.
	Dialect oleandervane.BackendDialect
	// AllowUnframedBodies accepts a body whose end is the end of the connection, unless the connection is reset.
	AllowUnframedBodies bool
	// TrustReusedConnections relies on the keepalive probes of the socket to detect a connection that went silent. Long
	// requests can then use pooled connections.
	TrustReusedConnections bool
	// ConnectTimeout bounds the opening of a connection; zero selects a fraction of the kind's deadline.
	ConnectTimeout time.Duration
	// AbortDelay is how long a request that was written to a backend server continues there after its caller has left. It shows
	// whether the request crashes the server. Zero aborts it immediately.
	AbortDelay time.Duration
	// SuspectObserver is notified of requests that may crash backend servers; nil notifies nobody.
	SuspectObserver oleandervane.SuspectObserver
	// BreakObserver is notified of connections that backend servers broke; nil notifies nobody.
	BreakObserver oleandervane.BreakObserver
	// TrialCoordinator decides which VM tries a request after its quarantine; nil selects each VM.
	TrialCoordinator oleandervane.TrialCoordinator
	// QuarantineRecorder keeps quarantines for VMs that start later; nil keeps none.
	QuarantineRecorder oleandervane.QuarantineRecorder
	// RetryBudget bounds retries; nil allows 10% of the requests of this VM.
	RetryBudget RetryBudget
	// ReserveResponse accounts for the buffer of a response of more than 16 KiB, until the returned function is called. If it returns
	// nil, no more than 16 KiB are buffered. A nil function buffers all up to MaxBufferedBytes.
	ReserveResponse func(bytes int64) (release func())
}

// RetryBudget bounds the attempts of a service beyond the first attempt of each request.
type RetryBudget interface {
	RecordRequest(serviceName oleandervane.ServiceName)
	// AcquireRetry counts a retry if there is room for it, and reports whether there was.
	AcquireRetry(serviceName oleandervane.ServiceName) bool
	// ReturnRetry returns a retry that was not sent.
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
		settings.IdleTimeout = DefaultIdleTimeout
	}
	if settings.Dialect == nil {
		settings.Dialect = nativeDialect{}
	}
	if settings.QuarantinePeriod == 0 {
		settings.QuarantinePeriod = DefaultQuarantinePeriod
	}
	if settings.ReserveResponse == nil {
		settings.ReserveResponse = func(int64) func() { return func() {} }
	}
	return settings
}

// Forwarder forwards requests. All methods are safe for concurrent use.
type Forwarder struct {
	settings     Settings
	timerService oleandervane.TimerService
	// pool has the connections to backend servers, relayPool those to entry VMs; without TLS they are the same.
	pool         *pool
	relayPool    *pool
	budget       RetryBudget
	quarantine   *Quarantine
	firstBytes   *firstByteTimes
	idPrefix     string
	attempts     atomic.Uint64
	stopEviction func()
}

// New returns a forwarder. The caller must close it.
func New(settings Settings, timerService oleandervane.TimerService) *Forwarder {
	settings = settings.withDefaults()
	pool := newPool(timerService, settings.IdleTimeout, settings.MaxIdle, nil)
	pool.breakObserver = settings.BreakObserver
	relayPool := pool
	if settings.RelayTLS != nil {
		relayPool = newPool(timerService, settings.IdleTimeout, settings.MaxIdle, settings.RelayTLS)
	}
	if settings.RetryBudget == nil {
		settings.RetryBudget = NewRetryBudget(timerService, Allowance{Ratio: defaultRetryRatio})
	}
	quarantine := newQuarantine(timerService, settings.QuarantinePeriod)
	quarantine.observer = settings.SuspectObserver
	quarantine.coordinator, quarantine.recorder = settings.TrialCoordinator, settings.QuarantineRecorder
	return &Forwarder{
		settings:     settings,
		timerService: timerService,
		pool:         pool,
		relayPool:    relayPool,
		budget:       settings.RetryBudget,
		quarantine:   quarantine,
		firstBytes:   &firstByteTimes{times: map[kindKey]firstByteTime{}},
		idPrefix:     rand.Text(),
		stopEviction: timerService.Every(settings.IdleTimeout, func(now time.Time) {
			pool.evictIdle(now)
			relayPool.evictIdle(now)
		}),
	}
}

// Close closes idle connections. Requests in flight continue.
func (forwarder *Forwarder) Close() {
	forwarder.stopEviction()
	forwarder.pool.closeIdle()
	forwarder.relayPool.closeIdle()
}

// MeanTime returns the mean of the recent times that servers took to respond to requests of a kind, or zero if none is known.
func (forwarder *Forwarder) MeanTime(service oleandervane.ServiceName, kind oleandervane.KindName) time.Duration {
	return forwarder.firstBytes.of(service, kind).mean
}

// Quarantine returns the quarantine, whose entries are exchanged with peers.
func (forwarder *Forwarder) Quarantine() *Quarantine {
	return forwarder.quarantine
}

func (forwarder *Forwarder) nextAttemptID() string {
	return forwarder.idPrefix + "-" + strconv.FormatUint(forwarder.attempts.Add(1), 36)
}

// Forward sends a request to a target of the chooser and returns the result. It retries the request only if it is
// idempotent or has provably not run, on a different target each time, within the deadline and the budget.
func (forwarder *Forwarder) Forward(ctx context.Context, request Request, chooser TargetChooser) Result {
	identity := IdentityOf(request)
	if forwarder.quarantine.Refuses(identity) {
		return Result{Outcome: oleandervane.NotRun, Reason: ReasonQuarantined, Identity: identity}
	}
	trial, allowed := forwarder.quarantine.beginTrial(ctx, identity)
	if !allowed {
		return Result{Outcome: oleandervane.NotRun, Reason: ReasonQuarantined, Identity: identity}
	}
	if trial == nil {
		return forwarder.send(ctx, request, identity, chooser)
	}
	request.MaxAttempts = 1
	result := forwarder.send(ctx, request, identity, chooser)
	trial.end(result.Outcome)
	return result
}

// send sends a request that is not refused.
func (forwarder *Forwarder) send(ctx context.Context, request Request, identity Identity, chooser TargetChooser) Result {
	forwarder.budget.RecordRequest(request.Service)
	reservation, err := chooser.Choose(nil)
	if err != nil {
		return Result{Outcome: oleandervane.NotRun, Reason: ReasonNoBackendServer, Identity: identity, Err: err}
	}
	retryLoop := &retryLoop{startedAt: forwarder.timerService.Now(), forwarder: forwarder, ctx: ctx, request: request, identity: identity, chooser: chooser}
	for reservation != nil {
		retryLoop.attempt(reservation)
		reservation = retryLoop.next()
	}
	result := retryLoop.finish()
	result.Identity = identity
	return result
}

// retryLoop runs the attempts of one request.
type retryLoop struct {
	forwarder *Forwarder
	ctx       context.Context
	request   Request
	identity  Identity
	chooser   TargetChooser
	excluded  []string
	summaries []AttemptSummary
	startedAt time.Time
	// mayHaveRun is set once an attempt ended with an unknown outcome; from then on the outcome of the request is never
	// NotRun, whatever the outcomes of later attempts.
	mayHaveRun bool
	// reconsidered says that the last attempt ended because another target is better.
	reconsidered bool
	result       Result
	// failure is the error response of a backend server, for the case that the retry gets no response.
	failure *Result
}

// finish returns the result of the last attempt, or else the error response of an earlier one.
func (retryLoop *retryLoop) finish() Result {
	if retryLoop.failure == nil {
		return retryLoop.result
	}
	if retryLoop.result.Outcome == oleandervane.Answered {
		retryLoop.failure.Response.Close()
		return retryLoop.result
	}
	retryLoop.failure.Attempts, retryLoop.failure.AttemptSummaries = retryLoop.result.Attempts, retryLoop.summaries
	return *retryLoop.failure
}

func (retryLoop *retryLoop) attempt(reservation Reservation) {
	attempt := retryLoop.forwarder.newAttempt(retryLoop.ctx, retryLoop.request, reservation)
	attempt.identity = retryLoop.identity
	attemptOutcome := attempt.run()
	if retryLoop.reconsidered = attemptOutcome.reason == ReasonReconsidered; retryLoop.reconsidered {
		return
	}
	retryLoop.excluded = append(retryLoop.excluded, attempt.target.ID)
	retryLoop.summaries = append(retryLoop.summaries, AttemptSummary{
		Target:    attempt.target.ID,
		Outcome:   attemptOutcome.outcome,
		Reason:    attemptOutcome.reason,
		SentAfter: attempt.startedAt.Sub(retryLoop.startedAt),
	})
	retryLoop.mayHaveRun = retryLoop.mayHaveRun || attemptOutcome.outcome == oleandervane.Unknown
	if attemptOutcome.outcome == oleandervane.NotRun && retryLoop.mayHaveRun {
		attemptOutcome.outcome = oleandervane.Unknown
	}
	retryLoop.result = Result{
		Outcome:          attemptOutcome.outcome,
		Reason:           attemptOutcome.reason,
		Response:         attemptOutcome.response,
		Target:           attempt.target,
		Attempts:         len(retryLoop.excluded),
		AttemptSummaries: retryLoop.summaries,
		Err:              attemptOutcome.err,
	}
}

// next returns the reservation for a retry, or nil when there is none.
func (retryLoop *retryLoop) next() Reservation {
	if retryLoop.reconsidered {
		return retryLoop.chooseAgain()
	}
	if retryLoop.failure == nil && retryLoop.retryPolicy().MayRetryFailure(retryLoop.retryState()) {
		failure := retryLoop.result
		retryLoop.failure, retryLoop.mayHaveRun = &failure, true
		retryLoop.result = Result{Outcome: oleandervane.Unknown, Reason: ReasonBroken, Target: failure.Target, Attempts: failure.Attempts}
	}
	if !retryLoop.retryPolicy().MayRetry(retryLoop.retryState()) || !retryLoop.forwarder.budget.AcquireRetry(retryLoop.request.Service) {
		return nil
	}
	reservation, err := retryLoop.chooser.Choose(retryLoop.excluded)
	if err != nil {
		retryLoop.forwarder.budget.ReturnRetry(retryLoop.request.Service)
		return nil
	}
	if slices.Contains(retryLoop.excluded, reservation.Target().ID) {
		reservation.Release(oleandervane.AttemptCancelled)
		retryLoop.forwarder.budget.ReturnRetry(retryLoop.request.Service)
		return nil
	}
	return reservation
}

// chooseAgain returns the reservation that replaces one whose target turned out to be worse than another. It is no retry, because
// nothing was sent.
func (retryLoop *retryLoop) chooseAgain() Reservation {
	reservation, err := retryLoop.chooser.Choose(retryLoop.excluded)
	if err == nil {
		return reservation
	}
	if len(retryLoop.excluded) > 0 {
		retryLoop.forwarder.budget.ReturnRetry(retryLoop.request.Service)
		return nil
	}
	retryLoop.result = Result{Outcome: oleandervane.NotRun, Reason: ReasonNoBackendServer, Err: err}
	return nil
}

func (retryLoop *retryLoop) retryState() RetryState {
	retryState := RetryState{
		Outcome:     retryLoop.result.Outcome,
		Reason:      retryLoop.result.Reason,
		MayHaveRun:  retryLoop.mayHaveRun,
		Abandoned:   retryLoop.ctx.Err() != nil || retryLoop.request.Abandoned != nil && retryLoop.request.Abandoned(),
		Quarantined: retryLoop.forwarder.quarantine.Refuses(retryLoop.identity),
		Attempts:    retryLoop.result.Attempts,
	}
	if response := retryLoop.result.Response; response != nil {
		retryState.Status, retryState.Streamed = response.Status, response.Streamed()
	}
	return retryState
}

func (retryLoop *retryLoop) retryPolicy() RetryPolicy {
	return RetryPolicy{
		Idempotent:    retryLoop.request.Kind.Idempotent,
		RetryFailures: retryLoop.request.RetryFailures,
		MaxAttempts:   retryLoop.maxAttempts(),
	}
}

func (retryLoop *retryLoop) maxAttempts() int {
	if retryLoop.request.MaxAttempts > 0 {
		return retryLoop.request.MaxAttempts
	}
	return retryLoop.forwarder.settings.MaxAttempts
}
