package ingress

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
	"oleandervane.example/entry/route"
)

// The reasons of refusals that concern organisations.
const (
	reasonKeyMissing          forward.Reason = "key_missing"
	reasonKeyMalformed        forward.Reason = "key_malformed"
	reasonKeyUnknown          forward.Reason = "key_unknown"
	reasonKeyRemoved          forward.Reason = "key_removed"
	reasonKeysOutdated        forward.Reason = "keys_may_be_outdated"
	reasonOrganisationChanged forward.Reason = "organisation_changed"
	reasonNoCommonRegion      forward.Reason = "no_common_region"
	reasonOverLimit           forward.Reason = "organisation_over_its_limit"
)

const (
	// keysOutdatedRetryAfter is when a caller may find a VM in contact with the store again.
	keysOutdatedRetryAfter = time.Second
	// maxLimitRetryAfter bounds the Retry-After of a request over a rate limit. A limit of one request in half a minute is the lowest
	// that makes sense.
	maxLimitRetryAfter = 30 * time.Second
)

// refusal is a decision not to run a request. It is immutable.
type refusal struct {
	status     int
	reason     forward.Reason
	retryAfter time.Duration
}

// Error returns the reason.
func (refusal *refusal) Error() string {
	return string(refusal.reason)
}

// The refusals that are alike for all requests.
var (
	refusalKeyMissing     = &refusal{status: http.StatusUnauthorized, reason: reasonKeyMissing}
	refusalKeyMalformed   = &refusal{status: http.StatusUnauthorized, reason: reasonKeyMalformed}
	refusalKeyUnknown     = &refusal{status: http.StatusUnauthorized, reason: reasonKeyUnknown}
	refusalKeyRemoved     = &refusal{status: http.StatusUnauthorized, reason: reasonKeyRemoved}
	refusalKeysOutdated   = &refusal{status: http.StatusServiceUnavailable, reason: reasonKeysOutdated, retryAfter: keysOutdatedRetryAfter}
	refusalChanged        = &refusal{status: http.StatusServiceUnavailable, reason: reasonOrganisationChanged, retryAfter: minRetryAfter}
	refusalNoCommonRegion = &refusal{status: http.StatusServiceUnavailable, reason: reasonNoCommonRegion, retryAfter: maxRetryAfter}
)

// asRefusal returns the refusal in an error, or nil.
func asRefusal(err error) *refusal {
	var found *refusal
	if errors.As(err, &found) {
		return found
	}
	return nil
}

// refuseAs responds with a refusal.
func (call *call) refuseAs(refusal *refusal) {
	if refusal.status == http.StatusUnauthorized {
		call.handler.dependencies.CallerDialect.SetChallenge(call.writer.Header())
	}
	call.refuse(refusal.status, refusal.reason, spread(refusal.retryAfter))
}

// spread lengthens a delay at random, so that callers that are refused at the same time do not return at the same time. It never
// shortens it: there is no room before.
func spread(delay time.Duration) time.Duration {
	return time.Duration(float64(delay) * (1 + rand.Float64()/2))
}

// identify determines the organisation of the caller. It returns a refusal if the request needs a key and has none that is known.
func (call *call) identify(index *route.Index, matched oleandervane.Route) *refusal {
	organisation, refusal := call.organisationIn(index, matched)
	if refusal != nil {
		return refusal
	}
	call.completion.Organisation = organisation
	if organisation != nil && !haveCommonRegion(matched.AllowedRegions, organisation) {
		return refusalNoCommonRegion
	}
	return nil
}

// organisationIn returns the organisation of the caller by a route table, or a refusal.
func (call *call) organisationIn(index *route.Index, matched oleandervane.Route) (*oleandervane.Organisation, *refusal) {
	if !index.RequiresKeys() {
		return nil, nil
	}
	outdated := call.handler.dependencies.KeysOutdated
	if !matched.Public && outdated != nil && outdated() {
		return nil, refusalKeysOutdated
	}
	metadata := &call.completion.Metadata
	var organisation *oleandervane.Organisation
	if metadata.KeyState == oleandervane.KeyPresent {
		organisation = index.Organisation(metadata.Key)
	}
	switch {
	case organisation != nil || matched.Public:
		return organisation, nil
	case metadata.KeyState == oleandervane.KeyMissing:
		return nil, refusalKeyMissing
	case metadata.KeyState == oleandervane.KeyMalformed:
		return nil, refusalKeyMalformed
	}
	return nil, refusalKeyUnknown
}

func haveCommonRegion(regions []oleandervane.Region, organisation *oleandervane.Organisation) bool {
	for _, region := range regions {
		if organisation.Allows(region) {
			return true
		}
	}
	return len(regions) == 0
}

// checkKey is called immediately before the request is written to a backend server. It refuses the request if the configuration has
// changed since the caller was identified and the key is no longer that of its organisation, or other regions are allowed.
func (call *call) checkKey(former *route.Index) error {
	index := call.handler.index.Load()
	if index == former {
		return call.checkAge(index)
	}
	matched, found := index.Match(call.request.Host, call.completion.Path)
	if !found {
		// The route was removed. The request goes on as it was accepted, but not with a key that was removed.
		matched = call.completion.Route
	}
	organisation, refusal := call.organisationIn(index, matched)
	if refusal == refusalKeyUnknown && call.completion.Organisation != nil {
		return refusalKeyRemoved
	}
	if refusal != nil {
		return refusal
	}
	if !index.RequiresKeys() {
		return nil
	}
	if !former.RequiresKeys() || nameOf(organisation) != call.organisationName() {
		// The header that was prepared has the key, or the name of another organisation.
		return refusalChanged
	}
	if !slices.Equal(regionsOf(organisation), regionsOf(call.completion.Organisation)) ||
		!slices.Equal(matched.AllowedRegions, call.completion.Route.AllowedRegions) {
		// The backend server was chosen by the former regions, perhaps half a minute after the change.
		return refusalChanged
	}
	return nil
}

func regionsOf(organisation *oleandervane.Organisation) []oleandervane.Region {
	if organisation == nil {
		return nil
	}
	return organisation.AllowedRegions
}

// checkAge refuses a request that needs a key if the known keys are too old.
func (call *call) checkAge(index *route.Index) error {
	outdated := call.handler.dependencies.KeysOutdated
	if index.RequiresKeys() && !call.completion.Route.Public && outdated != nil && outdated() {
		return refusalKeysOutdated
	}
	return nil
}

func nameOf(organisation *oleandervane.Organisation) oleandervane.OrganisationName {
	if organisation == nil {
		return ""
	}
	return organisation.Name
}

func (call *call) organisationName() oleandervane.OrganisationName {
	return nameOf(call.completion.Organisation)
}

// admit asks the limiter for the request if its organisation has a rate limit. The returned function must be called when the request has
// ended.
func (call *call) admit() (end func(), refused *refusal) {
	organisation, limiter := call.completion.Organisation, call.handler.dependencies.Limiter
	if limiter == nil || organisation == nil || !organisation.RateLimit.Limited() {
		return func() {}, nil
	}
	admission := limiter.Admit(call.request.Context(), *organisation)
	if !admission.Admitted {
		call.completion.UsePerSecond = admission.UsePerSecond
		delay := min(max(admission.RetryAfter, minRetryAfter), maxLimitRetryAfter)
		return nil, &refusal{status: http.StatusTooManyRequests, reason: reasonOverLimit, retryAfter: delay}
	}
	return func() {
		if admission.Cancel != nil && call.completion.Outcome == oleandervane.NotRun {
			admission.Cancel()
		}
	}, nil
}
