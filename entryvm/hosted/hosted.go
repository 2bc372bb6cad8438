package hosted

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"oleandervane.example"
	"oleandervane.example/entry/account"
	"oleandervane.example/entry/bodymemory"
	"oleandervane.example/entry/forward"
	"oleandervane.example/entry/ingress"
	"oleandervane.example/entry/pipeline"
	"oleandervane.example/entry/placement"
	"oleandervane.example/entryvm/incarnation"
	"oleandervane.example/entryvm/webserver"
	"oleandervane.example/fleet/exchange"
	"oleandervane.example/fleet/ratelimit"
	"oleandervane.example/fleet/registrywatch"
	"oleandervane.example/fleet/relay"
	"oleandervane.example/fleet/roster"
	"oleandervane.example/platform/catalog"
	"oleandervane.example/platform/dialect"
	"oleandervane.example/platform/discovery"
	"oleandervane.example/platform/store"
)

const (
	// connectTimeout bounds the opening of a connection to a backend server. A round trip between regions takes 70 ms.
	connectTimeout = 400 * time.Millisecond
	// backendIdleTimeout is how long an idle connection to a backend server is kept for reuse. Backend servers close idle
	// connections after 10 s.
	backendIdleTimeout = 8 * time.Second
	// callerIdleTimeout is longer than any idle timeout that configurations set for callers.
	callerIdleTimeout = 75 * time.Second
	// headerTimeout bounds the time for a request's header, beside the time of the configuration. It applies to the first
	// byte of a connection and to a header whose beginning arrived together with the request before it, and is longer than any time that
	// configurations set.
	headerTimeout = 30 * time.Second
	// smallRequestTimeout bounds a request of the directory or the readiness with its response, which take one round trip each.
	smallRequestTimeout = 8 * time.Second
	// smallIdleTimeout is how long an idle connection of the directory or the readiness is kept. Configurations allow 15 s.
	smallIdleTimeout = 20 * time.Second
	// acceptTime is how long a stopping VM accepts requests: callers cache responses of the directory for 2 s, some for
	// longer.
	acceptTime = 3 * time.Second
	// settleTime is the last part of acceptTime, in which no connections are accepted and the requests on those that were
	// accepted last are read.
	settleTime = 300 * time.Millisecond
	// stopMargin is the time between the end of the process and the kill by the platform.
	stopMargin = 400 * time.Millisecond
	// memoryShare is the share of the memory that is set as the soft memory limit of the Go runtime. Near the limit, garbage
	// is collected more often, so that a burst does not end the process. With the pages of the program, 8 MB, resident memory stays below
	// 0.8 of the memory.
	memoryShare = 0.72
	megabyte    = 1 << 20
	// bodyShare is the share of the memory that request bodies may take. With what else a VM takes, at most 30 MB, it stays below
	// memoryShare. The largest body that configurations allow, 64 MiB, fits in the least memory of a VM, 136 MB.
	bodyShare = 0.55
	// gcPercent is the growth of the heap between two garbage collections. VMs are small: 40 takes 18% less memory
	// than the default of 100, for 24% more processor time.
	gcPercent = 40
	// leaveTimeout bounds the call that removes this VM from the list.
	leaveTimeout = 1500 * time.Millisecond
)

// setLibraryLogs sets the loggers of kratos and of the standard library only once, because all VMs of a process share them.
var setLibraryLogs sync.Once

// EntryVM is a hosted entry VM with all its parts, ready to run.
type EntryVM struct {
	// settings are replaced when the settings file changes; addresses and identity stay the same.
	settings      atomic.Pointer[Settings]
	timerService  oleandervane.TimerService
	log           *logrus.Entry
	logWriter     *logWriter
	observer      *observer
	guard         guard
	store         *store.Client
	roster        *roster.Roster
	placer        *placement.Placer
	forwarder     *forward.Forwarder
	account       *account.Account
	headerLimits  atomic.Pointer[webserver.HeaderLimits]
	bodyBudget    *bodymemory.Budget
	ingress       *ingress.Handler
	pipeline      *pipeline.Dispatcher
	replica       *replica
	watcher       *registrywatch.Watcher
	observedStore *relay.ObservedStore
	notices       *exchange.Exchange
	noticeSocket  *exchange.Socket
	changeLog     *relay.ChangeLog
	rateLimiter   *ratelimit.Limiter
	relayClient   *relay.Client
	follower      *relay.Follower
	// callerListener accepts the connections of callers; nil before Run.
	callerListener atomic.Pointer[webserver.DrainListener]
	stopping       atomic.Bool
	// askedForEnds is set with the first backend servers.
	askedForEnds atomic.Bool
}

// New returns an entry VM that logs to output. It opens no connection before Run.
func New(settings Settings, timerService oleandervane.TimerService, output io.Writer) *EntryVM {
	self := settings.Self(incarnation.New(timerService.Now()))
	entryVM := &EntryVM{logWriter: newLogWriter(output)}
	entryVM.settings.Store(&settings)
	entryVM.log = newLogger(settings, entryVM.logWriter).WithFields(logrus.Fields{
		"vm": self.ID, "incarnation": self.Incarnation, "failure_domain": self.FailureDomain,
	})
	entryVM.observer = &observer{log: entryVM.log, set: metrics.NewSet(), organisations: newOrganisationCounters()}
	entryVM.guard = guard{observer: entryVM.observer}
	timerService = guardedTimers{TimerService: timerService, guard: entryVM.guard}
	entryVM.timerService = timerService
	entryVM.store = store.NewClient(settings.StoreURL, timerService)
	entryVM.observedStore = relay.Observe(entryVM.store, entryVM.store, timerService)
	entryVM.roster = roster.New(self, entryVM.observedStore, timerService, entryVM.observer, func() bool { return entryVM.changeLog.HasFollowers() })
	entryVM.changeLog = relay.NewChangeLog(entryVM.roster, entryVM.observedStore)
	entryVM.replica = newReplica(catalog.New(settings.FailureDomains), entryVM.roster, timerService, entryVM.log, entryVM.publish)
	entryVM.observer.replica = entryVM.replica
	entryVM.account = account.New(account.NewLimits(int64(settings.MemoryMegabytes)*megabyte, descriptorLimit()), timerService, entryVM.observer)
	entryVM.setHeaderLimits(oleandervane.CallerLimits{})
	entryVM.forwarder = forward.New(forward.Settings{
		IdleTimeout:            backendIdleTimeout,
		MaxResponseBytes:       int64(settings.MaxResponseMegabytes) * megabyte,
		Dialect:                dialect.Dialect{},
		AllowUnframedBodies:    true,
		TrustReusedConnections: true,
		ConnectTimeout:         connectTimeout,
		AbortDelay:             forward.DefaultAbortDelay,
		SuspectObserver:        entryVM.observer,
		BreakObserver:          breakObserver{entryVM},
		ReserveResponse:        entryVM.account.ReserveResponse,
		QuarantineRecorder:     quarantineRecords{store: entryVM.observedStore, log: entryVM.log},
		TrialCoordinator:       newTrialCoordinator(self.ID, entryVM.observedStore, timerService, entryVM.log),
		RetryBudget: forward.NewRetryBudget(timerService, forward.Allowance{
			Window: time.Duration(settings.Retries.Window),
			Ratio:  settings.Retries.Ratio,
			Base:   entryVM.retryBase,
		}),
	}, timerService)
	entryVM.placer = placement.NewPlacer(placement.Settings{
		TimerService: timerService,
		Membership:   entryVM.roster,
		Settled:      entryVM.roster.Settled,
		Prober:       entryVM.forwarder,
		HealthProber: entryVM.forwarder,
		Observer:     entryVM.observer,
	})
	entryVM.joinFleet(settings)
	entryVM.bodyBudget = bodymemory.NewWithAccount(timerService, int64(bodyShare*float64(settings.MemoryMegabytes)*megabyte), entryVM.account)
	entryVM.ingress = ingress.New(ingress.Dependencies{
		Self:          self,
		CallerDialect: dialect.Dialect{},
		Placer:        entryVM.placer,
		Forwarder:     entryVM.forwarder,
		BodyBudget:    entryVM.bodyBudget,
		TimerService:  timerService,
		Observer:      entryVM.observer,
		Limiter:       entryVM.rateLimiter,
		KeysOutdated:  entryVM.keysOutdated,
	})
	entryVM.pipeline = pipeline.NewDispatcher(limitedHandler{Handler: entryVM.ingress, account: entryVM.account}, settings.PipelinedRequests).WithReserve(entryVM.account.BeginAhead)
	entryVM.store.ObserveRestores(entryVM)
	entryVM.addGauges()
	return entryVM
}

// breakObserver passes broken connections to the placer, which is created after the forwarder.
type breakObserver struct {
	entryVM *EntryVM
}

// ObserveBreak passes a broken connection on.
func (breakObserver breakObserver) ObserveBreak(address netip.AddrPort, idle bool) {
	breakObserver.entryVM.placer.ObserveBreak(address, idle)
}

func newLogger(settings Settings, output io.Writer) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(output)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	level, err := logrus.ParseLevel(settings.LogLevel)
	if err != nil {
		level = logrus.InfoLevel
	}
	logger.SetLevel(level)
	return logger
}

func (entryVM *EntryVM) addGauges() {
	set := entryVM.observer.set
	set.NewGauge("oleandervane_requests_in_flight", func() float64 { return float64(entryVM.ingress.InFlight()) })
	set.NewGauge("oleandervane_requests_begun_early", func() float64 { return float64(entryVM.pipeline.StartedEarly()) })
	for _, listener := range []account.Listener{account.CallerListener, account.DirectoryListener, account.ReadinessListener} {
		set.NewGauge(fmt.Sprintf("oleandervane_connections{listener=%q}", listener), func() float64 {
			return float64(entryVM.account.Usage(listener).Connections)
		})
		set.NewGauge(fmt.Sprintf("oleandervane_connection_bytes{listener=%q}", listener), func() float64 {
			return float64(entryVM.account.Usage(listener).Bytes)
		})
	}
	set.NewGauge("oleandervane_body_bytes", func() float64 { return float64(entryVM.bodyBudget.Used()) })
	set.NewGauge("oleandervane_log_lines_dropped", func() float64 { return float64(entryVM.logWriter.Dropped()) })
	set.NewGauge("oleandervane_store_calls", func() float64 { return float64(entryVM.store.Calls().Total()) })
	set.NewGauge("oleandervane_store_catch_ups", func() float64 { return float64(entryVM.replica.catchUps.Load()) })
	set.NewGauge("oleandervane_store_invalid_eras", func() float64 { return float64(entryVM.store.InvalidEras()) })
	set.NewGauge("oleandervane_store_late_responses", func() float64 { return float64(entryVM.store.LateResponses()) })
	set.NewGauge("oleandervane_notices_dropped", func() float64 { return float64(entryVM.noticeSocket.Dropped()) })
	set.NewGauge("oleandervane_invalid_entries_total", func() float64 { return float64(entryVM.replica.invalidEntries.Load()) })
	set.NewGauge("oleandervane_configuration_faults", func() float64 { return float64(entryVM.status().FaultCount) })
	set.NewGauge("oleandervane_rate_limit_datagrams", func() float64 { return float64(entryVM.rateLimiter.Sent()) })
	set.NewGauge("oleandervane_beliefs_age_seconds", func() float64 { return entryVM.replica.age().Seconds() })
}

// retryBase returns this VM's part of the retries that all VMs together may make beyond the ratio. While the VM does not know how many
// VMs there are, it assumes one for each backend server.
func (entryVM *EntryVM) retryBase() float64 {
	vms := len(entryVM.roster.EntryVMs())
	if !entryVM.roster.Settled() {
		vms = max(vms, len(entryVM.replica.registry.Load().BackendServers))
	}
	return retryBaseShare * entryVM.settings.Load().Retries.Base / float64(vms)
}

// retryBaseShare leaves room for VMs that have just died and are still counted, or that were replaced and start with a new
// budget.
const retryBaseShare = 0.6

// publish passes a registry to the placer and its route table to the handler of requests.
func (entryVM *EntryVM) publish(registry oleandervane.Registry) {
	entryVM.recordEnds(registry)
	entryVM.placer.Update(registry)
	if len(registry.BackendServers) > 0 && !entryVM.askedForEnds.Swap(true) {
		entryVM.timerService.After(0, func(time.Time) { entryVM.askForEnds() })
	}
	if registry.Table != nil {
		entryVM.rateLimiter.Update(registry.Table)
		entryVM.setHeaderLimits(registry.Table.Limits)
		entryVM.ingress.Publish(registry.Table)
	}
}

// recordEnds records the runs of backend servers that ended unplanned between the registry in force and the next one.
func (entryVM *EntryVM) recordEnds(next oleandervane.Registry) {
	for id, server := range entryVM.replica.registry.Load().BackendServers {
		if current, found := next.BackendServers[id]; !server.Leaving && (!found || current.StartedAt != server.StartedAt) {
			entryVM.forwarder.Quarantine().RecordEnd(forward.BackendTarget(server.BackendServer).WithRun(server.StartedAt))
		}
	}
}

// Run starts the VM and serves until a signal stops it; it then drains and returns.
func (entryVM *EntryVM) Run() error {
	settings := *entryVM.settings.Load()
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMegabytes) * megabyte))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go entryVM.guard.keepRunning(ctx, "watcher", entryVM.watcher.Run)
	go entryVM.guard.keepRunning(ctx, "roster", entryVM.roster.Run)
	stopNotices, err := entryVM.startNotices(settings.PeerAddress)
	if err != nil {
		return err
	}
	defer stopNotices()
	callerListener, err := webserver.NewDrainListener(settings.CallerAddress.String())
	if err != nil {
		return eris.Wrap(err, "listening for callers")
	}
	entryVM.callerListener.Store(callerListener)
	callerServer := webserver.NewGuarded(
		entryVM.guardListener(entryVM.pipeline.WrapListener(callerListener), account.CallerListener), entryVM.pipeline, pipeline.ConnContext)
	callerServer.IdleTimeout, callerServer.ReadHeaderTimeout = callerIdleTimeout, headerTimeout
	directoryServer, err := entryVM.smallServer(settings.DirectoryAddress, account.DirectoryListener, discovery.DirectoryHandler(entryVM))
	if err != nil {
		return err
	}
	readinessServer, err := entryVM.smallServer(settings.ReadinessAddress, account.ReadinessListener, discovery.ReadinessHandler(entryVM.unready))
	if err != nil {
		return err
	}
	setLibraryLogs.Do(func() {
		klog.SetLogger(webserver.Logger(entryVM.log))
		log.SetFlags(0)
		log.SetOutput(webserver.LibraryLogWriter(entryVM.log))
	})
	app := kratos.New(
		kratos.ID(string(settings.ID)),
		kratos.Name("oleandervane-hosted"),
		kratos.Server(
			callerServer,
			directoryServer,
			readinessServer,
			entryVM.server(settings.OperationsAddress, entryVM.operationsHandler()),
			entryVM.server(settings.PeerAddress, entryVM.peerHandler()),
		),
		kratos.StopTimeout(time.Duration(settings.StopLimit)-acceptTime-stopMargin),
		kratos.BeforeStop(func(context.Context) error { entryVM.drain(); return nil }),
	)
	entryVM.log.WithField("settings", settings).Info("entry VM is starting")
	err = app.Run()
	entryVM.forwarder.Close()
	entryVM.relayClient.Close()
	entryVM.log.WithField("in_flight", entryVM.ingress.InFlight()).Info("entry VM has stopped")
	entryVM.logWriter.Close()
	return eris.Wrap(err, "running the entry VM")
}

func (entryVM *EntryVM) server(address netip.AddrPort, handler http.Handler) *khttp.Server {
	return webserver.New(address.String(), handler)
}

// drain removes the VM from the list and continues to serve while callers still have its address.
func (entryVM *EntryVM) drain() {
	entryVM.stopping.Store(true)
	now := entryVM.timerService.Now()
	entryVM.log.Info("entry VM leaves")
	entryVM.pipeline.Stop()
	entryVM.ingress.Stop(now.Add(time.Duration(entryVM.settings.Load().StopLimit) - stopMargin))
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := entryVM.roster.Leave(ctx); err != nil {
		entryVM.log.WithError(err).Warn("entry of this VM could not be removed from the store; it expires with its lease")
	}
	entryVM.sleep(acceptTime - settleTime - entryVM.timerService.Now().Sub(now))
	if err := entryVM.callerListener.Load().Drain(); err != nil {
		entryVM.log.WithError(err).Warn("listener for callers could not be closed")
	}
	entryVM.sleep(settleTime)
}

func (entryVM *EntryVM) sleep(duration time.Duration) {
	done := make(chan struct{})
	entryVM.timerService.After(duration, func(time.Time) { close(done) })
	<-done
}

// Addresses returns the VMs that a caller should use.
func (entryVM *EntryVM) Addresses(region oleandervane.Region, failureDomain oleandervane.FailureDomain, caller string) ([]netip.AddrPort, time.Duration) {
	var addresses []netip.AddrPort
	for _, other := range roster.Nearest(entryVM.roster.EntryVMs(), roster.Caller{Region: region, FailureDomain: failureDomain, Name: caller}) {
		addresses = append(addresses, other.CallerAddress)
	}
	return addresses, time.Duration(entryVM.settings.Load().LookupLifetime)
}

// unready returns why this VM cannot serve callers, or an empty string if it can.
func (entryVM *EntryVM) unready() string {
	registry := entryVM.replica.registry.Load()
	switch {
	case entryVM.stopping.Load():
		return "the VM stops"
	case registry.Table == nil:
		return "no configuration is known"
	case len(registry.BackendServers) == 0:
		return "no backend server is known"
	}
	return ""
}

func (entryVM *EntryVM) operationsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "text/plain; version=0.0.4")
		entryVM.observer.Write(writer)
	})
	mux.HandleFunc("GET /status", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(writer).Encode(entryVM.status()); err != nil {
			entryVM.log.WithError(err).Debug("status could not be sent")
		}
	})
	return mux
}
