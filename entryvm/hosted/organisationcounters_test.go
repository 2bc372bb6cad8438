package hosted

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
)

// Guards against a number of label values that grows with organisations, against a large organisation that is not shown because small
// ones came first, and against requests that are not counted.
func TestOrganisationCounters(t *testing.T) {
	counters, now := newOrganisationCounters(), time.Unix(1000, 0)
	for minute := range 3 {
		for number := range 100 {
			for range number + 1 {
				counters.record(oleandervane.OrganisationName(fmt.Sprintf("o-%02d", number)), "answered", now.Add(time.Duration(minute)*rankPeriod))
			}
		}
	}
	var text strings.Builder
	counters.write(&text)
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	assert.Equal(t, len(lines), shownOrganisations+1)
	shown, total := 0, 0
	for _, line := range lines {
		var count int
		_, err := fmt.Sscan(line[strings.LastIndex(line, " ")+1:], &count)
		assert.NilError(t, err)
		total += count
		if line >= `oleandervane_organisation_requests_total{organisation="o-80"` && strings.Contains(line, `"o-`) {
			shown++
		}
	}
	assert.Equal(t, total, 3*100*101/2)
	assert.Assert(t, shown >= shownOrganisations*3/4, "%s", text.String())
}
