package placement

import (
	"sync"
	"time"

	"oleandervane.example"
)

// workWeight is the weight of one answer in the usual work of requests.
const workWeight = 0.05

// Work says how long requests usually take once they run, without the time that they wait at the server; zero before the
// first answer. It is immutable.
type Work struct {
	Route   time.Duration
	Service time.Duration
}

// others is how many times longer the requests of the service take than those of the route.
func (work Work) others() float64 {
	if work.Route == 0 || work.Service == 0 {
		return 1
	}
	return float64(work.Service) / float64(work.Route)
}

// of returns the part of the time to an answer for which the request itself ran, if waiting others were before it.
func (work Work) of(took time.Duration, waiting float64) time.Duration {
	return time.Duration(float64(took) / (1 + waiting*work.others()))
}

// workTimes keeps the usual work of routes and services.
type workTimes struct {
	mutex    sync.Mutex
	routes   map[string]time.Duration
	services map[oleandervane.ServiceName]time.Duration
}

func (workTimes *workTimes) get(route string, serviceName oleandervane.ServiceName) Work {
	workTimes.mutex.Lock()
	defer workTimes.mutex.Unlock()
	return Work{Route: workTimes.routes[route], Service: workTimes.services[serviceName]}
}

// note takes over the time to an answer, or to the end of the time limit.
func (workTimes *workTimes) note(route string, serviceName oleandervane.ServiceName, took time.Duration, waiting float64) {
	workTimes.mutex.Lock()
	defer workTimes.mutex.Unlock()
	work := Work{Route: workTimes.routes[route], Service: workTimes.services[serviceName]}
	ran := work.of(took, waiting)
	workTimes.routes[route] = smoothed(work.Route, ran)
	workTimes.services[serviceName] = smoothed(work.Service, ran)
}

// smoothed moves a usual time a little towards a new one.
func smoothed(usual, latest time.Duration) time.Duration {
	if usual == 0 {
		return latest
	}
	return usual + time.Duration(float64(latest-usual)*workWeight)
}
