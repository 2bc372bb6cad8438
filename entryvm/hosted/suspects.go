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
	quarantined := suspectTracker.quarantine.Export()
	refused := make([]oleandervane.SuspectRequest, 0, len(quarantined))
	for _, request := range quarantined {
		refused = append(refused, oleandervane.SuspectRequest{Fingerprint: request.Fingerprint, Since: request.TimeLeft})
	}
	return refused
}

// Merge imports the suspects and refused requests of another VM.
func (suspectTracker suspectTracker) Merge(suspects, refused []oleandervane.SuspectRequest) {
	if len(suspects) > 0 {
		suspectTracker.quarantine.ImportSuspects(suspects)
	}
	if len(refused) == 0 {
		return
	}
	quarantined := make([]forward.QuarantineEntry, 0, len(refused))
	for _, request := range refused {
		quarantined = append(quarantined, forward.QuarantineEntry{Fingerprint: request.Fingerprint, TimeLeft: request.Since})
	}
	suspectTracker.quarantine.Import(quarantined)
}
