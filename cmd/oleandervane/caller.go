package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/entry/caller"
	"oleandervane.example/responsehead"
)

type kindOption struct {
	Service string `long:"service" required:"true" description:"name of the service"`
	Kind    string `long:"kind" required:"true" description:"kind of request"`
}

type callerOption struct {
	EntryVMs []string `long:"entry-vm" required:"true" env:"OLEANDERVANE_CALLER_ENTRY_VMS" env-delim:"," description:"address of an entry VM for callers, may be given several times" value-name:"IP:PORT"`
}

func (callerOption callerOption) seeds() ([]netip.AddrPort, error) {
	var seeds []netip.AddrPort
	for _, text := range callerOption.EntryVMs {
		seed, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, eris.Wrapf(err, "parse the address %q of an entry VM", text)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

type lookupCommand struct {
	terminal *terminal
	callerOption
	kindOption
}

// Execute queries the given entry VMs in turn and prints the first successful response.
func (lookupCommand *lookupCommand) Execute([]string) error {
	seeds, err := lookupCommand.seeds()
	if err != nil {
		return err
	}
	query := url.Values{"service": {lookupCommand.Service}, "kind": {lookupCommand.Kind}}
	for _, seed := range seeds {
		var body json.RawMessage
		if body, err = get("http://" + seed.String() + "/v1/lookup?" + query.Encode()); err == nil {
			_, err = fmt.Fprintf(lookupCommand.terminal.output, "%s\n", strings.TrimSpace(string(body)))
			return err
		}
	}
	return eris.Wrap(errUnreachable, err.Error())
}

// lookupTimeout is the timeout of one look-up request to an entry VM.
const lookupTimeout = 5 * time.Second

func get(location string) (json.RawMessage, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	client := &http.Client{Transport: responsehead.NewTransport(transport), Timeout: lookupTimeout}
	response, err := client.Get(location)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var body json.RawMessage
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return nil, eris.Wrapf(err, "decode the response of %s", location)
	}
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("request to %s: status %d: %s", location, response.StatusCode, body)
	}
	return body, nil
}

type requestCommand struct {
	terminal *terminal
	callerOption
	kindOption
	Once      bool          `long:"once" description:"the kind is not idempotent: get a ticket and run at most once"`
	BodyFile  string        `long:"body" description:"file with the body" value-name:"FILE"`
	Timeout   time.Duration `long:"timeout" default:"10s" description:"time for the whole request"`
	Arguments struct {
		Path string `positional-arg-name:"PATH" description:"path at the backend server"`
	} `positional-args:"true" required:"true"`
}

// Execute sends one request and prints its outcome and response.
func (requestCommand *requestCommand) Execute([]string) error {
	seeds, err := requestCommand.seeds()
	if err != nil {
		return err
	}
	var body []byte
	if requestCommand.BodyFile != "" {
		if body, err = os.ReadFile(requestCommand.BodyFile); err != nil {
			return eris.Wrap(err, "read the body")
		}
	}
	client := caller.New(caller.Settings{Seeds: seeds}, requestCommand.terminal.timerService)
	defer client.Close()
	response, err := client.Do(context.Background(), caller.Request{
		Service:    oleandervane.ServiceName(requestCommand.Service),
		Kind:       oleandervane.KindName(requestCommand.Kind),
		Idempotent: !requestCommand.Once,
		Path:       requestCommand.Arguments.Path,
		Body:       body,
		Timeout:    requestCommand.Timeout,
	})
	if err != nil {
		fmt.Fprintf(requestCommand.terminal.output, "outcome: %s\nreason: %s\nticket: %s\n", response.Outcome, response.Reason, response.Filing.Ticket)
		return eris.Wrap(errRefused, err.Error())
	}
	_, err = fmt.Fprintf(requestCommand.terminal.output, "outcome: %s\nstatus: %d\nserved by: %s\nserved in: %s\n\n%s",
		response.Outcome, response.Status, response.Header.Get(oleandervane.HeaderServedBy), response.Header.Get(oleandervane.HeaderServedIn), response.Body)
	return err
}
