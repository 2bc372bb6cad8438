package flood

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
)

// build returns the path of the program under test.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "oleandervane-hosted")
	output, err := exec.Command("go", "build", "-o", program, "oleandervane.example/cmd/oleandervane-hosted").CombinedOutput()
	assert.NilError(t, err, "build oleandervane-hosted: %s", output)
	return program
}

func start(t *testing.T, options Options) *VM {
	t.Helper()
	vm, err := Start(t.Context(), options)
	if vm != nil {
		t.Cleanup(vm.Close)
	}
	assert.NilError(t, err)
	return vm
}

// Guards against a VM that ends, hangs, or exceeds its memory or descriptors because of what untrusted callers send. Each flood has a
// VM of its own. Makefile runs this package apart from the others.
func TestFloods(t *testing.T) {
	text, err := os.ReadFile("testdata/floods.toml")
	assert.NilError(t, err)
	var table struct {
		MemoryMegabytes int     `toml:"memory_megabytes"`
		Descriptors     int     `toml:"descriptors"`
		Floods          []Flood `toml:"flood"`
	}
	assert.NilError(t, toml.Unmarshal(text, &table))
	program := build(t)
	for _, flood := range table.Floods {
		t.Run(flood.Name, func(t *testing.T) {
			vm := start(t, Options{Program: program, Folder: t.TempDir(), MemoryMegabytes: table.MemoryMegabytes, Descriptors: table.Descriptors})
			observation := flood.Run(t.Context(), vm)
			assert.Assert(t, vm.Alive(), "the process ended: %v", vm.exitError)
			peak, err := vm.PeakKilobytes()
			assert.NilError(t, err)
			bound := table.MemoryMegabytes << 10 * 8 / 10
			t.Logf("%d MiB, %d descriptors, status %d of a request and %d of readiness", peak>>10, observation.PeakDescriptors, observation.RequestStatus, observation.ReadyStatus)
			assert.Check(t, peak < bound, "%d KiB of memory, %d are allowed", peak, bound)
			assert.Check(t, observation.PeakDescriptors < table.Descriptors, "%d descriptors are open", observation.PeakDescriptors)
			assert.Check(t, observation.RequestError, "an ordinary request during the flood")
			assert.Check(t, observation.ReadyError, "readiness during the flood")
			assert.Check(t, vm.WaitServed(t.Context()), "after the flood")
		})
	}
}

// Guards against limits for untrusted callers that a caller within the limits of the configuration reaches in calm conditions. The
// memory and descriptors are the least of all installations.
func TestRequestsAtEachLimitAreServed(t *testing.T) {
	text, err := os.ReadFile("testdata/limits.toml")
	assert.NilError(t, err)
	var table struct {
		MemoryMegabytes int       `toml:"memory_megabytes"`
		Descriptors     int       `toml:"descriptors"`
		Cases           []AtLimit `toml:"case"`
	}
	assert.NilError(t, toml.Unmarshal(text, &table))
	vm := start(t, Options{Program: build(t), Folder: t.TempDir(), MemoryMegabytes: table.MemoryMegabytes, Descriptors: table.Descriptors})
	for _, atLimit := range table.Cases {
		t.Run(atLimit.Name, func(t *testing.T) {
			assert.NilError(t, atLimit.Run(t.Context(), vm))
		})
	}
}
