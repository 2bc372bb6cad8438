package oleandervane

import (
	"net/netip"
	"time"
)

// Region names a region, such as "kigali".
type Region string

// FailureDomain names a failure domain. Names are unique across regions.
type FailureDomain string

// Site names a place inside a failure domain to which client blocks are assigned.
type Site string

// VMID identifies a VM. A replaced VM may reuse the id of its predecessor; the incarnation distinguishes them.
type VMID string

// Incarnation identifies one run of an entry VM's process. A later run has a larger value.
type Incarnation uint64

// VMState is the state of an entry VM as its peers see it.
type VMState uint8

// The states of an entry VM. Of two states of the same incarnation and version, the larger wins.
const (
	VMAlive VMState = iota
	VMSuspect
	VMLeaving
	VMDead
)

// String returns the state in lower case, as written to logs and wire formats.
func (vmState VMState) String() string {
	switch vmState {
	case VMAlive:
		return "alive"
	case VMSuspect:
		return "suspect"
	case VMLeaving:
		return "leaving"
	case VMDead:
		return "dead"
	}
	return "unknown"
}

// EntryVM is an entry VM as its peers see it. It is immutable.
type EntryVM struct {
	ID            VMID
	Incarnation   Incarnation
	Region        Region
	FailureDomain FailureDomain
	// CallerAddress serves callers and relayed requests over HTTP.
	CallerAddress netip.AddrPort
	// PeerAddress serves other entry VMs over connect-go.
	PeerAddress netip.AddrPort
	State       VMState
	// Capacity is the number of requests a second that the VM can forward; zero when it is not known.
	Capacity float64
}

// CapacityOrOne returns the capacity. A VM whose capacity is not known counts as one that forwards one request per second.
func (entryVM EntryVM) CapacityOrOne() float64 {
	if entryVM.Capacity <= 0 {
		return 1
	}
	return entryVM.Capacity
}

// WithState returns a copy in the given state.
func (entryVM EntryVM) WithState(vmState VMState) EntryVM {
	entryVM.State = vmState
	return entryVM
}

// BackendServerID identifies an instance of a service.
type BackendServerID string

// BackendServer is one instance of a service, as the VM list and the configuration describe it. It is immutable.
type BackendServer struct {
	ID             BackendServerID
	Service        ServiceName
	Region         Region
	FailureDomain  FailureDomain
	Address        netip.AddrPort
	Slots          int
	MaxConnections int
	// Leaving is set if the VM list shows the instance as leaving.
	Leaving bool
}

// WithLeaving returns a copy with the leaving mark set as given.
func (backendServer BackendServer) WithLeaving(leaving bool) BackendServer {
	backendServer.Leaving = leaving
	return backendServer
}

// LoadReport is a measurement of the load of one backend server. It is immutable.
type LoadReport struct {
	BackendServer BackendServerID
	InFlight      int
	Queued        int
	Leaving       bool
	Cold          bool
	// MeasuredAt is when the backend server was probed, by the clock of the VM that probed it.
	MeasuredAt time.Time
	// Source is the entry VM that probed it.
	Source VMID
}

// Age returns how old the report is at the given time; never negative.
func (loadReport LoadReport) Age(now time.Time) time.Duration {
	return max(0, now.Sub(loadReport.MeasuredAt))
}

// VMListing is one read of the platform's list of live and leaving VMs. It is immutable.
type VMListing struct {
	EntryVMs       []EntryVM
	BackendServers []BackendServer
	ReadAt         time.Time
}
