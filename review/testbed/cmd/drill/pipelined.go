package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"oleandervane.example/testbed/installation"
)

const (
	pipelinedCallers = 5
	queryLimit       = 12 * time.Second
	// queryTime is the run time of the first request of a connection, lookUpTime that of the second.
	queryTime  = 4 * time.Second
	lookUpTime = 600 * time.Millisecond
)

// playPipelined has callers send two safe requests on one connection, the second before the first is answered. With the disruption, the
// VM gets SIGTERM while both are at servers.
func playPipelined(started *installation.Installation, disrupted bool) (broken []string, err error) {
	record, arrivals := started.Record, &installation.Arrivals{}
	servers, err := startServers(started, arrivals, "ledger", "i", 3)
	if err != nil {
		return nil, err
	}
	for _, server := range servers {
		server.RunTimes = map[string]time.Duration{"/archive/query": queryTime, "/archive/lookup": lookUpTime}
	}
	if err := prepareRoute(started, servers, 1, installation.Route("archive", "/archive/", "safe", "ledger", queryLimit)); err != nil {
		return nil, err
	}
	vm := started.VMs[0]
	answers := make([][]string, pipelinedCallers)
	var pending sync.WaitGroup
	for i := range pipelinedCallers {
		pending.Go(func() { answers[i] = sendPipelined(vm, record, fmt.Sprintf("p-%d", i)) })
	}
	time.Sleep(lookUpTime + 200*time.Millisecond)
	if disrupted {
		record.Say("%s gets SIGTERM after %d requests have reached servers", vm.ID, len(arrivals.All()))
		vm.Signal(syscall.SIGTERM)
	}
	pending.Wait()
	ran := map[string]bool{}
	for _, arrival := range arrivals.All() {
		ran[arrival.RequestID] = arrival.Ran
	}
	for i, ids := range answers {
		for _, id := range []string{fmt.Sprintf("p-%d-query", i), fmt.Sprintf("p-%d-lookup", i)} {
			answered := false
			for _, answer := range ids {
				answered = answered || answer == id
			}
			if ran[id] && !answered {
				broken = append(broken, fmt.Sprintf("LOST: %s was passed on to a server, and its connection ended without an answer", id))
			}
		}
	}
	return broken, nil
}

// sendPipelined sends two requests on a connection and returns the ids of those that were answered completely.
func sendPipelined(vm *installation.VM, record *installation.Record, name string) (answered []string) {
	conn, err := net.Dial("tcp", vm.Caller.String())
	if err != nil {
		return nil
	}
	defer conn.Close()
	ids := []string{name + "-query", name + "-lookup"}
	for i, path := range []string{"/archive/query", "/archive/lookup"} {
		record.Add("sent     %s to %s: GET %s", ids[i], vm.ID, path)
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Timeout-Ms: %d\r\n\r\n", path, installation.Host, ids[i], queryLimit.Milliseconds()); err != nil {
			return nil
		}
	}
	reader := bufio.NewReader(conn)
	for _, id := range ids {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			record.Add("broken   %s from %s: %v", id, vm.ID, err)
			return answered
		}
		body, err := io.ReadAll(response.Body)
		record.Add("answered %s from %s: %d %q close=%t %v", id, vm.ID, response.StatusCode, body, response.Close, err)
		if err != nil {
			return answered
		}
		answered = append(answered, id)
	}
	return answered
}
