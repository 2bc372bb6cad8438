package share

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

const (
	// Period is the time between two decisions.
	Period = time.Second
	// maxPeerAge is the largest age of a peer's shares that are restored. A peer publishes each second.
	maxPeerAge = 10 * time.Second
	// peerWait is how long a VM without shares waits for those of a peer before it restores the snapshot.
	peerWait = 3 * time.Second
	// freshSnapshotAge is the age up to which a snapshot is preferred to the shares of another region's VM.
	freshSnapshotAge = 30 * time.Second
	// unownedDelay is how long a part of the home region's capacity has to be unowned before shares shift away. A
	// restart leaves a part unowned for about 3 s, and shares that shifted would return only as fast as the cap allows.
	unownedDelay = 10 * time.Second
	// snapshotWait is how long a VM without shares waits for a peer or a snapshot before it starts with all traffic at
	// home.
	snapshotWait = 8 * time.Second
	// maxSnapshotAge is the largest age of a snapshot that is restored. A snapshot is written about every 10 s, but not
	// during an outage of the store, which may be long.
	maxSnapshotAge = 2 * time.Hour
)

// PeerShares has the shares that an entry VM publishes to the VMs of its region. It is immutable.
type PeerShares struct {
	VM     oleandervane.VMID
	Region oleandervane.Region
	At     time.Time
	Shares map[oleandervane.Flow]oleandervane.ShareVector
	// Floors has the smallest share of each region within the shift window. A shift from the floor is at least as
	// large as the shift from any vector of the window.
	Floors map[oleandervane.Flow]oleandervane.ShareVector
}

// Inputs provides the state that a steerer decides on. Its methods return immutable values and are called once a
// period.
type Inputs interface {
	oleandervane.ConfigurationSource
	// Summaries are the newest known summaries of all regions.
	Summaries() []oleandervane.RegionSummary
	// Grants are the known grants to and from all regions, including expired ones.
	Grants() []oleandervane.Grant
	// LostRegions are regions known to be lost.
	LostRegions() map[oleandervane.Region]bool
	// Peers are the newest shares received from VMs of this VM's region. Until this VM has restored shares, they include
	// those of VMs of other regions, which steered the region's flows while it was lost.
	Peers() []PeerShares
	// HomePart is the share of this region's capacity that its live VMs own (grant.Controller.RegionPart).
	HomePart() float64
	// Snapshot is the region's snapshot in the store, and whether it could be read.
	Snapshot() (Snapshot, bool)
}

// Steerer runs a policy on one entry VM and implements oleandervane.RegionChooser. ChooseRegion and PeerShares are
// safe for concurrent use with everything else.
type Steerer struct {
	self   oleandervane.EntryVM
	inputs Inputs
	policy oleandervane.SteeringPolicy
	mutex  sync.Mutex
	// startedAt is the time of the first tick.
	startedAt time.Time
	restored  bool
	history   []oleandervane.SharesAt
	parts     []partAt
	table     atomic.Pointer[table]
}

var _ oleandervane.RegionChooser = (*Steerer)(nil)

// NewSteerer returns a steerer without shares. Until it has restored some, all traffic stays at home.
func NewSteerer(self oleandervane.EntryVM, inputs Inputs, policy oleandervane.SteeringPolicy) *Steerer {
	steerer := &Steerer{self: self, inputs: inputs, policy: policy}
	steerer.table.Store(&table{})
	return steerer
}

// Run decides once each Period until the returned function is called.
func (steerer *Steerer) Run(timerService oleandervane.TimerService) (cancel func()) {
	return timerService.Every(Period, steerer.Tick)
}

// Restored reports whether the steerer has restored shares, or has waited long enough to start without them.
func (steerer *Steerer) Restored() bool {
	return steerer.table.Load().restored
}

// PeerShares returns the shares in force, for peers and for the snapshot.
func (steerer *Steerer) PeerShares() PeerShares {
	return steerer.table.Load().published
}

// Explain returns for each flow what bounded its shares in the last decision.
func (steerer *Steerer) Explain() map[oleandervane.Flow]string {
	return steerer.table.Load().reasons
}

// Tick decides on the shares of the next period.
func (steerer *Steerer) Tick(now time.Time) {
	steerer.mutex.Lock()
	defer steerer.mutex.Unlock()
	configuration := steerer.inputs.Configuration()
	if configuration == nil {
		return
	}
	if steerer.startedAt.IsZero() {
		steerer.startedAt = now
	}
	if !steerer.restored {
		steerer.restore(now)
	}
	if !steerer.restored {
		return
	}
	steerer.trimHistory(now, configuration)
	input := oleandervane.SteeringInput{
		Now:           now,
		Configuration: configuration,
		Summaries:     steerer.ownedCapacity(now, steerer.inputs.Summaries()),
		Grants:        steerer.inputs.Grants(),
		Shares:        steerer.table.Load().published.Shares,
		History:       steerer.history,
		LostRegions:   steerer.inputs.LostRegions(),
	}
	decision := steerer.policy.Decide(input)
	if len(steerer.history) == 0 || !sameShares(input.Shares, decision.Shares) {
		steerer.history = append(steerer.history, oleandervane.SharesAt{From: now, Shares: decision.Shares})
	}
	steerer.publish(now, configuration, decision)
}

// partAt is the part of the home region's capacity that was owned at a time.
type partAt struct {
	at   time.Time
	part float64
}

// ownedCapacity lowers the home region's capacity to the part that its live VMs own. It uses the largest part within
// unownedDelay.
func (steerer *Steerer) ownedCapacity(now time.Time, summaries []oleandervane.RegionSummary) []oleandervane.RegionSummary {
	steerer.parts = append(steerer.parts, partAt{at: now, part: steerer.inputs.HomePart()})
	for now.Sub(steerer.parts[0].at) > unownedDelay {
		steerer.parts = steerer.parts[1:]
	}
	part := 0.0
	for _, earlier := range steerer.parts {
		part = max(part, earlier.part)
	}
	if part <= 0 || part >= 1 {
		return summaries
	}
	result := slices.Clone(summaries)
	for i := range result {
		if result[i].Region == steerer.self.Region {
			result[i].CapacityPerSecond *= part
		}
	}
	return result
}

// sameShares reports whether a decision changed nothing; the newest history entry then stays in force.
func sameShares(before, after map[oleandervane.Flow]oleandervane.ShareVector) bool {
	return maps.EqualFunc(before, after, maps.Equal[oleandervane.ShareVector, oleandervane.ShareVector])
}

// restore restores shares from a peer, or else from the snapshot. Restored shares count as in force at their floors
// since the beginning of the window, so that a restart does not allow a second use of the shift cap.
func (steerer *Steerer) restore(now time.Time) {
	if peer, found := newestPeer(steerer.inputs.Peers(), steerer.self, now, true); found {
		steerer.restoreShares(now, peer.Shares, peer.Floors)
		return
	}
	waited := now.Sub(steerer.startedAt)
	if waited < peerWait {
		return
	}
	snapshot, found := steerer.inputs.Snapshot()
	if !found || now.Sub(snapshot.At) > freshSnapshotAge {
		if peer, found := newestPeer(steerer.inputs.Peers(), steerer.self, now, false); found {
			steerer.restoreShares(now, peer.Shares, peer.Floors)
			return
		}
	}
	if found && now.Sub(snapshot.At) <= maxSnapshotAge {
		steerer.restoreShares(now, snapshot.Shares, snapshot.Floors)
		return
	}
	if waited >= snapshotWait {
		steerer.restoreShares(now, nil, nil)
	}
}

func (steerer *Steerer) restoreShares(now time.Time, shares, floors map[oleandervane.Flow]oleandervane.ShareVector) {
	steerer.restored = true
	steerer.history = []oleandervane.SharesAt{{From: now, Shares: floors}, {From: now, Shares: shares}}
	steerer.table.Store(&table{restored: true, published: PeerShares{Shares: shares}})
}

// newestPeer returns the newest shares of a peer, of this VM's region if ofRegion is set, else of other regions.
func newestPeer(peers []PeerShares, self oleandervane.EntryVM, now time.Time, ofRegion bool) (PeerShares, bool) {
	var result PeerShares
	for _, peer := range peers {
		usable := (peer.Region == self.Region) == ofRegion && peer.VM != self.ID && now.Sub(peer.At) <= maxPeerAge
		if usable && peer.At.After(result.At) {
			result = peer
		}
	}
	return result, !result.At.IsZero()
}

// trimHistory drops history that is older than the longest shift window, except the shares in force when it began.
func (steerer *Steerer) trimHistory(now time.Time, configuration *oleandervane.Configuration) {
	windowStart := now
	for _, service := range configuration.Services {
		windowStart = minTime(windowStart, now.Add(-service.ShiftWindow))
	}
	for len(steerer.history) > 1 && !steerer.history[1].From.After(windowStart) {
		steerer.history = steerer.history[1:]
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (steerer *Steerer) publish(now time.Time, configuration *oleandervane.Configuration, decision oleandervane.SteeringDecision) {
	next := &table{
		restored:    true,
		cumulatives: make(map[oleandervane.Flow]cumulative, len(decision.Shares)),
		reasons:     decision.Reasons,
		published: PeerShares{
			VM: steerer.self.ID, Region: steerer.self.Region, At: now,
			Shares: decision.Shares, Floors: floors(steerer.history),
		},
	}
	for flow, vector := range decision.Shares {
		next.cumulatives[flow] = newCumulative(configuration, flow, vector)
	}
	steerer.table.Store(next)
}

func floors(history []oleandervane.SharesAt) map[oleandervane.Flow]oleandervane.ShareVector {
	latest := history[len(history)-1].Shares
	if len(history) == 1 {
		return latest
	}
	result := make(map[oleandervane.Flow]oleandervane.ShareVector, len(latest))
	for flow, vector := range latest {
		floor := maps.Clone(vector)
		for _, earlier := range history {
			past, found := earlier.Shares[flow]
			if !found {
				continue
			}
			for region, share := range floor {
				floor[region] = min(share, past[region])
			}
		}
		result[flow] = floor
	}
	return result
}

// table is the published result of a decision. It is immutable.
type table struct {
	restored    bool
	published   PeerShares
	reasons     map[oleandervane.Flow]string
	cumulatives map[oleandervane.Flow]cumulative
}

// cumulative maps a point in [0, 1) to a region: home first, then the others by distance, then shed.
type cumulative struct {
	regions []oleandervane.Region
	// upTo has for each region the sum of the shares up to and with it.
	upTo []float64
	// shedError is the error for points beyond the last region. It is created in advance, because shedding must be cheap.
	shedError error
}

func newCumulative(configuration *oleandervane.Configuration, flow oleandervane.Flow, vector oleandervane.ShareVector) cumulative {
	home := flow.Home
	regions := slices.Sorted(maps.Keys(vector))
	delay := make(map[oleandervane.Region]time.Duration, len(regions))
	for _, region := range regions {
		delay[region], _ = configuration.Delay(home, region)
		if region == home {
			delay[region] = -1
		}
	}
	slices.SortStableFunc(regions, func(a, b oleandervane.Region) int { return int(delay[a] - delay[b]) })
	result := cumulative{regions: regions, upTo: make([]float64, len(regions))}
	sum := 0.0
	for i, region := range regions {
		sum += vector[region]
		result.upTo[i] = sum
	}
	if sum > 1-tolerance && len(regions) > 0 {
		// Rounding must not shed the last requests of a vector that sums to 1.
		result.upTo[len(regions)-1] = 1
		return result
	}
	result.shedError = noRegion(flow.Service, home)
	return result
}

// ChooseRegion returns the region that serves the point of a flow. The lowest points belong to the home region and the
// highest to shed work, so PointByWeight keeps the heaviest kinds at home. It fails with oleandervane.ErrNoRegion,
// wrapped.
func (steerer *Steerer) ChooseRegion(serviceName oleandervane.ServiceName, home oleandervane.Region, point float64) (oleandervane.Region, error) {
	cumulative, found := steerer.table.Load().cumulatives[oleandervane.Flow{Service: serviceName, Home: home}]
	if !found {
		return home, nil
	}
	for i, upTo := range cumulative.upTo {
		if point < upTo {
			return cumulative.regions[i], nil
		}
	}
	if cumulative.shedError == nil {
		return "", oleandervane.ErrNoRegion
	}
	return "", cumulative.shedError
}

func noRegion(serviceName oleandervane.ServiceName, home oleandervane.Region) error {
	return eris.Wrapf(oleandervane.ErrNoRegion, "choosing a region for %s of %s", serviceName, home)
}
