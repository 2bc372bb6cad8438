package comparison

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a scripted case in which the system breaks one of its invariants.
func TestCasesKeepInvariants(t *testing.T) {
	cases, err := ReadCases(os.DirFS("testdata"))
	assert.NilError(t, err)
	for _, scripted := range cases {
		t.Run(scripted.Name, func(t *testing.T) {
			t.Parallel()
			result, err := Run(scripted, Grants)
			assert.NilError(t, err)
			assert.Equal(t, len(result.Violations), 0, "%v", result.Violations)
			t.Logf("steady %v overload %.4f headroom %.3f p50 %v p99 %v shed %v shift %.3f overshoot %.3f drained %v missed %.5f", result.SteadyAfter, result.PeakOverload, result.LeastHeadroom, result.MedianLatency, result.SlowLatency, result.Shed, result.LargestShift, result.Overshoot, result.DrainedAfter, result.Missed)
		})
	}
}
