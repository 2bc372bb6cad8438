package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"oleandervane.example"
	"oleandervane.example/entry/caller"
	"oleandervane.example/standin/backendstandin"
	"oleandervane.example/standin/load"
	"oleandervane.example/timer"
)

// sender plays the callers of one region.
type sender struct {
	client *caller.Client

	mutex  sync.Mutex
	served map[string]int
}

func newSender(deployment deployment, number int) *sender {
	var seeds []netip.AddrPort
	for _, entryVM := range deployment.entryVMs() {
		seeds = append(seeds, entryVM.CallerAddress)
	}
	return &sender{served: map[string]int{}, client: caller.New(caller.Settings{
		Seeds:        seeds,
		LocalAddress: deployment.address(callerByte+byte(number), callerHost),
	}, timer.System{})}
}

// Send sends one request.
func (sender *sender) Send(ctx context.Context, request load.Request) (oleandervane.Outcome, error) {
	header := http.Header{}
	if !request.Idempotent {
		header.Set(backendstandin.HeaderFiling, request.Identity)
	}
	response, err := sender.client.Do(ctx, caller.Request{
		Service:    request.Service,
		Kind:       request.Kind,
		Idempotent: request.Idempotent,
		Path:       "/" + request.Identity,
		Header:     header,
		Timeout:    requestTimeout,
	})
	if region := response.Header.Get(oleandervane.HeaderServedIn); region != "" {
		sender.mutex.Lock()
		sender.served[region]++
		sender.mutex.Unlock()
	}
	return response.Outcome, err
}

// servedIn returns the regions that served the callers, with their counts.
func (sender *sender) servedIn() string {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	var parts []string
	for _, region := range slices.Sorted(maps.Keys(sender.served)) {
		parts = append(parts, fmt.Sprintf("%s %d", region, sender.served[region]))
	}
	return strings.Join(parts, ", ")
}
