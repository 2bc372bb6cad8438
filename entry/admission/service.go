package admission

import (
	"sync"
	"time"

	"oleandervane.example"
)

// service holds the limit, the requests in flight and the queue of one service.
type service struct {
	mutex      sync.Mutex
	queueLimit int
	limit      int
	inFlight   int
	queued     int
	// overloaded is set from when a request finds the queue full until the queue is empty.
	overloaded bool
	kinds      []*kindQueue
	// serviceTime is over all kinds; it tells how fast the queue drains.
	serviceTime movingMean
	counts      Counts
}

// offer starts the request, queues it, or sheds it. A request that is neither queued nor shed may start at once.
func (service *service) offer(now, deadline time.Time, kind oleandervane.Kind) (queued *waiter, err error) {
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

// makeRoom returns the reason for which a request must be shed, or nil when there is room for it in the queue. It
// drops a queued request of a smaller weight when that makes the room.
func (service *service) makeRoom(now, deadline time.Time, kindQueue *kindQueue) error {
	if service.limit <= 0 {
		return ErrNoLimit
	}
	if now.Add(kindQueue.serviceTime.mean).After(deadline) {
		return ErrTooLate
	}
	if service.queued < service.queueRoom() {
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

// queueRoom returns how many requests may wait: as many as start within half of the shortest deadline of the kinds,
// less the time that most requests take to run. Any request that starts can then be answered in time.
func (service *service) queueRoom() int {
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
	room := int(wait * time.Duration(service.limit) / mean)
	return max(1, min(service.queueLimit, room))
}

// tailDeviations is how many mean absolute deviations above its mean a service time is assumed to lie at most: for
// exponential service times 96% do.
const tailDeviations = 3

// lightest returns the queue of the smallest weight that has a request.
func (service *service) lightest() *kindQueue {
	var lightest *kindQueue
	for _, kindQueue := range service.kinds {
		if kindQueue.count > 0 && (lightest == nil || kindQueue.weight < lightest.weight) {
			lightest = kindQueue
		}
	}
	return lightest
}

// next returns the queue whose first request should start next: that of the earliest deadline, so that no kind waits
// in vain below capacity, but that of the largest weight while there is more work than capacity. Kinds with short
// deadlines would otherwise take the capacity from heavier kinds that then fill the queue.
func (service *service) next() *kindQueue {
	var next *kindQueue
	for _, kindQueue := range service.kinds {
		if kindQueue.count > 0 && (next == nil || service.before(kindQueue, next)) {
			next = kindQueue
		}
	}
	return next
}

func (service *service) before(left, right *kindQueue) bool {
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

// dispatch starts queued requests while there is room and drops those that cannot be answered in time.
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

// sweep drops all queued requests that cannot be answered in time any more.
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

// finish gives the room of a started request back.
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

// withdraw removes a queued request, unless it was decided before.
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

// kind returns the queue of a kind and brings its weight and deadline up to date.
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
