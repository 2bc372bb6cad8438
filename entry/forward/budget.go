package forward

import (
	"sync"
	"time"

	"oleandervane.example"
)

const (
	// defaultBudgetWindow and defaultRetryRatio bound retries: at most 10% of the requests of the last 10 s, so that load on
	// backend servers grows by at most a tenth when all of them fail.
	defaultBudgetWindow = 10 * time.Second
	defaultRetryRatio   = 0.1
	// budgetBuckets divide the window; the oldest leaves it as a whole.
	budgetBuckets = 10
)

// Allowance is how many retries a VM may make within a window.
type Allowance struct {
	// Window is 10 s if it is zero.
	Window time.Duration
	// Ratio is the share of the requests of the same time.
	Ratio float64
	// Base returns the retries beyond that, for a VM that has received few requests so far; nil is none.
	Base func() float64
}

func (allowance Allowance) permits(retries, requests int64) bool {
	limit := allowance.Ratio * float64(requests)
	if allowance.Base != nil {
		limit += allowance.Base()
	}
	return float64(retries) <= limit
}

// budget counts the requests and retries of each service.
type budget struct {
	timerService oleandervane.TimerService
	allowance    Allowance
	mutex        sync.Mutex
	services     map[oleandervane.ServiceName]*serviceBudget
}

type serviceBudget struct {
	// number is that of the newest bucket; it never goes back, also when the clock does.
	number  int64
	buckets [budgetBuckets]budgetBucket
}

type budgetBucket struct {
	requests int64
	retries  int64
}

// NewRetryBudget returns a budget with the allowance for each service.
func NewRetryBudget(timerService oleandervane.TimerService, allowance Allowance) RetryBudget {
	if allowance.Window == 0 {
		allowance.Window = defaultBudgetWindow
	}
	return &budget{timerService: timerService, allowance: allowance, services: map[oleandervane.ServiceName]*serviceBudget{}}
}

// NoteRequest counts a request.
func (budget *budget) NoteRequest(serviceName oleandervane.ServiceName) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.current(serviceName).requests++
}

// TakeRetry counts a retry if the budget has room for it.
func (budget *budget) TakeRetry(serviceName oleandervane.ServiceName) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	current := budget.current(serviceName)
	total := budget.services[serviceName].total()
	if !budget.allowance.permits(total.retries+1, total.requests) {
		return false
	}
	current.retries++
	return true
}

// ReturnRetry takes back a retry that was not sent.
func (budget *budget) ReturnRetry(serviceName oleandervane.ServiceName) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	current := budget.current(serviceName)
	current.retries = max(0, current.retries-1)
}

func (budget *budget) current(serviceName oleandervane.ServiceName) *budgetBucket {
	service := budget.services[serviceName]
	if service == nil {
		service = &serviceBudget{}
		budget.services[serviceName] = service
	}
	number := budget.timerService.Now().UnixNano() / int64(budget.allowance.Window/budgetBuckets)
	service.advance(number)
	return &service.buckets[service.number%budgetBuckets]
}

func (service *serviceBudget) advance(number int64) {
	if number-service.number > budgetBuckets {
		service.number = number - budgetBuckets
	}
	for service.number < number {
		service.number++
		service.buckets[service.number%budgetBuckets] = budgetBucket{}
	}
}

func (service *serviceBudget) total() budgetBucket {
	total := budgetBucket{}
	for _, bucket := range service.buckets {
		total.requests += bucket.requests
		total.retries += bucket.retries
	}
	return total
}
