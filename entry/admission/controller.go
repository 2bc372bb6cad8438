package admission

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"oleandervane.example"
)

const (
	// DefaultQueueLimit is the largest number of queued requests of a service, whatever their deadlines.
	DefaultQueueLimit = 256
	// sweepPeriod is how often requests that can no longer be answered in time are shed from the queues.
	sweepPeriod = 20 * time.Millisecond
)

// Settings are the dependencies and limits of a Controller.
type Settings struct {
	TimerService oleandervane.TimerService
	// DefaultLimit is the concurrency limit of a service for which SetLimit was not called.
	DefaultLimit int
	// QueueLimit is the largest number of queued requests of a service; zero means DefaultQueueLimit.
	QueueLimit int
}

// Counts has the numbers of requests of a service by what happened to them, and the present limit.
type Counts struct {
	Started   uint64
	Shed      uint64
	Withdrawn uint64
	InFlight  int
	Queued    int
	Limit     int
}

// Controller is an oleandervane.AdmissionController with one queue for each service. It is safe for concurrent use.
type Controller struct {
	settings Settings
	// services is replaced by a changed copy, with mutex locked, when a service is added.
	services atomic.Pointer[map[oleandervane.ServiceName]*service]
	mutex    sync.Mutex
	cancel   func()
}

// New returns a controller. Close stops its timer.
func New(settings Settings) *Controller {
	if settings.QueueLimit == 0 {
		settings.QueueLimit = DefaultQueueLimit
	}
	controller := &Controller{settings: settings}
	controller.services.Store(&map[oleandervane.ServiceName]*service{})
	controller.cancel = settings.TimerService.Every(sweepPeriod, controller.sweep)
	return controller
}

// Close stops the controller's timer. Queued requests still start when running requests end.
func (controller *Controller) Close() {
	controller.cancel()
}

// SetLimit sets how many requests of the service may run at the same time through this VM, which is the number of slots
// that the VM may use.
func (controller *Controller) SetLimit(serviceName oleandervane.ServiceName, limit int) {
	controller.service(serviceName).setLimit(controller.settings.TimerService.Now(), limit)
}

// Counts returns the counts of the requests of a service.
func (controller *Controller) Counts(serviceName oleandervane.ServiceName) Counts {
	service := controller.service(serviceName)
	service.mutex.Lock()
	defer service.mutex.Unlock()
	counts := service.counts
	counts.InFlight, counts.Queued, counts.Limit = service.inFlight, service.queued, service.limit
	return counts
}

// Admit waits until the request may start and returns the function to call when the request ends. It fails with an
// error that wraps oleandervane.ErrShed or with the error of ctx, and the request must then not run. The deadline is
// the kind's deadline counted from now, or that of ctx if it is earlier.
func (controller *Controller) Admit(ctx context.Context, serviceName oleandervane.ServiceName, kind oleandervane.Kind) (release func(), err error) {
	service := controller.service(serviceName)
	now := controller.settings.TimerService.Now()
	waiter, err := service.submit(now, deadline(ctx, now, kind), kind)
	if err != nil {
		return nil, err
	}
	if waiter == nil {
		return controller.release(service, kind.Name, now), nil
	}
	select {
	case err = <-waiter.result:
	case <-ctx.Done():
		if service.withdraw(waiter) {
			return nil, ctx.Err()
		}
		err = <-waiter.result
	}
	if err != nil {
		return nil, err
	}
	return controller.release(service, kind.Name, controller.settings.TimerService.Now()), nil
}

// noDeadline is the time to the deadline of a request without one.
const noDeadline = 24 * 365 * time.Hour

func deadline(ctx context.Context, now time.Time, kind oleandervane.Kind) time.Time {
	result := now.Add(noDeadline)
	if kind.Deadline > 0 {
		result = now.Add(kind.Deadline)
	}
	if contextDeadline, found := ctx.Deadline(); found && contextDeadline.Before(result) {
		result = contextDeadline
	}
	return result
}

func (controller *Controller) release(service *service, kindName oleandervane.KindName, started time.Time) func() {
	return sync.OnceFunc(func() {
		service.finish(controller.settings.TimerService.Now(), kindName, started)
	})
}

func (controller *Controller) service(serviceName oleandervane.ServiceName) *service {
	if known, found := (*controller.services.Load())[serviceName]; found {
		return known
	}
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	services := *controller.services.Load()
	if known, found := services[serviceName]; found {
		return known
	}
	created := &service{queueLimit: controller.settings.QueueLimit, limit: controller.settings.DefaultLimit}
	services = maps.Clone(services)
	services[serviceName] = created
	controller.services.Store(&services)
	return created
}

func (controller *Controller) sweep(now time.Time) {
	for _, service := range *controller.services.Load() {
		service.sweep(now)
	}
}
