package forward

import (
	"sync"
	"time"

	"oleandervane.example"
)

const (
	// budgetWindow and retryPercent bound retries: at most 10% of the requests of the last 10 s, so that load on
	// backend servers grows by at most a tenth when all of them fail.
	budgetWindow = 10 * time.Second
	retryPercent = 10
	// budgetBuckets divide the window; the oldest leaves it as a whole.
	budgetBuckets = 10
)

// budget counts the requests and retries of each service.
type budget struct {
	timerService oleandervane.TimerService
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

func newBudget(timerService oleandervane.TimerService) *budget {
	return &budget{timerService: timerService, services: map[oleandervane.ServiceName]*serviceBudget{}}
}

func (budget *budget) noteRequest(serviceName oleandervane.ServiceName) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.current(serviceName).requests++
}

// takeRetry counts a retry if the budget has room for it.
func (budget *budget) takeRetry(serviceName oleandervane.ServiceName) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	current := budget.current(serviceName)
	total := budget.services[serviceName].total()
	if (total.retries+1)*100 > total.requests*retryPercent {
		return false
	}
	current.retries++
	return true
}

// returnRetry takes back a retry that was not sent.
func (budget *budget) returnRetry(serviceName oleandervane.ServiceName) {
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
	number := budget.timerService.Now().UnixNano() / int64(budgetWindow/budgetBuckets)
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
