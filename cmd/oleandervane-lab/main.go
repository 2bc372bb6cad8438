// Program oleandervane-lab simulates scenarios with the decision code of entry VMs in virtual time and writes a text table,
// a CSV file and plots.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"oleandervane.example/cmd/internal/program"
	"oleandervane.example/standin/emulation"
)

type options struct {
	Variants  string   `long:"variants" description:"TOML file with variants of the policy (default: the policy of entry VMs only)"`
	Seeds     int      `long:"seeds" default:"5" description:"runs of each scenario and variant"`
	Load      float64  `long:"load" default:"1" description:"factor by which the load of all scenarios is multiplied"`
	Output    string   `long:"output" description:"folder for results.csv and a plot of each scenario"`
	Quiet     bool     `long:"quiet" description:"print no progress line"`
	Arguments struct { //nolint:revive // the type is used here only
		Scenarios []string `positional-arg-name:"SCENARIO" required:"1"`
	} `positional-args:"yes"`
}

func main() {
	var options options
	parser := flags.NewParser(&options, flags.Default)
	parser.ShortDescription = "Simulates scenarios with the decision code of entry VMs in virtual time."
	program.Parse(parser)
	program.Exit("oleandervane-lab", run(options, os.Stdout, os.Stderr))
}

func run(options options, output, progressOutput io.Writer) error {
	experiment, err := newExperiment(options)
	if err != nil {
		return err
	}
	progress := func(done, total int) { fmt.Fprintf(progressOutput, "\r%d of %d runs", done, total) }
	if options.Quiet {
		progress = nil
	}
	results := experiment.Run(progress)
	if !options.Quiet {
		fmt.Fprintln(progressOutput)
	}
	if options.Output != "" {
		if err := writeFiles(options.Output, experiment, results); err != nil {
			return err
		}
	}
	return emulation.WriteTable(output, results)
}

func newExperiment(options options) (emulation.Experiment, error) {
	experiment := emulation.Experiment{Variants: []emulation.Variant{{Name: "in_use"}}, Seeds: max(1, options.Seeds)}
	if options.Variants != "" {
		variants, err := emulation.LoadVariants(options.Variants)
		if err != nil {
			return emulation.Experiment{}, err
		}
		experiment.Variants = variants
	}
	for _, path := range options.Arguments.Scenarios {
		scenario, err := emulation.LoadScenario(path)
		if err != nil {
			return emulation.Experiment{}, err
		}
		experiment.Scenarios = append(experiment.Scenarios, scenario.WithLoad(options.Load))
	}
	return experiment, nil
}

func writeFiles(folder string, experiment emulation.Experiment, results []emulation.Result) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return eris.Wrap(err, "create the output folder")
	}
	err := program.WriteFile(filepath.Join(folder, "results.csv"), func(file io.Writer) error { return emulation.WriteCSV(file, results) })
	if err != nil {
		return err
	}
	for _, scenario := range experiment.Scenarios {
		path := filepath.Join(folder, scenario.Name+".svg")
		if err := program.WriteFile(path, func(file io.Writer) error { return emulation.WritePlot(file, scenario.Name, results) }); err != nil {
			return err
		}
	}
	return nil
}
