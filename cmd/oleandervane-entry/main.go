// Program oleandervane-entry is the daemon of an entry VM. The same program runs on every entry VM; its settings
// contain the VM's location and addresses.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"oleandervane.example/cmd/internal/program"
	"oleandervane.example/entryvm"
	"oleandervane.example/timer"
)

type options struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"TOML file with the settings of this VM"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() {
	var options options
	parser := flags.NewParser(&options, flags.Default)
	parser.ShortDescription = "Serves callers on an entry VM."
	parser.LongDescription = "Answers look-ups of callers and forwards requests to backend servers. SIGTERM and SIGINT stop it gracefully."
	program.Parse(parser)
	program.Exit("oleandervane-entry", run(options))
}

func run(options options) error {
	settings, err := entryvm.LoadSettings(options.Settings)
	if err != nil || options.Check {
		return err
	}
	return entryvm.New(settings, timer.System{}, entryvm.NewLogger(settings, os.Stderr)).Run()
}
