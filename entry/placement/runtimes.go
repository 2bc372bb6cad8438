package placement

import (
	"sync"
	"time"

	"oleandervane.example"
)

// runTimeWeight is the weight of one attempt in the average run time of requests.
const runTimeWeight = 0.05

// RunTimes are the average times that requests take once they run, without the time in the server's queue; zero before
// the first response. They are immutable.
type RunTimes struct {
	Route   time.Duration
	Service time.Duration
}

// serviceRatio is how many times longer the requests of the service run than those of the route.
func (runTimes RunTimes) serviceRatio() float64 {
	if runTimes.Route == 0 || runTimes.Service == 0 {
		return 1
	}
	return float64(runTimes.Service) / float64(runTimes.Route)
}

// ownRunTime returns the part of the response time in which the request itself ran, given the number of requests that
// were queued before it.
func (runTimes RunTimes) ownRunTime(took time.Duration, queued float64) time.Duration {
	return time.Duration(float64(took) / (1 + queued*runTimes.serviceRatio()))
}

// runTimeTracker tracks the average run times of routes and services.
type runTimeTracker struct {
	mutex    sync.Mutex
	routes   map[string]time.Duration
	services map[oleandervane.ServiceName]time.Duration
}

func (runTimeTracker *runTimeTracker) get(route string, serviceName oleandervane.ServiceName) RunTimes {
	runTimeTracker.mutex.Lock()
	defer runTimeTracker.mutex.Unlock()
	return RunTimes{Route: runTimeTracker.routes[route], Service: runTimeTracker.services[serviceName]}
}

// record records the time until a response, or until the time limit passed.
func (runTimeTracker *runTimeTracker) record(route string, serviceName oleandervane.ServiceName, took time.Duration, queued float64) {
	runTimeTracker.mutex.Lock()
	defer runTimeTracker.mutex.Unlock()
	runTimes := RunTimes{Route: runTimeTracker.routes[route], Service: runTimeTracker.services[serviceName]}
	ran := runTimes.ownRunTime(took, queued)
	runTimeTracker.routes[route] = smoothed(runTimes.Route, ran)
	runTimeTracker.services[serviceName] = smoothed(runTimes.Service, ran)
}

// smoothed moves an average slightly towards a new value.
func smoothed(average, latest time.Duration) time.Duration {
	if average == 0 {
		return latest
	}
	return average + time.Duration(float64(latest-average)*runTimeWeight)
}
