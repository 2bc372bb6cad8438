// Command stops stops VMs one after the other under load and looks for requests that were read and got no answer.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oleandervane.example/review/stage"
)

func main() {
	stage.Main(run, map[string]string{"kigali-a": "kigali"})
}

func run(installation *stage.Stage, trouble bool) (int, error) {
	err := installation.Configure(1, 3, 2.6, []string{"ledger"},
		stage.Route{Name: "r-look", Prefix: "/look/", Kind: "safe", Service: "ledger", Timeout: 1.5, Attempts: 2},
		stage.Route{Name: "r-archive", Prefix: "/archive/", Kind: "safe", Service: "ledger", Timeout: 6, Attempts: 2},
		stage.Route{Name: "r-file", Prefix: "/file/", Kind: "unsafe", Service: "ledger", Timeout: 2, Attempts: 2})
	if err != nil {
		return 0, err
	}
	for i := range 24 {
		server := &stage.Server{ID: fmt.Sprintf("i-%d", i), Service: "ledger", Zone: "kigali-a", Slots: 9, Work: func(request *http.Request) time.Duration {
			if request.URL.Path == "/archive/7" {
				return time.Duration(2000+rand.IntN(1200)) * time.Millisecond
			}
			return time.Duration(100+rand.IntN(800)) * time.Millisecond
		}}
		if err := installation.AddServer(server); err != nil {
			return 0, err
		}
	}
	for i := range 4 {
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
	vms := installation.VMs()
	for number := range 160 {
		client := installation.NewClient(fmt.Sprintf("c%d", number), "kigali-a", vms[number%4], vms[(number+1)%4], vms[(number+2)%4])
		client.Stay = number%3 == 0
		stage.Loop(&wait, &stop, func() {
			method, path := http.MethodGet, "/look/7"
			limit := 3 * time.Second
			switch number % 4 {
			case 0:
				method, path = http.MethodPost, "/file/7"
			case 1:
				path, limit = "/archive/7", 12*time.Second
			}
			results.Add(client.Send(method, path, 300, limit, 0))
			time.Sleep(time.Duration(rand.IntN(900)) * time.Millisecond)
		})
	}
	time.Sleep(4 * time.Second)
	for round := range 12 {
		if trouble {
			installation.Log("SIGTERM to %s", vms[round%4].ID)
			vms[round%4].Signal(syscall.SIGTERM, true)
		}
		time.Sleep(7 * time.Second)
	}
	stop.Store(true)
	wait.Wait()
	late := 0
	for _, result := range results.List() {
		if result.RequestWhole && !result.Complete() {
			installation.Log("no answer: %s %s to %s sent %.3f ended %.3f %v", result.Method, result.Path, result.VM, installation.Since(result.Sent), installation.Since(result.Ended), result.Err)
			if result.Ended.Sub(result.Sent) > 200*time.Millisecond {
				late++
			}
		}
		if result.Complete() && result.Status != 200 {
			installation.Log("status %d: %s %s to %s sent %.3f ended %.3f", result.Status, result.Method, result.Path, result.VM, installation.Since(result.Sent), installation.Since(result.Ended))
		}
	}
	installation.Log("late %d", late)
	return installation.JudgeLost(results.List()), nil
}
