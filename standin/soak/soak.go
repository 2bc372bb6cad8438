package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oleandervane.example"
	"oleandervane.example/standin/storestandin"
	"oleandervane.example/timer"
)

// Options say how a run goes.
type Options struct {
	// Program is the path of oleandervane-hosted.
	Program string
	// Folder takes settings and logs.
	Folder string
	Seed   uint64
	// Faults is how long faults are injected; a run takes some 10 s more.
	Faults   time.Duration
	VMs      int
	Backends int
	Callers  int
	// Output gets a line for each fault.
	Output io.Writer
}

// Report tells what a run did and found.
type Report struct {
	Answers     int
	Served      int
	Faults      int
	Drains      int
	Versions    int
	Evacuations int
	ColdStarts  int
	Broken      []string
}

// Soak is one run.
type Soak struct {
	options  Options
	random   *rand.Rand
	store    *storestandin.Store
	backends []*backend
	vms      []*vm
	check    *check
	started  time.Time
	faults   int
	// evacuating says that the second failure domain is evacuated.
	evacuating atomic.Bool

	mutex   sync.Mutex
	version int
	// pending are faults and checks that have not ended.
	pending sync.WaitGroup
}

// Run plays one seed and reports what was found.
func Run(ctx context.Context, options Options) (Report, error) {
	soak := &Soak{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 0)),
		store:   storestandin.New(timer.System{}),
		started: time.Now(),
	}
	soak.check = &check{journal: newJournal()}
	storeServer := httptest.NewServer(soak.store.Handler())
	defer storeServer.Close()
	defer storeServer.CloseClientConnections()
	defer soak.close()
	if err := soak.open(strings.TrimPrefix(storeServer.URL, "http://")); err != nil {
		return Report{}, err
	}
	if err := soak.waitReady(ctx); err != nil {
		return Report{}, err
	}
	lastFault := soak.play(ctx)
	soak.check.finish(lastFault)
	return soak.report(), nil
}

// failureDomains are those of the backend servers; all VMs are in the first.
var failureDomains = []string{"kigali-a", "kigali-b"}

const (
	// coldPerSecond is the rate that a cold server tolerates, and coldTime how long it is cold after a drain.
	coldPerSecond = 6
	coldTime      = 2 * time.Second
)

func (soak *Soak) open(storeAddress string) error {
	soak.configure()
	for i := range soak.options.Backends {
		backend, err := newBackend(fmt.Sprintf("i-%d", i), failureDomains[i%len(failureDomains)], soak.check.journal)
		if err != nil {
			return err
		}
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

// configure writes a new version with one more route than the last.
func (soak *Soak) configure() int {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.version++
	routes := []string{route("safe", "/safe/", "safe"), route("unsafe", "/unsafe/", "unsafe")}
	for version := 1; version <= soak.version; version++ {
		name := fmt.Sprintf("version-%d", version)
		routes = append(routes, route(name, "/"+name+"/", "safe"))
	}
	soak.write("op/config", fmt.Sprintf(`{"version":"r%d","resources":[%s,{"resource_type":"services","metadata":{"name":"ledger"},"spec":{"health_path":"/healthz","max_connections":600,"slow_start_s":0.5,"cold_per_s":%d}}]}`,
		soak.version, strings.Join(routes, ","), coldPerSecond))
	return soak.version
}

func route(name, prefix, kind string) string {
	return fmt.Sprintf(`{"resource_type":"routes","metadata":{"name":%q},"spec":{"host":"a.example","prefix":%q,"route_type":%q,"timeout_s":1.5,"target_latency_s":0.4,"priority":1,"service":"ledger","max_attempts":2,"sticky":true}}`, name, prefix, kind)
}

// write is a write of the operator or of a backend server, which the faults on the store do not meet.
func (soak *Soak) write(key, value string) {
	_, err := soak.store.Commit(context.Background(), oleandervane.StoreTransaction{Writes: []oleandervane.StoreWrite{{Key: key, Value: []byte(value)}}})
	if err != nil {
		soak.check.fail("the soak could not write %s: %v", key, err)
	}
}

// remove is a removal by the operator.
func (soak *Soak) remove(key string) {
	if _, err := soak.store.Commit(context.Background(), oleandervane.StoreTransaction{Removals: []string{key}}); err != nil {
		soak.check.fail("the soak could not remove %s: %v", key, err)
	}
}

const readyLimit = 20 * time.Second

func (soak *Soak) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyLimit)
	for _, vm := range soak.vms {
		for soak.probe(ctx, vm, soak.version) != http.StatusOK {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve after %v; its log is %s", vm.id, readyLimit, vm.logPath)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// probe asks one VM for the route of a version; 0 when it gives no answer.
func (soak *Soak) probe(ctx context.Context, vm *vm, version int) int {
	ctx, cancel := context.WithTimeout(ctx, callerPatience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/version-%d/probe", vm.caller, version), http.NoBody)
	if err != nil {
		return 0
	}
	request.Host, request.Close = "a.example", true
	request.Header.Set("X-Request-Id", fmt.Sprintf("probe-%s-%d-%d", vm.id, version, time.Now().UnixNano()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// play injects faults under load and returns when the last one ended.
func (soak *Soak) play(ctx context.Context) time.Time {
	callerCtx, stopCallers := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range soak.options.Callers {
		caller := &caller{
			name: fmt.Sprintf("c%d", i), soak: soak, random: rand.New(rand.NewPCG(soak.options.Seed, uint64(i+1))),
			client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
		}
		callers.Go(func() { caller.run(callerCtx) })
	}
	soak.checkCalm(ctx)
	for end := time.Now().Add(soak.options.Faults); time.Now().Before(end) && ctx.Err() == nil; {
		soak.inject(ctx)
		time.Sleep(200*time.Millisecond + rand.N(900*time.Millisecond))
	}
	soak.pending.Wait()
	lastFault := time.Now()
	time.Sleep(settleTime + 2*time.Second)
	stopCallers()
	callers.Wait()
	return lastFault
}

// checkCalm makes a change and a drain before the first fault, so that each run checks both.
func (soak *Soak) checkCalm(ctx context.Context) {
	soak.changeConfiguration(ctx)
	soak.drain(soak.backends[0])
	soak.evacuate()
	soak.pending.Wait()
}

func (soak *Soak) tell(format string, arguments ...any) {
	soak.faults++
	fmt.Fprintf(soak.options.Output, "%7.3f %s\n", time.Since(soak.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// inject begins one fault. Faults last up to some seconds, so that several overlap.
func (soak *Soak) inject(ctx context.Context) {
	vm := soak.vms[soak.random.IntN(len(soak.vms))]
	backend := soak.backends[soak.random.IntN(len(soak.backends))]
	duration := time.Duration(300+soak.random.IntN(2200)) * time.Millisecond
	mode := 1 + soak.random.IntN(modeCount-1)
	switch soak.random.IntN(13) {
	case 0:
		soak.tell("%s is killed", vm.id)
		vm.disturb(0)
		vm.signal(syscall.SIGKILL, true)
	case 1:
		soak.tell("%s is paused for %v", vm.id, duration)
		vm.disturb(duration)
		vm.signal(syscall.SIGSTOP, false)
		soak.later(duration, func() { vm.signal(syscall.SIGCONT, false) })
	case 2:
		soak.tell("%s is told to stop", vm.id)
		vm.disturb(stopLimit)
		vm.signal(syscall.SIGTERM, true)
	case 3:
		soak.tell("%s is told to reload", vm.id)
		vm.signal(syscall.SIGHUP, false)
	case 4:
		soak.tell("%s and the store: mode %d for %v", vm.id, mode, duration)
		vm.disturb(duration)
		vm.store.set(mode)
		soak.later(duration, func() { vm.store.set(modePass) })
	case 5, 6:
		soak.tell("%s and all VMs: mode %d for %v", backend.id, mode, duration)
		backend.proxy.set(mode)
		soak.later(duration, func() { backend.proxy.set(modePass) })
	case 7:
		soak.tell("the store drops its history and cuts watches")
		soak.store.DropHistory()
		for _, vm := range soak.vms {
			vm.disturb(0)
			vm.store.set(modeReset)
			vm.store.set(modePass)
		}
	case 8:
		soak.tell("all entries of VMs are revoked")
		soak.store.Revoke("vms/")
	case 9:
		soak.changeConfiguration(ctx)
	case 10:
		soak.drain(backend)
	case 11:
		soak.evacuate()
	case 12:
		soak.checkKnown(ctx, vm)
	}
}

func (soak *Soak) later(delay time.Duration, end func()) {
	soak.pending.Go(func() {
		time.Sleep(delay)
		end()
	})
}

// changeConfiguration checks that calm VMs serve a new version in time.
func (soak *Soak) changeConfiguration(ctx context.Context) {
	soak.tell("the configuration changes")
	version := soak.configure()
	changed := time.Now()
	soak.pending.Go(func() {
		time.Sleep(applyLimit)
		for _, vm := range soak.vms {
			before, incarnation := vm.calmSince(changed)
			status := soak.probe(ctx, vm, version)
			after, same := vm.calmSince(changed)
			if before && after && incarnation == same {
				soak.check.count(&soak.check.versions)
				if status == http.StatusNotFound {
					soak.check.fail("%s does not know version %d after %v", vm.id, version, applyLimit)
				}
				if status == http.StatusOK {
					vm.noteKnown(version, incarnation)
				}
			}
		}
	})
}

// drain checks that a server that leaves gets no new requests after the limit, while no VM is disturbed.
func (soak *Soak) drain(backend *backend) {
	if backend.leaving.Swap(true) {
		return
	}
	soak.tell("%s leaves", backend.id)
	soak.write("servers/"+backend.id, backend.entry("draining"))
	left := time.Now()
	soak.pending.Go(func() {
		time.Sleep(drainLimit + time.Second)
		calm := true
		for _, vm := range soak.vms {
			calmSince, _ := vm.calmSince(left)
			calm = calm && calmSince
		}
		last := soak.check.journal.lastArrival(backend.id)
		if calm {
			soak.check.count(&soak.check.drains)
			if last.After(left.Add(drainLimit)) {
				soak.check.fail("%s ran a request %v after it left", backend.id, last.Sub(left))
			}
		}
		soak.startCold(backend)
	})
}

// startCold lets a server come back as a new run that is cold, and checks what it gets meanwhile.
func (soak *Soak) startCold(backend *backend) {
	back := time.Now()
	soak.write("servers/"+backend.id, backend.coldEntry("ready", coldTime, back.UnixMilli()))
	soak.pending.Go(func() {
		time.Sleep(coldTime)
		soak.check.checkCold(backend.id, soak.check.journal.between(backend.id, back, back.Add(coldTime)))
		backend.leaving.Store(false)
	})
}

// evacuate empties the second failure domain and checks that its servers get no requests while no VM is disturbed.
func (soak *Soak) evacuate() {
	domain := failureDomains[1]
	if soak.evacuating.Swap(true) {
		return
	}
	soak.tell("%s is evacuated", domain)
	soak.write("op/evacuate/"+domain, "{}")
	began := time.Now()
	soak.pending.Go(func() {
		time.Sleep(evacuationLimit + time.Second)
		ended, calm := time.Now(), true
		for _, vm := range soak.vms {
			calmSince, _ := vm.calmSince(began)
			calm = calm && calmSince
		}
		if calm {
			soak.check.count(&soak.check.evacuations)
			for _, backend := range soak.backends {
				if backend.domain == domain {
					soak.check.checkEvacuated(backend.id, soak.check.journal.between(backend.id, began.Add(evacuationLimit), ended))
				}
			}
		}
		soak.remove("op/evacuate/" + domain)
		soak.evacuating.Store(false)
	})
}

// checkKnown checks that a VM still knows the newest version that the same run of it has served before.
func (soak *Soak) checkKnown(ctx context.Context, vm *vm) {
	version, incarnation := vm.newestKnown()
	if version == 0 {
		return
	}
	status := soak.probe(ctx, vm, version)
	if _, now := vm.newestKnown(); status == http.StatusNotFound && now == incarnation {
		soak.check.fail("%s has gone back behind version %d", vm.id, version)
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
	for _, answer := range soak.check.answers {
		if answer.status == http.StatusOK {
			served++
		}
	}
	for _, vm := range soak.vms {
		if vm.ownExits > 0 {
			soak.check.fail("%s ended by itself %d times", vm.id, vm.ownExits)
		}
	}
	return Report{
		Answers: len(soak.check.answers), Served: served, Faults: soak.faults,
		Drains: soak.check.drains, Versions: soak.check.versions, Evacuations: soak.check.evacuations,
		ColdStarts: soak.check.coldStarts, Broken: soak.check.broken,
	}
}
