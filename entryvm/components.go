package entryvm

import (
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/entry/balance"
	"oleandervane.example/entry/forward"
	"oleandervane.example/entry/gateway"
	"oleandervane.example/fleet/gossip"
	"oleandervane.example/fleet/measurement"
	"oleandervane.example/fleet/transport"
	"oleandervane.example/operator/keys"
	"oleandervane.example/platform/store"
	"oleandervane.example/steering/grant"
	"oleandervane.example/steering/share"
)

const (
	// refreshPeriod is how often the components are updated from gossip.
	refreshPeriod = time.Second
	// quarantinePeriod is how often quarantined request fingerprints are exchanged.
	quarantinePeriod = 5 * time.Second
)

// startNode starts the gossip node. Callbacks can run before the other components exist, so they use only what New has
// created.
func (entryVM *EntryVM) startNode() error {
	serverTLS, clientTLS, err := entryVM.loadIdentity()
	if err != nil {
		return err
	}
	daemon, err := transport.Start(gossip.Settings{
		Self:                  entryVM.self,
		TimerService:          entryVM.timerService,
		Store:                 gossip.NewAsynchronousStore(store.NewClient(entryVM.settings.StoreURL, entryVM.timerService)),
		Decoder:               entryVM.decoder,
		Random:                entryVM.random(1),
		VMList:                entryVM.vmList,
		ConfigurationAccepted: entryVM.acceptConfiguration,
		Snapshot:              entryVM.snapshot,
		Log:                   entryVM.log.WithField(FieldPart, "gossip"),
	}, serverTLS, clientTLS, http.HandlerFunc(entryVM.serveRelay))
	if err != nil {
		return eris.Wrap(err, "starting the gossip node")
	}
	entryVM.daemon = daemon
	return nil
}

// loadIdentity returns the TLS configurations for peers, which are nil if the settings name no certificate. It also
// creates the forwarder, which uses the same identity for relayed requests.
func (entryVM *EntryVM) loadIdentity() (serverTLS, clientTLS *tls.Config, err error) {
	files := entryVM.settings.PeerTLS
	forwarderSettings := forward.Settings{AbortDelay: forward.DefaultAbortDelay, TrialCoordinator: rankedTrials{entryVM}}
	if files.CertificateFile != "" {
		identity, err := keys.LoadIdentity(keys.Files{
			Certificate: files.CertificateFile,
			Key:         files.KeyFile,
			Authorities: files.AuthorityFile,
		}, entryVM.timerService, func(err error) {
			entryVM.log.WithError(err).Error("loading the changed keys failed; the previous keys stay in force")
		})
		if err != nil {
			return nil, nil, eris.Wrap(err, "loading the TLS identity for peers")
		}
		entryVM.cancels = append(entryVM.cancels, identity.Close)
		serverTLS, clientTLS = identity.ServerTLS(), identity.ClientTLS("h2")
		forwarderSettings.RelayTLS = identity.ClientTLS("http/1.1")
	}
	entryVM.forwarder = forward.New(forwarderSettings, entryVM.timerService)
	return serverTLS, clientTLS, nil
}

// serveRelay serves requests that entry VMs of other regions relay to the peer address.
func (entryVM *EntryVM) serveRelay(writer http.ResponseWriter, request *http.Request) {
	relay := entryVM.relay.Load()
	if relay == nil {
		// The VM is still starting, so the request has not run.
		writer.Header().Set(oleandervane.HeaderOutcome, string(oleandervane.NotRun))
		writer.Header().Set(oleandervane.HeaderReason, "starting")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	(*relay).ServeHTTP(writer, request)
}

// random returns a separate random source for one component.
func (entryVM *EntryVM) random(component uint64) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(entryVM.self.Incarnation), component))
}

func (entryVM *EntryVM) startMeasurement() {
	node := entryVM.daemon.Node
	entryVM.measurement = measurement.New(measurement.Settings{
		TimerService:  entryVM.timerService,
		Gossip:        drainingNode{node, entryVM},
		Prober:        newProber(entryVM.self.ID, entryVM.timerService),
		Configuration: node,
		Random:        entryVM.random(2),
	})
	entryVM.measurement.Start()
	entryVM.backends = balance.New(balance.Settings{
		Membership:   node.Membership(),
		LoadSource:   entryVM.measurement,
		TimerService: entryVM.timerService,
		Seed:         uint64(entryVM.self.Incarnation),
	})
}

func (entryVM *EntryVM) startSteering() {
	entryVM.inputs = &inputs{
		self:         entryVM.self,
		node:         entryVM.daemon.Node,
		measurement:  entryVM.measurement,
		timerService: entryVM.timerService,
		vmList:       entryVM.vmList,
		peerCounts:   newPeerCountCodec(),
		grantFilter:  newGrantFilter(entryVM.drainState),
		log:          entryVM.log.WithField(FieldPart, "steering"),
	}
	entryVM.grantController = grant.NewController(entryVM.self, entryVM.inputs, entryVM.drainState)
	entryVM.inputs.grantController = entryVM.grantController
	entryVM.steerer = share.NewSteerer(entryVM.self, entryVM.inputs, share.NewPolicy(entryVM.drainState))
	entryVM.snapshotSource.Store(entryVM.steerer)
	entryVM.kindMix = newKindMix(entryVM.daemon.Node)
	entryVM.cancels = append(entryVM.cancels,
		entryVM.grantController.Run(entryVM.timerService),
		entryVM.steerer.Run(entryVM.timerService),
		entryVM.timerService.Every(kindMixPeriod, entryVM.kindMix.update),
	)
}

// startRefresh starts the periodic update of the components from gossip.
func (entryVM *EntryVM) startRefresh() {
	entryVM.refresh(entryVM.timerService.Now())
	entryVM.cancels = append(entryVM.cancels,
		entryVM.timerService.Every(refreshPeriod, entryVM.refresh),
		entryVM.timerService.Every(quarantinePeriod, func(time.Time) {
			entryVM.inputs.syncQuarantine(entryVM.forwarder.Quarantine())
		}),
	)
}

func (entryVM *EntryVM) refresh(now time.Time) {
	entryVM.stopIfSuperseded()
	entryVM.planDrains()
	entryVM.publishEntryVMs(now)
	backendServers, readAt := drainingNode{entryVM.daemon.Node, entryVM}.BackendServers()
	if !readAt.IsZero() {
		entryVM.backends.Update(backendServers)
		entryVM.limitAdmission(entryVM.daemon.Node.Configuration())
	}
	entryVM.inputs.publish(now)
}

// stopIfSuperseded stops this VM if peers know a later incarnation with the same id. Peers then ignore what this
// incarnation reports about itself, and callers are sent to the later one.
func (entryVM *EntryVM) stopIfSuperseded() {
	later, superseded := entryVM.daemon.Node.Membership().Superseded()
	if !superseded || entryVM.superseded.Swap(true) {
		return
	}
	entryVM.log.WithField("later_incarnation", later).Error("a later incarnation of this VM is in service; stopping this one")
	go entryVM.stop()
}

// publishEntryVMs passes the known entry VMs to the look-up. Those of a planned drain count as leaving from the start
// of the drain.
func (entryVM *EntryVM) publishEntryVMs(now time.Time) {
	entryVMs := entryVM.daemon.Node.Membership().EntryVMs()
	drained := drainedEntryVMs(*entryVM.plans.Load(), now)
	if len(drained) == 0 {
		entryVM.lookup.PublishEntryVMs(entryVMs)
		return
	}
	marked := make([]oleandervane.EntryVM, 0, len(entryVMs))
	for _, other := range entryVMs {
		if drained[other.ID] {
			other = other.WithState(oleandervane.VMLeaving)
		}
		marked = append(marked, other)
	}
	entryVM.lookup.PublishEntryVMs(marked)
}

// limitAdmission limits the admitted requests of each service to the slots that this VM may use.
func (entryVM *EntryVM) limitAdmission(configuration *oleandervane.Configuration) {
	if configuration == nil {
		return
	}
	for serviceName := range configuration.Services {
		entryVM.admission.SetLimit(serviceName, entryVM.backends.UsableSlots(serviceName))
	}
}

// acceptConfiguration applies a revision to all components. Gossip calls it for one revision at a time.
func (entryVM *EntryVM) acceptConfiguration(configuration *oleandervane.Configuration) {
	log := entryVM.log.WithField(FieldRevision, configuration.Revision)
	entryVM.lookup.PublishConfiguration(*configuration)
	blockTable, err := entryVM.blockTable.withChunks(entryVM.decoder.popBlocks(configuration))
	if err != nil {
		log.WithError(err).Error("applying the client blocks failed; the previous ones stay in force")
	} else {
		entryVM.blockTable = blockTable
		entryVM.lookup.PublishTable(blockTable.table)
	}
	entryVM.recorder.SetConfiguration(configuration)
	log.Info("configuration is in force")
}

// snapshot returns the encoded shares in force for the region's snapshot, or nil if there are none yet.
func (entryVM *EntryVM) snapshot() []byte {
	steerer := entryVM.snapshotSource.Load()
	if steerer == nil {
		return nil
	}
	snapshot, known := steerer.Snapshot()
	if !known {
		return nil
	}
	encoded, err := snapshot.Encode()
	if err != nil {
		entryVM.log.WithError(err).Error("encoding the steering snapshot failed")
		return nil
	}
	return encoded
}

func (entryVM *EntryVM) newGateway() *gateway.Gateway {
	return gateway.New(gateway.Settings{
		MaxBodyBytes:             entryVM.settings.Requests.MaxBodyBytes,
		TrustCallerAddressHeader: entryVM.settings.TrustCallerAddressHeader,
	}, gateway.Dependencies{
		Membership:    entryVM.daemon.Node.Membership(),
		Configuration: entryVM.daemon.Node,
		Lookup:        entryVM.lookup,
		Tickets:       entryVM.tickets,
		Admission:     entryVM.admission,
		Regions:       entryVM.steerer,
		Backends:      entryVM.backends,
		Forwarder:     entryVM.forwarder,
		Grants:        entryVM.grantController,
		OutcomeRelay:  newOutcomeRelay(),
		Observer:      entryVM.observer,
		Points:        entryVM.kindMix,
		TimerService:  entryVM.timerService,
	})
}

// componentObserver passes the events of the gateway to the components that record them.
type componentObserver struct {
	entryVM *EntryVM
}

func (componentObserver) LookupServed(oleandervane.ServiceName) {}

func (componentObserver componentObserver) Arrived(serviceName oleandervane.ServiceName, kind oleandervane.Kind, home oleandervane.Region) {
	componentObserver.entryVM.measurement.CountRequest(serviceName, home)
	componentObserver.entryVM.kindMix.count(serviceName, kind.Name)
}

func (componentObserver componentObserver) Finished(completion gateway.Completion) {
	if completion.Relayed {
		// The VM that received the request from its caller records it.
		return
	}
	componentObserver.entryVM.recorder.Record(completion.Service, completion.Kind.Name, completion.Outcome, completion.Latency)
}

func (componentObserver componentObserver) LoadReported(serviceName oleandervane.ServiceName, report oleandervane.LoadReport) {
	componentObserver.entryVM.measurement.Observe(report)
	componentObserver.entryVM.backends.Observe(serviceName, report)
}
