// Command routes shows that filings whose object has an encoded slash in its name may run twice when answers of servers are lost.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oleandervane.example/review/stage"
)

const (
	callers = 20
	calm    = 4 * time.Second
	// lossShare of the servers lose the answers of lossRate of the requests that they ran, for lossTime.
	lossShare = 0.5
	lossRate  = 0.3
	lossTime  = 6 * time.Second
)

func main() {
	stage.Main(run, map[string]string{"kigali-a": "kigali"})
}

func run(installation *stage.Stage, trouble bool) (int, error) {
	err := installation.Configure(1, 3, 2.6, []string{"ledger"},
		stage.Route{Name: "r-file", Prefix: "/file/", Kind: "unsafe", Service: "ledger", Timeout: 2, Attempts: 2},
		stage.Route{Name: "r-year", Prefix: "/file/2026/", Kind: "safe", Service: "ledger", Timeout: 1.5, Attempts: 2})
	if err != nil {
		return 0, err
	}
	var losing atomic.Bool
	const count = 8
	for i := range count {
		server := &stage.Server{
			ID: fmt.Sprintf("i-%d", i), Service: "ledger", Zone: "kigali-a", Slots: 9,
			Work: func(*http.Request) time.Duration { return 100 * time.Millisecond },
		}
		server.Lose = func() bool { return losing.Load() && float64(i) < lossShare*count && rand.Float64() < lossRate }
		if err := installation.AddServer(server); err != nil {
			return 0, err
		}
	}
	for i := range 2 {
		if _, err := installation.AddVM(fmt.Sprintf("edge-kigali-a-%d", i+1), "kigali-a", true); err != nil {
			return 0, err
		}
	}
	if err := installation.WaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	var wait sync.WaitGroup
	var stop atomic.Bool
	var results stage.Results
	for number := range callers {
		client := installation.NewClient(fmt.Sprintf("c%d", number), "kigali-a", installation.VMs()...)
		// Half of the callers file objects without a slash in their names.
		path := "/file/2026%2F7"
		if number%2 == 1 {
			path = "/file/2026-7"
		}
		stage.Loop(&wait, &stop, func() {
			results.Add(client.Send(http.MethodPost, path, 300, 4*time.Second, 0))
			time.Sleep(50 * time.Millisecond)
		})
	}
	time.Sleep(calm)
	if trouble {
		installation.Log("answers are lost")
		losing.Store(true)
	}
	time.Sleep(lossTime)
	losing.Store(false)
	installation.Log("answers are no longer lost")
	time.Sleep(calm)
	stop.Store(true)
	wait.Wait()
	return judge(installation, results.List()), nil
}

// judge counts the filings that ran more than once. All requests are filings: each is sent once by its caller, with an id of its own.
func judge(installation *stage.Stage, results []stage.Result) int {
	runs := map[string][]string{}
	for _, server := range installation.Servers() {
		for _, arrival := range server.Arrivals() {
			if arrival.Ran {
				runs[arrival.ID] = append(runs[arrival.ID], fmt.Sprintf("%s at %.3f", server.ID, installation.Since(arrival.At)))
			}
		}
	}
	twice, plain := 0, 0
	for _, result := range results {
		if len(runs[result.ID]) < 2 {
			continue
		}
		installation.Log("ran more than once: %s %s %s, sent at %.3f, answered %d; runs: %s",
			result.Method, result.Path, result.ID, installation.Since(result.Sent), result.Status, strings.Join(runs[result.ID], ", "))
		twice++
		if !strings.Contains(result.Path, "%") {
			plain++
		}
	}
	return installation.Verdict(twice > 0, "%d of %d filings ran more than once, %d of them without an encoded slash", twice, len(results), plain)
}
