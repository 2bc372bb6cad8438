// Package figure reports measured values against the bounds that the project states for them.
//
// Tests and benchmarks call Report; "make figures" collects the lines. A line reads
//
//	name value unit bound ok|short
package figure

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// fileVariable is the environment variable with the path of the file to which lines are appended.
const fileVariable = "OLEANDERVANE_FIGURES"

// Direction is the side of its bound on which a value must be.
type Direction uint8

// The directions of a bound.
const (
	AtMost Direction = iota
	AtLeast
)

// Figure is a measured value with its bound. It is immutable.
type Figure struct {
	// Name is in lower snake case and stays the same between releases.
	Name      string
	Value     float64
	Unit      string
	Direction Direction
	Bound     float64
}

// Met reports whether the value is within its bound.
func (figure Figure) Met() bool {
	if figure.Direction == AtLeast {
		return figure.Value >= figure.Bound
	}
	return figure.Value <= figure.Bound
}

// String returns the line of the figure.
func (figure Figure) String() string {
	relation, verdict := "<=", "short"
	if figure.Direction == AtLeast {
		relation = ">="
	}
	if figure.Met() {
		verdict = "ok"
	}
	return fmt.Sprintf("%s %s %s %s%s %s", figure.Name, number(figure.Value), figure.Unit, relation, number(figure.Bound), verdict)
}

func number(value float64) string {
	return strconv.FormatFloat(value, 'g', 4, 64)
}

// Report logs the figure and appends its line to the file in OLEANDERVANE_FIGURES, if it is set. It does not fail the
// test, because a wall-clock figure depends on the machine.
func Report(tb testing.TB, figure Figure) {
	tb.Helper()
	tb.Log(figure.String())
	path := os.Getenv(fileVariable)
	if path == "" {
		return
	}
	if err := appendLine(path, figure.String()); err != nil {
		tb.Fatalf("reporting figure %s: %v", figure.Name, err)
	}
}

// Require reports the figure and fails the test if the value is not within its bound. It is for values that are the
// same on every machine: counts, bytes, ratios under a manual timer service.
func Require(tb testing.TB, figure Figure) {
	tb.Helper()
	Report(tb, figure)
	if !figure.Met() {
		tb.Errorf("figure out of bound: %s", figure.String())
	}
}

func appendLine(path, line string) (err error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	_, err = file.WriteString(line + "\n")
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
