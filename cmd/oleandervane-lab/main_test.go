package main

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"oleandervane.example/entryvm/settingsfile"
)

// Guards against a run that simulates no scenario or writes no files.
func TestRun(t *testing.T) {
	folder := t.TempDir()
	variants := filepath.Join(folder, "variants.toml")
	assert.NilError(t, os.WriteFile(variants, []byte("[[variants]]\nname = \"in_use\"\n[[variants]]\nname = \"alone\"\nalone = true\n"), 0o600))
	options := options{Variants: variants, Seeds: 1, Load: 0.5, Output: filepath.Join(folder, "out")}
	options.Arguments.Scenarios = []string{"../../examples/scenarios/association.toml"}
	var output, progressOutput bytes.Buffer
	assert.NilError(t, run(options, &output, &progressOutput))
	assert.Equal(t, strings.Count(output.String(), "association"), 2)
	assert.Assert(t, strings.Contains(progressOutput.String(), "2 of 2 runs"))
	for _, name := range []string{"results.csv", "association.svg"} {
		info, err := os.Stat(filepath.Join(options.Output, name))
		assert.NilError(t, err)
		assert.Assert(t, info.Size() > 0)
	}
}

// Guards against invalid scenario or variant files that are run without an error.
func TestInvalidFilesAreReported(t *testing.T) {
	empty := filepath.Join(t.TempDir(), "empty.toml")
	assert.NilError(t, os.WriteFile(empty, nil, 0o600))
	for _, options := range []options{{Variants: empty, Quiet: true}, {Quiet: true}} {
		options.Arguments.Scenarios = []string{empty}
		assert.ErrorIs(t, run(options, io.Discard, io.Discard), settingsfile.ErrSettings)
	}
}
