package oleandervane

import (
	"context"
	"crypto/sha256"
	"slices"
	"time"
)

// OrganisationName names an organisation.
type OrganisationName string

// KeyDigest is the SHA-256 digest of a key of an organisation. The keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// NewKeyDigest returns the digest of a key.
func NewKeyDigest(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// Organisation is a customer whose callers identify themselves by keys. It is immutable.
type Organisation struct {
	Name OrganisationName
	Keys []KeyDigest
	// Rank orders requests before the rank of their routes does; 0 is the most urgent. It counts only if Ranked is set.
	Rank   int
	Ranked bool
	// AllowedRegions are the only regions that may run the requests; empty allows all.
	AllowedRegions []Region
	RateLimit      RateLimit
}

// Allows reports whether a region may run requests of the organisation. A nil organisation allows all.
func (organisation *Organisation) Allows(region Region) bool {
	return organisation == nil || len(organisation.AllowedRegions) == 0 || slices.Contains(organisation.AllowedRegions, region)
}

// RateLimit bounds the requests of an organisation at all VMs together. The zero value sets no limit. It is immutable.
type RateLimit struct {
	PerSecond float64
	Burst     float64
}

// Limited reports whether there is a limit.
func (rateLimit RateLimit) Limited() bool {
	return rateLimit.PerSecond > 0
}

// OrganisationLimiter admits the requests of organisations within their rate limits, which hold for all VMs together.
type OrganisationLimiter interface {
	// Admit decides on one request. It may wait for another VM, for less than a tenth of a second.
	Admit(ctx context.Context, organisation Organisation) RateAdmission
}

// RateAdmission is the decision on a request of an organisation.
type RateAdmission struct {
	Admitted bool
	// RetryAfter is when there will be room for a request that is not admitted.
	RetryAfter time.Duration
	// UsePerSecond is the use of the organisation that the decision is based on, for logs; zero if it is not known.
	UsePerSecond float64
	// Cancel gives back the room of an admitted request that has not run. It may be nil, and is called at most once.
	Cancel func()
}

// KeyState says whether a request of a caller has a key.
type KeyState uint8

// The states of keys. A request that has several keys, or one in another form than is asked for, has a malformed one.
const (
	KeyMissing KeyState = iota
	KeyPresent
	KeyMalformed
)
