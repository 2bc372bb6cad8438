package exchange

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
)

// maxCount bounds the requests in flight that a notice can report for a server. Servers have a few slots and a short queue.
const maxCount = 1024

const (
	// rateLimitUnits is the number of units of a rate limit in a notice that make up a request a second.
	rateLimitUnits = 1000
	// maxRateLimit is the highest rate limit that a notice can report. No server reaches it.
	maxRateLimit = 1_000_000
)

// source names the origin of the counts in a notice: a VM, or a failure domain, whichever delegate reports for it.
func source(notice *peer.Notice) string {
	if domain := notice.GetFailureDomain(); domain != "" {
		return "failure_domain " + domain
	}
	return "vm " + notice.GetVm()
}

// storeRevision returns the store revision in a notice.
func storeRevision(notice *peer.Notice) oleandervane.StoreRevision {
	return oleandervane.StoreRevision{Era: oleandervane.StoreEra(notice.GetStoreEra()), Number: notice.GetStoreRevision()}
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

// counts returns the counts in a notice. A server without a count is ignored.
func counts(notice *peer.Notice) []oleandervane.ServerCount {
	servers, numbers := notice.GetServers(), notice.GetCounts()
	counts := make([]oleandervane.ServerCount, 0, len(servers))
	for i := range min(len(servers), len(numbers)) {
		counts = append(counts, oleandervane.ServerCount{Server: servers[i], Count: int(min(numbers[i], maxCount))})
	}
	return counts
}

// part returns the part of a list that belongs into the notice with the sequence number. A list that does not fit into one notice
// is sent in parts: the first newestSuspects requests in each notice, the others in turn. A delegate reports to other domains only
// in each delegateCount-th notice, so that as many notices in a row have the same part.
func part(list []oleandervane.SuspectRequest, sequence uint64) []oleandervane.SuspectRequest {
	if len(list) <= maxSuspects {
		return list
	}
	const perNotice = maxSuspects - newestSuspects
	older := list[newestSuspects:]
	parts := uint64((len(older) + perNotice - 1) / perNotice)
	first := int(sequence/delegateCount%parts) * perNotice
	return slices.Concat(list[:newestSuspects], older[first:min(first+perNotice, len(older))])
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
	for _, message := range encoded {
		suspect := oleandervane.SuspectRequest{Server: message.GetServer(), Since: time.Duration(message.GetMillis()) * time.Millisecond}
		if len(message.GetFingerprint()) != len(suspect.Fingerprint) {
			continue
		}
		copy(suspect.Fingerprint[:], message.GetFingerprint())
		suspects = append(suspects, suspect)
	}
	return suspects
}

func encodeDirectives(directives []oleandervane.ServerDirective) []*peer.Directive {
	var encoded []*peer.Directive
	for _, directive := range directives[:min(len(directives), maxDirectives)] {
		encoded = append(encoded, &peer.Directive{
			Server: directive.Server, RateLimitMilli: encodeRateLimit(directive.RateLimit), Leaving: directive.Leaving,
			AgeMillis: uint32(max(0, directive.Age.Milliseconds())),
		})
	}
	return encoded
}

// encodeRateLimit rounds up, so that a low limit does not become none.
func encodeRateLimit(rateLimit float64) uint64 {
	return uint64(math.Ceil(min(rateLimit, maxRateLimit) * rateLimitUnits))
}

func decodeDirectives(encoded []*peer.Directive) []oleandervane.ServerDirective {
	var directives []oleandervane.ServerDirective
	for _, message := range encoded {
		directives = append(directives, oleandervane.ServerDirective{
			Server:    message.GetServer(),
			RateLimit: float64(min(message.GetRateLimitMilli(), maxRateLimit*rateLimitUnits)) / rateLimitUnits,
			Leaving:   message.GetLeaving(),
			Age:       time.Duration(message.GetAgeMillis()) * time.Millisecond,
		})
	}
	return directives
}

// EncodeServerEnds returns the newest ends as parts of a message.
func EncodeServerEnds(serverEnds []oleandervane.ServerEnd) []*peer.ServerEnd {
	var encoded []*peer.ServerEnd
	for _, serverEnd := range serverEnds[:min(len(serverEnds), maxServerEnds)] {
		encoded = append(encoded, &peer.ServerEnd{Server: serverEnd.Server, AgeMillis: uint32(max(0, serverEnd.Age.Milliseconds()))})
	}
	return encoded
}

// addServerEnds adds the ends in a notice that came some time ago to the ages of those that are known.
func addServerEnds(ages map[uint32]time.Duration, notice *peer.Notice, receivedAgo time.Duration) {
	for _, serverEnd := range DecodeServerEnds(notice.GetServerEnds()) {
		age := serverEnd.Age + receivedAgo
		if known, found := ages[serverEnd.Server]; !found || age < known {
			ages[serverEnd.Server] = age
		}
	}
}

// youngestEnds returns the ends, the newest first.
func youngestEnds(ages map[uint32]time.Duration) []oleandervane.ServerEnd {
	serverEnds := make([]oleandervane.ServerEnd, 0, len(ages))
	for server, age := range ages {
		serverEnds = append(serverEnds, oleandervane.ServerEnd{Server: server, Age: age})
	}
	slices.SortFunc(serverEnds, func(a, b oleandervane.ServerEnd) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Server, b.Server))
	})
	return serverEnds
}

// DecodeServerEnds returns the ends in a message.
func DecodeServerEnds(encoded []*peer.ServerEnd) []oleandervane.ServerEnd {
	var serverEnds []oleandervane.ServerEnd
	for _, message := range encoded {
		serverEnds = append(serverEnds, oleandervane.ServerEnd{Server: message.GetServer(), Age: time.Duration(message.GetAgeMillis()) * time.Millisecond})
	}
	return serverEnds
}
