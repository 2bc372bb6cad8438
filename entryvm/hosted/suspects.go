package hosted

import (
	"oleandervane.example"
	"oleandervane.example/entry/forward"
)

// suspectTracker exports the requests in quarantine for other VMs and imports theirs.
type suspectTracker struct {
	quarantine *forward.Quarantine
}

// Suspects returns the requests that recently broke one connection.
func (suspectTracker suspectTracker) Suspects() []oleandervane.SuspectRequest {
	return suspectTracker.quarantine.ExportSuspects()
}

// Quarantined returns the requests that are refused, each with the time left.
func (suspectTracker suspectTracker) Quarantined() []oleandervane.SuspectRequest {
	entries := suspectTracker.quarantine.Export()
	quarantined := make([]oleandervane.SuspectRequest, 0, len(entries))
	for _, entry := range entries {
		quarantined = append(quarantined, oleandervane.SuspectRequest{Fingerprint: entry.Fingerprint, Since: entry.TimeLeft})
	}
	return quarantined
}

// Merge imports the suspect and quarantined requests of another VM.
func (suspectTracker suspectTracker) Merge(suspects, quarantined []oleandervane.SuspectRequest) {
	if len(suspects) > 0 {
		suspectTracker.quarantine.ImportSuspects(suspects)
	}
	if len(quarantined) == 0 {
		return
	}
	entries := make([]forward.QuarantineEntry, 0, len(quarantined))
	for _, request := range quarantined {
		entries = append(entries, forward.QuarantineEntry{Fingerprint: request.Fingerprint, TimeLeft: request.Since})
	}
	suspectTracker.quarantine.Import(entries)
}
