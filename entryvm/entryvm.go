package entryvm

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kratos/kratos/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"oleandervane.example"
	"oleandervane.example/entry/admission"
	"oleandervane.example/entry/balance"
	"oleandervane.example/entry/forward"
	"oleandervane.example/entry/gateway"
	"oleandervane.example/entry/lookup"
	"oleandervane.example/entry/ticket"
	"oleandervane.example/entryvm/incarnation"
	"oleandervane.example/entryvm/webserver"
	"oleandervane.example/fleet/gossip"
	"oleandervane.example/fleet/measurement"
	"oleandervane.example/fleet/transport"
	"oleandervane.example/operator/burn"
	"oleandervane.example/platform/vmlist"
	"oleandervane.example/steering/drain"
	"oleandervane.example/steering/grant"
	"oleandervane.example/steering/share"
)

// EntryVM is one entry VM with all its components.
type EntryVM struct {
	settings     Settings
	self         oleandervane.EntryVM
	timerService oleandervane.TimerService
	log          *logrus.Entry
	observer     *observer
	lookup       *lookup.Lookup
	tickets      *ticket.Ledger
	admission    *admission.Controller
	recorder     *burn.Recorder
	vmList       *listReader
	plans        atomic.Pointer[drain.Plans]
	// loggedDrainsRevision is the last revision whose drains were logged; only refresh uses it.
	loggedDrainsRevision oleandervane.Revision
	decoder              *decoder
	// blockTable is the look-up table in force; only acceptConfiguration uses it.
	blockTable blockTable

	// The components below need the gossip node, which Run starts.
	daemon          *transport.Daemon
	forwarder       *forward.Forwarder
	measurement     *measurement.Measurement
	backends        *balance.Chooser
	inputs          *inputs
	grantController *grant.Controller
	steerer         *share.Steerer
	// snapshotSource is the steerer for the gossip node, which requests snapshots from its own goroutines.
	snapshotSource atomic.Pointer[share.Steerer]
	kindMix        *kindMix
	gateway        *gateway.Gateway
	relay          atomic.Pointer[http.Handler]
	superseded     atomic.Bool
	// stop ends Run gracefully.
	stop    func()
	cancels []func()
}

// New returns an entry VM with the given settings. It opens no connection before Run.
func New(settings Settings, timerService oleandervane.TimerService, logger *logrus.Logger) *EntryVM {
	self := settings.Self(incarnation.New(timerService.Now()))
	entryVM := &EntryVM{
		settings:     settings,
		self:         self,
		timerService: timerService,
		log: logger.WithFields(logrus.Fields{
			FieldVM:            self.ID,
			FieldIncarnation:   self.Incarnation,
			FieldRegion:        self.Region,
			FieldFailureDomain: self.FailureDomain,
		}),
		lookup:   lookup.New(self),
		decoder:  newDecoder(),
		recorder: burn.NewRecorder(self.ID, self.Incarnation, timerService),
		vmList:   &listReader{vmList: gossip.NewAsynchronousVMList(vmlist.NewClient(settings.VMListURL, timerService))},
		tickets: ticket.NewLedger(ticket.Settings{
			VM:          self.ID,
			Incarnation: self.Incarnation,
			Lifetime:    time.Duration(settings.Requests.TicketLifetime),
		}, timerService),
		admission: admission.New(admission.Settings{
			TimerService: timerService,
			DefaultLimit: 1,
			QueueLimit:   settings.Queue.Length,
		}),
	}
	entryVM.plans.Store(&drain.Plans{})
	return entryVM
}

// Run starts the VM and serves until a signal stops it; it then drains and returns.
func (entryVM *EntryVM) Run() error {
	if err := entryVM.startNode(); err != nil {
		return err
	}
	entryVM.startMeasurement()
	entryVM.startSteering()
	entryVM.observer = newObserver(metrics.NewSet(), componentObserver{entryVM})
	entryVM.gateway = entryVM.newGateway()
	relay := entryVM.gateway.RelayHandler()
	entryVM.relay.Store(&relay)
	app := kratos.New(
		kratos.ID(string(entryVM.self.ID)),
		kratos.Name("oleandervane-entry"),
		kratos.Logger(webserver.Logger(entryVM.log)),
		kratos.Server(
			webserver.New(entryVM.settings.CallerAddress.String(), entryVM.gateway.CallerHandler()),
			webserver.New(entryVM.settings.OperationsAddress.String(), entryVM.operationsHandler()),
		),
		kratos.StopTimeout(time.Duration(entryVM.settings.Shutdown.DrainLimit)),
		kratos.BeforeStop(func(context.Context) error { return entryVM.drain() }),
	)
	entryVM.stop = func() { _ = app.Stop() }
	entryVM.startRefresh()
	entryVM.log.Info("entry VM starts")
	err := app.Run()
	entryVM.close()
	if err != nil {
		return eris.Wrap(err, "running the entry VM")
	}
	entryVM.log.Info("entry VM has stopped")
	return nil
}

// drain announces that this VM leaves, continues to serve while callers may still use look-up responses that name it,
// and then waits for requests in flight.
func (entryVM *EntryVM) drain() error {
	entryVM.log.Info("entry VM leaves")
	entryVM.daemon.Node.Leave()
	entryVM.sleep(entryVM.lookupGrace())
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(entryVM.settings.Shutdown.DrainLimit))
	defer cancel()
	if err := entryVM.gateway.Drain(ctx); err != nil {
		entryVM.log.WithError(err).Error("drain limit reached; aborting the requests in flight")
	}
	return nil
}

// leavePropagationTime is how long peers may still name this VM in look-up responses after it has announced that it
// leaves.
const leavePropagationTime = 2 * time.Second

// lookupGrace returns how long callers may still use this VM after it has announced that it leaves.
func (entryVM *EntryVM) lookupGrace() time.Duration {
	grace := time.Duration(entryVM.settings.Shutdown.LookupGrace)
	configuration := entryVM.daemon.Node.Configuration()
	if configuration == nil {
		return grace
	}
	return max(grace, configuration.LookupLifetime+leavePropagationTime)
}

func (entryVM *EntryVM) sleep(duration time.Duration) {
	done := make(chan struct{})
	entryVM.timerService.After(duration, func(time.Time) { close(done) })
	<-done
}

func (entryVM *EntryVM) close() {
	for _, cancel := range entryVM.cancels {
		cancel()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := entryVM.daemon.Stop(ctx); err != nil {
		entryVM.log.WithError(err).Debug("gossip node did not stop cleanly")
	}
	entryVM.measurement.Stop()
	entryVM.backends.Close()
	entryVM.forwarder.Close()
	entryVM.admission.Close()
	entryVM.recorder.Close()
}
