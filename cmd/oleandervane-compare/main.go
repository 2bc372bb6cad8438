// Program oleandervane-compare runs scripted cases with the steering policy, its alternatives and its baselines, and writes
// a text table and SVG plots.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"oleandervane.example/cmd/internal/program"
	"oleandervane.example/steering/comparison"
)

type options struct {
	Cases  string `long:"cases" default:"steering/comparison/testdata" description:"folder with cases in txtar archives"`
	Output string `long:"output" default:"out/compare" description:"folder for the table and the plots"`
}

func main() {
	var options options
	parser := flags.NewParser(&options, flags.Default)
	parser.ShortDescription = "Compares the steering policy with its alternatives and baselines."
	program.Parse(parser)
	program.Exit("oleandervane-compare", run(options))
}

func run(options options) error {
	cases, err := comparison.ReadCases(os.DirFS(options.Cases))
	if err != nil {
		return err
	}
	results, err := comparison.RunAll(cases, comparison.Strategies())
	if err != nil {
		return err
	}
	if err := os.MkdirAll(options.Output, 0o755); err != nil {
		return eris.Wrap(err, "create the output folder")
	}
	if err := writeTable(filepath.Join(options.Output, "table.txt"), results); err != nil {
		return err
	}
	for _, result := range results {
		if err := writePlots(options.Output, result); err != nil {
			return err
		}
	}
	return comparison.WriteTable(os.Stdout, results)
}

func writeTable(path string, results []*comparison.Result) error {
	return program.WriteFile(path, func(file io.Writer) error { return comparison.WriteTable(file, results) })
}

func writePlots(folder string, result *comparison.Result) error {
	deployment, err := comparison.NewDeployment(result.Case.Deployment)
	if err != nil {
		return err
	}
	for _, serviceName := range deployment.Services {
		path := filepath.Join(folder, fmt.Sprintf("%s-%s-%s.svg", result.Case.Name, result.Strategy, serviceName))
		err := program.WriteFile(path, func(file io.Writer) error { return comparison.WriteLoadPlot(file, result, serviceName) })
		if err != nil {
			return err
		}
	}
	return nil
}
