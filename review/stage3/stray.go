package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// checkIn is heartbeat_s of the site.
	checkIn = 1500 * time.Millisecond
	// strayFilings are sent at intervals of strayPause from the moment of the stray entry on.
	strayFilings = 40
	strayPause   = 50 * time.Millisecond
)

// playStray has another writer replace the entry of an instance by one in which fields are missing, until the next check-in of the
// instance.
func playStray(stage *stage) (broken bool, err error) {
	routes := []route{
		{name: "r-filing", prefix: "/filing/", kind: "unsafe", service: "ledger", timeLimit: 2},
		{name: "r-archive", prefix: "/archive/", kind: "safe", service: "reports", timeLimit: 6},
	}
	if err := stage.configure(7, routes, "ledger", "reports"); err != nil {
		return false, err
	}
	var instances []*instance
	for i := range 4 {
		for _, service := range []string{"ledger", "reports"} {
			instance, err := stage.startInstance(service, fmt.Sprintf("%s-%d", service, i), 3, workFor(300*time.Millisecond))
			if err != nil {
				return false, err
			}
			instances = append(instances, instance)
		}
	}
	vm, err := stage.startVM("edge-1", usualGrace)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var checkIns sync.WaitGroup
	defer func() {
		close(stop)
		checkIns.Wait()
	}()
	other := instances[1]
	checkedIn := make(chan struct{}, 1)
	for _, instance := range instances {
		checkIns.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(checkIn):
				}
				if err := instance.register("ready"); err != nil {
					stage.record("%s did not check in: %v", instance.id, err)
				}
				if instance == other {
					stage.record("%s (%s) checks in", instance.id, instance.service)
					select {
					case checkedIn <- struct{}{}:
					default:
					}
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	select {
	case <-checkedIn:
	default:
	}
	<-checkedIn
	time.Sleep(50 * time.Millisecond)
	if stage.trouble {
		value := fmt.Sprintf(`{"service":"ledger","address":%q,"zone":%q,"concurrency_limit":3,"state":"ready"}`, other.address, stage.site.zone)
		stage.record("another writer writes servers/%s: %s", other.id, value)
		if err := stage.write("servers/"+other.id, value); err != nil {
			return false, err
		}
	}
	var clients sync.WaitGroup
	for number := range strayFilings {
		clients.Go(func() {
			id := fmt.Sprintf("filing-%d", number)
			answer := vm.send(http.MethodPost, fmt.Sprintf("/filing/%d", number), id, 4*time.Second, "amount=1")
			for _, instance := range instances {
				if instance.ran(id) > 0 {
					stage.record("client: %s: %v; run by %s (%s)", id, answer, instance.id, instance.service)
				}
			}
		})
		time.Sleep(strayPause)
	}
	clients.Wait()
	wrong := 0
	for _, instance := range instances {
		for number := range strayFilings {
			if instance.service != "ledger" {
				wrong += instance.ran(fmt.Sprintf("filing-%d", number))
			}
		}
	}
	stage.record("filings for ledger that an instance of reports ran: %d of %d", wrong, strayFilings)
	return wrong > 0, nil
}
