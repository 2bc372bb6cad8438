package webserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// A request arrives on a connection that was accepted just before the server stops. Guards against a stop that leaves it
// without a response: the server of the standard library reads it but does not respond, unless the listener is drained
// first.
func TestAcceptedConnectionsAreServedBeforeShutdown(t *testing.T) {
	for _, drains := range []bool{false, true} {
		accepted := make(chan struct{})
		server := &http.Server{
			Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "answer") }),
			ConnState: func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					select {
					case <-accepted:
					default:
						close(accepted)
					}
				}
			},
		}
		listener, err := NewDrainListener("127.0.0.1:0")
		assert.NilError(t, err)
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		<-accepted
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		stopped := make(chan error, 1)
		if drains {
			assert.NilError(t, listener.Drain())
			poll.WaitOn(t, refusesConnections(listener.Addr().String()))
		} else {
			go func() { stopped <- server.Shutdown(ctx) }()
			poll.WaitOn(t, refusesConnections(listener.Addr().String()))
		}
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		assert.Equal(t, err == nil, drains, "%v", err)
		if drains {
			go func() { stopped <- server.Shutdown(ctx) }()
		}
		assert.NilError(t, <-stopped)
		assert.ErrorIs(t, <-served, http.ErrServerClosed)
		cancel()
		_ = conn.Close()
	}
}

func refusesConnections(address string) func(poll.LogT) poll.Result {
	return func(poll.LogT) poll.Result {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return poll.Success()
		}
		_ = conn.Close()
		return poll.Continue("connections are still accepted")
	}
}
