package balance

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oleandervane.example"
)

// Chooser is an oleandervane.BackendChooser for the backend servers of this VM's region. It is safe for concurrent use.
type Chooser struct {
	settings Settings
	// groups is replaced by a changed copy, with mutex locked, when a service is added.
	groups atomic.Pointer[map[oleandervane.ServiceName]*group]
	mutex  sync.Mutex
	maxVMs vmCount
	// firstUpdate is when the first list arrived. Instances that are listed within returnGap after it do not ramp up,
	// because this VM is new and not the instances.
	firstUpdate time.Time
	cancel      func()
}

// New returns a chooser without instances; Update adds them. Close stops its timer.
func New(settings Settings) *Chooser {
	chooser := &Chooser{settings: settings}
	chooser.groups.Store(&map[oleandervane.ServiceName]*group{})
	chooser.cancel = settings.TimerService.Every(refreshPeriod, chooser.refresh)
	return chooser
}

// Close stops the chooser's timer.
func (chooser *Chooser) Close() {
	chooser.cancel()
}

// Update replaces the list of backend servers. Backend servers of other regions are ignored.
func (chooser *Chooser) Update(backendServers []oleandervane.BackendServer) {
	now := chooser.settings.TimerService.Now()
	region := chooser.settings.Membership.Self().Region
	byService := map[oleandervane.ServiceName][]oleandervane.BackendServer{}
	for _, server := range backendServers {
		if server.Region == region {
			byService[server.Service] = append(byService[server.Service], server)
		}
	}
	chooser.mutex.Lock()
	if chooser.firstUpdate.IsZero() && len(byService) > 0 {
		chooser.firstUpdate = now
	}
	skipRamp := now.Sub(chooser.firstUpdate) < returnGap
	groups := maps.Clone(*chooser.groups.Load())
	for serviceName := range byService {
		if groups[serviceName] == nil {
			groups[serviceName] = chooser.newGroup(len(groups))
		}
	}
	chooser.groups.Store(&groups)
	chooser.mutex.Unlock()
	for serviceName, group := range groups {
		group.update(now, byService[serviceName], skipRamp)
	}
	chooser.refresh(now)
}

// Observe records the load that a backend server reported in a response or a probe of this VM.
func (chooser *Chooser) Observe(serviceName oleandervane.ServiceName, report oleandervane.LoadReport) {
	group, known := (*chooser.groups.Load())[serviceName]
	if !known {
		return
	}
	now := chooser.settings.TimerService.Now()
	group.mutex.Lock()
	defer group.mutex.Unlock()
	for _, instance := range group.instances {
		if instance.server.ID == report.BackendServer {
			instance.observe(now, report)
		}
	}
}

// Choose reserves a slot of a backend server of the service that is not in excluded. It fails with an error that wraps
// oleandervane.ErrNoBackendServer.
func (chooser *Chooser) Choose(serviceName oleandervane.ServiceName, excluded []oleandervane.BackendServerID) (oleandervane.Reservation, error) {
	group, known := (*chooser.groups.Load())[serviceName]
	if !known {
		return nil, ErrUnknownService
	}
	now := chooser.settings.TimerService.Now()
	instance, server, err := group.choose(now, chooser.settings.LoadSource, excluded)
	if err != nil {
		return nil, err
	}
	return &reservation{chooser: chooser, group: group, instance: instance, server: server, started: now}, nil
}

// UsableSlots returns how many slots of the service this VM may use at the same time, which is the concurrency limit
// for admission. The number changes with the list, the membership, leaving marks and cold starts; it is meant to be
// read about once a second.
func (chooser *Chooser) UsableSlots(serviceName oleandervane.ServiceName) int {
	group, known := (*chooser.groups.Load())[serviceName]
	if !known {
		return 0
	}
	return group.usableSlots(chooser.settings.TimerService.Now(), chooser.settings.Policy)
}

// ConnectionLimit returns how many connections this VM may have to a backend server, or zero if it is not listed.
func (chooser *Chooser) ConnectionLimit(server oleandervane.BackendServer) int {
	group, known := (*chooser.groups.Load())[server.Service]
	if !known {
		return 0
	}
	return group.connectionLimitOf(server.ID)
}

func (chooser *Chooser) newGroup(number int) *group {
	created := &group{unguarded: chooser.settings.unguarded}
	random := rand.New(rand.NewPCG(chooser.settings.Seed, uint64(number)))
	created.picker = newPicker(chooser.settings.Policy, created, random)
	return created
}

func (chooser *Chooser) refresh(now time.Time) {
	entryVMs := regionVMs(chooser.settings.Membership)
	self := chooser.settings.Membership.Self()
	seeds := make([]uint64, len(entryVMs))
	for index, entryVM := range entryVMs {
		seeds[index] = vmSeed(entryVM.ID)
	}
	selfIndex := slices.IndexFunc(entryVMs, func(entryVM oleandervane.EntryVM) bool { return entryVM.ID == self.ID })
	chooser.mutex.Lock()
	maxVMs := chooser.maxVMs.observe(now, len(entryVMs))
	chooser.mutex.Unlock()
	for _, group := range *chooser.groups.Load() {
		group.refresh(seeds, selfIndex, maxVMs)
	}
}

// reservation is a reserved slot of an instance.
type reservation struct {
	chooser  *Chooser
	group    *group
	instance *instance
	server   oleandervane.BackendServer
	started  time.Time
	released atomic.Bool
}

// BackendServer returns the chosen instance.
func (reservation *reservation) BackendServer() oleandervane.BackendServer {
	return reservation.server
}

// Release frees the slot and records the result of the attempt. Only the first call has an effect.
func (reservation *reservation) Release(attemptResult oleandervane.AttemptResult) {
	if reservation.released.Swap(true) {
		return
	}
	now := reservation.chooser.settings.TimerService.Now()
	closedFor := reservation.group.release(now, reservation.instance, attemptResult, reservation.started)
	if closedFor > 0 {
		reservation.chooser.settings.TimerService.After(closedFor, func(time.Time) { reservation.group.reopen(reservation.instance) })
	}
}
