package trace_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"oleandervane.example/operator/trace"
)

// Guards against a result without the reason why a server was not used, or with lines of other requests and servers. The
// log has lines of two VMs from a one-day run.
func TestRequestEvents(t *testing.T) {
	file, err := os.Open(filepath.Join("testdata", "vms.log"))
	assert.NilError(t, err)
	defer file.Close()
	log := &trace.Log{}
	assert.NilError(t, log.Read(file))
	var lines []string
	for _, event := range log.RequestEvents("4a1dcb8370b70f95") {
		lines = append(lines, event.Text())
	}
	assert.Equal(t, len(lines), 4, "%s", strings.Join(lines, "\n"))
	assert.Assert(t, strings.Contains(lines[0], "configuration is in force revision=7"))
	assert.Assert(t, strings.Contains(lines[1], "server=i-c94cf53f6d"))
	assert.Assert(t, strings.Contains(lines[2], "outcome=unknown"))
	assert.Assert(t, strings.Contains(lines[3], "backend server is gone server=i-8d00803093"))
	assert.Equal(t, len(log.RequestEvents("unknown")), 0)
}
