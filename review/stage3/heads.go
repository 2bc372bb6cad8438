package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// The load is below the 149 requests a second for which a machine of 0.224 cores counts itself able.
	historyPerSecond = 110
	filingsPerSecond = 22
	// sickInstances of the 12 are a share of 0.6.
	sickInstances  = 7
	headsDuration  = 14 * time.Second
	headTroubleFor = 5 * time.Second
	headBytes      = 60 << 10
	// filingTimeout is the timeout of the route, in seconds.
	filingTimeout = 2
	// allowedLost is how many requests of kept connections the rule allows a machine to lose.
	allowedLost       = 3
	headTricklePeriod = 200 * time.Millisecond
)

// shortFields returns the beginning of a head of many short fields with different names.
func shortFields() string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var text strings.Builder
	text.WriteString("HTTP/1.1 200 OK\r\n")
	for number := 0; text.Len() < headBytes; number++ {
		fmt.Fprintf(&text, "%c%c%c:\n", letters[number%26], letters[number/26%26], letters[number/676%26])
	}
	return text.String()
}

// sendEndlessHead sends a head that does not end until the caller closes.
func sendEndlessHead(conn net.Conn, beginning string) {
	if _, err := io.WriteString(conn, beginning); err != nil {
		return
	}
	for number := 0; ; number++ {
		time.Sleep(headTricklePeriod)
		if _, err := fmt.Fprintf(conn, "z%d:\n", number); err != nil {
			return
		}
	}
}

// playHeads has some instances of a service send heads without end for a while.
func playHeads(stage *stage) (broken bool, err error) {
	routes := []route{
		{name: "r-history", prefix: "/history/", kind: "safe", service: "archivo", timeLimit: 4},
		{name: "r-filing", prefix: "/filing/", kind: "unsafe", service: "pronostico", timeLimit: filingTimeout},
	}
	if err := stage.configure(7, routes, "archivo", "pronostico"); err != nil {
		return false, err
	}
	var sick atomic.Bool
	beginning := shortFields()
	for i := range 12 {
		work := workFor(800 * time.Millisecond)
		if i < sickInstances {
			healthy := work
			work = func(instance *instance, conn net.Conn, request arrived) bool {
				if !sick.Load() {
					return healthy(instance, conn, request)
				}
				sendEndlessHead(conn, beginning)
				return false
			}
		}
		if _, err := stage.startInstance("archivo", fmt.Sprintf("a-%d", i), 9, work); err != nil {
			return false, err
		}
	}
	var filers []*instance
	for i := range 18 {
		instance, err := stage.startInstance("pronostico", fmt.Sprintf("p-%d", i), 9, workFor(840*time.Millisecond))
		if err != nil {
			return false, err
		}
		filers = append(filers, instance)
	}
	vm, err := stage.startVM("edge-1", usualGrace)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	beganAt := time.Now()
	var killed atomic.Bool
	peak := 0.0
	watched := make(chan struct{})
	stop := make(chan struct{})
	go func() {
		defer close(watched)
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			memory := vm.anonymousMegabytes()
			peak = max(peak, memory)
			if memory > memoryMegabytes {
				stage.record("%s: the process takes %.0f MB without the pages of files, more than memory_mb = %d; the platform kills it", vm.name, memory, memoryMegabytes)
				killed.Store(true)
				vm.signal(syscall.SIGKILL)
				return
			}
		}
	}()
	var mutex sync.Mutex
	counts := map[string]int{}
	lost := 0
	var clients sync.WaitGroup
	kept := make(chan *keptConn, 256)
	file := func(id string) {
		clients.Go(func() {
			var conn *keptConn
			select {
			case conn = <-kept:
			default:
				conn = &keptConn{vm: vm}
			}
			sentAt, wasKept := time.Now(), conn.answered
			answer := conn.send(http.MethodPost, "/filing/"+id, id, 4*time.Second, "amount=1")
			if answer.err == nil {
				kept <- conn
			}
			ran := false
			for _, instance := range filers {
				ran = ran || instance.ran(id) > 0
			}
			mutex.Lock()
			defer mutex.Unlock()
			counts["filing "+answer.String()[:min(len(answer.String()), 40)]]++
			if wasKept && ran && answer.err != nil && time.Since(sentAt) < filingTimeout*time.Second {
				lost++
				stage.record("%s, from a kept connection, was run by an instance and has %v", id, answer)
			}
		})
	}
	client := func(kind, method, target, id string, limit time.Duration, body string) {
		clients.Go(func() {
			answer := vm.send(method, target, id, limit, body)
			mutex.Lock()
			defer mutex.Unlock()
			counts[kind+" "+answer.String()[:min(len(answer.String()), 40)]]++
		})
	}
	ticker := time.NewTicker(time.Second / historyPerSecond)
	defer ticker.Stop()
	for number := 0; time.Since(beganAt) < headsDuration; number++ {
		<-ticker.C
		since := time.Since(beganAt)
		if now := stage.trouble && since > 2*time.Second && since < 2*time.Second+headTroubleFor; now != sick.Load() {
			stage.record("7 of 12 instances of archivo send heads without end: %t; the VM takes %.0f MB", now, vm.anonymousMegabytes())
			sick.Store(now)
		}
		if killed.Load() {
			break
		}
		client("history-query", http.MethodGet, fmt.Sprintf("/history/%d", number), fmt.Sprintf("query-%d", number), 12*time.Second, "")
		if number%(historyPerSecond/filingsPerSecond) == 0 {
			file(fmt.Sprintf("filing-%d", number))
		}
	}
	clients.Wait()
	close(stop)
	<-watched
	for kind, count := range counts {
		stage.record("%s: %d", kind, count)
	}
	stage.record("the VM took %.0f MB at most; killed for its memory: %t; filings from kept connections that sound instances ran and that were not answered: %d (3 are allowed)", peak, killed.Load(), lost)
	return lost > allowedLost, nil
}
