package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/timer"
)

// A server closes the connection in the middle of the head of its response. Guards against a response that looks complete to the
// caller, with an empty or short body, and against a refusal that is not one.
func TestCutHeadIsNoResponse(t *testing.T) {
	for _, fields := range readTable(t, "testdata/cut-heads.txt") {
		response, err := strconv.Unquote(`"` + fields[1] + `"`)
		assert.NilError(t, err)
		// missing is the number of bytes of the head that the server does not send.
		var missing atomic.Int64
		server := newServer(t, "b1", func(_ *server, conn net.Conn, _ int64) {
			defer conn.Close()
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			whole := strings.Replace(response, "ID", request.Header.Get(oleandervane.HeaderRequestID), 1)
			head, _, _ := strings.Cut(whole, "\r\n\r\n")
			_, _ = io.WriteString(conn, whole[:max(0, len(head)+4-int(missing.Load()))])
		})
		for number := 1; number <= len(response); number++ {
			missing.Store(int64(number))
			forwarder := New(Settings{AllowUnframedBodies: true, TrustReusedConnections: true}, timer.System{})
			request := testRequest(false, "POST", "x")
			request.Deadline = timer.System{}.Now().Add(request.Kind.Deadline)
			result := forwarder.Forward(context.Background(), request, &targets{list: []Target{server.target}})
			assert.Check(t, result.Outcome == oleandervane.Unknown, "%s: outcome %q without the last %d bytes of the head", fields[0], result.Outcome, number)
			forwarder.Close()
		}
	}
}

// A faulty server writes its refusal of one request again, as the response to the next request on the connection, while it runs that
// one. Guards against a request that is reported as not run although it has run, and against one that must not run twice and runs at
// a second server.
func TestRepeatedRefusalIsNotTakenForTheNextResponse(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		refused := ""
		var runs atomic.Int64
		faulty := newServer(t, "b1", func(_ *server, conn net.Conn, _ int64) {
			reader := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				if refused == "" {
					refused = request.Header.Get(oleandervane.HeaderRequestID)
				} else {
					runs.Add(1)
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nOleandervane-Request-Id: "+refused+"\r\nOleandervane-Shed: 1\r\nContent-Length: 0\r\n\r\n")
			}
		})
		forwarder := New(Settings{TrustReusedConnections: true}, timer.System{})
		send := func(kept bool) Result {
			request := testRequest(kept, "POST", "x")
			request.Deadline = timer.System{}.Now().Add(request.Kind.Deadline)
			request.MaxAttempts = 1
			return forwarder.Forward(context.Background(), request, &targets{list: []Target{faulty.target}})
		}
		assert.Equal(t, send(true).Outcome, oleandervane.NotRun)
		result := send(idempotent)
		assert.Equal(t, runs.Load(), int64(1))
		assert.Equal(t, result.Outcome, oleandervane.Unknown)
		assert.Equal(t, result.Reason, ReasonMismatch)
		forwarder.Close()
	}
}
