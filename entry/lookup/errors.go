package lookup

import "errors"

// Errors when building a table or a partition.
var (
	ErrInvalidPrefix = errors.New("invalid prefix of a client block")
	ErrTooManySites  = errors.New("more sites than a table can store")
	ErrInvalidShares = errors.New("shares are outside [0, 1] or sum to more than 1")
)
