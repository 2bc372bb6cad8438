package comparison

import (
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/steering/drain"
)

// planDrains plans the drains of the case against the nominal capacity and demand. It fails if a drain is refused.
func (fleet *Fleet) planDrains() error {
	if len(fleet.scripted.Drains) == 0 {
		return nil
	}
	var drains []oleandervane.Drain
	for _, scripted := range fleet.scripted.Drains {
		drains = append(drains, oleandervane.Drain{
			Name: scripted.Name, Target: scripted.Target, Service: scripted.Service, Region: scripted.Region,
			FailureDomain: scripted.FailureDomain,
			EmptyFrom:     fleet.caseTime(scripted.EmptyFrom), ReturnAt: fleet.caseTime(scripted.ReturnAt),
		})
	}
	configuration := fleet.configuration.WithDrains(drains)
	fleet.configuration = &configuration
	plans, refusals := drain.New(fleet.configuration, drain.Measurements{Summaries: fleet.nominalSummaries()}, epoch)
	if len(refusals) > 0 {
		return eris.Wrapf(refusals[0].Reason, "preparing case %s", fleet.scripted.Name)
	}
	fleet.plans = plans
	return nil
}

func (fleet *Fleet) caseTime(duration Duration) time.Time {
	return epoch.Add(time.Duration(fleet.warmUpSeconds)*time.Second + time.Duration(duration))
}

func (fleet *Fleet) nominalSummaries() []oleandervane.RegionSummary {
	var summaries []oleandervane.RegionSummary
	for _, name := range fleet.deployment.Services {
		for i, region := range fleet.deployment.Regions {
			capacity := fleet.deployment.capacity(name, i)
			summaries = append(summaries, oleandervane.RegionSummary{
				Region: region, Service: name, CapacityPerSecond: capacity,
				DemandPerSecond: capacity * fleet.scripted.Utilization, MeasuredAt: epoch,
			})
		}
	}
	return summaries
}
