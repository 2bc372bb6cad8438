package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// The times are those of archive-query of igihe-vane: a route's timeout of 6 s, 12 s for the client, work of 2.56 s on average and
	// 7.68 s at most.
	pipelineConnections = 8
	longWork            = 4500 * time.Millisecond
	shortWork           = 1500 * time.Millisecond
	clientLimit         = 12 * time.Second
	routeTimeout        = 6
)

// playPipeline sends two safe requests on each of some connections, the second without waiting for the answer to the first, and stops
// the VM as planned while both are at work.
func playPipeline(stage *stage) (broken bool, err error) {
	routes := []route{
		{name: "r-archive", prefix: "/archive/", kind: "safe", service: "reports", timeLimit: routeTimeout},
	}
	if err := stage.configure(7, routes, "reports"); err != nil {
		return false, err
	}
	var instances []*instance
	for i := range 6 {
		instance, err := stage.startInstance("reports", fmt.Sprintf("r-%d", i), 3, func(instance *instance, conn net.Conn, request arrived) bool {
			if strings.HasPrefix(request.id, "first") {
				time.Sleep(longWork)
			} else {
				time.Sleep(shortWork)
			}
			return instance.answer(conn, request)
		})
		if err != nil {
			return false, err
		}
		instances = append(instances, instance)
	}
	vm, err := stage.startVM("edge-1", usualGrace)
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	ranBefore := func(id string) bool {
		for _, instance := range instances {
			if instance.ran(id) > 0 {
				return true
			}
		}
		return false
	}
	var clients sync.WaitGroup
	var mutex sync.Mutex
	lost, unanswered := 0, 0
	for number := range pipelineConnections {
		clients.Go(func() {
			first, second := fmt.Sprintf("first-%d", number), fmt.Sprintf("second-%d", number)
			conn, err := net.DialTimeout("tcp", vm.caller.String(), time.Second)
			if err != nil {
				stage.record("client %d: %v", number, err)
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(clientLimit))
			requests := head(http.MethodGet, "/archive/"+first, first, clientLimit, 0) + head(http.MethodGet, "/archive/"+second, second, clientLimit, 0)
			if _, err := io.WriteString(conn, requests); err != nil {
				stage.record("client %d: %v", number, err)
				return
			}
			stage.record("client %d: sent %s and %s", number, first, second)
			reader := bufio.NewReader(conn)
			for _, id := range []string{first, second} {
				answer := read(reader)
				stage.record("client %d: %s: %v; run by an instance: %t", number, id, answer, ranBefore(id))
				if answer.err == nil {
					continue
				}
				mutex.Lock()
				unanswered++
				if ranBefore(id) {
					lost++
				}
				mutex.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	if stage.trouble {
		vm.signal(syscall.SIGTERM)
	}
	clients.Wait()
	stage.record("requests without an answer: %d, of which an instance had run: %d", unanswered, lost)
	return lost > 0, nil
}
