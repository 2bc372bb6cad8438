package grant

import (
	"maps"
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/steering/internal/guard"
)

const (
	// ListLag is the longest time until a running VM has read an entry of the platform's list. The list is read every
	// 5 s and may itself be 20 s old.
	ListLag = 30 * time.Second
	// RaiseDelay is how long a VM stays counted after the last sign of it; the parts of the others rise only then.
	RaiseDelay = 40 * time.Second
	// FenceDelay is how long a VM keeps its part after the list dropped it, unless it hears from a peer that counts it.
	FenceDelay = 10 * time.Second
	// BootDelay is how long a VM waits before it owns a part if neither the list nor an owner of a part has named it.
	BootDelay = 30 * time.Second
	// PeerCountLifetime is how long a peer's acknowledgement stays valid after it was received.
	PeerCountLifetime = 5 * time.Second
)

// PeerCount has the VMs that a peer of the same region counts. It is immutable.
type PeerCount struct {
	VM      oleandervane.VMID
	Counted []oleandervane.VMID
	// Indirect are those of Counted that the peer counts only because its own peers do.
	Indirect []oleandervane.VMID
	// OwnsPart is set if the peer owns a part.
	OwnsPart   bool
	ReceivedAt time.Time
}

// RosterView is a VM's view of its region's entry VMs at a time. It is immutable.
type RosterView struct {
	Now time.Time
	// Alive are the VMs of the region in the membership view, whatever their state.
	Alive []oleandervane.VMID
	// Listed are the VMs of the region that the newest read of the platform's list names; empty if it was never read.
	Listed []oleandervane.VMID
	Peers  []PeerCount
}

// Roster has the VMs that a VM counts as owners of its region's capacity. It is immutable; Observe returns the next
// one.
type Roster struct {
	self oleandervane.VMID
	// seenAt is when a counted VM was last seen in a view.
	seenAt map[oleandervane.VMID]time.Time
	// everListed are the counted VMs that the platform's list has named at any time.
	everListed map[oleandervane.VMID]bool
	listedNow  map[oleandervane.VMID]bool
	// listChangedAt is when the list last changed, which shows that it was not frozen ListLag before.
	listChangedAt time.Time
	startedAt     time.Time
	// selfListedSince is when the list began to name this VM, zero while it does not.
	selfListedSince time.Time
	// confirmedAt is when a peer or the list last confirmed this VM.
	confirmedAt time.Time
	// lastCounts has the last count received from each peer.
	lastCounts map[oleandervane.VMID]PeerCount
	// indirect are VMs that are counted only because a peer counts them.
	indirect map[oleandervane.VMID]bool
	// dropped are indirect VMs that a peer counted before and no longer does.
	dropped  map[oleandervane.VMID]bool
	ownsPart bool
	disabled guard.Disabled
}

// WithoutGuards returns a roster with some of its guards disabled, for the mutation check.
func (roster Roster) WithoutGuards(disabled guard.Disabled) Roster {
	roster.disabled = disabled
	return roster
}

// NewRoster returns the roster of a VM that has just started and owns no part.
func NewRoster(self oleandervane.VMID) Roster {
	return Roster{self: self}
}

// Observe returns the roster after a view.
func (roster Roster) Observe(view RosterView) Roster {
	next := roster
	next.seenAt = copyOf(roster.seenAt)
	next.everListed = copyOf(roster.everListed)
	next.lastCounts = copyOf(roster.lastCounts)
	next.dropped = copyOf(roster.dropped)
	next.indirect = copyOf(roster.indirect)
	if next.startedAt.IsZero() {
		next.startedAt = view.Now
	}
	next.markSeen(roster.self, view.Now)
	next.applyList(view)
	next.mergePeers(view)
	next.drop(view.Now)
	next.ownsPart = next.mayOwnPart(view.Now)
	return next
}

func copyOf[Value any](source map[oleandervane.VMID]Value) map[oleandervane.VMID]Value {
	if source == nil {
		return map[oleandervane.VMID]Value{}
	}
	return maps.Clone(source)
}

// markSeen records a direct sign of a VM, one that does not come from a peer's count.
func (roster *Roster) markSeen(vm oleandervane.VMID, now time.Time) {
	roster.seenAt[vm] = now
	delete(roster.indirect, vm)
	delete(roster.dropped, vm)
}

// applyList applies the platform's list. A list that names none of the region's VMs counts as never read, because a
// list that is empty by mistake must not empty the region.
func (roster *Roster) applyList(view RosterView) {
	if len(view.Listed) == 0 {
		return
	}
	before := roster.listedNow
	roster.listedNow = make(map[oleandervane.VMID]bool, len(view.Listed))
	for _, vm := range view.Listed {
		roster.listedNow[vm] = true
		roster.everListed[vm] = true
		if !roster.disabled.RaiseDelay {
			roster.markSeen(vm, view.Now)
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

func (roster *Roster) mergePeers(view RosterView) {
	for _, vm := range view.Alive {
		roster.markSeen(vm, view.Now)
	}
	for _, peer := range view.Peers {
		if view.Now.Sub(peer.ReceivedAt) > PeerCountLifetime {
			continue
		}
		roster.markSeen(peer.VM, view.Now)
		for vm := range roster.indirect {
			if slices.Contains(roster.lastCounts[peer.VM].Counted, vm) && !slices.Contains(peer.Counted, vm) {
				roster.dropped[vm] = true
			}
		}
		roster.lastCounts[peer.VM] = peer
		if slices.Contains(peer.Counted, roster.self) {
			roster.confirmedAt = view.Now
		}
		roster.countIndirect(peer, view.Now)
	}
}

// countIndirect counts the VMs that a peer counts. Only a VM without a part does so: an owner finds others by views and
// by their requests for an acknowledgement, and owners that copied from one another would never stop counting a dead
// VM.
func (roster *Roster) countIndirect(peer PeerCount, now time.Time) {
	if roster.ownsPart {
		return
	}
	for _, vm := range peer.Counted {
		if _, counted := roster.seenAt[vm]; counted {
			continue
		}
		roster.seenAt[vm] = now
		roster.indirect[vm] = true
	}
}

// drop stops counting VMs that no view has named for RaiseDelay and that the list dropped. A VM that the list never
// named counts as dropped once the list has changed more than ListLag after the last sign of it. An indirect VM is
// dropped when no peer counts it any more.
func (roster *Roster) drop(now time.Time) {
	for vm, seenAt := range roster.seenAt {
		listIsNewer := roster.everListed[vm] || roster.listChangedAt.Sub(seenAt) > ListLag
		confirmedGone := !roster.listedNow[vm] && listIsNewer && now.Sub(seenAt) > RaiseDelay
		confirmedGone = confirmedGone || roster.dropped[vm] && !roster.countedByPeer(vm)
		if roster.disabled.RaiseDelay {
			confirmedGone = now.Sub(seenAt) > 0
		}
		if vm == roster.self || !confirmedGone {
			continue
		}
		delete(roster.seenAt, vm)
		delete(roster.everListed, vm)
		delete(roster.lastCounts, vm)
		delete(roster.dropped, vm)
		delete(roster.indirect, vm)
	}
}

// countsDirectly reports whether the peer counts the VM, and not only because its own peers do.
func (peerCount PeerCount) countsDirectly(vm oleandervane.VMID) bool {
	return slices.Contains(peerCount.Counted, vm) && !slices.Contains(peerCount.Indirect, vm)
}

// countedByPeer reports whether the last count of any peer counts the VM directly.
func (roster *Roster) countedByPeer(vm oleandervane.VMID) bool {
	for _, peer := range roster.lastCounts {
		if peer.countsDirectly(vm) {
			return true
		}
	}
	return false
}

func (roster *Roster) mayOwnPart(now time.Time) bool {
	if roster.disabled.JoinWait {
		return true
	}
	if roster.ownsPart {
		dropped := roster.everListed[roster.self] && !roster.listedNow[roster.self]
		return !dropped || now.Sub(roster.confirmedAt) <= FenceDelay
	}
	if !roster.hasOwnerSource(now) {
		return false
	}
	listed := !roster.selfListedSince.IsZero() && now.Sub(roster.selfListedSince) > ListLag
	for vm := range roster.seenAt {
		if vm == roster.self || slices.Contains(roster.lastCounts[vm].Counted, roster.self) {
			continue
		}
		if !listed {
			return false
		}
	}
	return true
}

// hasOwnerSource reports whether the VM has a source that names all owners: the platform's list, or a peer that owns a
// part. Without either, in a region whose VMs all start while the list is unavailable, it waits for BootDelay.
func (roster *Roster) hasOwnerSource(now time.Time) bool {
	if !roster.selfListedSince.IsZero() || now.Sub(roster.startedAt) > BootDelay {
		return true
	}
	for _, peer := range roster.lastCounts {
		if peer.OwnsPart {
			return true
		}
	}
	return false
}

// Part returns the share of the region's capacity that this VM owns, in [0, 1].
func (roster Roster) Part() float64 {
	if !roster.ownsPart {
		return 0
	}
	return 1 / float64(len(roster.seenAt))
}

// Counted returns the VMs that this one counts, itself included, in order.
func (roster Roster) Counted() []oleandervane.VMID {
	return slices.Sorted(maps.Keys(roster.seenAt))
}

// Indirect returns those of Counted that this VM counts only because a peer does, in order.
func (roster Roster) Indirect() []oleandervane.VMID {
	return slices.Sorted(maps.Keys(roster.indirect))
}

// OwnsPart reports whether this VM owns a part.
func (roster Roster) OwnsPart() bool {
	return roster.ownsPart
}

// RegionPart returns the share of the region's capacity that this VM and the peers with a valid count own together, as
// far as this VM knows.
func (roster Roster) RegionPart(now time.Time) float64 {
	sum := roster.Part()
	for _, peer := range roster.lastCounts {
		if peer.OwnsPart && now.Sub(peer.ReceivedAt) <= PeerCountLifetime {
			sum += 1 / float64(len(peer.Counted))
		}
	}
	return min(1, sum)
}
