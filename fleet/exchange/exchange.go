// Package exchange lets entry VMs tell one another several times a second what they have in flight at backend servers,
// which requests broke connections, and how far they know the store.
//
// Each VM tells the VMs of its own failure domain. Two delegates of the domain take turns to tell the sums of the domain to
// one delegate of each other domain, which passes them on to the VMs of its own, so that what crosses domains grows with
// domains and not with VMs. Notices are datagrams: each replaces the former one of its sender, and a lost one is made good
// by the next.
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
	// manySources is the number of senders that a VM hears, VMs of its domain and other domains, from which each sends
	// every second time only: each notice costs a wake-up at all receivers.
	manySources = 20
	// noticeLifetime is how long a notice of a VM of the own domain counts for the sums of the domain: one may be lost.
	noticeLifetime = 1500 * time.Millisecond
	// delegates is the number of VMs that speak for a failure domain. With two, the death of one halves the pace.
	delegates = 2
	// delegatePurpose and delegateEpoch choose the delegates, the same ones as long as they live.
	delegatePurpose = "exchange"
	delegateEpoch   = 0
	// maxSuspects bounds the requests in a notice, 26 bytes each.
	maxSuspects = 16
	// maxFamiliar bounds the marks of familiar pairs in a notice, 4 bytes each.
	maxFamiliar = 1024
)

// Sender sends a notice to VMs. It must not block.
type Sender interface {
	Send(to []oleandervane.EntryVM, notice *peer.Notice)
}

// Settings are the parts that an Exchange needs.
type Settings struct {
	TimerService oleandervane.TimerService
	Membership   oleandervane.Membership
	InFlight     oleandervane.InFlightKeeper
	Familiarity  oleandervane.FamiliarityKeeper
	Suspicions   oleandervane.SuspicionKeeper
	Store        oleandervane.StoreContact
	Sender       Sender
	// Period is DefaultPeriod if it is zero.
	Period time.Duration
}

// Exchange sends and takes in notices. All methods may be called from many goroutines at once.
type Exchange struct {
	settings Settings

	mutex    sync.Mutex
	periods  uint64
	sequence uint64
	// familiar are marks that VMs of the own domain told since this VM last spoke for it.
	familiar []uint32
	// heard has the newest notice of each sender and scope.
	heard map[string]heardNotice
}

type heardNotice struct {
	notice *peer.Notice
	at     time.Time
}

// New returns an exchange.
func New(settings Settings) *Exchange {
	if settings.Period == 0 {
		settings.Period = DefaultPeriod
	}
	return &Exchange{settings: settings, heard: map[string]heardNotice{}}
}

// Run sends notices each period until the returned function is called.
func (exchange *Exchange) Run() (cancel func()) {
	return exchange.settings.TimerService.Every(exchange.settings.Period, func(time.Time) { exchange.Tell() })
}

// Tell sends the notices of one period.
func (exchange *Exchange) Tell() {
	self := exchange.settings.Membership.Self()
	vms := exchange.settings.Membership.EntryVMs()
	near, domains := within(vms, self.FailureDomain), otherDomains(vms, self.FailureDomain)
	if !exchange.due(len(near) + len(domains)) {
		return
	}
	own := exchange.ownNotice(self)
	exchange.settings.Sender.Send(without(near, self.ID), own)
	if !isDelegate(near, self) {
		exchange.forgetFamiliar()
		return
	}
	if len(domains) == 0 || !speaks(near, self, own.Sequence) {
		return
	}
	far := make([]oleandervane.EntryVM, 0, len(domains))
	for _, domain := range domains {
		far = append(far, receiver(vms, domain, own.Sequence))
	}
	exchange.settings.Sender.Send(far, exchange.domainNotice(self, own))
}

// due says whether this period is one in which the VM sends.
func (exchange *Exchange) due(sources int) bool {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	exchange.periods++
	return sources < manySources || exchange.periods%2 == 0
}

func without(vms []oleandervane.EntryVM, id oleandervane.VMID) []oleandervane.EntryVM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm oleandervane.EntryVM) bool { return vm.ID == id })
}

// otherDomains returns the failure domains of VMs beside the given one, in order.
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

// receiver returns the VM of a failure domain that is told this time. It is another one than the last time that the sender
// spoke, so that the death of one halves the pace.
func receiver(vms []oleandervane.EntryVM, domain oleandervane.FailureDomain, sequence uint64) oleandervane.EntryVM {
	chosen := Delegates(vms, domain)
	return chosen[int(sequence/delegates)%len(chosen)]
}

// within returns the VMs of a failure domain.
func within(vms []oleandervane.EntryVM, failureDomain oleandervane.FailureDomain) []oleandervane.EntryVM {
	var near []oleandervane.EntryVM
	for _, vm := range vms {
		if vm.FailureDomain == failureDomain {
			near = append(near, vm)
		}
	}
	return near
}

// rank is the place of a VM in the choice of the delegates of its failure domain.
func rank(near []oleandervane.EntryVM, self oleandervane.EntryVM) int {
	return membership.Rank(self.ID, near, delegatePurpose, delegateEpoch)
}

func isDelegate(near []oleandervane.EntryVM, self oleandervane.EntryVM) bool {
	return rank(near, self) < delegates
}

// speaks says whether it is the turn of a delegate to speak for its failure domain.
func speaks(near []oleandervane.EntryVM, self oleandervane.EntryVM, sequence uint64) bool {
	turns := max(1, min(delegates, len(near)))
	return int(sequence%uint64(turns)) == rank(near, self)%turns
}

// Delegates returns the VMs that speak for a failure domain, the first choice first.
func Delegates(vms []oleandervane.EntryVM, failureDomain oleandervane.FailureDomain) []oleandervane.EntryVM {
	near := within(vms, failureDomain)
	chosen := make([]oleandervane.EntryVM, 0, delegates)
	for _, id := range membership.HighestRanked(near, delegatePurpose, delegateEpoch, delegates) {
		chosen = append(chosen, near[slices.IndexFunc(near, func(vm oleandervane.EntryVM) bool { return vm.ID == id })])
	}
	return chosen
}

// ownNotice is what this VM itself has in flight.
func (exchange *Exchange) ownNotice(self oleandervane.EntryVM) *peer.Notice {
	sequence := exchange.nextSequence()
	notice := &peer.Notice{Vm: string(self.ID), Incarnation: uint64(self.Incarnation), Sequence: sequence, Vms: 1}
	setCounts(notice, exchange.settings.InFlight.InFlight())
	notice.Suspects = encodeSuspects(exchange.settings.Suspicions.Suspects())
	notice.Quarantined = encodeSuspects(exchange.settings.Suspicions.Refused())
	notice.StoreRevision, notice.StoreFresh = exchange.settings.Store.StoreRevision()
	notice.Familiar = exchange.settings.Familiarity.FamiliarNews()
	exchange.gather(notice.Familiar)
	return notice
}

// gather keeps marks of the own domain for the next time that this VM speaks for it. Of too many, the oldest are dropped.
func (exchange *Exchange) gather(marks []uint32) {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	exchange.familiar = append(exchange.familiar, marks...)
	if excess := len(exchange.familiar) - maxFamiliar; excess > 0 {
		exchange.familiar = slices.Clone(exchange.familiar[excess:])
	}
}

// forgetFamiliar drops marks that a VM which speaks for nobody would pass on only when they are old.
func (exchange *Exchange) forgetFamiliar() {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	exchange.familiar = nil
}

// nextSequence returns the number of the next notice, and forgets VMs that fell silent.
func (exchange *Exchange) nextSequence() uint64 {
	now := exchange.settings.TimerService.Now()
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	for key, heard := range exchange.heard {
		if now.Sub(heard.at) > forgetAfter {
			delete(exchange.heard, key)
		}
	}
	exchange.sequence++
	return exchange.sequence
}

// domainNotice is what the VMs of the own failure domain have in flight together.
func (exchange *Exchange) domainNotice(self oleandervane.EntryVM, own *peer.Notice) *peer.Notice {
	sums := map[uint32]int{}
	addCounts(sums, own)
	vms := 1
	now := exchange.settings.TimerService.Now()
	exchange.mutex.Lock()
	for _, heard := range exchange.heard {
		if heard.notice.FailureDomain == "" && now.Sub(heard.at) < noticeLifetime {
			addCounts(sums, heard.notice)
			vms++
		}
	}
	familiar := exchange.familiar
	exchange.familiar = nil
	exchange.mutex.Unlock()
	notice := &peer.Notice{
		Vm: own.Vm, Incarnation: own.Incarnation, Sequence: own.Sequence, FailureDomain: string(self.FailureDomain),
		Vms: uint32(vms), Suspects: own.Suspects, Quarantined: own.Quarantined,
		Familiar: familiar,
	}
	setSums(notice, sums)
	return notice
}

// Receive takes in a notice. Those of VMs that are not known, of an earlier incarnation, or older than the last one are
// left out.
func (exchange *Exchange) Receive(notice *peer.Notice) {
	sender, known := exchange.find(oleandervane.VMID(notice.GetVm()))
	if !known || notice.GetFailureDomain() != "" && notice.GetFailureDomain() != string(sender.FailureDomain) {
		return
	}
	if !exchange.note(notice) {
		return
	}
	exchange.settings.Suspicions.Learn(decodeSuspects(notice.GetSuspects()), decodeSuspects(notice.GetQuarantined()))
	exchange.settings.InFlight.Learn(source(notice), int(notice.GetVms()), counts(notice))
	exchange.settings.Familiarity.LearnFamiliar(notice.GetFamiliar())
	if notice.GetFailureDomain() == "" {
		exchange.gather(notice.GetFamiliar())
		return
	}
	exchange.passOn(notice)
}

// passOn tells the VMs of the own failure domain what another domain told this VM.
func (exchange *Exchange) passOn(notice *peer.Notice) {
	self := exchange.settings.Membership.Self()
	if notice.GetPassedOn() || notice.GetFailureDomain() == string(self.FailureDomain) {
		return
	}
	passedOn := proto.Clone(notice).(*peer.Notice)
	passedOn.PassedOn = true
	exchange.settings.Sender.Send(without(within(exchange.settings.Membership.EntryVMs(), self.FailureDomain), self.ID), passedOn)
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

// note keeps the notice if it is newer than the last one of its sender and scope.
func (exchange *Exchange) note(notice *peer.Notice) bool {
	now := exchange.settings.TimerService.Now()
	key := notice.GetVm() + "\x00" + notice.GetFailureDomain()
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	if heard, found := exchange.heard[key]; found && !newer(notice, heard.notice) {
		return false
	}
	exchange.heard[key] = heardNotice{notice: notice, at: now}
	return true
}

// forgetAfter is when a VM that fell silent is forgotten; a late datagram of before is then no longer told apart.
const forgetAfter = 10 * time.Second

func newer(notice, than *peer.Notice) bool {
	if notice.GetIncarnation() != than.GetIncarnation() {
		return notice.GetIncarnation() > than.GetIncarnation()
	}
	return notice.GetSequence() > than.GetSequence()
}

// StoreRevision returns how far a VM of the own failure domain knows the store, as its last notice says, if it is in
// contact with the store and was heard a moment ago.
func (exchange *Exchange) StoreRevision(id oleandervane.VMID, within time.Duration) (revision uint64, fresh bool) {
	now := exchange.settings.TimerService.Now()
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	heard, found := exchange.heard[string(id)+"\x00"]
	if !found || now.Sub(heard.at) > within || !heard.notice.GetStoreFresh() {
		return 0, false
	}
	return heard.notice.GetStoreRevision(), true
}
