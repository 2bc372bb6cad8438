package admission

import (
	"sync"
	"time"

	"oleandervane.example"
)

// service contains the limit, the number of requests in flight and the queue of one service.
type service struct {
	mutex      sync.Mutex
	queueLimit int
	limit      int
	inFlight   int
	queued     int
	// overloaded is set when a request finds the queue full, until the queue is empty.
	overloaded bool
	kinds      []*kindQueue
	// serviceTime is the mean over all kinds, from which the drain rate of the queue follows.
	serviceTime movingMean
	counts      Counts
}

// submit starts the request, queues it, or sheds it. A request that is neither queued nor shed may start immediately.
func (service *service) submit(now, deadline time.Time, kind oleandervane.Kind) (queued *waiter, err error) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	kindQueue := service.kind(kind)
	if service.queued == 0 && service.inFlight < service.limit {
		service.inFlight++
		service.counts.Started++
		return nil, nil
	}
	if err := service.makeRoom(now, deadline, kindQueue); err != nil {
		service.counts.Shed++
		return nil, err
	}
	queued = &waiter{deadline: deadline, result: make(chan error, 1)}
	kindQueue.push(queued)
	service.queued++
	return queued, nil
}

// makeRoom returns nil when there is room for the request in the queue, or the reason why the request must be shed. It
// sheds a queued request of a smaller weight if that makes room.
func (service *service) makeRoom(now, deadline time.Time, kindQueue *kindQueue) error {
	if service.limit <= 0 {
		return ErrNoLimit
	}
	if now.Add(kindQueue.serviceTime.mean).After(deadline) {
		return ErrTooLate
	}
	if service.queued < service.queueCapacity() {
		return nil
	}
	service.overloaded = true
	lightest := service.lightest()
	if lightest == nil || lightest.weight >= kindQueue.weight {
		return ErrQueueFull
	}
	service.shed(lightest.last, ErrOutweighed)
	return nil
}

// queueCapacity returns how many requests may be queued. All of them must start within half of the shortest deadline of
// the kinds, and early enough to leave most requests the time to run. A request that starts can then be answered in
// time.
func (service *service) queueCapacity() int {
	mean := service.serviceTime.mean
	if mean <= 0 {
		return service.queueLimit
	}
	shortest := time.Duration(0)
	for _, kindQueue := range service.kinds {
		if kindQueue.deadline > 0 && (shortest == 0 || kindQueue.deadline < shortest) {
			shortest = kindQueue.deadline
		}
	}
	if shortest == 0 {
		return service.queueLimit
	}
	wait := min(shortest/2, shortest-mean-tailDeviations*service.serviceTime.deviation)
	capacity := int(wait * time.Duration(service.limit) / mean)
	return max(1, min(service.queueLimit, capacity))
}

// tailDeviations is the assumed upper bound of a service time, in mean absolute deviations above the mean. 96% of
// exponentially distributed service times are below it.
const tailDeviations = 3

// lightest returns the non-empty queue with the smallest weight.
func (service *service) lightest() *kindQueue {
	var lightest *kindQueue
	for _, kindQueue := range service.kinds {
		if kindQueue.count > 0 && (lightest == nil || kindQueue.weight < lightest.weight) {
			lightest = kindQueue
		}
	}
	return lightest
}

// next returns the queue whose first request should start next. Normally this is the request with the earliest
// deadline, so that below capacity no kind misses its deadlines. Under overload it is the request with the largest
// weight. Otherwise, kinds with short deadlines would use the capacity, and the heavier kinds would fill the queue.
func (service *service) next() *kindQueue {
	var next *kindQueue
	for _, kindQueue := range service.kinds {
		if kindQueue.count > 0 && (next == nil || service.startsBefore(kindQueue, next)) {
			next = kindQueue
		}
	}
	return next
}

func (service *service) startsBefore(left, right *kindQueue) bool {
	if service.overloaded && left.weight != right.weight {
		return left.weight > right.weight
	}
	return left.first.deadline.Before(right.first.deadline)
}

func (service *service) shed(waiter *waiter, reason error) {
	waiter.kind.remove(waiter)
	service.queued--
	service.counts.Shed++
	waiter.result <- reason
}

// dispatch starts queued requests up to the limit and sheds those that cannot be answered in time.
func (service *service) dispatch(now time.Time) {
	for service.queued > 0 && service.inFlight < service.limit {
		kindQueue := service.next()
		waiter := kindQueue.first
		if now.Add(kindQueue.serviceTime.mean).After(waiter.deadline) {
			service.shed(waiter, ErrTooLate)
			continue
		}
		kindQueue.remove(waiter)
		service.queued--
		service.inFlight++
		service.counts.Started++
		waiter.result <- nil
	}
	service.overloaded = service.overloaded && service.queued > 0
}

// sweep sheds all queued requests that can no longer be answered in time.
func (service *service) sweep(now time.Time) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	for _, kindQueue := range service.kinds {
		latest := now.Add(kindQueue.serviceTime.mean)
		for waiter := kindQueue.first; waiter != nil; {
			next := waiter.next
			if latest.After(waiter.deadline) {
				service.shed(waiter, ErrTooLate)
			}
			waiter = next
		}
	}
}

// finish ends a started request, records its service time, and starts queued requests in its place.
func (service *service) finish(now time.Time, kindName oleandervane.KindName, started time.Time) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.inFlight--
	sample := max(0, now.Sub(started))
	service.serviceTime.add(sample)
	for _, kindQueue := range service.kinds {
		if kindQueue.name == kindName {
			kindQueue.serviceTime.add(sample)
		}
	}
	service.dispatch(now)
}

// withdraw removes a queued request, unless it has already been started or shed.
func (service *service) withdraw(waiter *waiter) (withdrawn bool) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if waiter.kind == nil {
		return false
	}
	waiter.kind.remove(waiter)
	service.queued--
	service.counts.Withdrawn++
	return true
}

func (service *service) setLimit(now time.Time, limit int) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.limit = limit
	service.dispatch(now)
}

// kind returns the queue of a kind, with its weight and deadline updated.
func (service *service) kind(kind oleandervane.Kind) *kindQueue {
	for _, kindQueue := range service.kinds {
		if kindQueue.name == kind.Name {
			kindQueue.weight = kind.Weight
			kindQueue.deadline = kind.Deadline
			return kindQueue
		}
	}
	kindQueue := &kindQueue{name: kind.Name, weight: kind.Weight, deadline: kind.Deadline}
	service.kinds = append(service.kinds, kindQueue)
	return kindQueue
}
