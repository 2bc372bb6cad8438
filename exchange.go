package oleandervane

import (
	"context"
	"net/netip"
	"time"
)

// ServerCount is a number of requests in flight at a backend server. It is immutable.
type ServerCount struct {
	// Server is the hash of the server's id, because ids are long and there are many counts.
	Server uint32
	Count  int
}

// InFlightTracker tracks how many requests are in flight at backend servers.
type InFlightTracker interface {
	// InFlight returns the requests in flight of this VM.
	InFlight() []ServerCount
	// ReplaceInFlight replaces the counts that a source reported before by all its requests in flight. A source is a VM
	// or a failure domain; it covers the given number of other VMs.
	ReplaceInFlight(source string, vms int, counts []ServerCount)
}

// AffinityTracker tracks which backend servers handled which objects recently. A mark identifies a pair of a backend
// server and an object.
type AffinityTracker interface {
	// PendingAffinity returns the marks of this VM's own requests that it has not sent recently.
	PendingAffinity() []uint32
	// MergeAffinity adds the marks that other VMs sent.
	MergeAffinity(marks []uint32)
}

// ServerDirective is what a backend server asked of all VMs in a response. It is immutable.
type ServerDirective struct {
	// Server is the hash of the run of the server.
	Server uint32
	// RateLimit is the number of requests a second that the server accepts from all VMs together; zero if it no longer has a limit.
	RateLimit float64
	// Leaving says that the server ends soon and wants no more requests.
	Leaving bool
	// Age is the time since the response.
	Age time.Duration
}

// DirectiveTracker tracks what backend servers ask of all VMs.
type DirectiveTracker interface {
	// Directives returns the directives that are known, the newest first.
	Directives() []ServerDirective
	// MergeDirectives adds the directives that another VM knows. For each server the newest one counts.
	MergeDirectives(directives []ServerDirective)
}

// ServerEnd says that a run of a backend server was found to have ended: its address refused a connection. It is immutable.
type ServerEnd struct {
	// Server is the hash of the run of the server.
	Server uint32
	// Age is the time since the connection was refused.
	Age time.Duration
}

// ServerEndTracker tracks which runs of backend servers have ended, before their entries show it.
type ServerEndTracker interface {
	// ServerEnds returns the ends that this VM found recently, the newest first.
	ServerEnds() []ServerEnd
	// MergeServerEnds adds the ends that other VMs found.
	MergeServerEnds(serverEnds []ServerEnd)
}

// ConnectionState is the result of a probe of a backend server.
type ConnectionState uint8

// The results of a probe. ConnectionUnknown is the result of a probe without response: the server may be cut off from this VM.
const (
	ConnectionUnknown ConnectionState = iota
	ConnectionAccepted
	ConnectionRefused
)

// ConnectionProber checks whether backend servers accept connections.
type ConnectionProber interface {
	// ProbeConnection opens a connection to the address and waits for the result for a bounded time.
	ProbeConnection(address netip.AddrPort) ConnectionState
}

// HealthState is what a health check of a backend server shows. It is immutable.
type HealthState struct {
	Connection ConnectionState
	// Stated is set if the server answered that it is healthy.
	Stated bool
	// Misdirected is set if the address belongs to another backend server now.
	Misdirected bool
	// ColdLeft is how much longer the server stays cold; zero if it is warm.
	ColdLeft time.Duration
}

// HealthProber checks the health of backend servers.
type HealthProber interface {
	// ProbeHealth opens a connection to the server and waits for the answer of its health path for a bounded time.
	ProbeHealth(backendServer BackendServer, path string) HealthState
}

// BreakObserver is notified of connections that backend servers broke. It must not block.
type BreakObserver interface {
	// ObserveBreak reports that a server broke a connection under a request, or one that was idle before the time that the server had
	// named.
	ObserveBreak(address netip.AddrPort, idle bool)
}

// SuspectRequest is a request that broke the connection to a backend server and may do so again. It is immutable.
type SuspectRequest struct {
	Fingerprint [16]byte
	// Server is the hash of the run of the server; zero for a quarantined request.
	Server uint32
	// Since is the time since the connection broke; for a quarantined request, the time for which it is still refused.
	Since time.Duration
}

// SuspectTracker tracks which requests may crash backend servers.
type SuspectTracker interface {
	// Suspects returns the requests that broke a connection recently, Quarantined those that are refused. Both are sorted, the
	// newest first.
	Suspects() []SuspectRequest
	Quarantined() []SuspectRequest
	// Merge adds the suspect and quarantined requests of another VM.
	Merge(suspects, quarantined []SuspectRequest)
}

// TrialCoordinator decides which VM sends a request once after its quarantine, to see whether it still crashes backend servers.
type TrialCoordinator interface {
	// ClaimTrial reports whether this VM may send the request. No other VM may until ReleaseTrial, or until some time has passed
	// that is longer than any request takes.
	ClaimTrial(ctx context.Context, fingerprint [16]byte) bool
	// ReleaseTrial allows another VM to claim the trial after one that has not crashed a server.
	ReleaseTrial(fingerprint [16]byte)
}

// QuarantineRecorder keeps the quarantines that this VM begins, for VMs that start later. Its methods do not wait for the store.
type QuarantineRecorder interface {
	// RecordQuarantine records that a request is refused for the duration.
	RecordQuarantine(fingerprint [16]byte, duration time.Duration)
	// ClearQuarantine removes the record of a request that was answered.
	ClearQuarantine(fingerprint [16]byte)
}

// SuspectObserver is notified of what a VM learns about requests that may crash backend servers.
type SuspectObserver interface {
	// RequestSuspected reports that a request may have crashed a backend server; run is the hash of the run that ended.
	RequestSuspected(fingerprint [16]byte, run uint32, source SuspectSource)
	// RequestQuarantined reports that a request is refused from now on for the duration.
	RequestQuarantined(fingerprint [16]byte, duration time.Duration, source SuspectSource)
	// TrialBegan reports that this VM sends a request once after its quarantine.
	TrialBegan(fingerprint [16]byte)
	// SuspicionCleared reports that a response cleared the suspicion of a request.
	SuspicionCleared(fingerprint [16]byte)
}

// SuspectSource says how a VM learned that a request may crash backend servers.
type SuspectSource string

// The sources of suspicions.
const (
	SuspectBrokenConnection SuspectSource = "connection_broken"
	SuspectServerEnded      SuspectSource = "server_ended"
	SuspectFromPeer         SuspectSource = "another_vm"
	SuspectFromStore        SuspectSource = "store"
)

// StoreRevisionSource provides the revision up to which a VM has applied the store.
type StoreRevisionSource interface {
	// StoreRevision returns the revision up to which the VM has applied the store, and whether the VM is in contact with
	// the store.
	StoreRevision() (revision StoreRevision, fresh bool)
}
