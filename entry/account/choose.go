package account

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// idleWeight is the weight of a connection that is idle between requests, in comparison to one with an incomplete request.
	idleWeight = 1.0 / 8
	// addressWeight is the weight of what all connections of an address take, in comparison to what one takes itself.
	addressWeight = 1.0 / 64
	// similarShare is the part of the highest score from which on connections are closed together with the one that has it.
	similarShare = 0.5
)

// Candidate is a connection that could be closed.
type Candidate struct {
	Address netip.Addr
	// Bytes is the memory that the connection takes.
	Bytes int64
	// Stalled is how long the VM has waited for the caller since the last progress; 0 while the caller waits for the VM.
	Stalled time.Duration
	// Idle says that no request is incomplete.
	Idle bool
}

// Choose returns the numbers of the connections to close first, at most limit. The load pattern that it addresses is a flood of
// callers that stop half-way or are very slow: the score is the memory of a connection, and a part of that of its address, times the time for which the VM
// has waited for it. Connections that make progress are never chosen.
func Choose(candidates []Candidate, limit int) []int {
	byAddress := map[netip.Addr]int64{}
	for _, candidate := range candidates {
		byAddress[candidate.Address] += candidate.Bytes
	}
	score := func(candidate Candidate) float64 {
		weight := float64(candidate.Bytes) + addressWeight*float64(byAddress[candidate.Address])
		if candidate.Idle {
			weight *= idleWeight
		}
		return weight * candidate.Stalled.Seconds()
	}
	type scored struct {
		number int
		score  float64
	}
	var ranked []scored
	for number, candidate := range candidates {
		if candidate.Stalled >= minStall {
			ranked = append(ranked, scored{number, score(candidate)})
		}
	}
	slices.SortFunc(ranked, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	var chosen []int
	for _, next := range ranked[:min(limit, len(ranked))] {
		if next.score < similarShare*ranked[0].score {
			break
		}
		chosen = append(chosen, next.number)
	}
	return chosen
}
