// Command heads shows that a request whose long head arrives in two pieces may never be read to its end.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"oleandervane.example/review/stage"
)

const (
	// cookieBytes makes a head of less than half of max_header_bytes of the configuration, 16384.
	cookieBytes = 6000
	// timeout is the timeout_s of the route.
	timeout = 1500 * time.Millisecond
	// pause is the time by which the link delays the second piece.
	pause = 60 * time.Millisecond
	// first and last bound the lengths of the first piece that are tried, each of them once.
	first, last = 4000, 4400
)

func main() {
	stage.Main(run, map[string]string{"kigali-a": "kigali"})
}

func run(installation *stage.Stage, trouble bool) (int, error) {
	err := installation.Configure(1, 3, 2.6, []string{"ledger"},
		stage.Route{Name: "r-look", Prefix: "/look/", Kind: "safe", Service: "ledger", Timeout: timeout.Seconds(), Attempts: 2})
	if err != nil {
		return 0, err
	}
	for i := range 4 {
		server := &stage.Server{ID: fmt.Sprintf("i-%d", i), Service: "ledger", Zone: "kigali-a", Slots: 9, Work: func(*http.Request) time.Duration { return 20 * time.Millisecond }}
		if err := installation.AddServer(server); err != nil {
			return 0, err
		}
	}
	vm, err := installation.AddVM("edge-kigali-a-1", "kigali-a", true)
	if err != nil {
		return 0, err
	}
	if err := installation.WaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	var wait sync.WaitGroup
	var mutex sync.Mutex
	unanswered, late := 0, 0
	for length := first; length < last; length++ {
		wait.Go(func() {
			took, status, err := send(vm.Front, length, trouble)
			mutex.Lock()
			defer mutex.Unlock()
			if took > timeout || err != nil {
				installation.Log("first piece of %d bytes: status %d, error %v, after %.2f s", length, status, err, took.Seconds())
				unanswered++
			}
			if took > timeout+500*time.Millisecond {
				late++
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	wait.Wait()
	return installation.Verdict(2*late > unanswered, "%d of %d requests were unanswered at their route's timeout_s, %d of them half a second later", unanswered, last-first, late), nil
}

// send sends one request, in two pieces if split is set, and returns how long the answer took from the last byte on.
func send(address string, length int, split bool) (took time.Duration, status int, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	head := fmt.Sprintf("GET /look/7 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: h-%d\r\nX-Timeout-Ms: 12000\r\nCookie: X-Affinity-Key=17; session=%s\r\n\r\n", stage.Host, length, strings.Repeat("s", cookieBytes))
	pieces := []string{head}
	if split {
		pieces = []string{head[:length], head[length:]}
	}
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			return 0, 0, err
		}
	}
	sent := time.Now()
	_ = conn.SetReadDeadline(sent.Add(12 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
	}
	return time.Since(sent), status, err
}
