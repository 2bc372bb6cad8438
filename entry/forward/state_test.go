package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"oleandervane.example"
)

// stateDialect is the native dialect with the header by which test servers name themselves.
type stateDialect struct{ nativeDialect }

func (stateDialect stateDialect) ReadResponse(status int, header http.Header) oleandervane.ResponseMetadata {
	metadata := stateDialect.nativeDialect.ReadResponse(status, header)
	metadata.ServedBy = oleandervane.BackendServerID(header.Get("Test-Served-By"))
	return metadata
}

// checkedTargets choose targets whose state is read. Targets in slow are not used once their state is known.
type checkedTargets struct {
	targets
	slow  map[string]bool
	known map[string]bool
}

func (checkedTargets *checkedTargets) Choose(excluded []string) (Reservation, error) {
	for id := range checkedTargets.known {
		if checkedTargets.slow[id] {
			excluded = append(excluded, id)
		}
	}
	reservation, err := checkedTargets.targets.Choose(excluded)
	if err != nil {
		return nil, err
	}
	return &checkedReservation{Reservation: reservation, checkedTargets: checkedTargets}, nil
}

type checkedReservation struct {
	Reservation
	checkedTargets *checkedTargets
}

func (reservation *checkedReservation) StatePath() string { return "/state" }

func (reservation *checkedReservation) ObserveState(oleandervane.ResponseMetadata) bool {
	id := reservation.Target().ID
	reservation.checkedTargets.known[id] = true
	return !reservation.checkedTargets.slow[id]
}

// stateServer returns a server that names itself in its state and answers other requests.
func stateServer(t *testing.T, id, name string) *server {
	return newServer(t, id, func(server *server, conn net.Conn, _ int64) {
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if request.URL.Path == "/state" {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTest-Served-By: "+name+"\r\n\r\n")
				continue
			}
			server.requests.Add(1)
			_, _ = io.Copy(io.Discard, request.Body)
			echo := ""
			if id := request.Header.Get(oleandervane.HeaderRequestID); id != "" {
				echo = oleandervane.HeaderRequestID + ": " + id + "\r\n"
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+echo+"\r\nok")
		}
	})
}

func forwardChecked(t *testing.T, forwarder *Forwarder, chooser *checkedTargets) Result {
	t.Helper()
	result := forwarder.Forward(context.Background(), testRequest(false, http.MethodPost, "body"), chooser)
	if result.Response != nil {
		result.Response.Close()
	}
	return result
}

// Guards against a request that is sent to a target whose state speaks against it, and against counting the change of the target as a
// retry, which a request that is not idempotent would not get.
func TestTargetIsReconsidered(t *testing.T) {
	forwarder, _ := newTestForwarder(t)
	forwarder.settings.Dialect = stateDialect{}
	slow, fast := stateServer(t, "slow", "slow"), stateServer(t, "fast", "fast")
	chooser := &checkedTargets{
		targets: targets{list: []Target{slow.target, fast.target}},
		slow:    map[string]bool{"slow": true}, known: map[string]bool{},
	}
	result := forwardChecked(t, forwarder, chooser)
	assert.Equal(t, result.Outcome, oleandervane.Answered)
	assert.Equal(t, result.Attempts, 1)
	assert.Equal(t, slow.requests.Load(), int64(0))
	assert.Equal(t, fast.requests.Load(), int64(1))

	chooser.known, chooser.slow = map[string]bool{}, map[string]bool{"slow": true, "fast": true}
	result = forwardChecked(t, forwarder, chooser)
	assert.Equal(t, result.Outcome, oleandervane.NotRun)
	assert.Equal(t, result.Reason, ReasonNoBackendServer)
}

// Guards against a new connection for each request that is not idempotent although the state was just read on an idle one, and against
// a state that another server, or the rest of an earlier exchange, returned.
func TestStateIsReadOnTheConnectionOfTheRequest(t *testing.T) {
	forwarder, _ := newTestForwarder(t)
	forwarder.settings.Dialect = stateDialect{}
	server := stateServer(t, "a", "a")
	chooser := &checkedTargets{targets: targets{list: []Target{server.target}}, known: map[string]bool{}}
	for range 5 {
		assert.Equal(t, forwardChecked(t, forwarder, chooser).Outcome, oleandervane.Answered)
	}
	assert.Equal(t, server.connections.Load(), int64(1))

	other := stateServer(t, "b", "another")
	chooser = &checkedTargets{targets: targets{list: []Target{other.target}}, known: map[string]bool{}}
	assert.Equal(t, forwardChecked(t, forwarder, chooser).Outcome, oleandervane.Answered)
	assert.Equal(t, len(chooser.known), 0)
	assert.Equal(t, other.connections.Load(), int64(2))
}

// Guards against a request that fails because its target dropped the idle connection on which the state is read.
func TestDroppedIdleConnectionIsReplaced(t *testing.T) {
	forwarder, _ := newTestForwarder(t)
	forwarder.settings.Dialect = stateDialect{}
	server := stateServer(t, "a", "a")
	chooser := &checkedTargets{targets: targets{list: []Target{server.target}}, known: map[string]bool{}}
	assert.Equal(t, forwardChecked(t, forwarder, chooser).Outcome, oleandervane.Answered)
	idle := forwarder.pool.acquireIdle(server.target.Address)
	_ = idle.gate.Conn.Close()
	forwarder.pool.release(idle)
	assert.Equal(t, forwardChecked(t, forwarder, chooser).Outcome, oleandervane.Answered)
	assert.Equal(t, server.requests.Load(), int64(2))
}

// callerIDDialect sends no id but that of the caller.
type callerIDDialect struct{ stateDialect }

func (callerIDDialect) SetAttemptHeader(http.Header, oleandervane.Attempt) {}

// Guards against a request whose caller sent no id and whose response is dropped as that of another exchange, because an earlier request
// or the check of the state used the connection.
func TestRequestWithoutID(t *testing.T) {
	forwarder, _ := newTestForwarder(t)
	forwarder.settings.Dialect = callerIDDialect{}
	server := stateServer(t, "a", "a")
	list := []Target{server.target}
	for i, chooser := range []TargetChooser{&targets{list: list}, &checkedTargets{targets: targets{list: list}, known: map[string]bool{}}} {
		for _, id := range []string{"r", "", "r", ""} {
			request := testRequest(i == 0, http.MethodGet, "")
			request.ID = id
			request.Header.Set(oleandervane.HeaderRequestID, id)
			result := forwarder.Forward(context.Background(), request, chooser)
			assert.Equal(t, result.Outcome, oleandervane.Answered, "id %q, %s", id, result.Reason)
			result.Response.Close()
		}
	}
}
