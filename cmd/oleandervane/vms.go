package main

import (
	"context"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/operator/check"
	"oleandervane.example/operator/status"
)

// queryAll queries all entry VMs concurrently. It returns the responses and the error texts of failed queries, both by
// address.
func queryAll[Response any](terminal *terminal, addresses []string, path string) (map[string]Response, map[string]string, error) {
	if len(addresses) == 0 {
		return nil, nil, eris.Wrap(errUsage, "give at least one --entry-vm")
	}
	found, failed := map[string]Response{}, map[string]string{}
	var mutex sync.Mutex
	var queries sync.WaitGroup
	for _, address := range addresses {
		queries.Go(func() {
			var response Response
			err := status.Query(context.Background(), terminal.timerService, address, path, &response)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				failed[address] = err.Error()
				return
			}
			found[address] = response
		})
	}
	queries.Wait()
	return found, failed, nil
}

// unreachableError returns an error that lists the entry VMs whose query failed, or nil if there are none.
func unreachableError(failed map[string]string) error {
	if len(failed) == 0 {
		return nil
	}
	return eris.Wrapf(errUnreachable, "no answer from %s", strings.Join(slices.Sorted(maps.Keys(failed)), ", "))
}

type statusCommand struct {
	terminal *terminal
	jsonOption
	entryVMOption
}

// Execute prints the status of the entry VMs.
func (command *statusCommand) Execute([]string) error {
	found, failed, err := queryAll[status.Status](command.terminal, command.EntryVMs, "/v1/status")
	if err != nil {
		return err
	}
	var text strings.Builder
	var list []status.Status
	for _, address := range slices.Sorted(maps.Keys(found)) {
		response := found[address]
		list = append(list, response)
		fmt.Fprintf(&text, "%s %s/%s %s revision %d, peers %s, store %s\n", response.ID, response.Region, response.FailureDomain, response.State,
			response.Revision, peerCounts(response.Peers), storeText(response.Store))
		for _, flow := range response.Shares {
			fmt.Fprintf(&text, "  %s from %s: %s\n", flow.Service, flow.Home, shares(flow.Shares))
		}
	}
	if err := command.terminal.show(command.JSON, list, text.String()); err != nil {
		return err
	}
	return unreachableError(failed)
}

func peerCounts(peers map[string]int) string {
	var words []string
	for _, state := range slices.Sorted(maps.Keys(peers)) {
		words = append(words, fmt.Sprintf("%d %s", peers[state], state))
	}
	return strings.Join(words, ", ")
}

func storeText(health status.StoreHealth) string {
	word := "unreachable"
	if health.Reachable {
		word = "reachable"
	}
	if health.AgeSeconds < 0 {
		return word + ", never heard from"
	}
	return fmt.Sprintf("%s, heard from %.1f s ago", word, health.AgeSeconds)
}

func shares(vector oleandervane.ShareVector) string {
	var words []string
	remaining := 1.0
	for _, region := range slices.Sorted(maps.Keys(vector)) {
		words = append(words, fmt.Sprintf("%s %s", region, check.Percent(vector[region])))
		remaining -= vector[region]
	}
	if remaining > 1e-6 {
		words = append(words, "shed "+check.Percent(remaining))
	}
	return strings.Join(words, ", ")
}

type explainCommand struct {
	terminal *terminal
	jsonOption
	entryVMOption
	Arguments struct {
		Service string `positional-arg-name:"SERVICE"`
		Home    string `positional-arg-name:"HOME" description:"home region of the callers"`
	} `positional-args:"true" required:"true"`
}

// Execute prints the shares of a flow and the reasons for them.
func (command *explainCommand) Execute([]string) error {
	path := "/v1/explain?" + url.Values{"service": {command.Arguments.Service}, "home": {command.Arguments.Home}}.Encode()
	found, failed, err := queryAll[status.Explanation](command.terminal, command.EntryVMs, path)
	if err != nil {
		return err
	}
	var text strings.Builder
	var list []status.Explanation
	for _, address := range slices.Sorted(maps.Keys(found)) {
		response := found[address]
		list = append(list, response)
		fmt.Fprintf(&text, "%s, revision %d: %s from %s: %s\n", response.ID, response.Revision, response.Service, response.Home, shares(response.Shares))
		for _, reason := range response.Reasons {
			text.WriteString("  " + reason + "\n")
		}
	}
	if err := command.terminal.show(command.JSON, list, text.String()); err != nil {
		return err
	}
	return unreachableError(failed)
}
