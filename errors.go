package oleandervane

import "errors"

// Errors that implementations of the interfaces of this package return, wrapped or unwrapped.
var (
	ErrNoBackendServer  = errors.New("no backend server may take the request")
	ErrNoRegion         = errors.New("no region has room for the request")
	ErrShed             = errors.New("request shed by admission")
	ErrVersionConflict  = errors.New("the key has another version")
	ErrStoreUnavailable = errors.New("the store is unavailable")
	ErrHistoryGone      = errors.New("the store no longer has the changes after that revision")
	ErrLeaseGone        = errors.New("the lease has ended")
	ErrValueTooLarge    = errors.New("the value is larger than the store allows")
)
