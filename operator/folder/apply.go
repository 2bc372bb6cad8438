package folder

import (
	"time"

	"oleandervane.example"
)

func applyLookupLifetime(draft *draft, _ []string, value any) {
	draft.lookupLifetime = value.(time.Duration)
}

func applyFailureDomains(draft *draft, names []string, value any) {
	draft.region(names).FailureDomains = namesOf[oleandervane.FailureDomain](value)
}

func applySite(draft *draft, names []string, value any) {
	draft.region(names).Sites[oleandervane.Site(names[1])] = oleandervane.FailureDomain(value.(string))
}

func applySlots(draft *draft, names []string, value any) {
	draft.service(names).Slots = int(value.(int64))
}

func applyMaxConnections(draft *draft, names []string, value any) {
	draft.service(names).MaxConnections = int(value.(int64))
}

func applyServiceTime(draft *draft, names []string, value any) {
	draft.service(names).ServiceTime = value.(time.Duration)
}

func applyProbeCost(draft *draft, names []string, value any) {
	draft.service(names).ProbeCost = value.(time.Duration)
}

func applyHeadroom(draft *draft, names []string, value any) {
	draft.service(names).Headroom = value.(float64)
}

func applyShiftCap(draft *draft, names []string, value any) {
	draft.service(names).ShiftCap = value.(float64)
}

func applyFailoverCap(draft *draft, names []string, value any) {
	draft.service(names).FailoverCap = value.(float64)
}

func applyShiftWindow(draft *draft, names []string, value any) {
	draft.service(names).ShiftWindow = value.(time.Duration)
}

func applyRequestBytes(draft *draft, names []string, value any) {
	draft.service(names).RequestBytes = value.(int64)
}

func applyIdempotent(draft *draft, names []string, value any) {
	draft.kind(names).Idempotent = value.(bool)
}

func applyWeight(draft *draft, names []string, value any) {
	draft.kind(names).Weight = int(value.(int64))
}

func applyDeadline(draft *draft, names []string, value any) {
	draft.kind(names).Deadline = value.(time.Duration)
}

func applyAvailability(draft *draft, names []string, value any) {
	draft.objective(names).Availability = value.(float64)
}

func applyLatency(draft *draft, names []string, value any) {
	draft.objective(names).Latency = value.(time.Duration)
}

func applyWindow(draft *draft, names []string, value any) {
	draft.objective(names).Window = value.(time.Duration)
}

func applyDelay(draft *draft, names []string, value any) {
	draft.link(names).Delay = value.(time.Duration)
}

func applyBytesPerSecond(draft *draft, names []string, value any) {
	draft.link(names).BytesPerSecond = value.(int64)
}

func applyDrainTarget(draft *draft, names []string, value any) {
	draft.drain(names).Target = oleandervane.DrainTarget(value.(string))
}

func applyDrainService(draft *draft, names []string, value any) {
	draft.drain(names).Service = oleandervane.ServiceName(value.(string))
}

func applyDrainRegion(draft *draft, names []string, value any) {
	draft.drain(names).Region = oleandervane.Region(value.(string))
}

func applyDrainFailureDomain(draft *draft, names []string, value any) {
	draft.drain(names).FailureDomain = oleandervane.FailureDomain(value.(string))
}

func applyDrainEntryVMs(draft *draft, names []string, value any) {
	draft.drain(names).EntryVMs = namesOf[oleandervane.VMID](value)
}

func applyEmptyFrom(draft *draft, names []string, value any) {
	draft.drain(names).EmptyFrom = value.(time.Time)
}

func applyReturnAt(draft *draft, names []string, value any) {
	draft.drain(names).ReturnAt = value.(time.Time)
}

func applyLongWindow(draft *draft, names []string, value any) {
	draft.alertRule(names).LongWindow = value.(time.Duration)
}

func applyShortWindow(draft *draft, names []string, value any) {
	draft.alertRule(names).ShortWindow = value.(time.Duration)
}

func applyFactor(draft *draft, names []string, value any) {
	draft.alertRule(names).Factor = value.(float64)
}

func namesOf[Name ~string](value any) []Name {
	var list []Name
	for _, text := range value.([]string) {
		list = append(list, Name(text))
	}
	return list
}
