package main

import (
	"context"
	"net/http"
	"net/netip"

	"oleandervane.example"
	"oleandervane.example/entry/caller"
	"oleandervane.example/standin/backendstandin"
	"oleandervane.example/standin/load"
	"oleandervane.example/timer"
)

// sender plays the callers of one region.
type sender struct {
	client *caller.Client
}

func newSender(deployment deployment, number int) *sender {
	var seeds []netip.AddrPort
	for _, entryVM := range deployment.entryVMs() {
		seeds = append(seeds, entryVM.CallerAddress)
	}
	return &sender{client: caller.New(caller.Settings{
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
	return response.Outcome, err
}
