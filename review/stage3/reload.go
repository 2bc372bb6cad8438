package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// raisedGrace is grace_s of the large installation, in seconds.
	raisedGrace = 10
	// reloadWork is shorter than the route's timeout of 6 s, and ends well before the last sixth of raisedGrace.
	reloadWork     = 5900 * time.Millisecond
	reloadRequests = 8
	// routeTimeout, in seconds, and clientLimit are those of archive-query of the site.
	routeTimeout = 6
	clientLimit  = 12 * time.Second
)

// playReload raises grace_s in the settings file and then stops the VM as planned. Without trouble, the file has that value from the
// start.
func playReload(stage *stage) (broken bool, err error) {
	routes := []route{
		{name: "r-archive", prefix: "/archive/", kind: "safe", service: "reports", timeLimit: routeTimeout},
		{name: "r-filing", prefix: "/filing/", kind: "unsafe", service: "reports", timeLimit: routeTimeout},
	}
	if err := stage.configure(7, routes, "reports"); err != nil {
		return false, err
	}
	var instances []*instance
	for i := range 12 {
		instance, err := stage.startInstance("reports", fmt.Sprintf("r-%d", i), 3, func(instance *instance, conn net.Conn, request arrived) bool {
			time.Sleep(reloadWork)
			stage.record("%s answers %s", instance.id, request.id)
			return instance.answer(conn, request)
		})
		if err != nil {
			return false, err
		}
		instances = append(instances, instance)
	}
	grace := raisedGrace
	if stage.trouble {
		grace = usualGrace
	}
	var vms []*vm
	for i := range 4 {
		vm, err := stage.startVM(fmt.Sprintf("edge-%d", i+1), grace)
		if err != nil {
			return false, err
		}
		vms = append(vms, vm)
	}
	vm := vms[0]
	time.Sleep(5 * time.Second)
	if stage.trouble {
		if err := vm.writeSettings(raisedGrace); err != nil {
			return false, err
		}
		stage.record("the settings file has grace_s = %d in place of %d", raisedGrace, usualGrace)
		vm.signal(syscall.SIGHUP)
	}
	time.Sleep(10 * time.Second)
	var clients sync.WaitGroup
	var mutex sync.Mutex
	lost := 0
	var stoppedAt time.Time
	for number := range reloadRequests {
		clients.Go(func() {
			method, kind, body := http.MethodGet, "archive", ""
			if number%2 == 1 {
				method, kind, body = http.MethodPost, "filing", "amount=1"
			}
			id := fmt.Sprintf("%s-%d", kind, number)
			sentAt := time.Now()
			answer := vm.send(method, fmt.Sprintf("/%s/%d", kind, number), id, clientLimit, body)
			ran := false
			for _, instance := range instances {
				ran = ran || instance.ran(id) > 0
			}
			mutex.Lock()
			defer mutex.Unlock()
			stage.record("client: %s: %v, %.2f s after SIGTERM; run by an instance: %t", id, answer, time.Since(stoppedAt).Seconds(), ran)
			inTime := time.Since(sentAt) < routeTimeout*time.Second && time.Since(stoppedAt) < (raisedGrace+1)*time.Second
			if ran && answer.err != nil && inTime {
				lost++
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	mutex.Lock()
	stoppedAt = time.Now()
	mutex.Unlock()
	vm.signal(syscall.SIGTERM)
	clients.Wait()
	stage.record("requests that an instance had run and whose connection ended without an answer, before the timeout of the route: %d of %d", lost, reloadRequests)
	return lost > 0, nil
}
