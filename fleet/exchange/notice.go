package exchange

import (
	"maps"
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
)

// maxCount bounds how busy a notice can make a server seem. Servers have a few slots and a short queue.
const maxCount = 1024

// source names whose requests a notice counts: those of a VM, or of a failure domain whoever speaks for it.
func source(notice *peer.Notice) string {
	if domain := notice.GetFailureDomain(); domain != "" {
		return "failure_domain " + domain
	}
	return "vm " + notice.GetVm()
}

func setCounts(notice *peer.Notice, counts []oleandervane.ServerCount) {
	for _, count := range counts {
		notice.Servers = append(notice.Servers, count.Server)
		notice.Counts = append(notice.Counts, uint32(count.Count))
	}
}

func addCounts(sums map[uint32]int, notice *peer.Notice) {
	for _, count := range counts(notice) {
		sums[count.Server] += count.Count
	}
}

func setSums(notice *peer.Notice, sums map[uint32]int) {
	for _, server := range slices.Sorted(maps.Keys(sums)) {
		notice.Servers = append(notice.Servers, server)
		notice.Counts = append(notice.Counts, uint32(sums[server]))
	}
}

// counts returns the counts of a notice. A server without a count is left out.
func counts(notice *peer.Notice) []oleandervane.ServerCount {
	servers, numbers := notice.GetServers(), notice.GetCounts()
	counts := make([]oleandervane.ServerCount, 0, len(servers))
	for i := range min(len(servers), len(numbers)) {
		counts = append(counts, oleandervane.ServerCount{Server: servers[i], Count: int(min(numbers[i], maxCount))})
	}
	return counts
}

func encodeSuspects(suspects []oleandervane.SuspectRequest) []*peer.Suspect {
	var encoded []*peer.Suspect
	for _, suspect := range suspects[:min(len(suspects), maxSuspects)] {
		encoded = append(encoded, &peer.Suspect{
			Fingerprint: suspect.Fingerprint[:], Server: suspect.Server, Millis: uint32(max(0, suspect.Since.Milliseconds())),
		})
	}
	return encoded
}

func decodeSuspects(encoded []*peer.Suspect) []oleandervane.SuspectRequest {
	var suspects []oleandervane.SuspectRequest
	for _, one := range encoded {
		suspect := oleandervane.SuspectRequest{Server: one.GetServer(), Since: time.Duration(one.GetMillis()) * time.Millisecond}
		if len(one.GetFingerprint()) != len(suspect.Fingerprint) {
			continue
		}
		copy(suspect.Fingerprint[:], one.GetFingerprint())
		suspects = append(suspects, suspect)
	}
	return suspects
}
