// Program oleandervane-soak runs entry VMs as processes, injects faults and checks the guarantees of the system.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"oleandervane.example/cmd/internal/program"
	"oleandervane.example/standin/soak"
)

type options struct {
	Program  string        `long:"program" required:"true" value-name:"FILE" description:"the daemon, oleandervane-hosted"`
	Folder   string        `long:"folder" required:"true" value-name:"FOLDER" description:"folder for settings and logs, with a subfolder for each seed"`
	Seed     uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds    int           `long:"seeds" default:"1" description:"number of seeds, one after the other"`
	Faults   time.Duration `long:"faults" default:"15s" description:"how long faults are injected"`
	VMs      int           `long:"vms" default:"4" description:"number of entry VMs"`
	Backends int           `long:"backends" default:"6" description:"number of backend servers"`
	Callers  int           `long:"callers" default:"12" description:"number of callers"`
}

var errViolated = errors.New("a guarantee was violated")

func main() {
	var options options
	parser := flags.NewParser(&options, flags.Default)
	parser.ShortDescription = "Runs entry VMs under faults."
	program.Parse(parser)
	program.Exit("oleandervane-soak", run(context.Background(), options))
}

// run runs the soak test with all seeds. It returns an error if a guarantee was violated with any seed.
func run(ctx context.Context, options options) error {
	var failed []uint64
	for seed := options.Seed; seed < options.Seed+uint64(options.Seeds); seed++ {
		folder := filepath.Join(options.Folder, fmt.Sprint(seed))
		if err := os.MkdirAll(folder, 0o755); err != nil {
			return eris.Wrap(err, "create the folder of a seed")
		}
		report, err := runSeed(ctx, options, seed, folder)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d answers, %d served, %d faults, %d drains, %d versions, %d evacuations, %d cold starts, %d returns, %d signals, %d crashing requests and %d restores checked, %d broken\n",
			seed, report.Responses, report.Served, report.Faults, report.Drains, report.Versions, report.Evacuations, report.ColdStarts, report.Returns, report.Signals, report.Crashes, report.Restores, len(report.Broken))
		for _, broken := range report.Broken {
			fmt.Println("  broken:", broken)
		}
		if len(report.Broken) > 0 {
			failed = append(failed, seed)
		}
	}
	if len(failed) > 0 {
		return eris.Wrapf(errViolated, "seeds %v; schedules and logs are in %s", failed, options.Folder)
	}
	return nil
}

func runSeed(ctx context.Context, options options, seed uint64, folder string) (soak.Report, error) {
	schedule, err := os.Create(filepath.Join(folder, "schedule.log"))
	if err != nil {
		return soak.Report{}, eris.Wrap(err, "create the schedule file")
	}
	defer schedule.Close()
	report, err := soak.Run(ctx, soak.Options{
		Program: options.Program, Folder: folder, Seed: seed, Faults: options.Faults,
		VMs: options.VMs, Backends: options.Backends, Callers: options.Callers, Output: schedule,
	})
	return report, eris.Wrapf(err, "seed %d", seed)
}
