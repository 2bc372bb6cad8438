package ratelimit

import (
	"math"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
)

const (
	// lease is how long tokens that a VM asked for ahead are valid, from its query.
	lease = 3 * time.Second
	// returnTime is how long after its lease a token may be returned. Later, its return would raise the tokens of another window.
	returnTime = time.Second
	// depthShare and aheadShare are the parts of the permitted error by which the bucket of an owner is deeper than the burst, and that
	// tokens granted ahead may take without a token less in the bucket. A small organisation needs the depth: with a burst of three
	// tokens and requests at random times, one of fifteen would be refused at 0.6 of the limit. Tokens ahead may be spent in the
	// window after that in which they were granted. transitionShare is the rest, for VMs that are cut off and change to their shares.
	depthShare      = 0.3
	aheadShare      = 0.35
	transitionShare = 1 - depthShare - aheadShare
	// lentShare is the part of the depth of a bucket that may be held by other VMs in place of the owner.
	lentShare = 0.4
	// asksPerSecond is the rate at which all VMs that were refused may ask an owner again. A query and its answer take 0.1 ms of a
	// processor of which a VM has 0.112.
	asksPerSecond = 200
	// minPause and maxPause bound the time for which a VM that was refused does not ask again.
	minPause = 20 * time.Millisecond
	maxPause = time.Second
	// shortfallMemory is the memory of the rate of requests that were refused.
	shortfallMemory = 2 * time.Second
	// maxAsked bounds the tokens of one query.
	maxAsked = 4096
)

// ownership is the state of an organisation at its owner.
type ownership struct {
	bucket Bucket
	// credit is the limiter's credit up to which the bucket has been filled.
	credit float64
	// holders are the VMs that asked lately; ahead is the sum of what they may hold.
	holders map[oleandervane.VMID]holder
	ahead   int
	// shortfall is the decaying number of tokens per second that were asked for and not granted.
	shortfall decayingRate
}

// holder is what an owner knows of a VM that asked: its last query, the answer, and the tokens that it may hold.
type holder struct {
	incarnation oleandervane.Incarnation
	answer      *peer.TokenGrant
	ahead       int
	at          time.Time
}

func (ownership *ownership) evict(now time.Time) {
	for id, holder := range ownership.holders {
		if now.Sub(holder.at) > lease+returnTime {
			ownership.ahead -= holder.ahead
			delete(ownership.holders, id)
		}
	}
}

// permittedError returns the number of requests that may be admitted beyond a limit in a window.
func (limiter *Limiter) permittedError(limit oleandervane.RateLimit) float64 {
	return limiter.settings.Overage*(limit.PerSecond*limiter.settings.Window.Seconds()+limit.Burst) + limiter.settings.Slack
}

// ownedLimit returns the limit of the bucket of an owner.
func (limiter *Limiter) ownedLimit(limit oleandervane.RateLimit) oleandervane.RateLimit {
	limit.Burst += depthShare * limiter.permittedError(limit)
	return limit
}

// startOwnership starts to fill the empty bucket of an organisation whose owner this VM has been for quietTime.
func (limiter *Limiter) startOwnership(organisation *organisation, now time.Time) {
	isOwner := organisation.owner.ID == limiter.settings.Membership.Self().ID
	if isOwner && organisation.ownership == nil && !now.Before(organisation.grantsFrom) && limiter.settings.Settled() {
		organisation.ownership = limiter.newOwnership(organisation)
	}
}

func (limiter *Limiter) newOwnership(organisation *organisation) *ownership {
	return &ownership{
		bucket: NewBucket(limiter.ownedLimit(organisation.limit)), credit: limiter.credit, holders: map[oleandervane.VMID]holder{},
	}
}

// deputyTime is the time for which a deputy that is no longer asked goes on asking the owner.
const deputyTime = 5 * time.Second

// asked records that this VM is asked for tokens as the deputy of an organisation.
func (limiter *Limiter) asked(organisation *organisation, now time.Time) {
	if organisation.deputy.ID != limiter.settings.Membership.Self().ID {
		return
	}
	if organisation.askedAt.IsZero() {
		organisation.probedFrom = now
	}
	organisation.askedAt = now
}

// deputise makes this VM, the deputy of an organisation, grant if the owner has not answered or granted for the delay after which VMs
// use their shares. The owner has then lost the VMs of this side of a partition, or has ended, or does not own the limit for long
// enough.
func (limiter *Limiter) deputise(organisation *organisation, now time.Time) {
	failing, delay := organisation.client.failing, limiter.shareDelay(organisation.limit)
	if organisation.ownership == nil && !failing.IsZero() && now.Sub(failing) >= delay && now.Sub(organisation.probedFrom) >= delay &&
		!now.Before(organisation.grantsFrom) && limiter.settings.Settled() {
		organisation.ownership = limiter.newOwnership(organisation)
	}
}

// isProbing reports whether this VM, as a deputy, should ask the owner now whether it grants. A deputy that is no longer asked stops.
func (limiter *Limiter) isProbing(organisation *organisation, now time.Time) bool {
	if organisation.askedAt.IsZero() {
		return false
	}
	isDeputy := organisation.deputy.ID == limiter.settings.Membership.Self().ID
	if !isDeputy || now.Sub(organisation.askedAt) > deputyTime {
		organisation.askedAt = time.Time{}
		if isDeputy {
			organisation.ownership = nil
		}
		return false
	}
	if organisation.client == nil {
		organisation.client = &client{}
	}
	organisation.client.usedAt = now
	organisation.client.checkQuery(now)
	limiter.deputise(organisation, now)
	return !organisation.client.query.isPending(now)
}

// grants reports whether this VM is the owner of an organisation and grants tokens, and fills the bucket.
func (limiter *Limiter) grants(organisation *organisation) bool {
	if organisation.ownership == nil {
		return false
	}
	owned := organisation.ownership
	aheadAllowance := aheadShare * limiter.permittedError(organisation.limit)
	owned.bucket = owned.bucket.WithLent(float64(owned.ahead) - aheadAllowance).WithFilled(limiter.credit - owned.credit)
	owned.credit = limiter.credit
	return true
}

// answer answers a query of another VM.
func (limiter *Limiter) answer(sender oleandervane.EntryVM, query *peer.TokenQuery, now time.Time) *peer.TokenGrant {
	answer := &peer.TokenGrant{Organisation: query.GetOrganisation(), Sequence: query.GetSequence()}
	organisation, found := limiter.organisations[query.GetOrganisation()]
	queried := oleandervane.RateLimit{PerSecond: query.GetRate(), Burst: query.GetBurst()}
	revision := oleandervane.Revision(query.GetRevision())
	switch {
	case !isValid(queried):
		limiter.settings.Observer.TokenMessageIgnored("limit")
		return answer
	case !found && limiter.table != nil && revision <= limiter.table.Revision:
		answer.Granted, answer.Unlimited = true, true
		return answer
	case !found:
		// The sender has a newer configuration, which this VM will have in a moment.
		return answer
	case revision > organisation.revision:
		limiter.setLimit(organisation, queried, revision)
	}
	limiter.asked(organisation, now)
	if !limiter.grants(organisation) {
		return answer
	}
	owned := organisation.ownership
	last, asked := owned.holders[sender.ID]
	if asked && last.incarnation == sender.Incarnation && query.GetSequence() <= last.answer.GetSequence() {
		if query.GetSequence() < last.answer.GetSequence() {
			limiter.settings.Observer.TokenMessageIgnored("sequence")
		}
		return last.answer
	}
	waiting, ahead := int(min(query.GetWaiting(), maxAsked)), int(min(query.GetAhead(), maxAsked))
	held := int(min(query.GetHeld(), maxAsked))
	if asked && last.incarnation == sender.Incarnation {
		held = min(held, last.ahead)
		returned := min(int(min(query.GetReturned(), maxAsked)), last.ahead-held)
		owned.bucket = owned.bucket.WithAdded(float64(returned))
	} else {
		held = min(held, 1)
	}
	owned.ahead -= last.ahead
	var granted, grantedAhead int
	owned.bucket, granted = owned.bucket.WithTaken(waiting)
	if granted == waiting {
		// Half of the tokens are left for requests that wait at other VMs.
		mayHold := aheadShare*limiter.permittedError(organisation.limit) + lentShare*owned.bucket.depth()
		room := min(float64(ahead), mayHold-float64(owned.ahead+held), owned.bucket.Tokens()/2)
		owned.bucket, grantedAhead = owned.bucket.WithTaken(int(room))
	}
	answer.Granted, answer.Tokens = true, uint32(granted+grantedAhead)
	if granted < waiting {
		owned.shortfall.add(now, shortfallMemory, float64(waiting-granted))
		answer.RetryMillis = uint32(owned.retryAfter(organisation.limit, now).Milliseconds())
		pause := time.Duration(float64(len(owned.holders)+1) / asksPerSecond * float64(time.Second))
		answer.PauseMillis = uint32(min(max(pause, minPause), maxPause).Milliseconds())
	}
	// Tokens for requests that wait are spent at once.
	held += grantedAhead
	owned.holders[sender.ID] = holder{incarnation: sender.Incarnation, answer: answer, ahead: held, at: now}
	owned.ahead += held
	return answer
}

func isValid(limit oleandervane.RateLimit) bool {
	return limit.PerSecond > 0 && !math.IsInf(limit.PerSecond, 0) && limit.Burst >= 0 && !math.IsInf(limit.Burst, 0)
}

// retryAfter returns the time in which the owner has tokens for all requests that were refused in the last second.
func (ownership *ownership) retryAfter(limit oleandervane.RateLimit, now time.Time) time.Duration {
	missing := 1 - ownership.bucket.Tokens() + ownership.shortfall.at(now, shortfallMemory)
	// The time is bounded in seconds, because that of a very low limit overflows a duration.
	return max(minRetry, time.Duration(min(maxRetry.Seconds(), missing/limit.PerSecond)*float64(time.Second)))
}

// decayingRate is a rate per second in which older events count less: after memory, an event counts about a third.
type decayingRate struct {
	perSecond float64
	updated   time.Time
}

func (decayingRate *decayingRate) at(now time.Time, memory time.Duration) float64 {
	return decayingRate.perSecond * math.Exp(-now.Sub(decayingRate.updated).Seconds()/memory.Seconds())
}

func (decayingRate *decayingRate) add(now time.Time, memory time.Duration, count float64) {
	decayingRate.perSecond = decayingRate.at(now, memory) + count/memory.Seconds()
	decayingRate.updated = now
}
