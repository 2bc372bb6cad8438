package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/standin/responsetable"
	"oleandervane.example/timer"
)

// Guards against a response with an invalid head that is passed on, that counts as proof that the request has not run, or whose
// connection is used again.
func TestInvalidHeadsReachNoCaller(t *testing.T) {
	rest := func(request *http.Request) string {
		return fmt.Sprintf("Content-Length: 2\r\n%s: %s\r\n\r\nok", oleandervane.HeaderRequestID, request.Header.Get(oleandervane.HeaderRequestID))
	}
	responsetable.Run(t, rest, func(t *testing.T, tableCase responsetable.Case, address string) {
		forwarder := New(Settings{AllowUnframedBodies: true, TrustReusedConnections: true}, timer.System{})
		defer forwarder.Close()
		target := Target{ID: "b1", Address: netip.MustParseAddrPort(address)}
		result := forwarder.Forward(context.Background(), Request{
			Method: http.MethodPost, Path: "/x", Kind: oleandervane.Kind{Name: "filing", Deadline: 5 * time.Second}, Deadline: time.Now().Add(5 * time.Second),
		}, &targets{list: []Target{target}})
		if tableCase.Valid {
			assert.Equal(t, result.Outcome, oleandervane.Answered, "%v", result.Err)
			result.Response.Close()
			return
		}
		assert.Equal(t, result.Outcome, oleandervane.Unknown)
		assert.Equal(t, result.Reason, ReasonInvalid)
		assert.Equal(t, len(forwarder.pool.target(target.Address).idle), 0)
	})
}
