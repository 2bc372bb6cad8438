package main

import (
	"fmt"
	"time"

	"oleandervane.example/standin/storestandin"
	"oleandervane.example/testbed/installation"
)

// leavingCase says which servers of a service of three leave, and how long the store is down meanwhile.
type leavingCase struct {
	leavers int
	outage  time.Duration
	// replaced says that a new server starts for each that leaves, before that one leaves.
	replaced bool
}

// playRelease replaces all servers of a service while the store is down.
func playRelease(started *installation.Installation, disrupted bool) (broken []string, err error) {
	return leavingCase{leavers: 3, outage: 25 * time.Second, replaced: true}.play(started, disrupted)
}

// playLeaving has one of three servers leave while the store is down for long.
func playLeaving(started *installation.Installation, disrupted bool) (broken []string, err error) {
	return leavingCase{leavers: 1, outage: 80 * time.Second}.play(started, disrupted)
}

func (leavingCase leavingCase) play(started *installation.Installation, disrupted bool) (broken []string, err error) {
	record, arrivals := started.Record, &installation.Arrivals{}
	servers, err := startServers(started, arrivals, "ledger", "old", 3)
	if err != nil {
		return nil, err
	}
	if err := prepare(started, servers, 2); err != nil {
		return nil, err
	}
	callers := installation.NewCallers(record)
	stop := keepFiling(started, callers)
	time.Sleep(4 * time.Second)
	if disrupted {
		record.Say("the store is down")
		started.Store.SetFaults(storestandin.Faults{Down: true})
		time.AfterFunc(leavingCase.outage, func() {
			started.Store.SetFaults(storestandin.Faults{})
			record.Say("the store is back")
		})
	}
	time.Sleep(time.Second)
	if leavingCase.replaced {
		replacements, err := startServers(started, arrivals, "ledger", "new", leavingCase.leavers)
		if err != nil {
			return nil, err
		}
		record.Say("%d new servers start", len(replacements))
		for _, server := range replacements {
			go register(started, server, "ready")
		}
		time.Sleep(time.Second)
	}
	leavers := servers[:leavingCase.leavers]
	for _, server := range leavers {
		server.Leave()
	}
	for _, server := range leavers {
		register(started, server, "draining")
	}
	record.Say("the store has accepted that %d servers are draining", len(leavers))
	time.Sleep(installation.DrainTimeout + time.Second)
	for _, server := range leavers {
		if err := started.Remove(server.Key()); err != nil {
			return nil, err
		}
		server.Stop()
	}
	record.Say("%d servers have ended", len(leavers))
	time.Sleep(2 * time.Second)
	stop()
	return sentToLeaving(callers.All(), arrivals.All(), record), nil
}

// sentToLeaving returns the requests that reached a server from a VM although the caller sent them later than the drain time-out after
// the VM had passed on a response that says that the server leaves.
func sentToLeaving(sent []installation.Sent, arrivals []installation.Arrival, record *installation.Record) (broken []string) {
	type pair struct{ vm, server string }
	servers := map[string]string{}
	for _, arrival := range arrivals {
		servers[arrival.RequestID] = arrival.Server
	}
	byID, told := map[string]installation.Sent{}, map[pair]time.Time{}
	for _, request := range sent {
		byID[request.RequestID] = request
		key := pair{request.VM, servers[request.RequestID]}
		if first, found := told[key]; request.Leaving && (!found || request.AnsweredAt.Before(first)) {
			told[key] = request.AnsweredAt
		}
	}
	for _, arrival := range arrivals {
		request, found := byID[arrival.RequestID]
		first, known := told[pair{request.VM, arrival.Server}]
		if late := request.At.Sub(first); found && known && late > installation.DrainTimeout {
			broken = append(broken, fmt.Sprintf("DRAIN: %s reached %s from %s; it was sent %.1f s after %s had passed on that %s leaves",
				request.RequestID, arrival.Server, request.VM, late.Seconds(), request.VM, arrival.Server))
		}
	}
	record.Say("%d requests sent, %d arrivals, %d pairs of a VM and a server that leaves", len(sent), len(arrivals), len(told))
	return broken
}
