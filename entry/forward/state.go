package forward

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"oleandervane.example"
)

// stateTimeout bounds the wait for the state of a target. A round trip between regions takes 70 ms, and servers answer at once.
const stateTimeout = 150 * time.Millisecond

var (
	errReconsidered = errors.New("another target is chosen because of the state of this one")
	errNoState      = errors.New("the target did not return its state")
)

// StateChecker is a Reservation that needs the present state of its target before the request is sent. The state is read on the
// connection of the request, which has then just shown that it is alive.
type StateChecker interface {
	// StatePath returns the path at which the target returns its state, or an empty string if the state is not needed.
	StatePath() string
	// ObserveState uses the state and reports whether the request should still be sent to the target.
	ObserveState(metadata oleandervane.ResponseMetadata) (send bool)
}

// connect acquires the connection of the attempt. It fails with errReconsidered if the state of the target speaks against it.
func (attempt *attempt) connect() (err error) {
	defer attempt.cancelAfter(attempt.connectTimeout(), errConnectTimeout)()
	address := attempt.target.Address
	stateChecker, path := attempt.stateChecker()
	if path == "" {
		attempt.connection, attempt.reused, err = attempt.pool().acquire(attempt.ctx, address, attempt.needsNewConnection())
		return err
	}
	connection, _, err := attempt.pool().acquire(attempt.ctx, address, false)
	if err != nil {
		return err
	}
	metadata, err := attempt.readState(connection, path)
	if err != nil {
		// A connection that was idle may have been dropped by the target, which says nothing about the target itself.
		connection.close()
		attempt.connection, attempt.reused, err = attempt.pool().acquire(attempt.ctx, address, true)
		return err
	}
	if !stateChecker.ObserveState(metadata) {
		attempt.pool().release(connection)
		return errReconsidered
	}
	attempt.connection, attempt.reused = connection, true
	return nil
}

// stateChecker returns the path of the state, or an empty string if the reservation does not need it, or if the response to the request
// could not be told from that to the check.
func (attempt *attempt) stateChecker() (stateChecker StateChecker, path string) {
	stateChecker, checks := attempt.reservation.(StateChecker)
	if !checks || !attempt.hasID() {
		return nil, ""
	}
	return stateChecker, stateChecker.StatePath()
}

// readState reads the state of the target. The response must name the target, because the rest of an earlier exchange on the
// connection could otherwise be mistaken for it.
func (attempt *attempt) readState(connection *connection, path string) (oleandervane.ResponseMetadata, error) {
	ctx, cancel := context.WithCancel(attempt.ctx)
	defer cancel()
	defer attempt.forwarder.timerService.After(stateTimeout, func(time.Time) { cancel() })()
	connection.gate.arm(func() error { return nil })
	request := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: attempt.target.Address.String(), Path: path},
		Host:   attempt.target.Address.String(),
		Header: http.Header{},
	}
	response, err := connection.roundTrip(request.WithContext(ctx))
	if err != nil {
		return oleandervane.ResponseMetadata{}, err
	}
	defer response.Body.Close()
	metadata := attempt.dialect().ReadResponse(response.StatusCode, response.Header)
	if !framed(response) || len(metadata.EchoedIDs) > 0 || string(metadata.ServedBy) != attempt.target.ID {
		return oleandervane.ResponseMetadata{}, errNoState
	}
	_, whole, err := readBeginning(response.Body, maxRefusalBytes)
	if err != nil || !whole || !connection.usable() {
		return oleandervane.ResponseMetadata{}, errors.Join(errNoState, err)
	}
	connection.gate.markIdle()
	return metadata, nil
}
