package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/operator/keys"
	"oleandervane.example/standin/backendstandin"
	"oleandervane.example/standin/load"
	"oleandervane.example/standin/load/callerload"
	"oleandervane.example/standin/storestandin"
	"oleandervane.example/timer"
)

// Times of the scenario. Those whose names end in At are counted from the start of the load.
const (
	loadTime       = 32 * time.Second
	burstAt        = 16 * time.Second
	backendDrainAt = 3 * time.Second
	entryDrainAt   = 6 * time.Second
	entryKillAt    = 12 * time.Second
	entryRestartAt = 14 * time.Second
	storeDownAt    = 11 * time.Second
	entryPauseAt   = 24 * time.Second
	entryPause     = 4 * time.Second
	// peerStartLimit is how long a VM that starts while the store is unavailable may take to become ready with state from
	// its peers. The VM waits up to 8 s for the shares of its region.
	peerStartLimit   = 12 * time.Second
	terminationLimit = 30 * time.Second
	requestTimeout   = 12 * time.Second
	// leaveLimit is the time within which a leaving backend server may still receive new requests.
	leaveLimit = 3 * time.Second
)

// scenario runs one deployment and its events.
type scenario struct {
	options    options
	deployment deployment
	folder     string
	launcher   *launcher
	authority  keys.Pair
	recorder   *outcomeRecorder
	guarantees []guarantee
	notes      []string
}

// run starts the deployment, runs the events under load, and returns the number of violations of guarantees.
func (scenario *scenario) run() (violations int, err error) {
	scenario.recorder = newOutcomeRecorder()
	if err := scenario.startPlatform(); err != nil {
		return 0, err
	}
	if err := scenario.publish(); err != nil {
		return 0, err
	}
	if err := scenario.createAuthority(); err != nil {
		return 0, err
	}
	if err := scenario.startEntryVMs(); err != nil {
		return 0, err
	}
	if err := scenario.waitUntilReady(); err != nil {
		return 0, err
	}
	if scenario.options.Keep > 0 {
		scenario.waitWhileRunning()
		return 0, nil
	}
	results, err := scenario.runLoad()
	if err != nil {
		return 0, err
	}
	return scenario.report(results)
}

// waitWhileRunning prints the addresses of the deployment and leaves it running for the requested time.
func (scenario *scenario) waitWhileRunning() {
	first := scenario.deployment.entryVMs()[0]
	fmt.Printf("%s runs for %s\n", scenario.deployment.name, scenario.options.Keep)
	fmt.Printf("store:      export OLEANDERVANE_STORE=%s\n", scenario.deployment.storeURL())
	fmt.Printf("operations: export OLEANDERVANE_ENTRY_VMS=%s\n", scenario.operationsAddresses())
	fmt.Printf("callers:    export OLEANDERVANE_CALLER_ENTRY_VMS=%s\n", first.CallerAddress)
	time.Sleep(scenario.options.Keep)
}

func (scenario *scenario) operationsAddresses() string {
	var addresses []string
	for _, entryVM := range scenario.deployment.entryVMs() {
		addresses = append(addresses, operationsAddress(entryVM).String())
	}
	return strings.Join(addresses, ",")
}

func (scenario *scenario) runLoad() ([]load.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), loadTime)
	defer cancel()
	events := make(chan error, 1)
	go func() { events <- scenario.runEvents(ctx) }()
	results := make(chan []load.Result, len(scenario.deployment.regions))
	for number := range scenario.deployment.regions {
		go func() { results <- scenario.loadRegion(ctx, number) }()
	}
	var all []load.Result
	for range scenario.deployment.regions {
		all = append(all, <-results...)
	}
	return all, <-events
}

// loadRegion sends the streams of the callers of one home region.
func (scenario *scenario) loadRegion(ctx context.Context, number int) []load.Result {
	region := scenario.deployment.regions[number]
	sender := callerload.New(scenario.seeds(), scenario.deployment.address(callerByte+byte(number), callerHost))
	generator := load.NewGenerator(sender, timer.System{}, string(region))
	generator.OnCompletion = scenario.recorder.record
	burst := make(chan []load.Result, 1)
	go func() { burst <- scenario.loadBurst(ctx, sender, number) }()
	var streams []load.Stream
	for _, service := range scenario.deployment.services {
		for _, stream := range service.streams {
			streams = append(streams, load.Stream{
				Service:    service.name,
				Kind:       stream.kind,
				Idempotent: stream.idempotent,
				PerSecond:  stream.perSecond,
				Timeout:    requestTimeout,
			})
		}
	}
	results := generator.Run(ctx, streams, scenario.options.Seed+uint64(number))
	results = append(results, <-burst...)
	scenario.note("callers of %s were served in %s", region, sender.ServedIn())
	return results
}

// seeds returns the addresses to which callers send look-ups.
func (scenario *scenario) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, entryVM := range scenario.deployment.entryVMs() {
		seeds = append(seeds, entryVM.CallerAddress)
	}
	return seeds
}

// burstFactor is the rate of the burst as a multiple of the usual rate of the first kind of request in the first region. The
// burst raises the demand above what the region's backend servers may carry, so that other regions have to serve a part.
const burstFactor = 4

// loadBurst sends the burst of the callers of the first region from burstAt on. It sends nothing for other regions.
func (scenario *scenario) loadBurst(ctx context.Context, sender *callerload.Sender, number int) []load.Result {
	if number > 0 {
		return nil
	}
	select {
	case <-time.After(burstAt):
	case <-ctx.Done():
	}
	scenario.recorder.beginBurst()
	service := scenario.deployment.services[0]
	stream := service.streams[0]
	generator := load.NewGenerator(sender, timer.System{}, string(scenario.deployment.regions[number])+"-burst")
	generator.OnCompletion = scenario.recorder.record
	return generator.Run(ctx, []load.Stream{{
		Service:    service.name,
		Kind:       stream.kind,
		Idempotent: stream.idempotent,
		PerSecond:  stream.perSecond * burstFactor,
		Timeout:    requestTimeout,
	}}, scenario.options.Seed)
}

// runEvents drains a backend server and stops an entry VM gracefully. It makes the store unavailable, and meanwhile kills an
// entry VM and replaces it. Then it pauses another entry VM.
func (scenario *scenario) runEvents(ctx context.Context) error {
	entryVMs := scenario.deployment.entryVMs()
	drained, stopped, killed, paused := scenario.deployment.backendServers()[0], entryVMs[1], entryVMs[2], entryVMs[4]
	start := time.Now()
	wait := func(at time.Duration) {
		select {
		case <-time.After(time.Until(start.Add(at))):
		case <-ctx.Done():
		}
	}
	wait(backendDrainAt)
	if err := scenario.drainBackendServer(drained); err != nil {
		return err
	}
	wait(entryDrainAt)
	if err := scenario.stopEntryVM(stopped); err != nil {
		return err
	}
	wait(storeDownAt)
	if err := scenario.setStoreFaults(storestandin.Faults{Down: true}); err != nil {
		return err
	}
	wait(entryKillAt)
	scenario.launcher.kill(string(killed.ID))
	scenario.note("killed %s at %s and replaced it at the same address", killed.ID, seconds(time.Since(start)))
	wait(entryRestartAt)
	if err := scenario.startEntryVM(killed); err != nil {
		return err
	}
	scenario.checkStartWithoutStore(killed)
	if err := scenario.setStoreFaults(storestandin.Faults{}); err != nil {
		return err
	}
	wait(entryPauseAt)
	scenario.note("paused %s for %s", paused.ID, seconds(entryPause))
	return scenario.launcher.pause(string(paused.ID), entryPause)
}

// checkStartWithoutStore checks that a VM that starts while the store is unavailable becomes ready with state from its
// peers.
func (scenario *scenario) checkStartWithoutStore(entryVM oleandervane.EntryVM) {
	start := time.Now()
	violations, detail := 1, "it was not ready after "+seconds(peerStartLimit)
	for violations > 0 && time.Since(start) < peerStartLimit {
		time.Sleep(pollPeriod)
		if send(http.MethodGet, readyURL(entryVM), nil) == nil {
			violations = 0
		}
	}
	scenario.note("%s was ready %s after its start without the store", entryVM.ID, seconds(time.Since(start)))
	scenario.addGuarantee(guarantee{text: "a VM that starts while the store is down learns from its peers", violations: violations, detail: detail})
}

// drainBackendServer marks a backend server as leaving and checks that it receives no new requests after leaveLimit.
func (scenario *scenario) drainBackendServer(backendServer oleandervane.BackendServer) error {
	if err := scenario.setFaults(backendServer, backendstandin.Faults{Drain: true}); err != nil {
		return err
	}
	if err := scenario.publishVMList(map[string]bool{string(backendServer.ID): true}); err != nil {
		return err
	}
	time.Sleep(leaveLimit)
	before, err := scenario.totalRuns(backendServer)
	if err != nil {
		return err
	}
	go scenario.checkNoNewRequests(backendServer, before)
	return nil
}

// observationTime is how long the demo checks that a leaving backend server receives no new requests.
const observationTime = 2 * time.Second

func (scenario *scenario) checkNoNewRequests(backendServer oleandervane.BackendServer, before int) {
	time.Sleep(observationTime)
	after, err := scenario.totalRuns(backendServer)
	if err != nil {
		after = before
	}
	scenario.addGuarantee(guarantee{
		text:       "a leaving backend server receives no new work after 3 s",
		violations: after - before,
		detail:     fmt.Sprintf("%s ran %d requests", backendServer.ID, after-before),
	})
}

func (scenario *scenario) stopEntryVM(entryVM oleandervane.EntryVM) error {
	duration, err := scenario.launcher.terminate(string(entryVM.ID), terminationLimit)
	violations := 0
	if err != nil {
		violations = 1
	}
	scenario.addGuarantee(guarantee{text: "a planned stop of an entry VM ends by itself", violations: violations, detail: fmt.Sprint(err)})
	scenario.note("drained and stopped %s in %s", entryVM.ID, seconds(duration))
	return nil
}

// report prints the outcomes and the guarantees, and returns the number of violations of guarantees.
func (scenario *scenario) report(results []load.Result) (int, error) {
	runs, err := scenario.journals()
	if err != nil {
		return 0, eris.Wrap(err, "read the journals of backend servers")
	}
	fmt.Printf("\n%s: %d entry VMs, %d backend servers, %s of load\n", scenario.deployment.name,
		len(scenario.deployment.entryVMs()), len(scenario.deployment.backendServers()), seconds(loadTime))
	if err := load.WriteTable(os.Stdout, results); err != nil {
		return 0, err
	}
	for _, note := range scenario.notes {
		fmt.Println(note)
	}
	unanswered := strings.Join(scenario.recorder.unanswered, "\n")
	if err := os.WriteFile(filepath.Join(scenario.folder, "unanswered.txt"), []byte(unanswered), 0o644); err != nil {
		return 0, err
	}
	guarantees := append(scenario.recorder.compare(runs), scenario.guarantees...)
	return writeGuarantees(os.Stdout, guarantees), nil
}

func (scenario *scenario) note(format string, arguments ...any) {
	scenario.recorder.mutex.Lock()
	defer scenario.recorder.mutex.Unlock()
	scenario.notes = append(scenario.notes, fmt.Sprintf(format, arguments...))
}

func (scenario *scenario) addGuarantee(guarantee guarantee) {
	scenario.recorder.mutex.Lock()
	defer scenario.recorder.mutex.Unlock()
	scenario.guarantees = append(scenario.guarantees, guarantee)
}
