// Package exchange sends notices between entry VMs several times a second. A notice reports the requests in flight at
// backend servers, what those ask of all VMs, which of them have ended, the requests that broke connections, and the store revision that
// its sender has applied.
//
// Each VM sends its notices to the VMs of its own failure domain. Two delegates of the domain take turns to send the sums of
// the domain to one delegate of each other domain, which forwards them to the VMs of its own domain, so that the traffic
// between domains grows with the number of domains and not with the number of VMs. Notices are datagrams: each replaces the
// previous one of its sender, and the next notice makes up for a lost one.
package exchange

import (
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"oleandervane.example"
	"oleandervane.example/fleet/membership"
	"oleandervane.example/fleet/peer"
)

const (
	// DefaultPeriod is the time between two notices of a VM. Requests take a few hundred milliseconds.
	DefaultPeriod = 125 * time.Millisecond
	// halfRateSources is the number of senders, VMs of the own domain and other domains, from which on each VM sends only in
	// every second period: each notice costs a wake-up at all receivers.
	halfRateSources = 20
	// noticeLifetime is how long a notice of a VM of the own domain counts in the sums of the domain. Ten notices in a row may
	// be lost at one every 125 ms (DefaultPeriod), four at one every 250 ms (from halfRateSources on).
	noticeLifetime = 1500 * time.Millisecond
	// delegateCount is the number of VMs that report for a failure domain. With two, the death of one halves the rate of
	// reports.
	delegateCount = 2
	// delegatePurpose and delegateEpoch are inputs of the rendezvous ranking that chooses the delegates. They are constant,
	// so that the delegates stay the same as long as they live.
	delegatePurpose = "exchange"
	delegateEpoch   = 0
	// maxSuspects bounds the suspect requests in a notice, and the refused ones, 26 bytes each.
	maxSuspects = 16
	// newestSuspects is how many of them are the newest ones. A request that a VM has just refused must reach the others at once.
	newestSuspects = 4
	// maxDirectives bounds the directives of backend servers in a notice, 14 bytes each.
	maxDirectives = 128
	// maxServerEnds bounds the ends of backend servers in a notice, 10 bytes each.
	maxServerEnds = 128
	// maxAffinityMarks bounds the cache affinity marks in a notice, 4 bytes each.
	maxAffinityMarks = 1024
	// recentVM is how long a notice of a VM of the own domain counts in the capacity that was heard from, and recentDomain how long
	// the totals of another domain do. VMs that are cut off use their shares of rate limits after 2 s (fleet/ratelimit), which must be
	// later than the end of the last notice that has them: at most recentVM, one report (0.5 s) and a few delays. Two notices in a
	// row may be lost.
	recentVM     = 700 * time.Millisecond
	recentDomain = 1100 * time.Millisecond
	// maxGap is the longest time between two notices that a VM sends or receives, unless it was paused. It is far above the delays of a
	// busy machine, and below the differences between two VMs that a quarantine tolerates.
	maxGap = 2 * time.Second
	// queuedPeriod is the time in which a VM that was paused reads the notices that were queued meanwhile.
	queuedPeriod = 500 * time.Millisecond
)

// Sender sends a notice to VMs. It must not block.
type Sender interface {
	Send(to []oleandervane.EntryVM, notice *peer.Notice)
}

// Settings are the dependencies and options of an Exchange.
type Settings struct {
	TimerService oleandervane.TimerService
	Membership   oleandervane.Membership
	InFlight     oleandervane.InFlightTracker
	Affinity     oleandervane.AffinityTracker
	Suspects     oleandervane.SuspectTracker
	Directives   oleandervane.DirectiveTracker
	ServerEnds   oleandervane.ServerEndTracker
	Store        oleandervane.StoreRevisionSource
	Sender       Sender
	// Period is DefaultPeriod if it is zero.
	Period time.Duration
}

// Exchange sends and receives notices. All methods are safe for concurrent use.
type Exchange struct {
	settings Settings

	mutex    sync.Mutex
	periods  uint64
	sequence uint64
	// pendingAffinity are the cache affinity marks of the own domain that came since this VM last reported for it.
	pendingAffinity []uint32
	// received has the newest notice of each sender and scope: the VM itself, or the failure domain that it reports for.
	received map[string]receivedNotice
	// activeAt is when this VM last sent or received a notice. Notices that it reads before queuedUntil may have been queued.
	activeAt, queuedUntil time.Time
}

type receivedNotice struct {
	notice *peer.Notice
	at     time.Time
}

// New returns an exchange.
func New(settings Settings) *Exchange {
	if settings.Period == 0 {
		settings.Period = DefaultPeriod
	}
	return &Exchange{settings: settings, received: map[string]receivedNotice{}}
}

// Run sends notices in each period until the returned function is called.
func (exchange *Exchange) Run() (cancel func()) {
	return exchange.settings.TimerService.Every(exchange.settings.Period, func(time.Time) { exchange.SendNotices() })
}

// SendNotices sends the notices of one period.
func (exchange *Exchange) SendNotices() {
	self := exchange.settings.Membership.Self()
	vms := exchange.settings.Membership.EntryVMs()
	local, domains := vmsIn(vms, self.FailureDomain), otherDomains(vms, self.FailureDomain)
	if !exchange.isDue(len(local) + len(domains)) {
		return
	}
	own := exchange.ownNotice(self)
	exchange.settings.Sender.Send(without(local, self.ID), own)
	if !isDelegate(local, self) {
		exchange.clearPendingAffinity()
		return
	}
	if len(domains) == 0 || !isReporting(local, self, own.Sequence) {
		return
	}
	remote := make([]oleandervane.EntryVM, 0, len(domains))
	for _, domain := range domains {
		remote = append(remote, receiver(vms, domain, own.Sequence))
	}
	exchange.settings.Sender.Send(remote, exchange.domainNotice(self, own))
}

// isDue reports whether this VM sends notices in this period.
func (exchange *Exchange) isDue(sources int) bool {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	exchange.detectPause(exchange.settings.TimerService.Now())
	exchange.periods++
	return sources < halfRateSources || exchange.periods%2 == 0
}

// detectPause must be called with the mutex held. After a pause, either a notice or the next period comes first.
func (exchange *Exchange) detectPause(now time.Time) {
	if !exchange.activeAt.IsZero() && now.Sub(exchange.activeAt) > maxGap {
		exchange.queuedUntil = now.Add(queuedPeriod)
	}
	exchange.activeAt = now
}

// wasPaused reports whether a notice that is read now may have been queued while this VM was paused. The times in a notice are relative
// to when it was sent, and wrong by the time for which it was queued.
func (exchange *Exchange) wasPaused() bool {
	now := exchange.settings.TimerService.Now()
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	exchange.detectPause(now)
	return now.Before(exchange.queuedUntil)
}

func without(vms []oleandervane.EntryVM, id oleandervane.VMID) []oleandervane.EntryVM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm oleandervane.EntryVM) bool { return vm.ID == id })
}

// otherDomains returns the failure domains of the VMs except the given one, sorted.
func otherDomains(vms []oleandervane.EntryVM, own oleandervane.FailureDomain) []oleandervane.FailureDomain {
	var domains []oleandervane.FailureDomain
	for _, vm := range vms {
		if vm.FailureDomain != own {
			domains = append(domains, vm.FailureDomain)
		}
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// receiver returns the delegate of a failure domain that gets the report with this sequence number. The reports of a sender
// alternate between the delegates, so that the death of one halves the rate of reports.
func receiver(vms []oleandervane.EntryVM, domain oleandervane.FailureDomain, sequence uint64) oleandervane.EntryVM {
	chosen := Delegates(vms, domain)
	return chosen[int(sequence/delegateCount)%len(chosen)]
}

// vmsIn returns the VMs of a failure domain.
func vmsIn(vms []oleandervane.EntryVM, failureDomain oleandervane.FailureDomain) []oleandervane.EntryVM {
	var local []oleandervane.EntryVM
	for _, vm := range vms {
		if vm.FailureDomain == failureDomain {
			local = append(local, vm)
		}
	}
	return local
}

// rank returns the place of a VM in the ranking that chooses the delegates of its failure domain, 0 for the first.
func rank(local []oleandervane.EntryVM, self oleandervane.EntryVM) int {
	return membership.Rank(self.ID, local, delegatePurpose, delegateEpoch)
}

func isDelegate(local []oleandervane.EntryVM, self oleandervane.EntryVM) bool {
	return rank(local, self) < delegateCount
}

// isReporting reports whether it is the turn of a delegate to send the sums of its failure domain.
func isReporting(local []oleandervane.EntryVM, self oleandervane.EntryVM, sequence uint64) bool {
	turns := max(1, min(delegateCount, len(local)))
	return int(sequence%uint64(turns)) == rank(local, self)%turns
}

// Delegates returns the VMs that report for a failure domain, by rank.
func Delegates(vms []oleandervane.EntryVM, failureDomain oleandervane.FailureDomain) []oleandervane.EntryVM {
	local := vmsIn(vms, failureDomain)
	chosen := make([]oleandervane.EntryVM, 0, delegateCount)
	for _, id := range membership.HighestRanked(local, delegatePurpose, delegateEpoch, delegateCount) {
		chosen = append(chosen, local[slices.IndexFunc(local, func(vm oleandervane.EntryVM) bool { return vm.ID == id })])
	}
	return chosen
}

// ownNotice returns the notice of this VM's own requests in flight.
func (exchange *Exchange) ownNotice(self oleandervane.EntryVM) *peer.Notice {
	sequence := exchange.nextSequence()
	notice := &peer.Notice{Vm: string(self.ID), Incarnation: uint64(self.Incarnation), Sequence: sequence, Vms: 1}
	setCounts(notice, exchange.settings.InFlight.InFlight())
	notice.Suspects = encodeSuspects(exchange.settings.Suspects.Suspects())
	notice.Quarantined = encodeSuspects(part(exchange.settings.Suspects.Quarantined(), sequence))
	storeRevision, fresh := exchange.settings.Store.StoreRevision()
	notice.StoreEra, notice.StoreRevision, notice.StoreFresh = uint64(storeRevision.Era), storeRevision.Number, fresh
	notice.Directives = encodeDirectives(exchange.settings.Directives.Directives())
	notice.ServerEnds = EncodeServerEnds(exchange.settings.ServerEnds.ServerEnds())
	notice.Familiar = exchange.settings.Affinity.PendingAffinity()
	exchange.addPendingAffinity(notice.Familiar)
	return notice
}

// addPendingAffinity adds cache affinity marks of the own domain to those that wait for this VM's next report. If there are
// too many, the oldest are dropped.
func (exchange *Exchange) addPendingAffinity(marks []uint32) {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	exchange.pendingAffinity = append(exchange.pendingAffinity, marks...)
	if excess := len(exchange.pendingAffinity) - maxAffinityMarks; excess > 0 {
		exchange.pendingAffinity = slices.Clone(exchange.pendingAffinity[excess:])
	}
}

// clearPendingAffinity drops the pending marks. A VM that is no delegate would send them only when they are old.
func (exchange *Exchange) clearPendingAffinity() {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	exchange.pendingAffinity = nil
}

// nextSequence returns the sequence number of the next notice, and evicts the notices of VMs that went silent.
func (exchange *Exchange) nextSequence() uint64 {
	now := exchange.settings.TimerService.Now()
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	for key, received := range exchange.received {
		if now.Sub(received.at) > evictAfter {
			delete(exchange.received, key)
		}
	}
	exchange.sequence++
	return exchange.sequence
}

// domainNotice returns the notice with the sums of the requests in flight of all VMs of the own failure domain.
func (exchange *Exchange) domainNotice(self oleandervane.EntryVM, own *peer.Notice) *peer.Notice {
	sums := map[uint32]int{}
	addCounts(sums, own)
	ends := map[uint32]time.Duration{}
	addServerEnds(ends, own, 0)
	vms := 1
	now := exchange.settings.TimerService.Now()
	capacity := exchange.heardLocally(now)
	exchange.mutex.Lock()
	for _, received := range exchange.received {
		if received.notice.FailureDomain == "" && now.Sub(received.at) < noticeLifetime {
			addCounts(sums, received.notice)
			addServerEnds(ends, received.notice, now.Sub(received.at))
			vms++
		}
	}
	pending := exchange.pendingAffinity
	exchange.pendingAffinity = nil
	exchange.mutex.Unlock()
	notice := &peer.Notice{
		Vm: own.Vm, Incarnation: own.Incarnation, Sequence: own.Sequence, FailureDomain: string(self.FailureDomain),
		Vms: uint32(vms), Suspects: own.Suspects, Quarantined: own.Quarantined, Directives: own.Directives,
		ServerEnds: EncodeServerEnds(youngestEnds(ends)), Familiar: pending, StoreEra: own.StoreEra, StoreRevision: own.StoreRevision, StoreFresh: own.StoreFresh,
		RecentCapacity: uint32(capacity),
	}
	setSums(notice, sums)
	return notice
}

// SendTokens sends a message about the rate limits of organisations to a VM, beside the notices.
func (exchange *Exchange) SendTokens(to oleandervane.EntryVM, message *peer.TokenMessage) {
	self := exchange.settings.Membership.Self()
	exchange.settings.Sender.Send([]oleandervane.EntryVM{to}, &peer.Notice{Vm: string(self.ID), Incarnation: uint64(self.Incarnation), Tokens: message})
}

// Receive processes a notice. It ignores notices from unknown VMs, from an earlier incarnation, older than the last one, or
// for a failure domain that is not the sender's. Of notices that were queued while this VM was paused, only ends of servers count.
func (exchange *Exchange) Receive(notice *peer.Notice) {
	sender, known := exchange.find(oleandervane.VMID(notice.GetVm()))
	if !known || notice.GetFailureDomain() != "" && notice.GetFailureDomain() != string(sender.FailureDomain) {
		return
	}
	if exchange.wasPaused() {
		// An end names the run that has ended, and is valid however late it is read.
		exchange.settings.ServerEnds.MergeServerEnds(DecodeServerEnds(notice.GetServerEnds()))
		return
	}
	if !exchange.record(notice) {
		return
	}
	exchange.settings.Suspects.Merge(decodeSuspects(notice.GetSuspects()), decodeSuspects(notice.GetQuarantined()))
	exchange.settings.Directives.MergeDirectives(decodeDirectives(notice.GetDirectives()))
	exchange.settings.ServerEnds.MergeServerEnds(DecodeServerEnds(notice.GetServerEnds()))
	exchange.settings.InFlight.ReplaceInFlight(source(notice), int(notice.GetVms()), counts(notice))
	exchange.settings.Affinity.MergeAffinity(notice.GetFamiliar())
	if notice.GetFailureDomain() == "" {
		exchange.addPendingAffinity(notice.GetFamiliar())
		return
	}
	exchange.forward(notice)
}

// forward forwards the notice of another failure domain to the VMs of the own one.
func (exchange *Exchange) forward(notice *peer.Notice) {
	self := exchange.settings.Membership.Self()
	if notice.GetPassedOn() || notice.GetFailureDomain() == string(self.FailureDomain) {
		return
	}
	forwarded := proto.Clone(notice).(*peer.Notice)
	forwarded.PassedOn = true
	exchange.settings.Sender.Send(without(vmsIn(exchange.settings.Membership.EntryVMs(), self.FailureDomain), self.ID), forwarded)
}

func (exchange *Exchange) find(id oleandervane.VMID) (oleandervane.EntryVM, bool) {
	vms := exchange.settings.Membership.EntryVMs()
	i, found := slices.BinarySearchFunc(vms, id, func(vm oleandervane.EntryVM, id oleandervane.VMID) int {
		return strings.Compare(string(vm.ID), string(id))
	})
	if !found || id == exchange.settings.Membership.Self().ID {
		return oleandervane.EntryVM{}, false
	}
	return vms[i], true
}

// record records a notice and returns true if it is newer than the last one of its sender and scope.
func (exchange *Exchange) record(notice *peer.Notice) bool {
	now := exchange.settings.TimerService.Now()
	key := notice.GetVm() + "\x00" + notice.GetFailureDomain()
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	if received, found := exchange.received[key]; found && !newer(notice, received.notice) {
		return false
	}
	exchange.received[key] = receivedNotice{notice: notice, at: now}
	return true
}

// evictAfter is how long the last notice of a silent VM is kept. After that, a late datagram is no longer recognised as old.
const evictAfter = 10 * time.Second

func newer(notice, than *peer.Notice) bool {
	if notice.GetIncarnation() != than.GetIncarnation() {
		return notice.GetIncarnation() > than.GetIncarnation()
	}
	return notice.GetSequence() > than.GetSequence()
}

// StoreRevision returns the store revision that a VM of the own failure domain has applied, according to its last notice.
// The result is fresh if the VM was in contact with the store then and the notice is not older than maxAge.
func (exchange *Exchange) StoreRevision(id oleandervane.VMID, maxAge time.Duration) (revision oleandervane.StoreRevision, fresh bool) {
	now := exchange.settings.TimerService.Now()
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	received, found := exchange.received[string(id)+"\x00"]
	if !found || now.Sub(received.at) > maxAge || !received.notice.GetStoreFresh() {
		return oleandervane.StoreRevision{}, false
	}
	return storeRevision(received.notice), true
}

// heardLocally returns the capacity of the VMs of the own failure domain that were heard from a moment ago, this one included.
func (exchange *Exchange) heardLocally(now time.Time) float64 {
	self := exchange.settings.Membership.Self()
	capacity := self.CapacityOrOne()
	local := vmsIn(exchange.settings.Membership.EntryVMs(), self.FailureDomain)
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	for _, vm := range local {
		received, found := exchange.received[string(vm.ID)+"\x00"]
		if found && vm.ID != self.ID && now.Sub(received.at) < recentVM && received.notice.GetIncarnation() == uint64(vm.Incarnation) {
			capacity += vm.CapacityOrOne()
		}
	}
	return capacity
}

// HeardCapacity returns the capacity of the VMs that this one heard from a moment ago, itself included. Those of other failure domains
// are as their delegates heard from them; of two that differ, the lower figure counts.
func (exchange *Exchange) HeardCapacity() float64 {
	now := exchange.settings.TimerService.Now()
	capacity := exchange.heardLocally(now)
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	if now.Before(exchange.queuedUntil) {
		return exchange.settings.Membership.Self().CapacityOrOne()
	}
	domains := map[string]float64{}
	for _, received := range exchange.received {
		domain := received.notice.GetFailureDomain()
		if domain == "" || domain == string(exchange.settings.Membership.Self().FailureDomain) || now.Sub(received.at) >= recentDomain {
			continue
		}
		reported := float64(received.notice.GetRecentCapacity())
		if known, found := domains[domain]; found {
			reported = min(known, reported)
		}
		domains[domain] = reported
	}
	for _, reported := range domains {
		capacity += reported
	}
	return capacity
}

// Unheard returns the listed VMs that sent no notice for maxAge: the VMs of the own failure domain, and all VMs of other domains that
// are silent. If the lease of this VM has ended, the others send it no notices.
func (exchange *Exchange) Unheard(maxAge time.Duration) []oleandervane.EntryVM {
	now, self := exchange.settings.TimerService.Now(), exchange.settings.Membership.Self()
	heard := map[string]bool{}
	exchange.mutex.Lock()
	for _, received := range exchange.received {
		if now.Sub(received.at) <= maxAge {
			heard[source(received.notice)] = true
		}
	}
	exchange.mutex.Unlock()
	var unheard []oleandervane.EntryVM
	for _, vm := range exchange.settings.Membership.EntryVMs() {
		scope := &peer.Notice{Vm: string(vm.ID)}
		if vm.FailureDomain != self.FailureDomain {
			scope.FailureDomain = string(vm.FailureDomain)
		}
		if vm.ID != self.ID && !heard[source(scope)] {
			unheard = append(unheard, vm)
		}
	}
	return unheard
}

// HasNewsUpTo reports whether a VM of any failure domain that was in contact with the store has applied no later revision than the given
// one, according to a notice that is not older than maxAge.
func (exchange *Exchange) HasNewsUpTo(revision oleandervane.StoreRevision, maxAge time.Duration) bool {
	now := exchange.settings.TimerService.Now()
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	for _, received := range exchange.received {
		notice := received.notice
		if notice.GetStoreFresh() && storeRevision(notice).Compare(revision) <= 0 && now.Sub(received.at) <= maxAge {
			return true
		}
	}
	return false
}

// VMsAhead returns the VMs of any failure domain that have applied a later store revision than the given one and were in contact with
// the store, according to notices that are not older than maxAge. The notices of another domain name its delegates.
func (exchange *Exchange) VMsAhead(revision oleandervane.StoreRevision, maxAge time.Duration) []oleandervane.VMID {
	now := exchange.settings.TimerService.Now()
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	var ahead []oleandervane.VMID
	for _, received := range exchange.received {
		notice := received.notice
		if notice.GetStoreFresh() && storeRevision(notice).Compare(revision) > 0 && now.Sub(received.at) <= maxAge {
			ahead = append(ahead, oleandervane.VMID(notice.GetVm()))
		}
	}
	return ahead
}
