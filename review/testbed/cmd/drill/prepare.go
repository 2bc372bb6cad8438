package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"oleandervane.example/testbed/installation"
)

const (
	// callInterval is the time between two requests to each VM.
	callInterval = 100 * time.Millisecond
	filingLimit  = 4 * time.Second
	filingTime   = 20 * time.Millisecond
	// heartbeat is the time between two writes of a backend server to the store.
	heartbeat = 1500 * time.Millisecond
	// settleTime is longer than stable_window_s, so that the VMs are in touch when the first request is sent.
	settleTime = 5 * time.Second
)

// startServers starts backend servers of a service, one in each place in turn.
func startServers(started *installation.Installation, arrivals *installation.Arrivals, service, name string, count int) ([]*installation.Server, error) {
	var servers []*installation.Server
	for i := range count {
		place := installation.Places[i%len(installation.Places)]
		server, err := started.StartServer(fmt.Sprintf("%s-%d", name, i), service, place, filingTime, arrivals)
		if err != nil {
			return nil, err
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// prepare writes the entries of servers and a configuration with an unsafe route, and starts VMs, one in each place in turn.
func prepare(started *installation.Installation, servers []*installation.Server, vms int) error {
	return prepareRoute(started, servers, vms, installation.Route("filing", "/filing/", "unsafe", "ledger", filingLimit))
}

// prepareRoute does the same with another route.
func prepareRoute(started *installation.Installation, servers []*installation.Server, vms int, route string) error {
	for _, server := range servers {
		if err := started.Write(server.Key(), server.Entry("ready")); err != nil {
			return err
		}
	}
	configuration := installation.Configuration(1, installation.Service("ledger"), route)
	if err := started.Write("op/config", configuration); err != nil {
		return err
	}
	for i := range vms {
		if _, err := started.StartVM(fmt.Sprintf("vm-%d", i), installation.Places[i%len(installation.Places)]); err != nil {
			return err
		}
	}
	if err := started.AwaitReady(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// register writes the entry of a server, with each heartbeat until the store accepts it.
func register(started *installation.Installation, server *installation.Server, state string) {
	for started.Write(server.Key(), server.Entry(state)) != nil {
		time.Sleep(heartbeat)
	}
	started.Record.Say("the store has accepted that %s is %s", server.ID, state)
}

// keepFiling sends unsafe requests to all VMs until the returned function is called, which waits for their answers.
func keepFiling(started *installation.Installation, callers *installation.Callers) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var waits []func()
	for _, vm := range started.VMs {
		var number atomic.Int64
		waits = append(waits, callers.Keep(ctx, callInterval, func() {
			callers.Send(vm, http.MethodPost, fmt.Sprintf("/filing/%d", number.Add(1)), "20 hours", filingLimit)
		}))
	}
	return func() {
		cancel()
		for _, wait := range waits {
			wait()
		}
	}
}
