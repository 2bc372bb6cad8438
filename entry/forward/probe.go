package forward

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"syscall"
	"time"

	"oleandervane.example"
)

// defaultProbeTimeout bounds probes if no connect timeout is set.
const defaultProbeTimeout = 500 * time.Millisecond

// ProbeConnection opens a connection to a backend server. A request uses the connection afterwards.
func (forwarder *Forwarder) ProbeConnection(address netip.AddrPort) oleandervane.ConnectionState {
	ctx, cancel := forwarder.probeContext()
	defer cancel()
	connection, _, err := forwarder.pool.acquire(ctx, address, true)
	if err != nil {
		return failedState(err)
	}
	forwarder.pool.release(connection)
	return oleandervane.ConnectionAccepted
}

// ProbeHealth opens a connection to a backend server and requests its health path. A request uses the connection afterwards.
func (forwarder *Forwarder) ProbeHealth(backendServer oleandervane.BackendServer, path string) oleandervane.HealthState {
	ctx, cancel := forwarder.probeContext()
	defer cancel()
	connection, _, err := forwarder.pool.acquire(ctx, backendServer.Address, true)
	if err != nil {
		return oleandervane.HealthState{Connection: failedState(err)}
	}
	connection.gate.arm(func() error { return nil })
	response, err := connection.roundTrip(forwarder.healthRequest(ctx, backendServer, path))
	if err != nil {
		connection.close()
		return oleandervane.HealthState{}
	}
	defer response.Body.Close()
	metadata := forwarder.settings.Dialect.ReadResponse(response.StatusCode, response.Header)
	connection.keepAlive = metadata.KeepAlive
	if _, whole, err := readBeginning(response.Body, maxRefusalBytes); whole && err == nil && framed(response) {
		forwarder.pool.release(connection)
	} else {
		connection.close()
	}
	return oleandervane.HealthState{
		Connection:  oleandervane.ConnectionAccepted,
		Stated:      response.StatusCode == http.StatusOK,
		Misdirected: metadata.Misdirected,
		ColdLeft:    metadata.ColdLeft,
	}
}

func (forwarder *Forwarder) healthRequest(ctx context.Context, backendServer oleandervane.BackendServer, path string) *http.Request {
	header := http.Header{}
	attempt := oleandervane.Attempt{ID: forwarder.nextAttemptID(), TimeLeft: forwarder.probeTimeout(), BackendServer: backendServer.ID}
	forwarder.settings.Dialect.SetAttemptHeader(header, attempt)
	address := backendServer.Address.String()
	request := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address, Path: path}, Host: address, Header: header}
	return request.WithContext(ctx)
}

func (forwarder *Forwarder) probeTimeout() time.Duration {
	return cmp.Or(forwarder.settings.ConnectTimeout, defaultProbeTimeout)
}

// probeContext returns a context that ends after the timeout of probes.
func (forwarder *Forwarder) probeContext() (ctx context.Context, cancel func()) {
	ctx, cancelContext := context.WithCancel(context.Background())
	stop := forwarder.timerService.After(forwarder.probeTimeout(), func(time.Time) { cancelContext() })
	return ctx, func() {
		stop()
		cancelContext()
	}
}

// failedState returns the state of a backend server to which no connection could be opened.
func failedState(err error) oleandervane.ConnectionState {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return oleandervane.ConnectionRefused
	}
	return oleandervane.ConnectionUnknown
}
