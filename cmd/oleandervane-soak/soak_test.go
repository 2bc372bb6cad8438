package main

import (
	"io"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example/standin/soak"
)

// Runs real entry VMs under a short schedule of faults. Guards the promises of the system: an unsafe request runs once
// at most, "not run" is true, answers are whole and the caller's own, drains and configurations come into force, and
// requests are served again after the last fault. Longer runs and other seeds: oleandervane-soak.
func TestSoak(t *testing.T) {
	const seed = 1
	folder := t.TempDir()
	daemon := filepath.Join(folder, "oleandervane-hosted")
	output, err := exec.Command("go", "build", "-o", daemon, "oleandervane.example/cmd/oleandervane-hosted").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	report, err := soak.Run(t.Context(), soak.Options{
		Program: daemon, Folder: folder, Seed: seed, Faults: 6 * time.Second, VMs: 3, Backends: 4, Callers: 6, Output: io.Discard,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(report.Broken), 0, "%v", report.Broken)
}
