package drain

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
)

var now = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func measurements(demand float64) Measurements {
	var result Measurements
	for _, region := range []oleandervane.Region{"huye", "kigali", "musanze"} {
		result.Summaries = append(result.Summaries, oleandervane.RegionSummary{
			Region: region, Service: "ledger", CapacityPerSecond: 100, DemandPerSecond: demand, MeasuredAt: now,
		})
	}
	result.EntryVMs = map[oleandervane.Region]int{"huye": 6}
	return result
}

func configuration(linkBytes int64, drains ...oleandervane.Drain) *oleandervane.Configuration {
	result := &oleandervane.Configuration{
		Regions: map[oleandervane.Region]oleandervane.RegionSettings{},
		Services: map[oleandervane.ServiceName]oleandervane.Service{"ledger": {
			Name: "ledger", Headroom: 0.2, ShiftCap: 0.05, ShiftWindow: 10 * time.Second, RequestBytes: 1000,
		}},
		LookupLifetime: 10 * time.Second,
		Drains:         drains,
	}
	for _, region := range []oleandervane.Region{"huye", "kigali", "musanze"} {
		result.Regions[region] = oleandervane.RegionSettings{Name: region, FailureDomains: []oleandervane.FailureDomain{
			oleandervane.FailureDomain(region + "a"), oleandervane.FailureDomain(region + "b"),
		}}
		for _, to := range []oleandervane.Region{"huye", "kigali", "musanze"} {
			if region != to {
				result.Links = append(result.Links, oleandervane.Link{From: region, To: to, Delay: 12 * time.Millisecond, BytesPerSecond: linkBytes})
			}
		}
	}
	return result
}

func newDrain(name string, target oleandervane.DrainTarget, region oleandervane.Region, failureDomain oleandervane.FailureDomain, emptyFrom, returnAt time.Duration) oleandervane.Drain {
	return oleandervane.Drain{
		Name: name, Target: target, Service: "ledger", Region: region, FailureDomain: failureDomain,
		EmptyFrom: now.Add(emptyFrom), ReturnAt: now.Add(returnAt),
	}
}

// Guards against a drain that is accepted although it cannot be finished, and against one that is refused needlessly
// or without its reason.
func TestNewRefusesWithReason(t *testing.T) {
	region, domain, group, vms := oleandervane.DrainRegion, oleandervane.DrainFailureDomain, oleandervane.DrainBackendGroup, oleandervane.DrainEntryVMs
	const long, longer = time.Hour, 2 * time.Hour
	entryVMs := newDrain("vms", vms, "huye", "", long, longer)
	entryVMs.EntryVMs = []oleandervane.VMID{"huye-000"}
	for name, test := range map[string]struct {
		demand    float64
		linkBytes int64
		drains    []oleandervane.Drain
		refused   string
	}{
		"region in time":         {50, 1e9, []oleandervane.Drain{newDrain("a", region, "huye", "", 6*time.Minute, long)}, ""},
		"entry VMs":              {50, 1e9, []oleandervane.Drain{entryVMs}, ""},
		"region too late":        {50, 1e9, []oleandervane.Drain{newDrain("a", region, "huye", "", 5*time.Minute, long)}, "it takes 5m38s"},
		"no room":                {60, 1e9, []oleandervane.Drain{newDrain("a", region, "huye", "", long, longer)}, "needs 180 requests/s and 160 are left"},
		"link too narrow":        {50, 40000, []oleandervane.Drain{newDrain("a", region, "huye", "", long, longer)}, "links from huye: 50000 bytes/s are needed"},
		"returns too early":      {50, 1e9, []oleandervane.Drain{newDrain("a", region, "huye", "", longer, long)}, "returns before it is empty"},
		"unknown region":         {50, 1e9, []oleandervane.Drain{newDrain("a", region, "butare", "", long, longer)}, `region "butare"`},
		"unknown failure domain": {50, 1e9, []oleandervane.Drain{newDrain("a", domain, "huye", "kigalia", long, longer)}, `failure domain "kigalia"`},
		"no entry VMs":           {50, 1e9, []oleandervane.Drain{newDrain("a", vms, "huye", "", long, longer)}, "entry VMs of huye"},
		"two regions together":   {50, 1e9, []oleandervane.Drain{newDrain("a", region, "huye", "", long, longer), newDrain("b", region, "kigali", "", long, longer)}, "together with a"},
		"two regions in turn":    {50, 1e9, []oleandervane.Drain{newDrain("a", region, "huye", "", long, longer), newDrain("b", region, "kigali", "", 3*time.Hour, 4*time.Hour)}, ""},
		"two domains at once":    {50, 1e9, []oleandervane.Drain{newDrain("a", domain, "huye", "huyea", long, longer), newDrain("b", domain, "huye", "huyeb", long, longer)}, "with drain a"},
		"two domains in steps":   {50, 1e9, []oleandervane.Drain{newDrain("a", domain, "huye", "huyea", long, longer), newDrain("b", group, "huye", "huyeb", 90*time.Minute, 3*time.Hour)}, ""},
		"return overlaps other":  {50, 1e9, []oleandervane.Drain{newDrain("a", domain, "huye", "huyea", long, longer), newDrain("b", group, "huye", "huyeb", longer+time.Minute, 3*time.Hour)}, "with drain a"},
	} {
		t.Run(name, func(t *testing.T) {
			plans, refusals := New(configuration(test.linkBytes, test.drains...), measurements(test.demand), now)
			if test.refused == "" {
				assert.Equal(t, len(refusals), 0, "%v", refusals)
				assert.Equal(t, len(plans), len(test.drains))
				return
			}
			assert.Equal(t, len(refusals), 1)
			assert.Assert(t, strings.Contains(refusals[0].Reason.Error(), test.refused), refusals[0].Reason.Error())
		})
	}
}

// Guards against a plan that removes or returns capacity faster than the cap allows, that is not empty by the stated
// time, or that returns capacity faster than it removes it.
func TestPlanStaysWithinCapAndTimes(t *testing.T) {
	plans, refusals := New(configuration(1e9, newDrain("a", oleandervane.DrainRegion, "huye", "", 30*time.Minute, time.Hour)), measurements(50), now)
	assert.Equal(t, len(refusals), 0)
	const window = 10 * time.Second
	for moment := now; moment.Before(now.Add(2 * time.Hour)); moment = moment.Add(time.Second) {
		before := plans.DrainState(moment.Add(-window), "huye", "ledger")
		after := plans.DrainState(moment, "huye", "ledger")
		shift := before.Usable(80, 50)/50 - after.Usable(80, 50)/50
		if moment.After(plans[0].Start.Add(window)) && moment.Before(plans[0].ReturnEnd) {
			assert.Assert(t, shift <= 0.05 && shift >= -0.05, "at %v the plan shifts %v", moment, shift)
		}
		if !moment.Before(now.Add(30*time.Minute)) && moment.Before(now.Add(time.Hour)) {
			assert.Equal(t, after.Remaining(), 0.0)
		}
	}
	assert.Equal(t, plans.DrainState(now.Add(2*time.Hour), "huye", "ledger").Remaining(), 1.0)
	assert.Equal(t, plans[0].String(), "drain a (region in huye): traffic leaves from 2026-01-05T08:24:22Z, empty from "+
		"2026-01-05T08:30:00Z, returns from 2026-01-05T09:00:00Z to 2026-01-05T09:05:08Z; ledger loses 100% of the region's capacity")
}
