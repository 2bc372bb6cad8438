package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	callerTimeout = 2 * time.Second
	// callerInterval is the mean pause between two requests of a caller.
	callerInterval = 15 * time.Millisecond
)

// caller sends requests one after the other. It reuses its connections until they are closed, including those to VMs
// that the directory no longer returns.
type caller struct {
	name   string
	soak   *Soak
	random *rand.Rand
	client *http.Client
}

func (caller *caller) run(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		unsafe := number%2 == 0
		method, path := http.MethodGet, "/safe/"
		if unsafe {
			method, path = http.MethodPost, "/unsafe/"
		}
		requestID := caller.name + "-" + strconv.Itoa(number)
		if address := caller.lookUp(ctx); address != "" {
			status, body, err := caller.send(ctx, address, method, path+requestID, requestID)
			caller.soak.check.recordResponse(response{requestID: requestID, unsafe: unsafe, status: status, body: body, broken: err != nil, abandoned: ctx.Err() != nil, at: time.Now()})
		}
		time.Sleep(time.Duration(caller.random.ExpFloat64() * float64(callerInterval)))
	}
}

// lookUp returns the address of a random VM. For one in four requests, on average, it is an address that the directory of
// that VM returns, or empty if the directory returns none.
func (caller *caller) lookUp(ctx context.Context) string {
	vm := caller.soak.vms[caller.random.IntN(len(caller.soak.vms))]
	if caller.random.IntN(4) > 0 {
		return vm.caller
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.directory+"/oleandervane/resolve?name=a.example&region=kigali&zone=kigali-a", http.NoBody)
	if err != nil {
		return ""
	}
	response, err := caller.client.Do(request)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	var listing struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&listing) != nil || len(listing.Addresses) == 0 {
		return ""
	}
	return listing.Addresses[caller.random.IntN(len(listing.Addresses))]
}

func (caller *caller) send(ctx context.Context, address, method, path, requestID string) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, io.NopCloser(http.NoBody))
	if err != nil {
		return 0, "", err
	}
	// net/http does not retry a request whose body it cannot read again.
	request.ContentLength, request.GetBody = 0, nil
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", requestID)
	request.Header.Set("X-Timeout-Ms", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	request.AddCookie(&http.Cookie{Name: "X-Affinity-Key", Value: fmt.Sprint(caller.random.IntN(20))})
	response, err := caller.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}
