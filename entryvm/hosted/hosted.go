package hosted

import (
	"context"
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
	"oleandervane.example/entry/forward"
	"oleandervane.example/entry/ingress"
	"oleandervane.example/entry/pipeline"
	"oleandervane.example/entry/placement"
	"oleandervane.example/entryvm/incarnation"
	"oleandervane.example/entryvm/webserver"
	"oleandervane.example/fleet/exchange"
	"oleandervane.example/fleet/registrywatch"
	"oleandervane.example/fleet/relay"
	"oleandervane.example/fleet/roster"
	"oleandervane.example/platform/catalog"
	"oleandervane.example/platform/dialect"
	"oleandervane.example/platform/doorway"
	"oleandervane.example/platform/store"
)

const (
	// openLimit bounds the opening of a connection to a backend server. A round trip between regions takes 70 ms.
	openLimit = 400 * time.Millisecond
	// idleLimit is how long a connection to a backend server is kept for other requests. Backend servers close idle
	// connections after 10 s.
	idleLimit = 8 * time.Second
	// callerIdleLimit is longer than any idle timeout that configurations set for callers.
	callerIdleLimit = 75 * time.Second
	// headerLimit is how long a caller may take to send the header of a request.
	headerLimit = 10 * time.Second
	// acceptTime is how long a VM that stops takes requests: callers keep answers of the directory for 2 s, some
	// longer.
	acceptTime = 3 * time.Second
	// settleTime is the end of acceptTime, in which no connections are taken and requests on those that were taken last are
	// read.
	settleTime = 300 * time.Millisecond
	// stopMargin is the time before the kill at which the process ends.
	stopMargin = 400 * time.Millisecond
	// memoryShare is the part of the memory from which the collector works harder, so that a burst does not end the
	// process.
	memoryShare = 0.8
	megabyte    = 1 << 20
	// collectorPercent is the growth of the heap until it is collected. VMs are small: at 40 the memory is 18% less than at
	// the usual 100, for 24% more processor time.
	collectorPercent = 40
	// leaveLimit bounds the call that takes the VM off the list.
	leaveLimit = 1500 * time.Millisecond
)

// setLibraryLogs guards the loggers of kratos and of the standard library, which all VMs of a process share.
var setLibraryLogs sync.Once

// EntryVM is a hosted entry VM: all parts, joined and ready to run.
type EntryVM struct {
	// settings are replaced when the file changes; addresses and identity stay.
	settings     atomic.Pointer[Settings]
	timerService oleandervane.TimerService
	log          *logrus.Entry
	logWriter    *logWriter
	observer     *observer
	guard        guard
	store        *store.Client
	roster       *roster.Roster
	placer       *placement.Placer
	forwarder    *forward.Forwarder
	reception    *ingress.Handler
	pipeline     *pipeline.Dispatcher
	beliefs      *beliefs
	watcher      *registrywatch.Watcher
	contact      *relay.ObservedStore
	notices      *exchange.Exchange
	noticeSocket *exchange.Socket
	board        *relay.Board
	relayClient  *relay.Client
	// callers is the listener for callers; nil before Run.
	callers  atomic.Pointer[webserver.DrainListener]
	stopping atomic.Bool
}

// New returns an entry VM that logs to output. It opens no connection before Run.
func New(settings Settings, timerService oleandervane.TimerService, output io.Writer) *EntryVM {
	self := settings.Self(incarnation.New(timerService.Now()))
	entryVM := &EntryVM{logWriter: newLogWriter(output)}
	entryVM.settings.Store(&settings)
	entryVM.log = newLogger(settings, entryVM.logWriter).WithFields(logrus.Fields{
		"vm": self.ID, "incarnation": self.Incarnation, "failure_domain": self.FailureDomain,
	})
	entryVM.observer = &observer{log: entryVM.log, set: metrics.NewSet()}
	entryVM.guard = guard{observer: entryVM.observer}
	timerService = guardedTimers{TimerService: timerService, guard: entryVM.guard}
	entryVM.timerService = timerService
	entryVM.store = store.NewClient(settings.StoreURL, timerService)
	entryVM.contact = relay.Observe(entryVM.store, entryVM.store, timerService)
	entryVM.roster = roster.New(self, entryVM.contact, timerService, entryVM.observer, func() bool { return entryVM.board.Followed() })
	entryVM.board = relay.NewBoard(entryVM.roster, entryVM.contact)
	entryVM.beliefs = newBeliefs(catalog.New(settings.FailureDomains), entryVM.roster, timerService, entryVM.log, entryVM.publish)
	entryVM.observer.beliefs = entryVM.beliefs
	entryVM.placer = placement.NewPlacer(placement.Settings{
		TimerService: timerService,
		Membership:   entryVM.roster,
		Observer:     entryVM.observer,
	})
	entryVM.forwarder = forward.New(forward.Settings{
		IdleTimeout:            idleLimit,
		MaxResponseBytes:       int64(settings.MaxResponseMegabytes) * megabyte,
		Dialect:                dialect.Dialect{},
		AllowUnframedBodies:    true,
		TrustReusedConnections: true,
		ConnectTimeout:         openLimit,
		RetryBudget: forward.NewRetryBudget(timerService, forward.Allowance{
			Window: time.Duration(settings.Retries.Window),
			Ratio:  settings.Retries.Ratio,
			Base:   entryVM.retryBase,
		}),
	}, timerService)
	entryVM.reception = ingress.New(ingress.Dependencies{
		Self:          self,
		CallerDialect: dialect.Dialect{},
		Placer:        entryVM.placer,
		Forwarder:     entryVM.forwarder,
		TimerService:  timerService,
		Observer:      entryVM.observer,
	})
	entryVM.pipeline = pipeline.NewDispatcher(entryVM.reception, settings.PipelinedRequests)
	entryVM.joinFleet(settings)
	entryVM.addGauges()
	return entryVM
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
	set.NewGauge("oleandervane_requests_in_flight", func() float64 { return float64(entryVM.reception.InFlight()) })
	set.NewGauge("oleandervane_requests_begun_early", func() float64 { return float64(entryVM.pipeline.StartedEarly()) })
	set.NewGauge("oleandervane_log_lines_dropped", func() float64 { return float64(entryVM.logWriter.Dropped()) })
	set.NewGauge("oleandervane_store_calls", func() float64 { return float64(entryVM.store.Calls().Total()) })
	set.NewGauge("oleandervane_notices_dropped", func() float64 { return float64(entryVM.noticeSocket.Dropped()) })
	set.NewGauge("oleandervane_beliefs_age_seconds", func() float64 { return entryVM.beliefs.age().Seconds() })
}

// retryBase is this VM's part of the retries that all VMs may make beyond the ratio.
func (entryVM *EntryVM) retryBase() float64 {
	return retryBaseShare * entryVM.settings.Load().Retries.Base / float64(len(entryVM.roster.EntryVMs()))
}

// retryBaseShare leaves room for VMs that have just died and are still counted, or were replaced and start with a
// budget of their own.
const retryBaseShare = 0.6

// publish passes a registry to the parts.
func (entryVM *EntryVM) publish(registry oleandervane.Registry) {
	entryVM.placer.Update(registry)
	if registry.Table != nil {
		entryVM.reception.Publish(registry.Table)
	}
}

// Run starts the VM and serves until it is told to stop by a signal; it then drains and returns.
func (entryVM *EntryVM) Run() error {
	settings := *entryVM.settings.Load()
	debug.SetGCPercent(collectorPercent)
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
	entryVM.callers.Store(callerListener)
	callerServer := webserver.NewOn(entryVM.pipeline.WrapListener(callerListener), entryVM.pipeline)
	callerServer.IdleTimeout, callerServer.ReadHeaderTimeout = callerIdleLimit, headerLimit
	callerServer.ConnContext = pipeline.ConnContext
	setLibraryLogs.Do(func() {
		klog.SetLogger(webserver.Logger(entryVM.log))
		log.SetFlags(0)
		log.SetOutput(webserver.LibraryLog(entryVM.log))
	})
	app := kratos.New(
		kratos.ID(string(settings.ID)),
		kratos.Name("oleandervane-hosted"),
		kratos.Server(
			callerServer,
			entryVM.server(settings.DirectoryAddress, doorway.DirectoryHandler(entryVM)),
			entryVM.server(settings.ReadinessAddress, doorway.ReadinessHandler(entryVM.unready)),
			entryVM.server(settings.OperationsAddress, entryVM.operationsHandler()),
			entryVM.server(settings.PeerAddress, entryVM.peerHandler()),
		),
		kratos.StopTimeout(time.Duration(settings.StopLimit)-acceptTime-stopMargin),
		kratos.BeforeStop(func(context.Context) error { entryVM.drain(); return nil }),
	)
	entryVM.log.WithField("settings", settings).Info("entry VM starts")
	err = app.Run()
	entryVM.forwarder.Close()
	entryVM.relayClient.Close()
	entryVM.log.WithField("in_flight", entryVM.reception.InFlight()).Info("entry VM has stopped")
	entryVM.logWriter.Close()
	return eris.Wrap(err, "running the entry VM")
}

func (entryVM *EntryVM) server(address netip.AddrPort, handler http.Handler) *khttp.Server {
	return webserver.New(address.String(), handler)
}

// drain takes the VM off the list and serves on while callers still hold its address.
func (entryVM *EntryVM) drain() {
	entryVM.stopping.Store(true)
	now := entryVM.timerService.Now()
	entryVM.log.Info("entry VM leaves")
	entryVM.pipeline.Stop()
	entryVM.reception.Stop(now.Add(time.Duration(entryVM.settings.Load().StopLimit) - stopMargin))
	ctx, cancel := context.WithTimeout(context.Background(), leaveLimit)
	defer cancel()
	if err := entryVM.roster.Leave(ctx); err != nil {
		entryVM.log.WithError(err).Warn("entry of this VM could not be removed; it goes when its lease ends")
	}
	entryVM.sleep(acceptTime - settleTime - entryVM.timerService.Now().Sub(now))
	if err := entryVM.callers.Load().Drain(); err != nil {
		entryVM.log.WithError(err).Warn("callers' listener could not be closed")
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

// unready returns why this VM cannot serve callers, or nothing.
func (entryVM *EntryVM) unready() string {
	registry := entryVM.beliefs.registry.Load()
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
	return mux
}
