package main

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"oleandervane.example/standin/soak"
)

// Runs real entry VMs under short schedules of faults. Guards the guarantees of the system: an unsafe request runs at most
// once, a request reported as not run did not run, answers are complete and belong to the request of the caller, drains and
// configurations come into force, and requests are served again after the last fault. The program oleandervane-soak does
// longer runs and takes other seeds.
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
	assert.NilError(t, err, "%s", output)
	for _, seed := range cases.Seeds {
		t.Run(strconv.FormatUint(seed.Number, 10), func(t *testing.T) {
			report, err := soak.Run(t.Context(), soak.Options{
				Program: daemon, Folder: t.TempDir(), Seed: seed.Number, Faults: 8 * time.Second,
				VMs: 4, Backends: 6, Callers: 12, Output: io.Discard,
			})
			assert.NilError(t, err)
			assert.Equal(t, len(report.Broken), 0, "%v", report.Broken)
		})
	}
}
