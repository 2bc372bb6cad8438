// Package callerload sends the requests of package load through the caller library.
package callerload

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

// Sender sends the requests of callers at one address. It is safe for concurrent use.
type Sender struct {
	client *caller.Client

	mutex  sync.Mutex
	served map[string]int
}

// New returns a sender that looks up entry VMs at the seed addresses. It sends from the local address if that is valid.
func New(seeds []netip.AddrPort, localAddress netip.Addr) *Sender {
	return &Sender{
		served: map[string]int{},
		client: caller.New(caller.Settings{Seeds: seeds, LocalAddress: localAddress}, timer.System{}),
	}
}

// Send sends one request and waits for its outcome. The identity of a non-idempotent request is sent to the backend
// server, whose journal counts its runs.
func (sender *Sender) Send(ctx context.Context, request load.Request) (oleandervane.Outcome, error) {
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
		Timeout:    request.Timeout,
	})
	if region := response.Header.Get(oleandervane.HeaderServedIn); region != "" {
		sender.mutex.Lock()
		sender.served[region]++
		sender.mutex.Unlock()
	}
	return response.Outcome, err
}

// ServedIn returns a text with the regions that served requests and the number of requests served in each.
func (sender *Sender) ServedIn() string {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	var parts []string
	for _, region := range slices.Sorted(maps.Keys(sender.served)) {
		parts = append(parts, fmt.Sprintf("%s %d", region, sender.served[region]))
	}
	return strings.Join(parts, ", ")
}
