package entryvm

import (
	"net"
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/standin/responsetable"
)

// Guards against an invalid response of another entry VM that is read as the outcome of a request.
func TestInvalidHeadsAreNoOutcomes(t *testing.T) {
	cases, err := responsetable.Cases()
	assert.NilError(t, err)
	for _, tableCase := range cases {
		t.Run(tableCase.Name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			go tableCase.Serve(listener, func(*http.Request) string { return "Content-Length: 21\r\n\r\n" + `{"outcome":"not_run"}` })
			issuer := oleandervane.EntryVM{ID: "vm-2", CallerAddress: netip.MustParseAddrPort(listener.Addr().String())}
			body, err := newOutcomeRelay().Outcome(t.Context(), issuer, "ticket")
			assert.Equal(t, err == nil && body.Outcome == oleandervane.NotRun, tableCase.Valid, "%v", err)
		})
	}
}
