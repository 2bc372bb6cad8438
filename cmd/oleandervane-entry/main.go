// Program oleandervane-entry is the daemon of an entry VM. It is the same on every entry VM; its settings say where
// it runs.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"oleandervane.example/entryvm"
	"oleandervane.example/timer"
)

type options struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"TOML file with the settings of this VM"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// Exit statuses, as in the operators' program.
const (
	statusFailed = 1
	statusUsage  = 2
)

func main() {
	var options options
	parser := flags.NewParser(&options, flags.Default)
	parser.ShortDescription = "Serves callers on an entry VM."
	parser.LongDescription = "Answers look-ups and forwards requests to backend servers. SIGTERM and SIGINT stop it gracefully."
	if _, err := parser.Parse(); err != nil {
		os.Exit(usageStatus(err))
	}
	if err := run(options); err != nil {
		fmt.Fprintln(os.Stderr, "oleandervane-entry:", err)
		os.Exit(statusFailed)
	}
}

func run(options options) error {
	settings, err := entryvm.LoadSettings(options.Settings)
	if err != nil || options.Check {
		return err
	}
	return entryvm.New(settings, timer.System{}, entryvm.NewLogger(settings, os.Stderr)).Run()
}

func usageStatus(err error) int {
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		return 0
	}
	return statusUsage
}
