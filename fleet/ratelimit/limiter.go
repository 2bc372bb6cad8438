package ratelimit

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
)

const (
	// MaxOrganisations bounds the organisations whose limits are kept, and with them the memory.
	MaxOrganisations = 10_000
	// tickPeriod is the time between two measurements of the coverage.
	tickPeriod = 100 * time.Millisecond
	// maxTickGap is the longest time between two measurements that counts. After a longer one this VM was paused, and others may
	// have used their shares meanwhile.
	maxTickGap = 5 * tickPeriod
	// quietTime is the time after which a VM that has become an owner grants. Lists of VMs differ for up to 1.5 s.
	quietTime = 2 * time.Second
	// idleTime is the time after which the state of an organisation without requests is evicted.
	idleTime = 30 * time.Second
	// golden is the fraction of the golden ratio. Its multiples modulo 1 are spread evenly.
	golden = 0.6180339887498949
)

// Sender sends a message to a VM. It must not block.
type Sender interface {
	SendTokens(to oleandervane.EntryVM, message *peer.TokenMessage)
}

// Observer is notified of decisions. It must not block or call the limiter.
type Observer interface {
	// RateDecided reports a decision on a request of an organisation with a limit.
	RateDecided(organisation oleandervane.OrganisationName, limit oleandervane.RateLimit, decision Decision)
	// TokenMessageIgnored reports a query or answer that is invalid or outdated.
	TokenMessageIgnored(reason string)
}

// Decision describes the decision on a request.
type Decision struct {
	Admitted bool
	// Source tells what the decision is based on.
	Source Source
	// Load is the number of requests per second of the organisation at this VM.
	Load       float64
	RetryAfter time.Duration
}

// Source tells what a decision is based on.
type Source string

// The sources of decisions.
const (
	SourceLease    Source = "lease"
	SourceOwner    Source = "owner"
	SourceFallback Source = "fallback"
	SourceRemoved  Source = "limit_removed"
)

// Settings are the dependencies and options of a Limiter.
type Settings struct {
	TimerService oleandervane.TimerService
	Membership   oleandervane.Membership
	// Settled reports whether Membership lists all VMs.
	Settled func() bool
	// HeardCapacity returns the sum of the capacities of the VMs that this one heard from a moment ago, itself included.
	HeardCapacity func() float64
	Sender        Sender
	Observer      Observer
	// Window, Overage and Slack bound the error of a limit: in each window, overage is the share and slack the number of requests
	// that may be admitted beyond the limit.
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Limiter is an oleandervane.OrganisationLimiter. All methods are safe for concurrent use.
type Limiter struct {
	settings Settings
	sent     atomic.Uint64

	mutex sync.Mutex
	// table is the route table of the last update; nil before.
	table         *oleandervane.RouteTable
	organisations map[uint64]*organisation
	// vms are the listed VMs at the last look, hashes those of their ids in the same order.
	vms    []oleandervane.EntryVM
	hashes []uint64
	// listedAt is when the list last changed; capacity is the sum of the capacities of its VMs, least the smallest of them, and largest
	// the largest sum of any list.
	listedAt                 time.Time
	capacity, least, largest float64
	// credit is the sum of seconds in which this VM may grant, each weighted by the share of the capacity that it heard from.
	credit    float64
	measured  time.Time
	decisions uint64
	sequence  uint64
	outbox    outbox
	// roundTrips are the usual times between a query and its answer.
	roundTrips map[oleandervane.Region]time.Duration
}

// organisation is what is known of an organisation with a limit.
type organisation struct {
	name     oleandervane.OrganisationName
	hash     uint64
	limit    oleandervane.RateLimit
	revision oleandervane.Revision
	// owner and deputy are the first two VMs by rendezvous hash; the deputy is empty if there is only one. grantsFrom is when this VM,
	// as the owner or deputy, may grant.
	owner, deputy oleandervane.EntryVM
	grantsFrom    time.Time
	// askedAt is when this VM, as the deputy, was last asked, and probedFrom the time since which it asks the owner for that reason.
	askedAt, probedFrom time.Time
	client              *client
	ownership           *ownership
}

// New returns a limiter without limits.
func New(settings Settings) *Limiter {
	return &Limiter{settings: settings, organisations: map[uint64]*organisation{}, roundTrips: map[oleandervane.Region]time.Duration{}}
}

// Run measures the coverage until the returned function is called. Nothing is sent without limits.
func (limiter *Limiter) Run() (cancel func()) {
	return limiter.settings.TimerService.Every(tickPeriod, func(time.Time) { limiter.tick() })
}

// Update sets the limits of the organisations of a route table.
func (limiter *Limiter) Update(table *oleandervane.RouteTable) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if table == limiter.table {
		return
	}
	limiter.table = table
	now := limiter.settings.TimerService.Now()
	limits := make(map[uint64]oleandervane.Organisation, len(table.Organisations))
	for _, configured := range table.Organisations {
		if configured.RateLimit.Limited() && len(limits) < MaxOrganisations {
			limits[hashOf(configured.Name)] = configured
		}
	}
	for hash, known := range limiter.organisations {
		if _, found := limits[hash]; !found {
			limiter.release(known)
			delete(limiter.organisations, hash)
		}
	}
	limiter.look(now)
	for hash, configured := range limits {
		known, found := limiter.organisations[hash]
		if !found {
			known = &organisation{name: configured.Name, hash: hash}
			limiter.organisations[hash] = known
			limiter.setOwner(known, now)
		}
		if known.revision <= table.Revision {
			limiter.setLimit(known, configured.RateLimit, table.Revision)
		}
	}
}

func hashOf(name oleandervane.OrganisationName) uint64 {
	return xxhash.Sum64String(string(name))
}

func (limiter *Limiter) setLimit(organisation *organisation, limit oleandervane.RateLimit, revision oleandervane.Revision) {
	organisation.limit, organisation.revision = limit, revision
	if organisation.ownership != nil {
		organisation.ownership.bucket = organisation.ownership.bucket.WithLimit(limiter.ownedLimit(limit))
	}
}

// tick measures the coverage, looks for changes of the list of VMs and evicts what is idle.
func (limiter *Limiter) tick() {
	heard := limiter.settings.HeardCapacity()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.settings.TimerService.Now()
	limiter.look(now)
	passed := now.Sub(limiter.measured)
	limiter.measured = now
	if passed <= maxTickGap {
		limiter.credit += passed.Seconds() * min(1, heard/limiter.fleetCapacity())
	}
	var asking []*organisation
	for _, known := range limiter.organisations {
		limiter.startOwnership(known, now)
		if limiter.isProbing(known, now) {
			asking = append(asking, known)
			continue
		}
		known.evict(now)
		// A VM that decides itself would ask the deputy, which cannot take tokens back.
		if known.client != nil && !limiter.decides(known) && known.client.hasReturns(now) && known.client.mayAsk(now) {
			asking = append(asking, known)
		}
	}
	slices.SortFunc(asking, func(a, b *organisation) int { return cmp.Compare(a.hash, b.hash) })
	for _, known := range asking {
		limiter.ask(known, now)
	}
}

func (organisation *organisation) evict(now time.Time) {
	if organisation.ownership != nil {
		organisation.ownership.evict(now)
	}
	if client := organisation.client; client != nil && now.Sub(client.usedAt) > idleTime && len(client.waiters) == 0 {
		organisation.client = nil
	}
}

// look looks for changes of the list of VMs.
func (limiter *Limiter) look(now time.Time) {
	vms := limiter.settings.Membership.EntryVMs()
	if len(vms) == len(limiter.vms) && (len(vms) == 0 || &vms[0] == &limiter.vms[0]) || slices.Equal(vms, limiter.vms) {
		return
	}
	limiter.vms, limiter.hashes, limiter.listedAt = vms, make([]uint64, 0, len(vms)), now
	limiter.capacity, limiter.least = 0, math.Inf(1)
	for _, vm := range vms {
		limiter.hashes = append(limiter.hashes, xxhash.Sum64String(string(vm.ID)))
		limiter.capacity += vm.CapacityOrOne()
		limiter.least = min(limiter.least, vm.CapacityOrOne())
	}
	limiter.largest = max(limiter.largest, limiter.capacity)
	for _, known := range limiter.organisations {
		limiter.setOwner(known, now)
	}
}

// setOwner sets the owner and the deputy of an organisation from the list of VMs. While the list does not change, a VM owns the limits
// of new organisations at once. A VM that grants and is now the other of the two continues: a former deputy as the owner, and a former
// owner until the new one grants.
func (limiter *Limiter) setOwner(organisation *organisation, now time.Time) {
	formerOwner, formerDeputy := organisation.owner, organisation.deputy
	self := limiter.settings.Membership.Self().ID
	organisation.owner, organisation.deputy = limiter.settings.Membership.Self(), oleandervane.EntryVM{}
	if order := limiter.order(organisation.hash); len(order) > 0 {
		organisation.owner = limiter.vms[order[0]]
		if len(order) > 1 {
			organisation.deputy = limiter.vms[order[1]]
		}
	}
	if isSame(organisation.owner, formerOwner) && isSame(organisation.deputy, formerDeputy) {
		return
	}
	isCandidate := organisation.owner.ID == self || organisation.deputy.ID == self
	wasCandidate := formerOwner.ID == self || formerDeputy.ID == self
	if !isCandidate {
		organisation.ownership = nil
	}
	if isCandidate && (!wasCandidate || organisation.owner.ID == self && formerOwner.ID != self && organisation.ownership == nil) {
		organisation.grantsFrom = limiter.listedAt.Add(quietTime)
	}
	if organisation.deputy.ID == self && organisation.ownership != nil && organisation.askedAt.IsZero() {
		organisation.askedAt, organisation.probedFrom = now, now
	}
	if client := organisation.client; client != nil && !isSame(organisation.owner, formerOwner) {
		client.ownerChanged()
	}
}

func isSame(a, b oleandervane.EntryVM) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation
}

// Owner returns the owner of the limit of an organisation and its deputy, as this VM sees them; empty ids without a limit or VM.
func (limiter *Limiter) Owner(name oleandervane.OrganisationName) (owner, deputy oleandervane.VMID) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	known, found := limiter.organisations[hashOf(name)]
	if !found {
		return "", ""
	}
	return known.owner.ID, known.deputy.ID
}

// decides reports whether this VM decides for an organisation, as its owner or as a deputy that grants.
func (limiter *Limiter) decides(organisation *organisation) bool {
	return organisation.ownership != nil
}

// order returns the indexes of the listed VMs, that with the largest weight first.
func (limiter *Limiter) order(hash uint64) []int {
	order := make([]int, len(limiter.hashes))
	weights := make([]uint64, len(limiter.hashes))
	for i, vm := range limiter.hashes {
		order[i], weights[i] = i, mix(vm^mix(hash))
	}
	slices.SortFunc(order, func(a, b int) int {
		if weights[a] > weights[b] {
			return -1
		}
		return 1
	})
	return order
}

func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// fleetCapacity returns the capacity of all VMs. A VM that knows of no other assumes the largest fleet that it has known.
func (limiter *Limiter) fleetCapacity() float64 {
	if len(limiter.vms) <= 1 {
		return max(limiter.largest, limiter.settings.Membership.Self().CapacityOrOne())
	}
	return limiter.capacity
}

// Admit decides on a request of an organisation. It waits for the answer of another VM for at most AnswerTime.
func (limiter *Limiter) Admit(ctx context.Context, organisation oleandervane.Organisation) oleandervane.RateAdmission {
	if !organisation.RateLimit.Limited() {
		return oleandervane.RateAdmission{Admitted: true}
	}
	decided := make(chan oleandervane.RateAdmission, 1)
	limiter.Decide(organisation.Name, func(admission oleandervane.RateAdmission) { decided <- admission })
	select {
	case admission := <-decided:
		return admission
	case <-ctx.Done():
		go func() {
			if admission := <-decided; admission.Cancel != nil {
				admission.Cancel()
			}
		}()
		return oleandervane.RateAdmission{RetryAfter: minRetry}
	}
}

// Decide decides on a request of an organisation. It calls decided once, which must not block or call the limiter.
func (limiter *Limiter) Decide(name oleandervane.OrganisationName, decided func(admission oleandervane.RateAdmission)) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.settings.TimerService.Now()
	known, found := limiter.organisations[hashOf(name)]
	if !found {
		decided(oleandervane.RateAdmission{Admitted: true})
		return
	}
	limiter.look(now)
	if known.client == nil {
		known.client = &client{}
	}
	limiter.request(known, now, decided)
}

// spread returns a time between half and one and a half of the given one, so that callers do not return together.
func (limiter *Limiter) spread(duration time.Duration) time.Duration {
	limiter.decisions++
	_, part := math.Modf(float64(limiter.decisions)*golden + float64(xxhash.Sum64String(string(limiter.settings.Membership.Self().ID))%1000)/1000)
	return time.Duration((0.5 + part) * float64(min(max(duration, minRetry), maxRetry)))
}

const (
	// minRetry and maxRetry bound the time after which a refused caller is told to return.
	minRetry = 50 * time.Millisecond
	maxRetry = 10 * time.Second
)

// Receive processes a message of another VM.
func (limiter *Limiter) Receive(id oleandervane.VMID, incarnation oleandervane.Incarnation, message *peer.TokenMessage) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.settings.TimerService.Now()
	if len(limiter.organisations) > 0 {
		limiter.look(now)
	}
	sender, found := limiter.find(id)
	if !found || sender.Incarnation != incarnation {
		limiter.settings.Observer.TokenMessageIgnored("sender")
		return
	}
	answer := &peer.TokenMessage{}
	for _, query := range message.GetQueries()[:min(len(message.GetQueries()), maxBatch)] {
		answer.Grants = append(answer.Grants, limiter.answer(sender, query, now))
	}
	if len(answer.Grants) > 0 {
		limiter.send(sender, answer)
	}
	for _, grant := range message.GetGrants()[:min(len(message.GetGrants()), maxBatch)] {
		limiter.accept(sender, grant, now)
	}
}

func (limiter *Limiter) send(to oleandervane.EntryVM, message *peer.TokenMessage) {
	limiter.sent.Add(1)
	limiter.settings.Sender.SendTokens(to, message)
}

// Sent returns the number of messages that this VM has sent.
func (limiter *Limiter) Sent() uint64 {
	return limiter.sent.Load()
}

func (limiter *Limiter) find(id oleandervane.VMID) (oleandervane.EntryVM, bool) {
	vms := limiter.settings.Membership.EntryVMs()
	i := slices.IndexFunc(vms, func(vm oleandervane.EntryVM) bool { return vm.ID == id })
	if i < 0 || id == limiter.settings.Membership.Self().ID {
		return oleandervane.EntryVM{}, false
	}
	return vms[i], true
}
