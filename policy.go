package oleandervane

import "context"

// Membership lists the known entry VMs. Its snapshots are immutable and cheap to take.
type Membership interface {
	// EntryVMs returns all known VMs that are not dead, ordered by id.
	EntryVMs() []EntryVM
	// Self returns this VM.
	Self() EntryVM
}

// ConfigurationSource provides the configuration in force on this VM.
type ConfigurationSource interface {
	// Configuration returns the newest accepted revision known here, or nil before the first.
	Configuration() *Configuration
}

// LoadSource provides the newest load report that this VM has of a backend server.
type LoadSource interface {
	LoadReport(backendServerID BackendServerID) (LoadReport, bool)
}

// BackendChooser chooses a backend server in this VM's region and reserves one of its slots.
type BackendChooser interface {
	// Choose returns a backend server of the service that is not in excluded. It fails with
	// ErrNoBackendServer when no server is eligible.
	Choose(serviceName ServiceName, excluded []BackendServerID) (Reservation, error)
}

// AttemptResult is the result of an attempt, which is reported to a BackendChooser.
type AttemptResult uint8

// The results of an attempt at a backend server.
const (
	AttemptAnswered AttemptResult = iota
	AttemptShed
	AttemptTimedOut
	AttemptBroken
	AttemptCancelled
	// AttemptUnreachable means that no byte of the request left this VM.
	AttemptUnreachable
)

// String returns the result in lower snake case, as written to logs.
func (attemptResult AttemptResult) String() string {
	switch attemptResult {
	case AttemptAnswered:
		return "answered"
	case AttemptShed:
		return "shed"
	case AttemptTimedOut:
		return "timed_out"
	case AttemptBroken:
		return "broken"
	case AttemptCancelled:
		return "cancelled"
	case AttemptUnreachable:
		return "unreachable"
	}
	return "unknown"
}

// Reservation is a slot that is reserved at a backend server for one attempt.
type Reservation interface {
	BackendServer() BackendServer
	// Release frees the slot and reports how the attempt ended. Later calls have no effect.
	Release(attemptResult AttemptResult)
}

// AdmissionController decides whether a request may start, and in what order.
type AdmissionController interface {
	// Admit waits for room. It returns a release function, or an error when the request is shed
	// or ctx ends; a request that was not admitted was not run.
	Admit(ctx context.Context, serviceName ServiceName, kind Kind) (release func(), err error)
}

// RegionChooser chooses the serving region of a request by the shares in force.
type RegionChooser interface {
	// ChooseRegion returns the region that serves a request from a caller whose home region is home. The point, in
	// [0, 1), selects a region by its share. It fails with ErrNoRegion when no region has room for the request.
	ChooseRegion(serviceName ServiceName, home Region, point float64) (Region, error)
}

// SteeringPolicy computes shares. It is a pure function of its input.
type SteeringPolicy interface {
	// Decide returns the shares that follow from the input.
	Decide(input SteeringInput) SteeringDecision
}
