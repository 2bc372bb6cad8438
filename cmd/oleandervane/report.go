package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/operator/burn"
	"oleandervane.example/operator/burn/page"
	"oleandervane.example/operator/revision"
)

type reportCommand struct {
	terminal *terminal
	jsonOption
	storeOption
	entryVMOption
	HTML string `long:"html" description:"also write the report as one HTML page with plots" value-name:"FILE"`
}

// Execute prints a report of error budgets, burn rates and alerts, and writes it as an HTML page if --html is set.
func (command *reportCommand) Execute([]string) error {
	ctx := context.Background()
	store := command.open(command.terminal)
	_, configuration, err := inForce(ctx, store)
	if err != nil {
		return err
	}
	if configuration == nil {
		return eris.Wrap(errRefused, "there is no revision in force yet")
	}
	found, failed, err := queryAll[burn.Response](command.terminal, command.EntryVMs, "/v1/burn")
	if err != nil {
		return err
	}
	input := burn.Input{Now: command.terminal.timerService.Now(), Configuration: *configuration, Unreachable: slices.Sorted(maps.Keys(failed))}
	for _, address := range slices.Sorted(maps.Keys(found)) {
		if err := found[address].Validate(); err != nil {
			input.Unreachable = append(input.Unreachable, address+" (its answer is not valid)")
			continue
		}
		input.Responses = append(input.Responses, found[address])
	}
	input.Events = revisions(ctx, store)
	report := burn.NewReport(input)
	if err := command.page(report); err != nil {
		return err
	}
	if err := command.terminal.show(command.JSON, report, report.String()); err != nil {
		return err
	}
	return unreachableError(failed)
}

// revisions returns the accepted revisions as events of the report. It returns none when the history cannot be read.
func revisions(ctx context.Context, store oleandervane.Store) []burn.Event {
	history, err := revision.ReadHistory(ctx, store)
	if err != nil {
		return nil
	}
	var events []burn.Event
	for _, entry := range history.Entries {
		events = append(events, burn.Event{At: entry.PublishedAt, Text: fmt.Sprintf("revision %d by %s", entry.Revision, entry.Author)})
	}
	return events
}

func (command *reportCommand) page(report burn.Report) error {
	if command.HTML == "" {
		return nil
	}
	file, err := os.Create(command.HTML)
	if err != nil {
		return err
	}
	if err := page.Write(file, report); err != nil {
		return err
	}
	return file.Close()
}
