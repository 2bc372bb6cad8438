// Program oleandervane-hosted is the daemon of an entry VM on the users' platform. The same program runs on
// every VM; its settings contain the VM's location and addresses.
package main

import (
	"context"
	"os"

	"github.com/jessevdk/go-flags"

	"oleandervane.example/cmd/internal/program"
	"oleandervane.example/entryvm/hosted"
	"oleandervane.example/timer"
)

type options struct {
	Settings string `long:"settings" env:"OLEANDERVANE_NODE_FILE" required:"true" value-name:"FILE" description:"TOML file with the settings of this VM"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() {
	// SIGHUP ends a process that does not handle it, so it is handled before anything else.
	hangUps := hosted.HangUps()
	var options options
	parser := flags.NewParser(&options, flags.Default)
	parser.ShortDescription = "Serves callers on an entry VM of the users' platform."
	parser.LongDescription = "Answers look-ups of callers and forwards requests to backend servers. SIGTERM and SIGINT stop it gracefully."
	program.Parse(parser)
	program.Exit("oleandervane-hosted", run(options, hangUps))
}

func run(options options, hangUps <-chan os.Signal) error {
	settings, err := hosted.LoadSettings(options.Settings)
	if err != nil || options.Check {
		return err
	}
	entryVM := hosted.New(settings, timer.System{}, os.Stdout)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go entryVM.WatchSettings(ctx, options.Settings, hangUps)
	return entryVM.Run()
}
