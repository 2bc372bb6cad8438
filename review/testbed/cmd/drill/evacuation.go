package main

import (
	"fmt"
	"time"

	"oleandervane.example/standin/storestandin"
	"oleandervane.example/testbed/installation"
)

const (
	// evacuationLimit and outerLimit are evac_s and outer_s of a small site.
	evacuationLimit = 5 * time.Second
	outerLimit      = 5 * time.Second
)

// playEvacuation evacuates a zone, takes that back, and evacuates it again. With the disruption, the store comes back from a copy
// between the two evacuations.
func playEvacuation(started *installation.Installation, disrupted bool) (broken []string, err error) {
	record, arrivals := started.Record, &installation.Arrivals{}
	servers, err := startServers(started, arrivals, "ledger", "i", 6)
	if err != nil {
		return nil, err
	}
	if err := prepare(started, servers, 3); err != nil {
		return nil, err
	}
	zone := installation.Places[1].Zone
	key := "op/evacuate/" + zone
	callers := installation.NewCallers(record)
	stop := keepFiling(started, callers)
	time.Sleep(4 * time.Second)
	backup := started.Store.Content()
	record.Say("a copy of the store is taken")
	time.Sleep(time.Second)
	if err := started.Write(key, "{}"); err != nil {
		return nil, err
	}
	record.Say("the store has acknowledged the evacuation of %s", zone)
	time.Sleep(3 * time.Second)
	if err := started.Remove(key); err != nil {
		return nil, err
	}
	record.Say("the evacuation is taken back")
	time.Sleep(time.Second)
	if disrupted {
		record.Say("the store is away")
		started.Store.SetFaults(storestandin.Faults{Down: true})
		time.Sleep(time.Second)
		started.Store.Restore(backup)
		started.Store.SetFaults(storestandin.Faults{})
		record.Say("the store is back from the copy")
	}
	if err := started.Write(key, "{}"); err != nil {
		return nil, err
	}
	acknowledgedAt := time.Now()
	record.Say("the store has acknowledged the second evacuation of %s", zone)
	time.Sleep(evacuationLimit + outerLimit + 10*time.Second)
	stop()
	return arrivalsIn(zone, servers, arrivals.All(), acknowledgedAt, record), nil
}

// arrivalsIn returns the requests that reached servers of a zone too late after its evacuation was acknowledged.
func arrivalsIn(zone string, servers []*installation.Server, arrivals []installation.Arrival, acknowledgedAt time.Time, record *installation.Record) (broken []string) {
	evacuated := map[string]bool{}
	for _, server := range servers {
		evacuated[server.ID] = server.Place.Zone == zone
	}
	before := 0
	for _, arrival := range arrivals {
		late := arrival.At.Sub(acknowledgedAt)
		switch {
		case !evacuated[arrival.Server]:
		case late > evacuationLimit+outerLimit:
			broken = append(broken, fmt.Sprintf("EVAC: %s reached %s in %s %.1f s after the evacuation was acknowledged", arrival.RequestID, arrival.Server, zone, late.Seconds()))
		case late > 0:
			before++
		}
	}
	record.Say("%d arrivals, %d of them in %s in the first %v after the evacuation", len(arrivals), before, zone, evacuationLimit+outerLimit)
	return broken
}
