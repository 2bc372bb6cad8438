// Command crashes sends a request that crashes the servers that run it again and again, and counts how often it reaches a server after
// the VMs have had time to know it.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"oleandervane.example/review/stage"
)

const (
	path = "/look/crash"
	// repeats is how often the caller repeats a request at once, as some callers do, for abuseTime each time: from the start, and from
	// abuseAgain on. pause is the time until the request comes again.
	repeats    = 3
	abuseTime  = 5 * time.Second
	abuseAgain = 58 * time.Second
	pause      = 1700 * time.Millisecond
	// crashTime is how long the request runs until its server crashes; down is how long the server is away.
	crashTime = 100 * time.Millisecond
	down      = 2 * time.Second
	duration  = 70 * time.Second
	// stableWindow is stable_window_s, tolerated the number of retries that BUDGET allows after it.
	stableWindow = 4 * time.Second
	tolerated    = 3
	vms          = 6
	servers      = 18
)

// crashes has the times of the crashes.
type crashes struct {
	mutex sync.Mutex
	times []time.Time
}

func main() {
	stage.Main(run, map[string]string{"kigali-a": "kigali"})
}

func run(installation *stage.Stage, trouble bool) (int, error) {
	err := installation.Configure(1, 3, 2.6, []string{"ledger"},
		stage.Route{Name: "r-look", Prefix: "/look/", Kind: "safe", Service: "ledger", Timeout: 1.5, Attempts: 2},
		stage.Route{Name: "r-file", Prefix: "/file/", Kind: "unsafe", Service: "ledger", Timeout: 2, Attempts: 2})
	if err != nil {
		return 0, err
	}
	crashes := &crashes{}
	for i := range servers {
		server := &stage.Server{
			ID: fmt.Sprintf("i-%d", i), Service: "ledger", Zone: "kigali-a", Slots: 3,
			Work: func(*http.Request) time.Duration { return 600 * time.Millisecond },
		}
		server.Answer = func(_ http.ResponseWriter, request *http.Request) bool {
			if request.URL.Path != path {
				return false
			}
			time.Sleep(crashTime)
			if server.Crash(down) {
				crashes.mutex.Lock()
				crashes.times = append(crashes.times, time.Now())
				crashes.mutex.Unlock()
			}
			panic(http.ErrAbortHandler)
		}
		if err := installation.AddServer(server); err != nil {
			return 0, err
		}
	}
	for i := range vms {
		if _, err := installation.AddVM(fmt.Sprintf("edge-kigali-a-%d", i+1), "kigali-a", true); err != nil {
			return 0, err
		}
	}
	if err := installation.WaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(stableWindow)
	var wait sync.WaitGroup
	var stop atomic.Bool
	var results stage.Results
	for number := range 12 {
		client := installation.NewClient(fmt.Sprintf("c%d", number), "kigali-a", installation.VMs()...)
		stage.Loop(&wait, &stop, func() {
			method, target := http.MethodGet, "/look/7"
			if number%2 == 0 {
				method, target = http.MethodPost, "/file/7"
			}
			results.Add(client.Send(method, target, 300, 3*time.Second, 0))
			time.Sleep(100 * time.Millisecond)
		})
	}
	started := time.Now()
	for round := 0; time.Since(started) < duration; round++ {
		if trouble {
			sendCopies(installation, round, abuses(time.Since(started)))
		}
		time.Sleep(pause)
	}
	stop.Store(true)
	wait.Wait()
	return judge(installation, crashes.times, results.List()), nil
}

// abuses reports whether the caller repeats its request at once.
func abuses(elapsed time.Duration) bool {
	return elapsed < abuseTime || elapsed >= abuseAgain && elapsed < abuseAgain+abuseTime
}

// sendCopies sends the crashing request once and, if repeated is set, repeats it at once, each at another VM.
func sendCopies(installation *stage.Stage, round int, repeated bool) {
	var copies sync.WaitGroup
	count := 1
	if repeated {
		count += repeats
	}
	for number := range count {
		vm := installation.VMs()[(round+number)%vms]
		copies.Go(func() {
			client := installation.NewClient(fmt.Sprintf("crash-%d-%d", round, number), "kigali-a", vm)
			client.NoObject, client.Fixed = true, vm.Front
			defer client.Close()
			result := client.Send(http.MethodGet, path, 0, 3*time.Second, 0)
			installation.Log("crashing request %s at %s: status %d, error %v", result.ID, vm.ID, result.Status, result.Err)
		})
	}
	copies.Wait()
}

func judge(installation *stage.Stage, crashes []time.Time, results []stage.Result) int {
	var arrivals []stage.Arrival
	for _, server := range installation.Servers() {
		for _, arrival := range server.Arrivals() {
			if arrival.Path == path {
				arrival.Note = server.ID
				arrivals = append(arrivals, arrival)
			}
		}
	}
	stage.SortByTime(arrivals)
	late := 0
	for _, arrival := range arrivals {
		counted := len(crashes) > 2 && arrival.At.After(crashes[2].Add(stableWindow))
		if counted {
			late++
		}
		installation.Log("crashing request %s reached %s at %.3f, counted %v", arrival.ID, arrival.Note, installation.Since(arrival.At), counted)
	}
	failed := 0
	for _, result := range results {
		if !result.Complete() || result.Status >= http.StatusInternalServerError {
			failed++
		}
	}
	return installation.Verdict(late > tolerated, "the crashing request reached servers %d times later than stable_window_s after its third crash (BUDGET allows %d); %d servers crashed in all; %d of %d other requests failed",
		late, tolerated, len(crashes), failed, len(results))
}
