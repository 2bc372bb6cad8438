// Command configs shows how the memory of the entry VMs that watch the store for others grows with each change of the configuration.
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
	// configBytes gives a configuration of about 977,000 bytes, below value_bytes of the settings, 1048576.
	configBytes = 900_000
	// changes is below the 340 changes of a day that the brief's letter names.
	changes  = 290
	interval = 210 * time.Millisecond
	// series is the number of changes after which none comes for a while, so that they take no longer than config_storm may.
	series  = 15
	calm    = time.Second
	callers = 12
	// settle is the time in which callers learn of the last lost request.
	settle = 6 * time.Second
)

func main() {
	stage.Main(run, map[string]string{"kigali-a": "kigali"})
}

func run(installation *stage.Stage, trouble bool) (int, error) {
	routes := []stage.Route{
		{Name: "r-look", Prefix: "/look/", Kind: "safe", Service: "ledger", Timeout: 1.5, Attempts: 2},
		{Name: "r-file", Prefix: "/file/", Kind: "unsafe", Service: "ledger", Timeout: 2, Attempts: 2},
	}
	services := []string{"ledger"}
	size, err := installation.ConfigureLarge(1, configBytes, services, routes...)
	if err != nil {
		return 0, err
	}
	installation.Log("the configuration has %d bytes", size)
	for i := range 6 {
		server := &stage.Server{ID: fmt.Sprintf("i-%d", i), Service: "ledger", Zone: "kigali-a", Slots: 9, Work: func(*http.Request) time.Duration { return 600 * time.Millisecond }}
		if err := installation.AddServer(server); err != nil {
			return 0, err
		}
	}
	for i := range 3 {
		if _, err := installation.AddVM(fmt.Sprintf("edge-kigali-a-%d", i+1), "kigali-a", true); err != nil {
			return 0, err
		}
	}
	if err := installation.WaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	installation.Log("all VMs are ready")
	var wait sync.WaitGroup
	var stop atomic.Bool
	var results stage.Results
	vms := installation.VMs()
	for number := range callers * len(vms) {
		client := installation.NewClient(fmt.Sprintf("c%d", number), "kigali-a", vms...)
		stage.Loop(&wait, &stop, func() {
			method, path := http.MethodGet, "/look/7"
			if number%2 == 0 {
				method, path = http.MethodPost, "/file/7"
			}
			results.Add(client.Send(method, path, 300, 3*time.Second, 0))
			time.Sleep(100 * time.Millisecond)
		})
	}
	for version := 2; version < 2+changes; version++ {
		if trouble {
			if _, err := installation.ConfigureLarge(version, configBytes, services, routes...); err != nil {
				return 0, err
			}
		}
		if version%20 == 0 {
			text := fmt.Sprintf("%d changes so far; memory in MiB, at most:", version-1)
			if !trouble {
				text = "no changes; memory in MiB, at most:"
			}
			for _, vm := range vms {
				text += fmt.Sprintf(" %s %d", vm.ID, vm.PeakMegabytes())
			}
			installation.Log("%s", text)
		}
		time.Sleep(interval)
		if version%series == 0 {
			time.Sleep(calm)
		}
		if kills(vms) > 0 {
			installation.Log("a VM was killed for its memory after %d changes", version-1)
			break
		}
	}
	time.Sleep(settle)
	stop.Store(true)
	wait.Wait()
	return installation.JudgeLost(results.List()), nil
}

// kills returns how often VMs were killed for their memory.
func kills(vms []*stage.VM) int {
	sum := 0
	for _, vm := range vms {
		_, memory := vm.OwnExits()
		sum += memory
	}
	return sum
}
