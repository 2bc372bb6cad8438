package oleandervane

import "time"

// ServerCount is a number of requests in flight at a backend server. It is immutable.
type ServerCount struct {
	// Server is the hash of the server's id: ids are long, and counts are many.
	Server uint32
	Count  int
}

// InFlightTracker knows how many requests are in flight at backend servers.
type InFlightTracker interface {
	// InFlight returns the requests of this VM.
	InFlight() []ServerCount
	// ReplaceInFlight takes over all requests in flight of a source, which covers a number of other VMs, in the place of those
	// that it told before.
	ReplaceInFlight(source string, vms int, counts []ServerCount)
}

// AffinityTracker knows which backend servers handled which objects lately, as marks of pairs of both.
type AffinityTracker interface {
	// PendingAffinity returns the marks of this VM's own requests that it has not told lately.
	PendingAffinity() []uint32
	// MergeAffinity takes over what other VMs told.
	MergeAffinity(marks []uint32)
}

// SuspectRequest is a request that broke the connection to a backend server and may do so again. It is immutable.
type SuspectRequest struct {
	Fingerprint [16]byte
	// Server is the hash of the server's id; zero for a request that is refused.
	Server uint32
	// Since is the time since the connection broke, or for which the request is still refused.
	Since time.Duration
}

// SuspectTracker knows which requests may crash backend servers.
type SuspectTracker interface {
	// Suspects returns requests that broke one connection lately, Refused those that are refused.
	Suspects() []SuspectRequest
	Quarantined() []SuspectRequest
	// Merge takes over what another VM knows.
	Merge(suspects, refused []SuspectRequest)
}

// StoreRevisionSource tells how far a VM knows the store.
type StoreRevisionSource interface {
	// StoreRevision returns the revision up to which the VM knows the store, and whether it was in contact a moment ago.
	StoreRevision() (revision uint64, fresh bool)
}
