package entryvm

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/steering/drain"
)

// Guards against new requests to, and reported capacity of, backend servers that a drain requires to be empty, and
// against marking others.
func TestDrainsMarkTheirTargets(t *testing.T) {
	backendServers := []oleandervane.BackendServer{
		{ID: "1", Service: "ledger", Region: "huye", FailureDomain: "huye-a"},
		{ID: "2", Service: "reports", Region: "huye", FailureDomain: "huye-a"},
		{ID: "3", Service: "ledger", Region: "huye", FailureDomain: "huye-b"},
	}
	cases := map[string]struct {
		drain  oleandervane.Drain
		marked string
	}{
		"backend group":  {oleandervane.Drain{Target: oleandervane.DrainBackendGroup, Service: "ledger", FailureDomain: "huye-a"}, "1"},
		"failure domain": {oleandervane.Drain{Target: oleandervane.DrainFailureDomain, FailureDomain: "huye-a"}, "12"},
		"region":         {oleandervane.Drain{Target: oleandervane.DrainRegion, Region: "huye"}, "123"},
		"entry VMs":      {oleandervane.Drain{Target: oleandervane.DrainEntryVMs, Region: "huye", EntryVMs: []oleandervane.VMID{"1"}}, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			test.drain.EmptyFrom, test.drain.ReturnAt = now, now.Add(time.Hour)
			plans := drain.Plans{{Drain: test.drain, Start: now.Add(-time.Minute)}}
			for at, expected := range map[time.Duration]string{-time.Second: "", 0: test.marked, 59 * time.Minute: test.marked, time.Hour: ""} {
				marked := ""
				for _, backendServer := range markDrained(plans, now.Add(at), backendServers) {
					if backendServer.Leaving {
						marked += string(backendServer.ID)
					}
				}
				assert.Equal(t, marked, expected, "at %s", at)
			}
			assert.Equal(t, drainedEntryVMs(plans, now.Add(-time.Second))["1"], test.drain.Target == oleandervane.DrainEntryVMs)
		})
	}
}
