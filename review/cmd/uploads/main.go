// Command uploads shows what a request body of the allowed size does to an entry VM and to the other requests that the VM has accepted.
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
	// largeBytes is below max_body_bytes of the configuration, 67108864; smallBytes is the mean of the filings on the site's sheet.
	largeBytes = 60 << 20
	smallBytes = 300
	// linkRate is the rate of a client's link in bytes per second.
	linkRate = 25 << 20
	duration = 40 * time.Second
	callers  = 8
)

func main() {
	stage.Main(run, map[string]string{"kigali-a": "kigali", "kigali-b": "kigali"})
}

func run(installation *stage.Stage, trouble bool) (int, error) {
	err := installation.Configure(1, 3, 2.6, []string{"ledger"},
		stage.Route{Name: "r-look", Prefix: "/look/", Kind: "safe", Service: "ledger", Timeout: 1.5, Attempts: 2},
		stage.Route{Name: "r-file", Prefix: "/file/", Kind: "unsafe", Service: "ledger", Timeout: 10, Attempts: 2})
	if err != nil {
		return 0, err
	}
	zones := []string{"kigali-a", "kigali-b"}
	for i := range 6 {
		server := &stage.Server{
			ID: fmt.Sprintf("i-%d", i), Service: "ledger", Zone: zones[i%len(zones)], Slots: 9,
			Work: func(*http.Request) time.Duration { return 600 * time.Millisecond },
		}
		if err := installation.AddServer(server); err != nil {
			return 0, err
		}
	}
	for _, zone := range zones {
		if _, err := installation.AddVM("edge-"+zone+"-1", zone, true); err != nil {
			return 0, err
		}
	}
	if err := installation.WaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	installation.Log("both VMs are ready")

	size := int64(smallBytes)
	if trouble {
		size = largeBytes
	}
	var wait sync.WaitGroup
	var stop atomic.Bool
	var results stage.Results
	vms := installation.VMs()
	for i, zone := range zones {
		nearestFirst := []*stage.VM{vms[i], vms[1-i]}
		for number := range callers {
			client := installation.NewClient(fmt.Sprintf("%s-%d", zone, number), zone, nearestFirst...)
			stage.Loop(&wait, &stop, func() {
				method, path := http.MethodGet, "/look/7"
				if number%2 == 0 {
					method, path = http.MethodPost, "/file/7"
				}
				result := client.Send(method, path, smallBytes, 3*time.Second, 0)
				results.Add(result)
				time.Sleep(100 * time.Millisecond)
			})
		}
	}
	// Two more callers upload, one after the other each; only their bodies are large.
	for i, zone := range zones {
		uploader := installation.NewClient("upload-"+zone, zone, vms[i], vms[1-i])
		stage.Loop(&wait, &stop, func() {
			result := uploader.Send(http.MethodPost, "/file/1", size, 12*time.Second, linkRate)
			results.Add(result)
			if result.VM != "" {
				installation.Log("upload %s of %d bytes to %s: sent whole %v, status %d, error %v, %.1f s", result.ID, size, result.VM, result.RequestWhole, result.Status, result.Err, result.Ended.Sub(result.Sent).Seconds())
			}
			time.Sleep(500 * time.Millisecond)
		})
	}
	time.Sleep(duration)
	stop.Store(true)
	wait.Wait()
	return installation.JudgeLost(results.List()), nil
}
