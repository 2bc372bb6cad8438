package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"oleandervane.example/standin/soak"
)

// concurrentSoaks is the number of seeds that run at the same time. A soak mostly waits.
const concurrentSoaks = 2

// Runs entry VM processes under short schedules of faults. Guards against violations of the system's guarantees: an unsafe
// request runs at most once, a request reported as not run did not run, responses are complete and belong to the request of
// the caller, drains and configurations come into force, and requests are served again after the last fault. The program
// oleandervane-soak does longer runs and takes other seeds.
func TestSoak(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "seeds.toml"))
	assert.NilError(t, err)
	var cases struct {
		Seeds []struct {
			Number uint64 `toml:"number"`
			Cause  string `toml:"cause"`
		} `toml:"seed"`
	}
	assert.NilError(t, toml.Unmarshal(text, &cases))
	daemon := filepath.Join(t.TempDir(), "oleandervane-hosted")
	output, err := exec.Command("go", "build", "-o", daemon, "oleandervane.example/cmd/oleandervane-hosted").CombinedOutput()
	assert.NilError(t, err, "build oleandervane-hosted: %s", output)
	running := make(chan struct{}, concurrentSoaks)
	for _, seed := range cases.Seeds {
		t.Run(strconv.FormatUint(seed.Number, 10), func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			folder := t.TempDir()
			var faults bytes.Buffer
			report, err := soak.Run(t.Context(), soak.Options{
				Program: daemon, Folder: folder, Seed: seed.Number, Faults: 8 * time.Second,
				VMs: 4, Backends: 6, Callers: 12, Output: &faults,
			})
			if err != nil || len(report.Broken) > 0 {
				logRun(t, folder, faults.String())
			}
			assert.NilError(t, err)
			assert.Equal(t, len(report.Broken), 0, "%v", report.Broken)
		})
	}
}

// logRun logs the faults of a run and the ends of the logs of its VMs, which are removed with the folder of the test. It also
// logs all lines that the VMs did not log as JSON: they come from the Go runtime and from the soak, and tell why a process
// ended.
func logRun(t *testing.T, folder, faults string) {
	t.Helper()
	const lastLines = 20
	t.Logf("faults:\n%s", faults)
	paths, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		t.Log(err)
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".log")
		text, err := os.ReadFile(path)
		if err != nil {
			t.Logf("%s: %v", name, err)
			continue
		}
		lines := slices.Collect(strings.Lines(string(text)))
		last := lines[max(0, len(lines)-lastLines):]
		plain := slices.DeleteFunc(slices.Clone(lines), func(line string) bool { return strings.HasPrefix(line, "{") })
		t.Logf("%s: lines of the runtime and of the soak:\n%s", name, strings.Join(plain, ""))
		t.Logf("%s: last %d of %d lines:\n%s", name, len(last), len(lines), strings.Join(last, ""))
	}
}
