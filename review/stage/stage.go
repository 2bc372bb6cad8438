// Package stage runs a small installation on loopback addresses for the scripts of the review: entry VMs as processes, the project's
// stand-in of the store, and backend servers and callers that follow the users' pages.
package stage

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"oleandervane.example"
	"oleandervane.example/standin/storestandin"
	"oleandervane.example/timer"
)

// Exit codes of the scripts.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// maxDuration is after how long a case ends at the latest.
const maxDuration = 118 * time.Second

// stableWindow is stable_window_s of igihe-vane-grown, plus the time that VMs need to be ready.
const stableWindow = 5 * time.Second

// Host is the host name of all routes.
const Host = "ficu95.example"

// Stage is one installation.
type Stage struct {
	// Program is the daemon, Folder a temporary folder for settings and logs.
	Program string
	Folder  string
	Store   *storestandin.Store
	Zones   map[string]string

	started     time.Time
	storeServer *http.Server
	storeAddr   string
	mutex       sync.Mutex
	record      io.Writer
	vms         []*VM
	servers     []*Server
	closing     sync.Once
}

// New returns an installation whose store is running. Events are written to record.
func New(program, folder string, zones map[string]string, record io.Writer) (*Stage, error) {
	stage := &Stage{Program: program, Folder: folder, Zones: zones, Store: storestandin.New(timer.System{}), record: record, started: time.Now()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	stage.storeAddr = listener.Addr().String()
	stage.storeServer = &http.Server{Handler: stage.Store.Handler()}
	go func() { _ = stage.storeServer.Serve(listener) }()
	return stage, nil
}

// Since returns the seconds since the start of the stage.
func (stage *Stage) Since(at time.Time) float64 { return at.Sub(stage.started).Seconds() }

// Log writes one line to the record.
func (stage *Stage) Log(format string, arguments ...any) {
	stage.mutex.Lock()
	defer stage.mutex.Unlock()
	fmt.Fprintf(stage.record, "%8.3f %s\n", time.Since(stage.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// Write writes a key on behalf of the operator or a backend server.
func (stage *Stage) Write(key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = stage.Store.Commit(context.Background(), oleandervane.StoreTransaction{Writes: []oleandervane.StoreWrite{{Key: key, Value: text}}})
	return err
}

// Remove removes a key on behalf of the operator or a backend server.
func (stage *Stage) Remove(key string) error {
	_, err := stage.Store.Commit(context.Background(), oleandervane.StoreTransaction{Removals: []string{key}})
	return err
}

// Route is a route of the configuration.
type Route struct {
	Name, Prefix, Kind, Service string
	Timeout                     float64
	Attempts                    int
}

// Configure writes a configuration. The limits are those of the pages' example.
func (stage *Stage) Configure(version int, slowStart, coldPerSecond float64, services []string, routes ...Route) error {
	var resources []any
	resource := func(kind, name string, spec map[string]any) {
		resources = append(resources, map[string]any{"resource_type": kind, "metadata": map[string]any{"name": name}, "spec": spec})
	}
	for _, route := range routes {
		resource("routes", route.Name, map[string]any{
			"host": Host, "prefix": route.Prefix, "route_type": route.Kind, "timeout_s": route.Timeout, "target_latency_s": 0.6,
			"priority": 1, "service": route.Service, "max_attempts": route.Attempts, "sticky": true, "allowed_regions": []string{},
		})
	}
	for _, service := range services {
		resource("services", service, map[string]any{
			"health_path": "/healthz", "max_connections": 660, "protocol": "h1", "tls": false, "slow_start_s": slowStart, "cold_per_s": coldPerSecond,
		})
	}
	resource("limits", "", map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15})
	return stage.Write("op/config", map[string]any{"version": fmt.Sprintf("r%d", version), "resources": resources})
}

// ConfigureLarge writes a configuration with further routes, as many as fit into size bytes, and returns its size.
func (stage *Stage) ConfigureLarge(version, size int, services []string, routes ...Route) (int, error) {
	const routeBytes = 240
	for number := range size / routeBytes {
		routes = append(routes, Route{Name: fmt.Sprintf("r-extra-%d", number), Prefix: fmt.Sprintf("/extra%d/", number), Kind: "safe", Service: services[0], Timeout: 1.5, Attempts: 2})
	}
	if err := stage.Configure(version, 3, 2.6, services, routes...); err != nil {
		return 0, err
	}
	entry, err := stage.Store.Get(context.Background(), "op/config")
	return len(entry.Value), err
}

// VMs returns the VMs of the stage.
func (stage *Stage) VMs() []*VM { return stage.vms }

// Servers returns the backend servers of the stage.
func (stage *Stage) Servers() []*Server { return stage.servers }

// WaitReady waits until all VMs are ready.
func (stage *Stage) WaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, vm := range stage.vms {
		for !vm.Ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", vm.ID, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all processes and servers.
func (stage *Stage) Close() {
	stage.closing.Do(stage.close)
}

func (stage *Stage) close() {
	for _, vm := range stage.vms {
		vm.close()
	}
	for _, server := range stage.servers {
		server.close()
	}
	_ = stage.storeServer.Close()
}

// Main runs a case: it creates the temporary folder and the record, and exits with the code of the case.
func Main(run func(stage *Stage, trouble bool) (code int, err error), zones map[string]string) {
	os.Exit(execute(run, zones))
}

func execute(run func(stage *Stage, trouble bool) (int, error), zones map[string]string) int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: CASE PROGRAM RECORD")
		return NotRun
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "oleandervane-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer os.RemoveAll(folder)
	program, err := filepath.Abs(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	stage, err := New(program, folder, zones, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer stage.Close()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-signals:
		case <-time.After(maxDuration):
		}
		stage.Log("the case was stopped before its end")
		stage.Close()
		_ = os.RemoveAll(folder)
		os.Exit(NotRun)
	}()
	code, err := run(stage, os.Getenv("TROUBLE") != "0")
	if err != nil {
		stage.Log("could not run: %v", err)
		fmt.Println("could not run:", err)
		return NotRun
	}
	return code
}

// Verdict writes the verdict to the record and to standard output.
func (stage *Stage) Verdict(broken bool, format string, arguments ...any) int {
	text, code := "HELD: ", Held
	if broken {
		text, code = "BROKEN: ", Broken
	}
	text += fmt.Sprintf(format, arguments...)
	stage.Log("%s", text)
	fmt.Println(text)
	return code
}

// JudgeLost counts the requests that a VM has passed on, from a kept connection, to a server, all of which are sound, and whose
// connection it ended without an answer. LOST allows each VM three. VMs must have met no disruption: an end by itself counts as running.
// Requests sent within stable_window_s after the first start of the VMs don't count.
func (stage *Stage) JudgeLost(results []Result) int {
	const tolerated = 3
	inTouch := stage.started.Add(stableWindow)
	passedOn := map[string]bool{}
	for _, server := range stage.servers {
		for _, arrival := range server.Arrivals() {
			passedOn[arrival.ID] = true
		}
	}
	lost := map[string]int{}
	unsafe, kills := 0, 0
	for _, result := range results {
		if !result.RequestWhole || result.Complete() || !passedOn[result.ID] {
			continue
		}
		stage.Log("no answer: %s %s to %s, sent at %.3f, kept connection %v, passed on to a server, connection ended at %.3f: %v",
			result.Method, result.ID, result.VM, stage.Since(result.Sent), result.Kept, stage.Since(result.Ended), result.Err)
		if result.Method == http.MethodPost {
			unsafe++
		}
		if result.Kept && result.Sent.After(inTouch) {
			lost[result.VM]++
		}
	}
	worst := 0
	for _, vm := range stage.vms {
		all, memory := vm.OwnExits()
		kills += memory
		worst = max(worst, lost[vm.Front])
		stage.Log("%s: lost %d requests of kept connections", vm.ID, lost[vm.Front])
		stage.Log("%s: started %d times, ended by itself %d times, %d of them for its memory, at most %d MiB", vm.ID, vm.Starts(), all, memory, vm.PeakMegabytes())
	}
	stage.Log("%d requests were sent", len(results))
	return stage.Verdict(worst > tolerated, "one VM passed on and lost %d requests of kept connections (LOST allows %d), %d of all lost ones were filings; VMs were killed for their memory %d times",
		worst, tolerated, unsafe, kills)
}
