package ratelimit

import (
	"time"

	"oleandervane.example"
)

// contactLossDelay is the time after which an owner surely no longer counts a VM that is cut off from it as one that it hears from
// (exchange.Exchange.HeardCapacity). Only then does the VM use its share.
const contactLossDelay = 2 * time.Second

// fallback is the share of a limit that a VM uses while the owner does not answer.
type fallback struct {
	bucket   Bucket
	filledAt time.Time
}

// fallBack decides on a request from the own share.
func (limiter *Limiter) fallBack(organisation *organisation, now time.Time, decided func(oleandervane.RateAdmission)) {
	client := organisation.client
	share := limiter.share(organisation)
	if share == 0 || !limiter.settings.Settled() {
		client.fallback = fallback{}
		limiter.refuse(organisation, now, SourceFallback, client.probePause, decided)
		return
	}
	failing := client.failing
	if failing.IsZero() {
		failing = now
	}
	from := failing.Add(limiter.shareDelay(organisation.limit))
	if client.fallback.filledAt.Before(from) {
		client.fallback = fallback{filledAt: from}
	}
	if client.fallback.filledAt.Before(now) {
		seconds := now.Sub(client.fallback.filledAt).Seconds()
		client.fallback.bucket = client.fallback.bucket.WithLimit(oleandervane.RateLimit{
			PerSecond: organisation.limit.PerSecond * share,
			Burst:     organisation.limit.Burst * share,
		}).WithFilled(seconds)
		client.fallback.filledAt = now
	}
	rest, taken := client.fallback.bucket.WithTaken(1)
	if taken == 0 {
		seconds := min(lastProbe.Seconds(), (1-rest.Tokens())/(organisation.limit.PerSecond*share))
		limiter.refuse(organisation, now, SourceFallback, max(client.probePause, time.Duration(seconds*float64(time.Second))), decided)
		return
	}
	client.fallback.bucket = rest
	limiter.admit(organisation, now, SourceFallback, decided)
}

// shareDelay returns the time after which a VM uses its share. The permitted error covers the last part of contactLossDelay, in which
// both the owner and the VMs that are cut off admit requests.
func (limiter *Limiter) shareDelay(limit oleandervane.RateLimit) time.Duration {
	covered := min(contactLossDelay.Seconds(), transitionShare*limiter.permittedError(limit)/limit.PerSecond)
	return contactLossDelay - time.Duration(covered*float64(time.Second))
}

// share returns this VM's share of a limit: by capacity, or an equal one for as many VMs, by rank, as the burst has tokens, if the
// share of some VM of the burst is less than one token. A bucket has room for one token at least, and their sum must not exceed the
// burst.
func (limiter *Limiter) share(organisation *organisation) float64 {
	self := limiter.settings.Membership.Self()
	fleet := limiter.fleetCapacity()
	if organisation.limit.Burst*limiter.least/fleet >= 1 || len(limiter.vms) <= 1 {
		return self.CapacityOrOne() / fleet
	}
	holders := max(1, min(int(organisation.limit.Burst), len(limiter.vms)))
	for _, index := range limiter.order(organisation.hash)[:holders] {
		if limiter.vms[index].ID == self.ID {
			return 1 / float64(holders)
		}
	}
	return 0
}
