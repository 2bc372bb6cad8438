package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"oleandervane.example"
	"oleandervane.example/standin/loopback"
	"oleandervane.example/standin/storestandin"
	"oleandervane.example/timer"
)

const (
	// daemon is the run command of deploy/system.toml.
	daemon = "target/oleandervane-hosted"
	// memoryMegabytes and usualGrace, in seconds, are alike in igihe-vane and jubilar-vane.
	memoryMegabytes = 206
	usualGrace      = 6
	host            = "caller.example"
	startTimeout    = 15 * time.Second
)

// site has what the settings of the machines of two sites differ in. Times are in seconds.
type site struct {
	region, zone string
	// otherZone is a second zone of the region.
	otherZone    string
	drain, apply float64
	retryBase    int
}

var (
	igihe   = site{region: "kigali", zone: "kigali-a", otherZone: "kigali-b", drain: 2, apply: 2, retryBase: 112}
	jubilar = site{region: "centro", zone: "centro-a", otherZone: "centro-b", drain: 2.5, apply: 2.5, retryBase: 120}
)

// stage has the processes and stand-ins of one run of a case.
type stage struct {
	site      site
	trouble   bool
	startedAt time.Time
	folder    string
	store     *storestandin.Store
	storeURL  string
	closers   []func()

	mutex  sync.Mutex
	output *os.File
}

func newStage(site site, recordPath string, trouble bool) (*stage, error) {
	if _, err := os.Stat(daemon); err != nil {
		return nil, fmt.Errorf("the daemon is not built: %w", err)
	}
	output, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "stage3-")
	if err != nil {
		return nil, err
	}
	stage := &stage{site: site, trouble: trouble, startedAt: time.Now(), folder: folder, output: output, store: storestandin.New(timer.System{})}
	stage.record("trouble: %t", trouble)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	stage.storeURL = "http://" + listener.Addr().String()
	server := &http.Server{Handler: stage.store.Handler()}
	go func() { _ = server.Serve(listener) }()
	stage.closers = append(stage.closers, func() { _ = server.Close() })
	return stage, nil
}

// record writes a line with the time since the start to record.txt.
func (stage *stage) record(format string, values ...any) {
	stage.mutex.Lock()
	defer stage.mutex.Unlock()
	fmt.Fprintf(stage.output, "%8.3f %s\n", time.Since(stage.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

func (stage *stage) close() {
	for i := len(stage.closers) - 1; i >= 0; i-- {
		stage.closers[i]()
	}
	_ = os.RemoveAll(stage.folder)
	_ = stage.output.Close()
}

// write writes a key as the operator or an instance does.
func (stage *stage) write(key, value string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := stage.store.Commit(ctx, oleandervane.StoreTransaction{Writes: []oleandervane.StoreWrite{{Key: key, Value: []byte(value)}}})
	return err
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeLimit                   float64
}

// configure writes a configuration with routes and services.
func (stage *stage) configure(version int, routes []route, services ...string) error {
	type resource struct {
		Type     string            `json:"resource_type"`
		Metadata map[string]string `json:"metadata"`
		Spec     map[string]any    `json:"spec"`
	}
	var resources []resource
	for _, route := range routes {
		resources = append(resources, resource{"routes", map[string]string{"name": route.name}, map[string]any{
			"host": host, "prefix": route.prefix, "route_type": route.kind, "timeout_s": route.timeLimit, "target_latency_s": 0.5,
			"priority": 1, "service": route.service, "max_attempts": 2, "sticky": true, "allowed_regions": []string{},
		}})
	}
	for _, service := range services {
		resources = append(resources, resource{"services", map[string]string{"name": service}, map[string]any{
			"health_path": "/healthz", "max_connections": 720, "protocol": "h1", "tls": false, "slow_start_s": 3.0, "cold_per_s": 2.6,
		}})
	}
	resources = append(resources, resource{"limits", map[string]string{}, map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15,
	}})
	text, err := json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "resources": resources})
	if err != nil {
		return err
	}
	return stage.write("op/config", string(text))
}

// vm is a process of the daemon.
type vm struct {
	stage *stage
	name  string
	// addresses are those of the callers, the directory, the readiness, the peers and the operations.
	addresses [5]netip.AddrPort
	caller    netip.AddrPort
	readiness netip.AddrPort
	// settings is the path of the settings file.
	settings string
	command  *exec.Cmd
	ended    chan struct{}
}

// startVM starts the daemon and waits until it is ready.
func (stage *stage) startVM(name string, grace int) (*vm, error) {
	vm := &vm{stage: stage, name: name, settings: filepath.Join(stage.folder, name+".toml"), ended: make(chan struct{})}
	for i := range vm.addresses {
		var err error
		if vm.addresses[i], err = loopback.FreeAddress(); err != nil {
			return nil, err
		}
	}
	vm.caller, vm.readiness = vm.addresses[0], vm.addresses[2]
	if err := vm.writeSettings(grace); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(stage.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	vm.command = exec.Command(daemon)
	vm.command.Env = []string{"OLEANDERVANE_NODE_FILE=" + vm.settings, "PATH=" + os.Getenv("PATH")}
	vm.command.Stdout, vm.command.Stderr = log, log
	if err := vm.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		err := vm.command.Wait()
		stage.record("%s: the process ended: %v", name, err)
		_ = log.Close()
		close(vm.ended)
	}()
	stage.closers = append(stage.closers, vm.kill)
	return vm, vm.awaitReady()
}

// writeSettings writes the settings file as deploy/entry.toml.tmpl renders it.
func (vm *vm) writeSettings(grace int) error {
	site := vm.stage.site
	settings := fmt.Sprintf(`id = %q
region = %q
failure_domain = %q
caller_address = "%s"
directory_address = "%s"
readiness_address = "%s"
peer_address = "%s"
operations_address = "%s"
store_url = "%s"
processor_share = 0.224
processor_speed = 1
link_megabits = 700.0
memory_megabytes = %d
drain_limit = "%vs"
apply_limit = "%vs"
stop_limit = "%ds"

[retries]
ratio = 0.2
base = %d
window = "10s"

[rate_limits]

[organisations]

[failure_domains]
%q = %q
%q = %q
`, vm.name, site.region, site.zone, vm.addresses[0], vm.addresses[1], vm.addresses[2], vm.addresses[3], vm.addresses[4], vm.stage.storeURL,
		memoryMegabytes, site.drain, site.apply, grace, site.retryBase, site.zone, site.region, site.otherZone, site.region)
	return os.WriteFile(vm.settings, []byte(settings), 0o600)
}

func (vm *vm) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		response, err := http.Get("http://" + vm.readiness.String() + "/oleandervane/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				vm.stage.record("%s: ready", vm.name)
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s was not ready within %v", vm.name, startTimeout)
}

func (vm *vm) signal(signal syscall.Signal) {
	vm.stage.record("%s: sent %v", vm.name, signal)
	_ = vm.command.Process.Signal(signal)
}

// kill ends the process if it runs.
func (vm *vm) kill() {
	select {
	case <-vm.ended:
		return
	default:
	}
	_ = vm.command.Process.Kill()
	<-vm.ended
}

// anonymousMegabytes returns the memory of the process without the pages of files, 0 if it has ended.
func (vm *vm) anonymousMegabytes() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", vm.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		var kilobytes float64
		if count, _ := fmt.Sscanf(line, "RssAnon: %f kB", &kilobytes); count == 1 {
			return kilobytes / 1024
		}
	}
	return 0
}
