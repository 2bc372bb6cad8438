package ratelimit

import "oleandervane.example"

// Bucket is a token bucket. It is immutable.
type Bucket struct {
	limit oleandervane.RateLimit
	// lent is the part of the depth that is not filled, because tokens of it are held elsewhere.
	lent   float64
	tokens float64
}

// NewBucket returns an empty bucket.
func NewBucket(limit oleandervane.RateLimit) Bucket {
	return Bucket{limit: limit}
}

// Tokens returns the number of tokens in the bucket.
func (bucket Bucket) Tokens() float64 {
	return bucket.tokens
}

// WithLimit returns a bucket with another limit. Tokens above a lower burst are dropped.
func (bucket Bucket) WithLimit(limit oleandervane.RateLimit) Bucket {
	bucket.limit = limit
	bucket.tokens = min(bucket.tokens, bucket.depth())
	return bucket
}

// WithLent returns a bucket that is filled only up to its depth without some tokens. Tokens above that stay.
func (bucket Bucket) WithLent(tokens float64) Bucket {
	bucket.lent = max(0, tokens)
	return bucket
}

// depth is at least one token, so that a limit without a burst admits requests.
func (bucket Bucket) depth() float64 {
	return max(1, bucket.limit.Burst)
}

// WithAdded returns a bucket with more tokens, up to its depth.
func (bucket Bucket) WithAdded(tokens float64) Bucket {
	bucket.tokens = max(bucket.tokens, min(bucket.tokens+tokens, bucket.depth()-bucket.lent))
	return bucket
}

// WithFilled returns a bucket with the tokens of some seconds at the rate.
func (bucket Bucket) WithFilled(seconds float64) Bucket {
	return bucket.WithAdded(max(0, seconds) * bucket.limit.PerSecond)
}

// WithTaken returns a bucket without up to wanted whole tokens, and how many were taken.
func (bucket Bucket) WithTaken(wanted int) (rest Bucket, taken int) {
	// Sums of fractions may be below a whole number by a rounding error.
	const roundingError = 1e-9
	// The number is bounded before it is converted, because a large limit has more tokens than an int can hold.
	taken = max(0, int(min(float64(wanted), bucket.tokens+roundingError)))
	bucket.tokens = max(0, bucket.tokens-float64(taken))
	return bucket, taken
}
