package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	signals "os/signal"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oleandervane.example"
	"oleandervane.example/standin/storestandin"
	"oleandervane.example/timer"
)

// Options are the parameters of a run.
type Options struct {
	// Program is the path of oleandervane-hosted.
	Program string
	// Folder is where settings and logs are written.
	Folder string
	Seed   uint64
	// Faults is the duration of fault injection; a run takes about 10 s longer.
	Faults   time.Duration
	VMs      int
	Backends int
	Callers  int
	// Output receives a line for each fault, and for each time that the soak itself stood still.
	Output io.Writer
}

// Report has the counts of a run and, in Broken, the violations that it found.
type Report struct {
	Responses   int
	Served      int
	Faults      int
	Drains      int
	Versions    int
	Evacuations int
	ColdStarts  int
	Returns     int
	Signals     int
	Crashes     int
	Restores    int
	Broken      []string
}

// Soak is the state of one run.
type Soak struct {
	options  Options
	random   *rand.Rand
	store    *storestandin.Store
	backends []*backend
	vms      []*vm
	check    *check
	started  time.Time
	faults   int
	// evacuating is set while the second failure domain is evacuated.
	evacuating atomic.Bool
	// crashing is set while a request that crashes servers is sent.
	crashing atomic.Bool

	mutex   sync.Mutex
	version int
	// written has what the operator and the backend servers wrote last, by key; nil for a key that they removed.
	written map[string]*string
	// restoredAt is when the store was last restored.
	restoredAt time.Time
	// outputMutex is held while a line is written to the output.
	outputMutex sync.Mutex
	// pending waits for the faults and checks that have not ended.
	pending sync.WaitGroup
}

// Run runs a soak test with the seed of the options and reports the violations.
func Run(ctx context.Context, options Options) (Report, error) {
	soak := &Soak{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 0)),
		store:   storestandin.New(timer.System{}),
		started: time.Now(),
		written: map[string]*string{},
	}
	soak.check = &check{journal: newJournal()}
	// A process that was started with SIGHUP ignored ignores it until it handles the signal. Otherwise a SIGHUP before its first
	// instruction ends it, whatever the program does.
	signals.Ignore(syscall.SIGHUP)
	storeServer := httptest.NewServer(soak.store.Handler())
	defer storeServer.Close()
	defer storeServer.CloseClientConnections()
	defer soak.close()
	if err := soak.startServers(strings.TrimPrefix(storeServer.URL, "http://")); err != nil {
		return Report{}, err
	}
	if err := soak.waitReady(ctx); err != nil {
		return Report{}, err
	}
	stallCtx, stopWatching := context.WithCancel(ctx)
	var watching sync.WaitGroup
	watching.Go(func() { soak.watchStalls(stallCtx) })
	lastFault := soak.injectFaults(ctx)
	stopWatching()
	watching.Wait()
	soak.check.finish(lastFault)
	return soak.report(), nil
}

// failureDomains are those of the backend servers; all VMs are in the first.
var failureDomains = []string{"kigali-a", "kigali-b"}

const (
	// coldPerSecond is the rate that a cold server tolerates, and coldDuration the time for which it is cold after its start.
	coldPerSecond = 6
	coldDuration  = 2 * time.Second
)

func (soak *Soak) startServers(storeAddress string) error {
	soak.writeConfiguration()
	for i := range soak.options.Backends {
		backend, err := newBackend(fmt.Sprintf("i-%d", i), failureDomains[i%len(failureDomains)], soak.check.journal)
		if err != nil {
			return err
		}
		backend.crash = soak.crash
		soak.backends = append(soak.backends, backend)
		soak.write("servers/"+backend.id, backend.entry("ready"))
	}
	for i := range soak.options.VMs {
		vm, err := newVM(fmt.Sprintf("vm-%d", i), soak.options.Program, soak.options.Folder, storeAddress)
		if err != nil {
			return err
		}
		soak.vms = append(soak.vms, vm)
	}
	return nil
}

// writeConfiguration writes a new configuration version with one more route than the last and returns its number.
func (soak *Soak) writeConfiguration() int {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.version++
	routes := []string{route("safe", "/safe/", "safe"), route("unsafe", "/unsafe/", "unsafe")}
	for version := 1; version <= soak.version; version++ {
		name := fmt.Sprintf("version-%d", version)
		routes = append(routes, route(name, "/"+name+"/", "safe"))
	}
	// The route that needs a key accepts only that of this version.
	routes = append(routes, strings.Replace(route("keyed", keyedPath, "safe"), `"public":true,`, "", 1),
		fmt.Sprintf(`{"resource_type":"tenants","metadata":{"name":"kabgayi"},"spec":{"api_keys":[%q]}}`, keyOf(soak.version)))
	soak.writeLocked("op/config", fmt.Sprintf(`{"version":"r%d","resources":[%s,{"resource_type":"services","metadata":{"name":"ledger"},"spec":{"health_path":"/healthz","max_connections":600,"slow_start_s":%v,"cold_per_s":%d}}]}`,
		soak.version, strings.Join(routes, ","), coldDuration.Seconds(), coldPerSecond))
	return soak.version
}

func route(name, prefix, kind string) string {
	return fmt.Sprintf(`{"resource_type":"routes","metadata":{"name":%q},"spec":{"host":"a.example","public":true,"prefix":%q,"route_type":%q,"timeout_s":1.5,"target_latency_s":0.4,"priority":1,"service":"ledger","max_attempts":2,"sticky":true}}`, name, prefix, kind)
}

// write writes a key on behalf of the operator or a backend server. The faults between VMs and the store do not affect it.
func (soak *Soak) write(key, value string) {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.writeLocked(key, value)
}

// writeLocked must be called with the mutex locked. The store is never down then.
func (soak *Soak) writeLocked(key, value string) {
	soak.written[key] = &value
	soak.commit(oleandervane.StoreTransaction{Writes: []oleandervane.StoreWrite{{Key: key, Value: []byte(value)}}})
}

// remove removes a key on behalf of the operator.
func (soak *Soak) remove(key string) {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.written[key] = nil
	soak.commit(oleandervane.StoreTransaction{Removals: []string{key}})
}

func (soak *Soak) commit(storeTransaction oleandervane.StoreTransaction) {
	if _, err := soak.store.Commit(context.Background(), storeTransaction); err != nil {
		soak.check.fail("the soak could not write to the store: %v", err)
	}
}

const readyTimeout = 20 * time.Second

func (soak *Soak) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, vm := range soak.vms {
		for soak.probe(ctx, vm, soak.version) != http.StatusOK {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve after %v; its log is %s", vm.id, readyTimeout, vm.logPath)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// probe requests the route of a version from one VM and returns the status, 0 if there is no response.
func (soak *Soak) probe(ctx context.Context, vm *vm, version int) int {
	return soak.probePath(ctx, vm, fmt.Sprintf("/version-%d/probe", version), "")
}

// keyedPath is the prefix of the route that needs a key.
const keyedPath = "/keyed/"

// keyOf returns the key that a configuration version accepts and the next one removes.
func keyOf(version int) string {
	return fmt.Sprintf("key-%d", version)
}

// acceptsRemovedKey reports whether a VM accepts the key that a configuration version has removed.
func (soak *Soak) acceptsRemovedKey(ctx context.Context, vm *vm, version int) bool {
	return soak.probePath(ctx, vm, keyedPath+"probe", keyOf(version-1)) == http.StatusOK
}

// probePath requests a path from one VM, with a key if it is not empty, and returns the status, 0 if there is no response.
func (soak *Soak) probePath(ctx context.Context, vm *vm, path, key string) int {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.caller+path, http.NoBody)
	if err != nil {
		return 0
	}
	request.Host, request.Close = "a.example", true
	request.Header.Set("X-Request-Id", fmt.Sprintf("probe-%s-%d", vm.id, time.Now().UnixNano()))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// injectFaults injects faults under load and returns the time when the last one had ended.
func (soak *Soak) injectFaults(ctx context.Context) time.Time {
	callerCtx, stopCallers := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range soak.options.Callers {
		caller := &caller{
			name: fmt.Sprintf("c%d", i), soak: soak, random: rand.New(rand.NewPCG(soak.options.Seed, uint64(i+1))),
			client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
		}
		callers.Go(func() { caller.run(callerCtx) })
	}
	soak.checkWithoutFaults(ctx)
	for end := time.Now().Add(soak.options.Faults); time.Now().Before(end) && ctx.Err() == nil; {
		soak.injectFault(ctx)
		time.Sleep(200*time.Millisecond + rand.N(900*time.Millisecond))
	}
	soak.pending.Wait()
	lastFault := time.Now()
	time.Sleep(settleTime + 2*time.Second)
	stopCallers()
	callers.Wait()
	return lastFault
}

// checkWithoutFaults changes the configuration, drains a server and evacuates a failure domain, then has servers send signals while
// others end and start again, and then sends a request that crashes servers, restores the store twice, and cuts VMs off from it, before
// the first random fault, so that each run checks all of them.
func (soak *Soak) checkWithoutFaults(ctx context.Context) {
	soak.changeConfiguration(ctx)
	soak.drain(soak.backends[0])
	soak.evacuate()
	soak.pending.Wait()
	for number, next := range []signal{signalLimit, signalLeaving, signalPause} {
		soak.signalFor(soak.backends[number%len(soak.backends)], next)
	}
	soak.returnServers(soak.backends)
	soak.pending.Wait()
	soak.sendCrashingRequest(ctx, soak.options.Seed%2 == 0)
	soak.pending.Wait()
	soak.restoreStore(ctx, soak.backends[0])
	soak.pending.Wait()
	soak.evacuateAgain()
	soak.refuseStore(ctx)
}

func (soak *Soak) logFault(format string, arguments ...any) {
	soak.faults++
	soak.writeLine(fmt.Sprintf(format, arguments...))
}

// injectFault starts a random fault. Faults last up to a few seconds, so that several overlap.
func (soak *Soak) injectFault(ctx context.Context) {
	vm := soak.vms[soak.random.IntN(len(soak.vms))]
	backend := soak.backends[soak.random.IntN(len(soak.backends))]
	duration := time.Duration(300+soak.random.IntN(2200)) * time.Millisecond
	mode := 1 + soak.random.IntN(modeCount-1)
	switch soak.random.IntN(20) {
	case 0:
		soak.logFault("%s is killed", vm.id)
		vm.recordFault(0)
		vm.signal(syscall.SIGKILL, true)
	case 1:
		soak.logFault("%s is paused for %v", vm.id, duration)
		vm.recordFault(duration)
		vm.signal(syscall.SIGSTOP, false)
		soak.after(duration, func() { vm.signal(syscall.SIGCONT, false) })
	case 2:
		soak.logFault("%s receives SIGTERM", vm.id)
		vm.recordFault(stopLimit)
		vm.signal(syscall.SIGTERM, true)
	case 3:
		soak.logFault("%s receives SIGHUP", vm.id)
		vm.signal(syscall.SIGHUP, false)
	case 4:
		soak.logFault("proxy between %s and the store is in mode %d for %v", vm.id, mode, duration)
		vm.recordFault(duration)
		vm.store.set(mode)
		soak.after(duration, func() { vm.store.set(modePass) })
	case 5, 6:
		soak.logFault("proxy between %s and all VMs is in mode %d for %v", backend.id, mode, duration)
		backend.proxy.set(mode)
		soak.after(duration, func() { backend.proxy.set(modePass) })
	case 7:
		soak.logFault("the store drops its history, and the connections of all VMs to the store are reset")
		soak.store.DropHistory()
		for _, vm := range soak.vms {
			vm.recordFault(0)
			vm.store.set(modeReset)
			vm.store.set(modePass)
		}
	case 8:
		soak.logFault("the store entries of all VMs are removed")
		soak.store.Revoke("vms/")
	case 9:
		soak.changeConfiguration(ctx)
	case 10:
		soak.drain(backend)
	case 11:
		soak.evacuate()
	case 12:
		soak.checkNoRollback(ctx, vm)
	case 13:
		soak.signalFor(backend, signal(1+soak.random.IntN(int(signalCount)-1)))
	case 14:
		if !soak.crashing.Load() {
			soak.sendCrashingRequest(ctx, soak.random.IntN(2) == 0)
		}
	case 15:
		soak.sendSignals(vm)
	case 16:
		soak.restartAll()
	case 17:
		for range 4 {
			soak.changeConfiguration(ctx)
			time.Sleep(100 * time.Millisecond)
		}
	case 19:
		soak.restoreStore(ctx, backend)
	case 18:
		backends := slices.Clone(soak.backends)
		soak.random.Shuffle(len(backends), func(i, j int) { backends[i], backends[j] = backends[j], backends[i] })
		soak.returnServers(backends[:1+soak.random.IntN(len(backends)/2)])
	}
}

// sendSignals sends a VM a series of SIGHUP, SIGTERM and more SIGHUP while it stops.
func (soak *Soak) sendSignals(vm *vm) {
	soak.logFault("%s receives SIGHUP, SIGTERM and SIGHUP in a series", vm.id)
	vm.recordFault(stopLimit)
	soak.pending.Go(func() {
		for number := range 9 {
			if number == 4 {
				vm.signal(syscall.SIGTERM, true)
			} else {
				vm.signal(syscall.SIGHUP, false)
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// restartAll restarts the VMs one after the other, each while the one before still stops.
func (soak *Soak) restartAll() {
	soak.logFault("all VMs receive SIGTERM, one each 400 ms")
	soak.pending.Go(func() {
		for _, vm := range soak.vms {
			vm.recordFault(stopLimit)
			vm.signal(syscall.SIGTERM, true)
			time.Sleep(400 * time.Millisecond)
		}
	})
}

func (soak *Soak) after(delay time.Duration, end func()) {
	soak.pending.Go(func() {
		time.Sleep(delay)
		end()
	})
}

// changeConfiguration writes a new configuration and checks that undisturbed VMs serve it within applyLimit.
func (soak *Soak) changeConfiguration(ctx context.Context) {
	soak.logFault("the configuration changes")
	version := soak.writeConfiguration()
	changed := time.Now()
	soak.pending.Go(func() {
		time.Sleep(applyLimit)
		for _, vm := range soak.vms {
			undisturbedBefore, incarnationBefore := vm.undisturbedSince(changed)
			status := soak.probe(ctx, vm, version)
			undisturbedAfter, incarnationAfter := vm.undisturbedSince(changed)
			if undisturbedBefore && undisturbedAfter && incarnationBefore == incarnationAfter && !soak.restoredAfter(changed, applyLimit) {
				soak.check.count(&soak.check.versions)
				if status == http.StatusNotFound {
					soak.check.fail("%s does not serve version %d after %v", vm.id, version, applyLimit)
				}
				if status == http.StatusOK {
					vm.recordServedVersion(version, incarnationBefore)
				}
			}
		}
	})
}

// drain drains a server and checks that it gets no new requests after drainLimit, unless a VM is disturbed meanwhile.
func (soak *Soak) drain(backend *backend) {
	if backend.leaving.Swap(true) {
		return
	}
	soak.logFault("%s is drained", backend.id)
	soak.write("servers/"+backend.id, backend.entry("draining"))
	drainedAt := time.Now()
	soak.pending.Go(func() {
		time.Sleep(drainLimit + time.Second)
		undisturbed := true
		for _, vm := range soak.vms {
			vmUndisturbed, _ := vm.undisturbedSince(drainedAt)
			undisturbed = undisturbed && vmUndisturbed
		}
		last := soak.check.journal.lastRun(backend.id)
		if undisturbed && !soak.restoredAfter(drainedAt, drainLimit) {
			soak.check.count(&soak.check.drains)
			if last.After(drainedAt.Add(drainLimit)) {
				soak.check.fail("%s ran a request %v after the start of its drain", backend.id, last.Sub(drainedAt))
			}
		}
		soak.startCold(backend)
	})
}

// startCold registers a drained server as a new, cold process and checks the requests that it gets while it is cold.
func (soak *Soak) startCold(backend *backend) {
	restartedAt := time.Now()
	backend.coldUntil.Store(restartedAt.Add(coldDuration).UnixMilli())
	soak.write("servers/"+backend.id, backend.coldEntry("ready", coldDuration, restartedAt.UnixMilli()))
	soak.pending.Go(func() {
		time.Sleep(coldDuration)
		soak.check.checkCold(backend.id, soak.check.journal.runsBetween(backend.id, restartedAt, restartedAt.Add(coldDuration)))
		backend.leaving.Store(false)
	})
}

// evacuate evacuates the second failure domain and checks that its servers get no requests after evacuationLimit, unless
// a VM is disturbed meanwhile.
func (soak *Soak) evacuate() {
	domain := failureDomains[1]
	if soak.evacuating.Swap(true) {
		return
	}
	soak.logFault("%s is evacuated", domain)
	soak.write("op/evacuate/"+domain, "{}")
	startedAt := time.Now()
	soak.pending.Go(func() {
		time.Sleep(evacuationLimit + time.Second)
		ended, undisturbed := time.Now(), true
		for _, vm := range soak.vms {
			vmUndisturbed, _ := vm.undisturbedSince(startedAt)
			undisturbed = undisturbed && vmUndisturbed
		}
		if undisturbed && !soak.restoredAfter(startedAt, evacuationLimit) {
			soak.check.count(&soak.check.evacuations)
			for _, backend := range soak.backends {
				if backend.domain == domain {
					soak.check.checkEvacuated(backend.id, soak.check.journal.runsBetween(backend.id, startedAt.Add(evacuationLimit), ended))
				}
			}
		}
		soak.remove("op/evacuate/" + domain)
		soak.evacuating.Store(false)
	})
}

// checkNoRollback checks that a VM still serves the newest version that the same process has served before.
func (soak *Soak) checkNoRollback(ctx context.Context, vm *vm) {
	version, incarnation := vm.newestServedVersion()
	if version == 0 {
		return
	}
	status := soak.probe(ctx, vm, version)
	if _, current := vm.newestServedVersion(); status == http.StatusNotFound && current == incarnation {
		soak.check.fail("%s no longer serves version %d", vm.id, version)
	}
}

func (soak *Soak) close() {
	for _, vm := range soak.vms {
		vm.close()
	}
	for _, backend := range soak.backends {
		backend.close()
	}
}

func (soak *Soak) report() Report {
	served := 0
	for _, response := range soak.check.responses {
		if response.status == http.StatusOK {
			served++
		}
	}
	for _, vm := range soak.vms {
		if vm.unexpectedExits > 0 {
			soak.check.fail("the process of %s exited unexpectedly %d times", vm.id, vm.unexpectedExits)
		}
	}
	return Report{
		Responses: len(soak.check.responses), Served: served, Faults: soak.faults,
		Drains: soak.check.drains, Versions: soak.check.versions, Evacuations: soak.check.evacuations,
		ColdStarts: soak.check.coldStarts, Returns: soak.check.returns, Signals: soak.check.signals, Crashes: soak.check.crashes, Restores: soak.check.restores, Broken: soak.check.violations,
	}
}
