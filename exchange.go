package oleandervane

import "time"

// ServerCount is a number of requests in flight at a backend server. It is immutable.
type ServerCount struct {
	// Server is the hash of the server's id: ids are long, and counts are many.
	Server uint32
	Count  int
}

// InFlightKeeper knows how many requests are in flight at backend servers.
type InFlightKeeper interface {
	// InFlight returns the requests of this VM.
	InFlight() []ServerCount
	// Learn takes over all requests in flight of a source, which covers a number of other VMs, in the place of those
	// that it told before.
	Learn(source string, vms int, counts []ServerCount)
}

// FamiliarityKeeper knows which backend servers handled which objects lately, as marks of pairs of both.
type FamiliarityKeeper interface {
	// FamiliarNews returns the marks of this VM's own requests that it has not told lately.
	FamiliarNews() []uint32
	// LearnFamiliar takes over what other VMs told.
	LearnFamiliar(marks []uint32)
}

// SuspectRequest is a request that broke the connection to a backend server and may do so again. It is immutable.
type SuspectRequest struct {
	Fingerprint [16]byte
	// Server is the hash of the server's id; zero for a request that is refused.
	Server uint32
	// Since is the time since the connection broke, or for which the request is still refused.
	Since time.Duration
}

// SuspicionKeeper knows which requests may crash backend servers.
type SuspicionKeeper interface {
	// Suspects returns requests that broke one connection lately, Refused those that are refused.
	Suspects() []SuspectRequest
	Refused() []SuspectRequest
	// Learn takes over what another VM knows.
	Learn(suspects, refused []SuspectRequest)
}

// StoreContact tells how far a VM knows the store.
type StoreContact interface {
	// StoreRevision returns the revision up to which the VM knows the store, and whether it was in contact a moment ago.
	StoreRevision() (revision uint64, fresh bool)
}
