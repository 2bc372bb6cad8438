package hosted

import (
	"oleandervane.example"
	"oleandervane.example/entry/forward"
)

// suspicions passes what the quarantine knows to other VMs and back.
type suspicions struct {
	quarantine *forward.Quarantine
}

// Suspects returns requests that broke one connection lately.
func (suspicions suspicions) Suspects() []oleandervane.SuspectRequest {
	return suspicions.quarantine.ExportSuspects()
}

// Quarantined returns requests that are refused.
func (suspicions suspicions) Quarantined() []oleandervane.SuspectRequest {
	quarantined := suspicions.quarantine.Export()
	refused := make([]oleandervane.SuspectRequest, 0, len(quarantined))
	for _, one := range quarantined {
		refused = append(refused, oleandervane.SuspectRequest{Fingerprint: one.Fingerprint, Since: one.TimeLeft})
	}
	return refused
}

// Merge takes over what another VM knows.
func (suspicions suspicions) Merge(suspects, refused []oleandervane.SuspectRequest) {
	if len(suspects) > 0 {
		suspicions.quarantine.ImportSuspects(suspects)
	}
	if len(refused) == 0 {
		return
	}
	quarantined := make([]forward.QuarantineEntry, 0, len(refused))
	for _, one := range refused {
		quarantined = append(quarantined, forward.QuarantineEntry{Fingerprint: one.Fingerprint, TimeLeft: one.Since})
	}
	suspicions.quarantine.Import(quarantined)
}
