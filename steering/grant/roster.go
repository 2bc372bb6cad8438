package grant

import (
	"maps"
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/steering/internal/guard"
)

const (
	// ViewLag is the longest time that a running VM takes to hear of an entry of the platform's list. The list is
	// read every 5 s and may itself be 20 s old.
	ViewLag = 30 * time.Second
	// RaiseDelay is how long a VM stays counted after the last sign of it.
	RaiseDelay = 40 * time.Second
	// FenceDelay is how long a VM keeps its part after the list dropped it, unless a peer that counts it is heard.
	FenceDelay = 10 * time.Second
	// BootDelay is how long a VM that neither the list nor a holder has named waits before it holds a part.
	BootDelay = 30 * time.Second
	// PeerCountLifetime is how long a peer's acknowledgement stands without being heard again.
	PeerCountLifetime = 5 * time.Second
)

// PeerCount says whom a peer of the same region counts. It is immutable.
type PeerCount struct {
	VM      oleandervane.VMID
	Counted []oleandervane.VMID
	// Indirect are those of Counted that the peer counts only because others do.
	Indirect []oleandervane.VMID
	// OwnsPart says that the peer holds a part.
	OwnsPart   bool
	ReceivedAt time.Time
}

// RosterView is what a VM sees of its region's entry VMs at a time. It is immutable.
type RosterView struct {
	Now time.Time
	// Alive are the VMs of the region in the membership view, whatever their state.
	Alive []oleandervane.VMID
	// Listed are the VMs of the region that the newest read of the platform's list names; empty if it was never read.
	Listed []oleandervane.VMID
	Peers  []PeerCount
}

// Roster holds whom a VM counts as owners of its region's capacity. It is immutable; Observe returns the next one.
type Roster struct {
	self oleandervane.VMID
	// seenAt is when a counted VM was last named by a view.
	seenAt map[oleandervane.VMID]time.Time
	// everListed are counted VMs that the platform's list named at some time.
	everListed map[oleandervane.VMID]bool
	listedNow  map[oleandervane.VMID]bool
	// listChangedAt is when the list last changed, which shows that it was not frozen ViewLag before.
	listChangedAt time.Time
	startedAt     time.Time
	// selfListedSince is when the list began to name this VM, zero while it does not.
	selfListedSince time.Time
	// confirmedAt is when a peer or the list last confirmed this VM.
	confirmedAt time.Time
	// lastHeard is what each peer said when it was last heard.
	lastHeard map[oleandervane.VMID]PeerCount
	// borrowed are VMs that are counted only because a peer counts them.
	borrowed map[oleandervane.VMID]bool
	// dropped are borrowed VMs that a peer that counted them dropped.
	dropped map[oleandervane.VMID]bool
	holds   bool
	without guard.Disabled
}

// Without returns a roster without some of its guards, for the mutation check.
func (roster Roster) Without(without guard.Disabled) Roster {
	roster.without = without
	return roster
}

// NewRoster returns the roster of a VM that has just started and holds no part.
func NewRoster(self oleandervane.VMID) Roster {
	return Roster{self: self}
}

// Observe returns the roster after a view.
func (roster Roster) Observe(view RosterView) Roster {
	next := roster
	next.seenAt = copyOf(roster.seenAt)
	next.everListed = copyOf(roster.everListed)
	next.lastHeard = copyOf(roster.lastHeard)
	next.dropped = copyOf(roster.dropped)
	next.borrowed = copyOf(roster.borrowed)
	if next.startedAt.IsZero() {
		next.startedAt = view.Now
	}
	next.see(roster.self, view.Now)
	next.readList(view)
	next.readPeers(view)
	next.drop(view.Now)
	next.holds = next.mayHold(view.Now)
	return next
}

func copyOf[Value any](source map[oleandervane.VMID]Value) map[oleandervane.VMID]Value {
	if source == nil {
		return map[oleandervane.VMID]Value{}
	}
	return maps.Clone(source)
}

// see records a sign of a VM that does not come from a peer's count.
func (roster *Roster) see(vm oleandervane.VMID, now time.Time) {
	roster.seenAt[vm] = now
	delete(roster.borrowed, vm)
	delete(roster.dropped, vm)
}

// readList takes a list that names none of the region's VMs as one that was never read: a list that is empty by
// mistake must not empty the region.
func (roster *Roster) readList(view RosterView) {
	if len(view.Listed) == 0 {
		return
	}
	before := roster.listedNow
	roster.listedNow = make(map[oleandervane.VMID]bool, len(view.Listed))
	for _, vm := range view.Listed {
		roster.listedNow[vm] = true
		roster.everListed[vm] = true
		if !roster.without.RaiseDelay {
			roster.see(vm, view.Now)
		}
	}
	if before != nil && !maps.Equal(before, roster.listedNow) {
		roster.listChangedAt = view.Now
	}
	switch {
	case !roster.listedNow[roster.self]:
		roster.selfListedSince = time.Time{}
	case roster.selfListedSince.IsZero():
		roster.selfListedSince = view.Now
	}
	if roster.listedNow[roster.self] {
		roster.confirmedAt = view.Now
	}
}

func (roster *Roster) readPeers(view RosterView) {
	for _, vm := range view.Alive {
		roster.see(vm, view.Now)
	}
	for _, peer := range view.Peers {
		if view.Now.Sub(peer.ReceivedAt) > PeerCountLifetime {
			continue
		}
		roster.see(peer.VM, view.Now)
		for vm := range roster.borrowed {
			if slices.Contains(roster.lastHeard[peer.VM].Counted, vm) && !slices.Contains(peer.Counted, vm) {
				roster.dropped[vm] = true
			}
		}
		roster.lastHeard[peer.VM] = peer
		if slices.Contains(peer.Counted, roster.self) {
			roster.confirmedAt = view.Now
		}
		roster.borrow(peer, view.Now)
	}
}

// borrow counts those whom a peer counts. A holder learns of others by views and by their requests for an
// acknowledgement; holders that copied from one another would never stop counting a dead VM.
func (roster *Roster) borrow(peer PeerCount, now time.Time) {
	if roster.holds {
		return
	}
	for _, vm := range peer.Counted {
		if _, counted := roster.seenAt[vm]; counted {
			continue
		}
		roster.seenAt[vm] = now
		roster.borrowed[vm] = true
	}
}

// drop stops counting VMs that no view has named for RaiseDelay and that the list dropped. A VM that the list never
// named counts as dropped once the list changed long enough after the last sign of it. A borrowed VM is dropped when
// no peer counts it any more.
func (roster *Roster) drop(now time.Time) {
	for vm, seenAt := range roster.seenAt {
		listIsNewer := roster.everListed[vm] || roster.listChangedAt.Sub(seenAt) > ViewLag
		confirmedGone := !roster.listedNow[vm] && listIsNewer && now.Sub(seenAt) > RaiseDelay
		confirmedGone = confirmedGone || roster.dropped[vm] && !roster.knownToPeer(vm)
		if roster.without.RaiseDelay {
			confirmedGone = now.Sub(seenAt) > 0
		}
		if vm == roster.self || !confirmedGone {
			continue
		}
		delete(roster.seenAt, vm)
		delete(roster.everListed, vm)
		delete(roster.lastHeard, vm)
		delete(roster.dropped, vm)
		delete(roster.borrowed, vm)
	}
}

// knows says whether the peer counts the VM at first hand.
func (peerCount PeerCount) knows(vm oleandervane.VMID) bool {
	return slices.Contains(peerCount.Counted, vm) && !slices.Contains(peerCount.Indirect, vm)
}

// knownToPeer says whether a peer counted the VM at first hand when it was last heard.
func (roster *Roster) knownToPeer(vm oleandervane.VMID) bool {
	for _, peer := range roster.lastHeard {
		if peer.knows(vm) {
			return true
		}
	}
	return false
}

func (roster *Roster) mayHold(now time.Time) bool {
	if roster.without.JoinWait {
		return true
	}
	if roster.holds {
		dropped := roster.everListed[roster.self] && !roster.listedNow[roster.self]
		return !dropped || now.Sub(roster.confirmedAt) <= FenceDelay
	}
	if !roster.introduced(now) {
		return false
	}
	listed := !roster.selfListedSince.IsZero() && now.Sub(roster.selfListedSince) > ViewLag
	for vm := range roster.seenAt {
		if vm == roster.self || slices.Contains(roster.lastHeard[vm].Counted, roster.self) {
			continue
		}
		if !listed {
			return false
		}
	}
	return true
}

// introduced says whether the VM has a source that names all holders: the platform's list, or a peer that holds a
// part. Without either, in a region whose VMs all start while the list is down, it waits for BootDelay.
func (roster *Roster) introduced(now time.Time) bool {
	if !roster.selfListedSince.IsZero() || now.Sub(roster.startedAt) > BootDelay {
		return true
	}
	for _, peer := range roster.lastHeard {
		if peer.OwnsPart {
			return true
		}
	}
	return false
}

// Part returns the share of the region's capacity that this VM owns, in [0, 1].
func (roster Roster) Part() float64 {
	if !roster.holds {
		return 0
	}
	return 1 / float64(len(roster.seenAt))
}

// Counted returns the VMs that this one counts, itself included, in order.
func (roster Roster) Counted() []oleandervane.VMID {
	return slices.Sorted(maps.Keys(roster.seenAt))
}

// Borrowed returns those of Counted that this VM counts only because a peer does, in order.
func (roster Roster) Borrowed() []oleandervane.VMID {
	return slices.Sorted(maps.Keys(roster.borrowed))
}

// Holds says whether this VM holds a part.
func (roster Roster) Holds() bool {
	return roster.holds
}

// PartInForce returns the share of the region's capacity that VMs heard lately and this one own together, as far as
// this VM knows.
func (roster Roster) PartInForce(now time.Time) float64 {
	sum := roster.Part()
	for _, peer := range roster.lastHeard {
		if peer.OwnsPart && now.Sub(peer.ReceivedAt) <= PeerCountLifetime {
			sum += 1 / float64(len(peer.Counted))
		}
	}
	return min(1, sum)
}
