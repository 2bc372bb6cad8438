package main

import (
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"oleandervane.example/operator/trace"
)

// traceCommand shows the log events of one request.
type traceCommand struct {
	terminal *terminal
	jsonOption
	Arguments struct {
		RequestID string           `positional-arg-name:"ID" required:"true" description:"the id of the request"`
		Files     []flags.Filename `positional-arg-name:"LOG" description:"log files; standard input when none is given"`
	} `positional-args:"true"`
}

// Execute prints the events in order of time. It fails when no log has an event of the request.
func (traceCommand *traceCommand) Execute([]string) error {
	log := &trace.Log{}
	if len(traceCommand.Arguments.Files) == 0 {
		if err := log.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range traceCommand.Arguments.Files {
		if err := readLog(log, string(name)); err != nil {
			return err
		}
	}
	events := log.RequestEvents(traceCommand.Arguments.RequestID)
	if len(events) == 0 {
		return eris.Wrapf(errRefused, "no log has an event of request %q", traceCommand.Arguments.RequestID)
	}
	var text strings.Builder
	for _, event := range events {
		text.WriteString(event.Text() + "\n")
	}
	return traceCommand.terminal.show(traceCommand.JSON, events, text.String())
}

func readLog(log *trace.Log, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return eris.Wrapf(errUsage, "open log: %v", err)
	}
	defer file.Close()
	return eris.Wrapf(log.Read(file), "log %s", name)
}
