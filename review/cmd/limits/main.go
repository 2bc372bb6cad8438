// Command limits is a search: it counts the requests that a server gets that names a limit, in steady traffic and after a pause of it.
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
	vms       = 8
	callers   = 64
	limit     = 1.0
	window    = 4 * time.Second
	steady    = 14 * time.Second
	quiet     = 11 * time.Second
	burst     = 6 * time.Second
	tolerated = int(1.5*limit*4) + 5
)

func main() {
	stage.Main(run, map[string]string{"kigali-a": "kigali"})
}

func run(installation *stage.Stage, trouble bool) (int, error) {
	err := installation.Configure(1, 3, 2.6, []string{"ledger"},
		stage.Route{Name: "r-look", Prefix: "/look/", Kind: "safe", Service: "ledger", Timeout: 1.5, Attempts: 2})
	if err != nil {
		return 0, err
	}
	var naming atomic.Bool
	for i := range 4 {
		server := &stage.Server{
			ID: fmt.Sprintf("i-%d", i), Service: "ledger", Zone: "kigali-a", Slots: 9,
			Work: func(*http.Request) time.Duration { return 640 * time.Millisecond },
		}
		if i == 0 {
			server.Answer = func(writer http.ResponseWriter, _ *http.Request) bool {
				if naming.Load() {
					writer.Header().Set("Server-Limit", fmt.Sprint(limit))
				}
				return false
			}
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
	time.Sleep(3 * time.Second)
	traffic := func(duration time.Duration) {
		var wait sync.WaitGroup
		var stop atomic.Bool
		for number := range callers {
			vm := installation.VMs()[number%vms]
			client := installation.NewClient(fmt.Sprintf("c%d", number), "kigali-a", vm)
			client.Fixed = vm.Front
			stage.Loop(&wait, &stop, func() {
				client.Send(http.MethodGet, "/look/7", 0, 3*time.Second, 0)
				time.Sleep(100 * time.Millisecond)
			})
		}
		time.Sleep(duration)
		stop.Store(true)
		wait.Wait()
	}
	go func() {
		time.Sleep(4 * time.Second)
		installation.Log("i-0 names a limit of %v a second", limit)
		naming.Store(true)
	}()
	from := time.Now().Add(4*time.Second + 3*time.Second)
	traffic(steady)
	if trouble {
		installation.Log("no traffic for %v", quiet)
		time.Sleep(quiet)
	}
	traffic(burst)
	arrivals := installation.Servers()[0].Arrivals()
	stage.SortByTime(arrivals)
	worst := 0
	for i, first := range arrivals {
		count := 0
		for _, other := range arrivals[i:] {
			if other.At.Sub(first.At) < window {
				count++
			}
		}
		if first.At.After(from) && count > worst {
			worst = count
			installation.Log("%d requests in the %v from %.3f", count, window, installation.Since(first.At))
		}
	}
	return installation.Verdict(worst > tolerated, "at most %d requests in %v reached the server that limits them to %v a second (LIMIT allows %d)", worst, window, limit, tolerated), nil
}
