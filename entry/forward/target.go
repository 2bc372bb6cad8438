package forward

import (
	"net/http"
	"net/netip"
	"slices"
	"strconv"

	"oleandervane.example"
)

// Target is the destination of an attempt: a backend server, or an entry VM of another region. It is immutable.
type Target struct {
	ID      string
	Address netip.AddrPort
	// Run identifies the run of the backend server among those with the same id; zero when it is not known.
	Run int64
	// PathPrefix is prepended to the path of the request.
	PathPrefix string
	// Relay says that the target is an entry VM, which states the outcome in header Oleandervane-Outcome.
	Relay bool
}

// BackendTarget returns the target of a backend server.
func BackendTarget(backendServer oleandervane.BackendServer) Target {
	return Target{ID: string(backendServer.ID), Address: backendServer.Address}
}

// WithRun returns a copy for one run of the backend server.
func (target Target) WithRun(run int64) Target {
	target.Run = run
	return target
}

// RunHash is the hash by which VMs identify one run of a backend server to each other. For a run that is not known it is the
// hash of the server's id.
func (target Target) RunHash() uint32 {
	if target.Run == 0 {
		return ServerHash(target.ID)
	}
	return ServerHash(target.ID + "\x00" + strconv.FormatInt(target.Run, 36))
}

// RelayTarget returns the target of an entry VM of another region, for example with path prefix
// "/v1/relay/ledger/filing".
func RelayTarget(entryVM oleandervane.EntryVM, pathPrefix string) Target {
	return Target{ID: string(entryVM.ID), Address: entryVM.PeerAddress, PathPrefix: pathPrefix, Relay: true}
}

// classify returns the outcome that a complete response states. An entry VM that states none is not assumed to have
// refused the request.
func (target Target) classify(response *http.Response, metadata oleandervane.ResponseMetadata) (oleandervane.Outcome, Reason) {
	if !target.Relay {
		return classifyBackend(metadata)
	}
	stated := response.Header.Values(oleandervane.HeaderOutcome)
	if len(stated) != 1 {
		return oleandervane.Unknown, ReasonNoOutcome
	}
	reason := Reason(response.Header.Get(oleandervane.HeaderReason))
	switch outcome := oleandervane.Outcome(stated[0]); outcome {
	case oleandervane.Answered, oleandervane.NotRun, oleandervane.Unknown:
		return outcome, reason
	}
	return oleandervane.Unknown, ReasonNoOutcome
}

func classifyBackend(metadata oleandervane.ResponseMetadata) (oleandervane.Outcome, Reason) {
	if metadata.Misdirected {
		return oleandervane.NotRun, ReasonMisdirected
	}
	if metadata.NotRun {
		return oleandervane.NotRun, ReasonShed
	}
	return oleandervane.Answered, ""
}

// Reservation reserves a target for one attempt.
type Reservation interface {
	Target() Target
	// Release ends the reservation and reports the result of the attempt. Later calls have no effect.
	Release(attemptResult oleandervane.AttemptResult)
}

// ResponseObserver is a Reservation that uses the header of the response to its attempt.
type ResponseObserver interface {
	ObserveResponse(metadata oleandervane.ResponseMetadata)
}

// EndObserver is a Reservation that uses the news that its target refuses connections, which means that its run has ended.
type EndObserver interface {
	ObserveEnd()
}

// TargetChooser chooses the target of an attempt.
type TargetChooser interface {
	// Choose returns a target whose id is not in excluded. It fails with oleandervane.ErrNoBackendServer when there is
	// none.
	Choose(excluded []string) (Reservation, error)
}

// BackendServers returns a chooser of the backend servers of one service.
func BackendServers(backendChooser oleandervane.BackendChooser, serviceName oleandervane.ServiceName) TargetChooser {
	return backendServers{backendChooser: backendChooser, serviceName: serviceName}
}

type backendServers struct {
	backendChooser oleandervane.BackendChooser
	serviceName    oleandervane.ServiceName
}

func (backendServers backendServers) Choose(excluded []string) (Reservation, error) {
	ids := make([]oleandervane.BackendServerID, 0, len(excluded))
	for _, id := range excluded {
		ids = append(ids, oleandervane.BackendServerID(id))
	}
	reservation, err := backendServers.backendChooser.Choose(backendServers.serviceName, ids)
	if err != nil {
		return nil, err
	}
	return backendReservation{Reservation: reservation}, nil
}

type backendReservation struct {
	oleandervane.Reservation
}

func (reservation backendReservation) Target() Target {
	return BackendTarget(reservation.BackendServer())
}

// RelayVMs returns a chooser that tries entry VMs of another region in the given order.
func RelayVMs(entryVMs []oleandervane.EntryVM, pathPrefix string) TargetChooser {
	return relayVMs{entryVMs: entryVMs, pathPrefix: pathPrefix}
}

type relayVMs struct {
	entryVMs   []oleandervane.EntryVM
	pathPrefix string
}

func (relayVMs relayVMs) Choose(excluded []string) (Reservation, error) {
	for _, entryVM := range relayVMs.entryVMs {
		if !slices.Contains(excluded, string(entryVM.ID)) {
			return relayReservation{target: RelayTarget(entryVM, relayVMs.pathPrefix)}, nil
		}
	}
	return nil, oleandervane.ErrNoBackendServer
}

type relayReservation struct {
	target Target
}

func (reservation relayReservation) Target() Target { return reservation.target }

func (relayReservation) Release(oleandervane.AttemptResult) {}
