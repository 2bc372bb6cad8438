package comparison

import (
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/steering/drain"
)

// planDrains plans the drains of the case against the usual figures of the deployment. A refused drain is an error.
func (fleet *Fleet) planDrains() error {
	if len(fleet.scripted.Drains) == 0 {
		return nil
	}
	var drains []oleandervane.Drain
	for _, scripted := range fleet.scripted.Drains {
		drains = append(drains, oleandervane.Drain{
			Name: scripted.Name, Target: scripted.Target, Service: scripted.Service, Region: scripted.Region,
			FailureDomain: scripted.Domain,
			EmptyFrom:     fleet.at(scripted.EmptyFrom), ReturnAt: fleet.at(scripted.ReturnAt),
		})
	}
	configuration := fleet.configuration.WithDrains(drains)
	fleet.configuration = &configuration
	plans, refusals := drain.New(fleet.configuration, drain.Measurements{Summaries: fleet.usualFigures()}, epoch)
	if len(refusals) > 0 {
		return eris.Wrapf(refusals[0].Reason, "preparing case %s", fleet.scripted.Name)
	}
	fleet.plans = plans
	return nil
}

func (fleet *Fleet) at(duration Duration) time.Time {
	return epoch.Add(time.Duration(fleet.warmUp)*time.Second + time.Duration(duration))
}

func (fleet *Fleet) usualFigures() []oleandervane.RegionSummary {
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
