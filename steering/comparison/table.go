package comparison

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// RunAll runs every case with every strategy, case by case. Cases with drains run with Grants only, because the other
// strategies do not support drains.
func RunAll(cases []Case, strategies []Strategy) ([]*Result, error) {
	var results []*Result
	for _, scripted := range cases {
		for _, strategy := range strategies {
			if len(scripted.Drains) > 0 && strategy != Grants {
				continue
			}
			result, err := Run(scripted, strategy)
			if err != nil {
				return nil, err
			}
			results = append(results, result)
		}
	}
	return results, nil
}

// WriteTable writes one line per result. Overload, headroom, shift and shed are in percent.
func WriteTable(writer io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "case\tstrategy\tsteady\toverload\theadroom p1\tp50\tp99\tlargest shift\tovershoot\tdrained\tshed by kind")
	for _, result := range results {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.1f\t%.1f\t%s\t%s\t%.1f\t%.1f\t%s\t%s\n",
			result.Case.Name, result.Strategy, seconds(result.SteadyAfter), 100*result.PeakOverload, 100*result.LeastHeadroom,
			result.MedianLatency.Round(time.Millisecond), result.P99Latency.Round(time.Millisecond),
			100*result.LargestShift, 100*result.Overshoot, seconds(result.DrainedAfter), shedText(result))
	}
	return table.Flush()
}

// seconds formats a duration in whole seconds; a negative duration becomes "never".
func seconds(duration time.Duration) string {
	if duration < 0 {
		return "never"
	}
	return duration.Round(time.Second).String()
}

func shedText(result *Result) string {
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(result.Shed)) {
		parts = append(parts, fmt.Sprintf("%s %.2f", kind, 100*result.Shed[kind]))
	}
	return strings.Join(parts, ", ")
}
