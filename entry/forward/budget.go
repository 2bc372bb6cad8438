package forward

import (
	"sync"
	"time"

	"oleandervane.example"
)

const (
	// defaultBudgetWindow and defaultRetryRatio limit retries to 10% of the requests of the last 10 s, so that the load
	// on backend servers grows by at most a tenth when all of them fail.
	defaultBudgetWindow = 10 * time.Second
	defaultRetryRatio   = 0.1
	// accruedShare is the share of an allowance that accrues as requests arrive and time passes. The rest is a reserve
	// for bursts of failures, which is refilled from the accrual.
	accruedShare = 0.5
	// budgetBuckets is the number of buckets that a window is divided into.
	budgetBuckets = 20
)

// Allowance is the number of retries that a VM may make within a window.
type Allowance struct {
	// Window is 10 s if it is zero.
	Window time.Duration
	// Ratio is the number of retries per request in the same window.
	Ratio float64
	// Base returns the number of retries in addition to Ratio, for a VM that has received few requests so far; nil is
	// zero.
	Base func() float64
}

func (allowance Allowance) base() float64 {
	if allowance.Base == nil {
		return 0
	}
	return allowance.Base()
}

// budget bounds the retries of each service. The retries within any window are at most the accrual in that window plus
// the reserve at its beginning, which follows from the requests of the window before. Both are sums, so the bound also
// holds for all VMs together and for any window. A limit on the retries of the past window has no such sum: each VM
// would spend up to its own peak.
type budget struct {
	timerService oleandervane.TimerService
	allowance    Allowance
	startedAt    time.Time
	mutex        sync.Mutex
	services     map[oleandervane.ServiceName]*serviceBudget
}

type serviceBudget struct {
	// number is the number of the newest bucket. Each bucket counts the requests of its part of the window.
	number  int64
	buckets [budgetBuckets]int64
	// retries is the number of retries that may be made now.
	retries   float64
	accruedAt time.Time
}

// NewRetryBudget returns a budget with the allowance for each service.
func NewRetryBudget(timerService oleandervane.TimerService, allowance Allowance) RetryBudget {
	if allowance.Window == 0 {
		allowance.Window = defaultBudgetWindow
	}
	return &budget{
		timerService: timerService,
		allowance:    allowance,
		startedAt:    timerService.Now(),
		services:     map[oleandervane.ServiceName]*serviceBudget{},
	}
}

// RecordRequest counts a request.
func (budget *budget) RecordRequest(serviceName oleandervane.ServiceName) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	service := budget.current(serviceName)
	service.buckets[service.number%budgetBuckets]++
	service.retries += accruedShare * budget.allowance.Ratio
}

// AcquireRetry counts a retry if the budget has room for it, and reports whether it had.
func (budget *budget) AcquireRetry(serviceName oleandervane.ServiceName) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	service := budget.current(serviceName)
	if service.retries < 1 {
		return false
	}
	service.retries--
	return true
}

// ReturnRetry returns a retry that was not sent to the budget.
func (budget *budget) ReturnRetry(serviceName oleandervane.ServiceName) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.current(serviceName).retries++
}

// current returns the state of a service as of now. It is based on the time since the start, which a step of the clock
// does not change.
func (budget *budget) current(serviceName oleandervane.ServiceName) *serviceBudget {
	now := budget.timerService.Now()
	service := budget.services[serviceName]
	if service == nil {
		service = &serviceBudget{accruedAt: now, retries: (1 - accruedShare) * budget.allowance.base()}
		budget.services[serviceName] = service
	}
	service.advance(int64(now.Sub(budget.startedAt) / (budget.allowance.Window / budgetBuckets)))
	service.accrue(budget.allowance, now)
	return service
}

func (service *serviceBudget) advance(number int64) {
	if number-service.number > budgetBuckets {
		service.number = number - budgetBuckets
	}
	for service.number < number {
		service.number++
		service.buckets[service.number%budgetBuckets] = 0
	}
}

// accrue adds the accrual over the time since the last call, up to the reserve.
func (service *serviceBudget) accrue(allowance Allowance, now time.Time) {
	base, requests := allowance.base(), int64(0)
	for _, count := range service.buckets {
		requests += count
	}
	elapsed := max(0, now.Sub(service.accruedAt).Seconds()) / allowance.Window.Seconds()
	service.accruedAt = now
	reserve := (1 - accruedShare) * (allowance.Ratio*float64(requests) + base)
	service.retries = min(service.retries+accruedShare*base*elapsed, reserve)
}
