package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"oleandervane.example"
	"oleandervane.example/standin/backendstandin"
	"oleandervane.example/standin/load"
)

// sender plays the callers of one region over plain HTTP.
type sender struct {
	client *http.Client
	seeds  []string
	mutex  sync.Mutex
	cached map[string]cachedLookup
}

type cachedLookup struct {
	addresses []string
	until     time.Time
}

func newSender(deployment deployment, number int) *sender {
	local := deployment.address(callerByte+byte(number), 5)
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: local.AsSlice()}, Timeout: time.Second}
	sender := &sender{client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64}}, cached: map[string]cachedLookup{}}
	for _, entryVM := range deployment.entryVMs() {
		sender.seeds = append(sender.seeds, entryVM.CallerAddress.String())
	}
	return sender
}

// Send sends one request.
func (sender *sender) Send(ctx context.Context, request load.Request) (oleandervane.Outcome, error) {
	addresses, err := sender.lookup(ctx, request)
	if err != nil {
		return oleandervane.NotRun, err
	}
	var outcome oleandervane.Outcome
	for _, address := range addresses {
		outcome, err = sender.sendTo(ctx, address, request)
		if err == nil || outcome == oleandervane.Unknown {
			break
		}
	}
	return outcome, err
}

func (sender *sender) sendTo(ctx context.Context, address string, request load.Request) (oleandervane.Outcome, error) {
	method, ticket := http.MethodGet, ""
	if !request.Idempotent {
		var body struct {
			Ticket string `json:"ticket"`
		}
		if err := sender.call(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/ticket?service=%s&kind=%s", address, request.Service, request.Kind), &body); err != nil {
			return oleandervane.NotRun, err
		}
		method, ticket = http.MethodPost, body.Ticket
	}
	outgoing, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/v1/request/%s/%s/x", address, request.Service, request.Kind), strings.NewReader(""))
	if err != nil {
		return oleandervane.NotRun, err
	}
	outgoing.Header.Set(backendstandin.HeaderFiling, request.Identity)
	outgoing.Header.Set(oleandervane.HeaderTicket, ticket)
	response, err := sender.client.Do(outgoing)
	if err != nil {
		return oleandervane.Unknown, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return oleandervane.Unknown, err
	}
	return oleandervane.Outcome(response.Header.Get(oleandervane.HeaderOutcome)), nil
}

func (sender *sender) lookup(ctx context.Context, request load.Request) ([]string, error) {
	key := string(request.Service) + "/" + string(request.Kind)
	sender.mutex.Lock()
	cached, found := sender.cached[key]
	sender.mutex.Unlock()
	if found && time.Now().Before(cached.until) {
		return cached.addresses, nil
	}
	var body struct {
		EntryVMs []struct {
			Address string `json:"address"`
		} `json:"entry_vms"`
		LifetimeMillis int64 `json:"lifetime_ms"`
	}
	var err error
	for _, index := range rand.Perm(len(sender.seeds)) {
		err = sender.call(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/lookup?service=%s&kind=%s", sender.seeds[index], request.Service, request.Kind), &body)
		if err == nil {
			break
		}
	}
	if err != nil {
		return cached.addresses, err
	}
	fresh := cachedLookup{until: time.Now().Add(time.Duration(body.LifetimeMillis) * time.Millisecond)}
	for _, entryVM := range body.EntryVMs {
		fresh.addresses = append(fresh.addresses, entryVM.Address)
	}
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	sender.cached[key] = fresh
	return fresh.addresses, nil
}

func (sender *sender) call(ctx context.Context, method, url string, body any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return err
	}
	response, err := sender.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(body)
}
