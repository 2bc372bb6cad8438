package ratelimit

import (
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
)

const (
	// AnswerTime is the longest time for which a request waits for the owner. A round trip between regions takes 70 ms at most.
	AnswerTime = 80 * time.Millisecond
	// repeatDelay is the time after which a query is sent a second time, or roundTripMargin times the usual round trip if that is
	// longer. After lastRepeat, an answer would come too late: such a query is sent twice within repeatFar if a request waits.
	repeatDelay     = 30 * time.Millisecond
	repeatFar       = 3 * time.Millisecond
	roundTripMargin = 1.25
	lastRepeat      = 60 * time.Millisecond
	// aheadTime is the time for whose requests a VM asks ahead. A longer one saves queries and lets more tokens lie idle.
	aheadTime = 2 * time.Second
	// loadMemory is the memory of the rate of requests at a VM. With it, one request alone is no reason to ask ahead.
	loadMemory = 4 * time.Second
	// maxAhead bounds the tokens that a VM asks ahead.
	maxAhead = 64
	// maxWaiters bounds the requests of an organisation that wait at a VM.
	maxWaiters = 256
	// firstProbe and lastProbe are the shortest and longest time between two queries to an owner that does not answer. Between
	// them, requests are decided at once from the own share.
	firstProbe = 100 * time.Millisecond
	lastProbe  = 400 * time.Millisecond
)

// client is the state of an organisation at a VM that has requests of it.
type client struct {
	leases  []tokenLease
	waiters []*waiter
	load    decayingRate
	usedAt  time.Time
	// query is the last query, and former the one before it if both may be pending: over long round trips only.
	query, former query
	// obtained is the number of tokens that were held after the last answer.
	obtained int
	// refusedUntil is the time until which the owner has no tokens; retryAfter is what it told with that.
	refusedUntil time.Time
	retryAfter   time.Duration
	// unlimitedUntil is set after an owner with a newer configuration told that there is no limit.
	unlimitedUntil time.Time
	// failing is the time since which the owner has not answered; zero if it answers. probeAt is the time of the next query.
	failing, probeAt time.Time
	probePause       time.Duration
	fallback         fallback
	// usesDeputy is set if the next query goes to the deputy. hops counts the queries for the same requests at another VM.
	usesDeputy bool
	hops       int
}

// tokenLease is a number of tokens that are valid until end.
type tokenLease struct {
	tokens int
	end    time.Time
}

// query is the last query of an organisation.
type query struct {
	message  *peer.TokenQuery
	vm       oleandervane.EntryVM
	sentAt   time.Time
	answered bool
	// sentToBoth is set if the query was sent to the owner and the deputy at once, and declined if one of them does not grant.
	sentToBoth, declined bool
	// isFar is set if the answer to a query that follows the answer to this one would come too late.
	isFar bool
}

// isPending reports whether the answer of a query is awaited.
func (query *query) isPending(now time.Time) bool {
	return query.message != nil && !query.answered && now.Sub(query.sentAt) < AnswerTime
}

// waiter is a request that waits for a token.
type waiter struct {
	decided func(admission oleandervane.RateAdmission)
}

// ownerChanged forgets what the former owner told. Its leases stay valid until they end.
func (client *client) ownerChanged() {
	client.refusedUntil, client.probeAt = time.Time{}, time.Time{}
	client.query.answered, client.usesDeputy = true, false
}

// request decides on a request or lets it wait.
func (limiter *Limiter) request(organisation *organisation, now time.Time, decided func(oleandervane.RateAdmission)) {
	client := organisation.client
	client.usedAt = now
	client.checkQuery(now)
	client.load.add(now, loadMemory, 1)
	decides := limiter.decides(organisation)
	switch {
	case now.Before(client.unlimitedUntil):
		limiter.admit(organisation, now, SourceRemoved, decided)
	case limiter.takeLease(organisation, now, SourceLease, decided):
		if !decides && client.isLow(now) && client.mayAsk(now) {
			limiter.ask(organisation, now)
		}
	case decides:
		limiter.decideAsOwner(organisation, now, decided)
	case organisation.owner.ID == limiter.settings.Membership.Self().ID && organisation.deputy.ID == "":
		// There is no other VM to wait for.
		client.fail(now)
		limiter.fallBack(organisation, now, decided)
	case now.Before(client.refusedUntil):
		limiter.refuse(organisation, now, SourceOwner, client.retryAfter, decided)
	case len(client.waiters) >= maxWaiters || !client.query.isPending(now) && now.Before(client.probeAt):
		limiter.fallBack(organisation, now, decided)
	default:
		limiter.wait(organisation, now, decided)
	}
}

// decideAsOwner decides on a request at the owner itself.
func (limiter *Limiter) decideAsOwner(organisation *organisation, now time.Time, decided func(oleandervane.RateAdmission)) {
	limiter.grants(organisation)
	owned, taken := organisation.ownership, 0
	if owned.bucket, taken = owned.bucket.WithTaken(1); taken == 1 {
		limiter.admitWith(organisation, now, SourceOwner, now.Add(lease), decided)
		return
	}
	owned.shortfall.add(now, shortfallMemory, 1)
	limiter.refuse(organisation, now, SourceOwner, owned.retryAfter(organisation.limit, now), decided)
}

// takeLease admits a request with a token of a lease, if there is one.
func (limiter *Limiter) takeLease(organisation *organisation, now time.Time, source Source, decided func(oleandervane.RateAdmission)) bool {
	end, taken := organisation.client.take(now)
	if taken {
		limiter.admitWith(organisation, now, source, end, decided)
	}
	return taken
}

// take takes a token from a lease and returns the end of the lease.
func (client *client) take(now time.Time) (end time.Time, taken bool) {
	for i := range client.leases {
		if client.leases[i].tokens > 0 && now.Before(client.leases[i].end) {
			client.leases[i].tokens--
			return client.leases[i].end, true
		}
	}
	return time.Time{}, false
}

// putBack returns a token to the lease that it was taken from. Leases that are of no use any more are removed: an owner sends no queries,
// which remove them elsewhere.
func (client *client) putBack(end, now time.Time) {
	client.leases = slices.DeleteFunc(client.leases, func(lease tokenLease) bool {
		return lease.tokens == 0 || now.Sub(lease.end) >= returnTime
	})
	for i := range client.leases {
		if client.leases[i].end.Equal(end) {
			client.leases[i].tokens++
			return
		}
	}
	client.leases = append(client.leases, tokenLease{tokens: 1, end: end})
}

// held returns the number of valid tokens.
func (client *client) held(now time.Time) int {
	sum := 0
	for _, lease := range client.leases {
		if now.Before(lease.end) {
			sum += lease.tokens
		}
	}
	return sum
}

// returned removes leases that have ended, and returns the number of their tokens that may be returned.
func (client *client) returned(now time.Time) int {
	sum := 0
	client.leases = slices.DeleteFunc(client.leases, func(lease tokenLease) bool {
		if now.Before(lease.end) {
			return lease.tokens == 0
		}
		if now.Sub(lease.end) < returnTime {
			sum += lease.tokens
		}
		return true
	})
	return sum
}

// minReturned is the number of tokens of leases that have ended which is worth a datagram of its own.
const minReturned = 2

// hasReturns reports whether this VM, without requests, has enough tokens to return.
func (client *client) hasReturns(now time.Time) bool {
	sum := 0
	for _, lease := range client.leases {
		if !now.Before(lease.end) && now.Sub(lease.end) < returnTime {
			sum += lease.tokens
		}
	}
	return sum >= minReturned
}

// target returns the number of tokens that this VM should have for the requests that it expects.
func (client *client) target(now time.Time) float64 {
	return min(maxAhead, client.load.at(now, loadMemory)*aheadTime.Seconds())
}

// isLow reports whether less than half of the tokens is left that this VM should have, or had after the last answer.
func (client *client) isLow(now time.Time) bool {
	return float64(client.held(now)) < min(client.target(now), float64(client.obtained))/2
}

func (client *client) mayAsk(now time.Time) bool {
	return !client.query.isPending(now) && !now.Before(client.refusedUntil) && !now.Before(client.probeAt)
}

// wait lets a request wait for the answer of the owner.
func (limiter *Limiter) wait(organisation *organisation, now time.Time, decided func(oleandervane.RateAdmission)) {
	client := organisation.client
	waiting := &waiter{decided: decided}
	client.waiters = append(client.waiters, waiting)
	limiter.settings.TimerService.After(AnswerTime, func(time.Time) { limiter.expire(organisation, waiting) })
	if !client.query.isPending(now) {
		client.hops = 0
		limiter.ask(organisation, now)
		return
	}
	// The pending query may have asked for tokens ahead, but the owner may grant fewer.
	if client.query.isFar && !client.former.isPending(now) && len(client.waiters) > int(client.query.message.GetWaiting()) {
		client.former = client.query
		limiter.ask(organisation, now)
	}
}

// ask sends a query to the owner, or to its deputy.
func (limiter *Limiter) ask(organisation *organisation, now time.Time) {
	client, self := organisation.client, limiter.settings.Membership.Self().ID
	to := organisation.owner
	if organisation.deputy.ID != "" && organisation.deputy.ID != self && (client.usesDeputy || to.ID == self) {
		to = organisation.deputy
	}
	if to.ID == self {
		client.query = query{vm: to, sentAt: now, message: &peer.TokenQuery{}}
		return
	}
	limiter.sequence++
	waiting := len(client.waiters)
	if client.former.isPending(now) {
		waiting = max(0, waiting-int(client.former.message.GetWaiting()))
	}
	returned := client.returned(now)
	held := client.held(now)
	client.query = query{vm: to, sentAt: now, message: &peer.TokenQuery{
		Organisation: organisation.hash,
		Sequence:     limiter.sequence,
		Waiting:      uint32(waiting),
		Ahead:        uint32(max(0, int(client.target(now))-held)),
		Returned:     uint32(returned),
		Held:         uint32(held),
		Revision:     uint64(organisation.revision),
		Rate:         organisation.limit.PerSecond,
		Burst:        organisation.limit.Burst,
	}}
	sequence := limiter.sequence
	delay, batch := max(repeatDelay, time.Duration(roundTripMargin*float64(limiter.roundTrips[to.Region]))), batchDelay
	if delay > lastRepeat {
		delay, batch, client.query.isFar = repeatFar, 0, true
	}
	limiter.enqueue(to, client.query.message, now, batch)
	if other := organisation.other(to.ID); (client.usesDeputy || !client.failing.IsZero()) && other.ID != "" && other.ID != self {
		client.query.sentToBoth = true
		limiter.enqueue(other, client.query.message, now, batch)
	}
	if delay != repeatFar || len(client.waiters) > 0 {
		limiter.settings.TimerService.After(delay, func(time.Time) { limiter.repeat(organisation, sequence) })
	}
}

// other returns the other one of the owner and the deputy.
func (organisation *organisation) other(id oleandervane.VMID) oleandervane.EntryVM {
	if id == organisation.owner.ID {
		return organisation.deputy
	}
	return organisation.owner
}

// measure updates the usual round trip to a region.
func (limiter *Limiter) measure(region oleandervane.Region, roundTrip time.Duration) {
	const weight = 8
	usual, found := limiter.roundTrips[region]
	if !found {
		usual = roundTrip
	}
	limiter.roundTrips[region] = usual + (roundTrip-usual)/weight
}

// repeat sends a query that has not been answered a second time, to the owner and to its deputy.
func (limiter *Limiter) repeat(organisation *organisation, sequence uint64) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.settings.TimerService.Now()
	client := organisation.client
	if client == nil {
		return
	}
	if client.former.isPending(now) && client.former.message.GetSequence() == sequence {
		limiter.enqueue(client.former.vm, client.former.message, now, 0)
		return
	}
	if !client.query.isPending(now) || client.query.message.GetSequence() != sequence {
		return
	}
	if now.Sub(client.query.sentAt) < repeatDelay && client.failing.IsZero() {
		limiter.enqueue(client.query.vm, client.query.message, now, 0)
		return
	}
	for _, vm := range []oleandervane.EntryVM{organisation.owner, organisation.deputy} {
		if vm.ID != "" && vm.ID != limiter.settings.Membership.Self().ID {
			limiter.enqueue(vm, client.query.message, now, 0)
		}
	}
}

// expire decides on a request that has waited for AnswerTime.
func (limiter *Limiter) expire(organisation *organisation, waiting *waiter) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	client := organisation.client
	if client == nil || !slices.Contains(client.waiters, waiting) {
		return
	}
	now := limiter.settings.TimerService.Now()
	client.waiters = slices.DeleteFunc(client.waiters, func(other *waiter) bool { return other == waiting })
	client.checkQuery(now)
	limiter.fallBack(organisation, now, waiting.decided)
}

// checkQuery records that the last query was not answered in time.
func (client *client) checkQuery(now time.Time) {
	if client.query.message == nil || client.query.answered || client.query.isPending(now) {
		return
	}
	client.query.answered = true
	client.fail(now)
	client.usesDeputy = false
}

// fail records that the owner has not answered a query, or does not grant yet.
func (client *client) fail(now time.Time) {
	if client.failing.IsZero() {
		client.failing, client.probePause = now, firstProbe
	} else if !now.Before(client.probeAt) {
		client.probePause = min(lastProbe, 2*client.probePause)
	}
	if !now.Before(client.probeAt) {
		client.probeAt = now.Add(client.probePause)
	}
}

// succeed records that the owner has answered. The own share then no longer counts.
func (client *client) succeed() {
	client.failing, client.probeAt, client.fallback = time.Time{}, time.Time{}, fallback{}
}

// accept processes an answer.
func (limiter *Limiter) accept(sender oleandervane.EntryVM, grant *peer.TokenGrant, now time.Time) {
	organisation, found := limiter.organisations[grant.GetOrganisation()]
	if !found || organisation.client == nil {
		limiter.settings.Observer.TokenMessageIgnored("organisation")
		return
	}
	client := organisation.client
	isOwner, isDeputy := sender.ID == organisation.owner.ID, sender.ID == organisation.deputy.ID
	query := &client.query
	if client.former.isPending(now) && client.former.message.GetSequence() == grant.GetSequence() {
		query = &client.former
	}
	if query.message.GetSequence() != grant.GetSequence() || !isOwner && !isDeputy {
		limiter.settings.Observer.TokenMessageIgnored("sequence")
		return
	}
	if isOwner && organisation.deputy.ID == limiter.settings.Membership.Self().ID {
		limiter.ownerAnswered(organisation, grant.GetGranted())
	}
	if !grant.GetGranted() && query.sentToBoth && !query.declined {
		query.declined = true
		return
	}
	if query.answered || isDeputy && !grant.GetGranted() && query.vm.ID != sender.ID {
		return
	}
	query.answered = true
	if query.vm.ID == sender.ID {
		limiter.measure(sender.Region, now.Sub(query.sentAt))
	}
	if !grant.GetGranted() {
		client.fail(now)
		client.usesDeputy = isOwner
		if client.hops++; client.hops == 1 && len(client.waiters) > 0 {
			limiter.ask(organisation, now)
			return
		}
		for _, waiting := range client.takeWaiters() {
			limiter.fallBack(organisation, now, waiting.decided)
		}
		return
	}
	client.succeed()
	client.usesDeputy = isDeputy
	if grant.GetUnlimited() {
		client.unlimitedUntil = now.Add(lease)
		for _, waiting := range client.takeWaiters() {
			limiter.admit(organisation, now, SourceRemoved, waiting.decided)
		}
		return
	}
	limiter.distribute(organisation, query, grant, now)
}

// ownerAnswered ends the grants of this VM, the deputy, when the owner grants.
func (limiter *Limiter) ownerAnswered(organisation *organisation, grants bool) {
	if grants {
		organisation.ownership, organisation.askedAt = nil, time.Time{}
	}
}

// distribute gives the tokens of an answer to the requests that wait, and keeps the others.
func (limiter *Limiter) distribute(organisation *organisation, answered *query, grant *peer.TokenGrant, now time.Time) {
	client := organisation.client
	asked := answered.message
	client.leases = append(client.leases, tokenLease{tokens: int(min(grant.GetTokens(), maxAsked)), end: answered.sentAt.Add(lease)})
	waiting := client.takeWaiters()
	for len(waiting) > 0 && limiter.takeLease(organisation, now, SourceOwner, waiting[0].decided) {
		waiting = waiting[1:]
	}
	client.obtained = client.held(now)
	if grant.GetTokens() < asked.GetWaiting() {
		client.refusedUntil = now.Add(min(maxPause, time.Duration(grant.GetPauseMillis())*time.Millisecond))
		client.retryAfter = min(maxRetry, time.Duration(grant.GetRetryMillis())*time.Millisecond)
		for _, refused := range waiting {
			limiter.refuse(organisation, now, SourceOwner, client.retryAfter, refused.decided)
		}
		return
	}
	client.waiters = waiting
	if len(waiting) > 0 && !client.query.isPending(now) && !client.former.isPending(now) {
		limiter.ask(organisation, now)
	}
}

func (client *client) takeWaiters() []*waiter {
	waiters := client.waiters
	client.waiters = nil
	return waiters
}

// release admits the requests of an organisation that wait when its limit is removed.
func (limiter *Limiter) release(organisation *organisation) {
	if organisation.client == nil {
		return
	}
	for _, waiting := range organisation.client.takeWaiters() {
		limiter.admit(organisation, limiter.settings.TimerService.Now(), SourceRemoved, waiting.decided)
	}
}

// admit admits a request without a token that could be given back. A token of the own share is dropped, because it may have been admitted
// before the owner answered again.
func (limiter *Limiter) admit(organisation *organisation, now time.Time, source Source, decided func(oleandervane.RateAdmission)) {
	limiter.observe(organisation, now, Decision{Admitted: true, Source: source})
	decided(oleandervane.RateAdmission{Admitted: true})
}

// admitWith admits a request with a token that is valid until end.
func (limiter *Limiter) admitWith(
	organisation *organisation, now time.Time, source Source, end time.Time, decided func(oleandervane.RateAdmission),
) {
	limiter.observe(organisation, now, Decision{Admitted: true, Source: source})
	decided(oleandervane.RateAdmission{Admitted: true, Cancel: func() { limiter.giveBack(organisation, end) }})
}

func (limiter *Limiter) refuse(
	organisation *organisation, now time.Time, source Source, retryAfter time.Duration, decided func(oleandervane.RateAdmission),
) {
	retryAfter = limiter.spread(retryAfter)
	limiter.observe(organisation, now, Decision{Source: source, RetryAfter: retryAfter})
	decided(oleandervane.RateAdmission{RetryAfter: retryAfter, UsePerSecond: organisation.client.load.at(now, loadMemory)})
}

func (limiter *Limiter) observe(organisation *organisation, now time.Time, decision Decision) {
	decision.Load = organisation.client.load.at(now, loadMemory)
	limiter.settings.Observer.RateDecided(organisation.name, organisation.limit, decision)
}

// giveBack keeps the token of a request that has not run for another one, until the end of its lease, or to return it to the owner. If it
// were valid for longer, a VM whose requests are all refused by placement would keep its tokens after the owner has counted them as lost.
func (limiter *Limiter) giveBack(organisation *organisation, end time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.settings.TimerService.Now()
	if organisation.client != nil && now.Sub(end) < returnTime {
		organisation.client.putBack(end, now)
	}
}
