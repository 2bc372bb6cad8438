package emulation

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"oleandervane.example"
)

// ErrReport is the error of a report that cannot be written.
var ErrReport = eris.New("the report cannot be written")

// Group has the results of all seeds of one scenario and variant.
type Group struct {
	Scenario, Variant string
	Results           []Result
}

// Groups returns the results grouped by scenario and variant, in the order in which the pairs first occur.
func Groups(results []Result) []Group {
	var groups []Group
	for _, result := range results {
		i := slices.IndexFunc(groups, func(group Group) bool {
			return group.Scenario == result.Scenario && group.Variant == result.Variant
		})
		if i < 0 {
			groups = append(groups, Group{Scenario: result.Scenario, Variant: result.Variant})
			i = len(groups) - 1
		}
		groups[i].Results = append(groups[i].Results, result)
	}
	return groups
}

// Mean returns the mean of a figure over the seeds of the group.
func (group Group) Mean(figure func(result Result) float64) float64 {
	values := make([]float64, 0, len(group.Results))
	for _, result := range group.Results {
		values = append(values, figure(result))
	}
	return mean(values)
}

// column is a column of the table and the CSV file.
type column struct {
	name   string
	figure func(result Result) float64
}

func columns() []column {
	return []column{
		{"worth", func(result Result) float64 { return result.Score }},
		{"whole", func(result Result) float64 { return result.Overall }},
		{"worst_domain", func(result Result) float64 { return result.WorstDomain }},
		{"worst_windows", func(result Result) float64 { return result.WorstWindows }},
		{"worst_kind", func(result Result) float64 { return result.WorstKind }},
		{"served", func(result Result) float64 { return result.Served }},
		{"late", func(result Result) float64 { return result.Late }},
		{"refused", func(result Result) float64 { return result.Refused }},
		{"failed", func(result Result) float64 { return result.Failed }},
		{"learned", func(result Result) float64 { return float64(result.CacheMisses) / float64(max(1, result.Attempts)) }},
		{"cold_overruns", func(result Result) float64 { return float64(result.ColdOverruns) }},
	}
}

// WriteTable writes a text table with the means over the seeds, a row for each scenario and variant.
func WriteTable(writer io.Writer, results []Result) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	head := []string{"scenario", "variant", "runs"}
	for _, column := range columns() {
		head = append(head, column.name)
	}
	fmt.Fprintln(table, strings.Join(head, "\t"))
	for _, group := range Groups(results) {
		row := []string{group.Scenario, group.Variant, strconv.Itoa(len(group.Results))}
		for _, column := range columns() {
			row = append(row, strconv.FormatFloat(group.Mean(column.figure), 'f', 3, 64))
		}
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return eris.Wrap(table.Flush(), "writing the table")
}

// WriteCSV writes a CSV file with a row for each run and kind of request.
func WriteCSV(writer io.Writer, results []Result) error {
	rows := csv.NewWriter(writer)
	head := []string{"scenario", "variant", "seed", "requests"}
	for _, column := range columns() {
		head = append(head, column.name)
	}
	head = append(head, "kind", "kind_share", "median_ms", "p99_ms")
	if err := rows.Write(head); err != nil {
		return eris.Wrapf(ErrReport, "csv: %v", err)
	}
	for _, result := range results {
		for _, name := range sortedKinds(result) {
			if err := rows.Write(csvRow(result, name)); err != nil {
				return eris.Wrapf(ErrReport, "csv: %v", err)
			}
		}
	}
	rows.Flush()
	return eris.Wrap(rows.Error(), "writing the csv file")
}

func sortedKinds(result Result) []oleandervane.KindName {
	names := make([]oleandervane.KindName, 0, len(result.Kinds))
	for name := range result.Kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func csvRow(result Result, name oleandervane.KindName) []string {
	row := []string{result.Scenario, result.Variant, strconv.FormatUint(result.Seed, 10), strconv.Itoa(result.Requests)}
	for _, column := range columns() {
		row = append(row, strconv.FormatFloat(column.figure(result), 'f', 4, 64))
	}
	kind := result.Kinds[name]
	return append(row, string(name), strconv.FormatFloat(kind.Share, 'f', 4, 64),
		strconv.FormatInt(kind.MedianLatency.Milliseconds(), 10), strconv.FormatInt(kind.SlowLatency.Milliseconds(), 10))
}

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WritePlot writes an SVG of the benefit earned over time in one scenario, a line for each variant.
func WritePlot(writer io.Writer, scenario string, results []Result) error {
	drawing := plot.New()
	drawing.Title.Text = scenario
	drawing.X.Label.Text = "seconds"
	drawing.Y.Label.Text = "benefit earned (share of what is owed)"
	drawing.Y.Min, drawing.Y.Max = 0, 1
	var lines []any
	for _, group := range Groups(results) {
		if group.Scenario == scenario {
			lines = append(lines, group.Variant, group.overTime())
		}
	}
	if err := plotutil.AddLines(drawing, lines...); err != nil {
		return eris.Wrapf(ErrReport, "drawing %s: %v", scenario, err)
	}
	canvas, err := drawing.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return eris.Wrapf(ErrReport, "drawing %s: %v", scenario, err)
	}
	_, err = canvas.WriteTo(writer)
	return eris.Wrapf(err, "writing the plot of %s", scenario)
}

// overTime returns the share of benefit earned in each window, as the mean over the seeds.
func (group Group) overTime() plotter.XYs {
	longest := 0
	for _, result := range group.Results {
		longest = max(longest, len(result.Windows))
	}
	points := make(plotter.XYs, 0, longest)
	for number := range longest {
		var shares []float64
		for _, result := range group.Results {
			if number < len(result.Windows) {
				shares = append(shares, result.Windows[number])
			}
		}
		points = append(points, plotter.XY{X: float64(number) * window.Seconds(), Y: mean(shares)})
	}
	return points
}
