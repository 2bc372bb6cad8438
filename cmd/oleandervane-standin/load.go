package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"oleandervane.example"
	"oleandervane.example/standin/load"
	"oleandervane.example/standin/load/callerload"
	"oleandervane.example/timer"
)

type loadCommand struct {
	EntryVMs     []string      `long:"entry-vm" required:"true" env:"OLEANDERVANE_CALLER_ENTRY_VMS" env-delim:"," description:"address of an entry VM for callers" value-name:"IP:PORT"`
	LocalAddress string        `long:"local-address" description:"source address of the requests; entry VMs answer look-ups by it" value-name:"IP"`
	Service      string        `long:"service" required:"true" description:"name of the service"`
	Kind         string        `long:"kind" required:"true" description:"kind of request"`
	Once         bool          `long:"once" description:"the kind is not idempotent"`
	PerSecond    float64       `long:"per-second" default:"50" description:"requests sent per second, without waiting for responses"`
	Duration     time.Duration `long:"duration" default:"10s" description:"duration of the load"`
	Timeout      time.Duration `long:"timeout" default:"10s" description:"timeout of one request"`
	Seed         uint64        `long:"seed" default:"1" description:"random seed of the arrival times"`
	Fail         bool          `long:"fail" description:"exit with status 1 when a request was not answered"`
}

// Execute sends the load and prints a table of outcomes. With --fail it returns an error if a request was not answered.
func (loadCommand *loadCommand) Execute([]string) error {
	var seeds []netip.AddrPort
	for _, text := range loadCommand.EntryVMs {
		seed, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("parse the address %q of an entry VM: %w", text, err)
		}
		seeds = append(seeds, seed)
	}
	var local netip.Addr
	if loadCommand.LocalAddress != "" {
		var err error
		if local, err = netip.ParseAddr(loadCommand.LocalAddress); err != nil {
			return fmt.Errorf("parse the local address: %w", err)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, loadCommand.Duration)
	defer cancel()
	sender := callerload.New(seeds, local)
	results := load.NewGenerator(sender, timer.System{}, "load").Run(ctx, []load.Stream{loadCommand.stream()}, loadCommand.Seed)
	if err := load.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	fmt.Println("served in", sender.ServedIn())
	if unanswered := results[0].Sent - results[0].Outcomes[oleandervane.Answered]; loadCommand.Fail && unanswered > 0 {
		return fmt.Errorf("%d requests were not answered", unanswered)
	}
	return nil
}

func (loadCommand *loadCommand) stream() load.Stream {
	return load.Stream{
		Service:    oleandervane.ServiceName(loadCommand.Service),
		Kind:       oleandervane.KindName(loadCommand.Kind),
		Idempotent: !loadCommand.Once,
		PerSecond:  loadCommand.PerSecond,
		Timeout:    loadCommand.Timeout,
	}
}
