package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The dose of answer_lost is that of the site's days: a share of 0.6 of the instances loses 0.4 of its answers for 4 s, by a reset.
	losers      = 7
	lostShare   = 0.4
	lossFor     = 4 * time.Second
	filingPause = 50 * time.Millisecond
)

// playSpelling posts filings whose path has an encoded slash and a vertical bar while instances lose answers.
func playSpelling(stage *stage) (broken bool, err error) {
	routes := []route{
		{name: "r-file", prefix: "/file/", kind: "unsafe", service: "ledger", timeLimit: 2},
		{name: "r-year", prefix: "/file/2026/", kind: "safe", service: "ledger", timeLimit: 1.5},
	}
	if err := stage.configure(7, routes, "ledger"); err != nil {
		return false, err
	}
	var losing atomic.Bool
	var instances []*instance
	var mutex sync.Mutex
	targets := map[string]string{}
	for i := range 12 {
		instance, err := stage.startInstance("ledger", fmt.Sprintf("l-%d", i), 3, func(instance *instance, conn net.Conn, request arrived) bool {
			mutex.Lock()
			targets[request.id] = request.target
			mutex.Unlock()
			time.Sleep(300 * time.Millisecond)
			if i < losers && losing.Load() && rand.Float64() < lostShare {
				if tcpConn, isTCP := conn.(*net.TCPConn); isTCP {
					_ = tcpConn.SetLinger(0)
				}
				return false
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
	losing.Store(stage.trouble)
	time.AfterFunc(lossFor, func() { losing.Store(false) })
	stage.record("7 of 12 instances lose 0.4 of their answers: %t", stage.trouble)
	var clients sync.WaitGroup
	twice := map[string]int{}
	sent := map[string]int{}
	for number, beganAt := 0, time.Now(); time.Since(beganAt) < lossFor; number++ {
		for _, name := range []string{"2026%2F7-part", "2026%2F7|part"} {
			sent[name]++
			clients.Go(func() {
				id := fmt.Sprintf("%s-%d", name, number)
				answer := vm.send(http.MethodPost, "/file/"+name, id, 4*time.Second, "amount=1")
				runs := 0
				for _, instance := range instances {
					runs += instance.ran(id)
				}
				mutex.Lock()
				defer mutex.Unlock()
				if runs > 1 {
					twice[name]++
					stage.record("client: POST /file/%s with id %s: %v; %d runs, as %s", name, id, answer, runs, targets[id])
				}
			})
		}
		time.Sleep(filingPause)
	}
	clients.Wait()
	total := 0
	for name, count := range sent {
		stage.record("filings sent to /file/%s: %d; run more than once: %d", name, count, twice[name])
		total += twice[name]
	}
	return total > 0, nil
}
