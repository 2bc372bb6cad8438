package entryvm

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"oleandervane.example"
	"oleandervane.example/entry/gateway"
)

// roundRobin chooses backend servers in turn.
type roundRobin struct {
	servers atomic.Pointer[[]oleandervane.BackendServer]
	next    atomic.Uint64
}

func (roundRobin *roundRobin) publish(backendServers []oleandervane.BackendServer) {
	roundRobin.servers.Store(&backendServers)
}

// Choose returns the next backend server of the service that is not leaving and not excluded.
func (roundRobin *roundRobin) Choose(serviceName oleandervane.ServiceName, excluded []oleandervane.BackendServerID) (oleandervane.Reservation, error) {
	var candidates []oleandervane.BackendServer
	for _, backendServer := range *roundRobin.servers.Load() {
		if backendServer.Service == serviceName && !backendServer.Leaving && !slices.Contains(excluded, backendServer.ID) {
			candidates = append(candidates, backendServer)
		}
	}
	if len(candidates) == 0 {
		return nil, oleandervane.ErrNoBackendServer
	}
	return reservation{candidates[roundRobin.next.Add(1)%uint64(len(candidates))]}, nil
}

type reservation struct {
	backendServer oleandervane.BackendServer
}

func (reservation reservation) BackendServer() oleandervane.BackendServer {
	return reservation.backendServer
}

func (reservation) Release(oleandervane.AttemptResult) {}

// homeRegion serves every request in this VM's region.
type homeRegion struct {
	self oleandervane.Region
}

func (homeRegion homeRegion) ChooseRegion(oleandervane.ServiceName, oleandervane.Region, float64) (oleandervane.Region, error) {
	return homeRegion.self, nil
}

// noGrants refuses relayed requests.
type noGrants struct{}

func (noGrants) Take(time.Time, oleandervane.ServiceName, oleandervane.Region) bool { return false }

// noOutcomeRelay asks nobody.
type noOutcomeRelay struct{}

func (noOutcomeRelay) Outcome(context.Context, oleandervane.EntryVM, string) (gateway.OutcomeBody, error) {
	return gateway.OutcomeBody{}, errors.New("outcomes are not relayed yet")
}

// unready returns why this VM cannot serve callers, or an empty text.
func (entryVM *EntryVM) unready() string {
	if entryVM.daemon.Node.Configuration() == nil {
		return "no configuration is in force"
	}
	if len(*entryVM.backends.servers.Load()) == 0 {
		return "no backend server of this region is known"
	}
	return ""
}
