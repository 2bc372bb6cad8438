package entryvm

import (
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/standin/responsetable"
)

// Guards against an invalid response of another entry VM that is read as the outcome of a request.
func TestInvalidHeadsAreNoOutcomes(t *testing.T) {
	rest := func(*http.Request) string { return "Content-Length: 21\r\n\r\n" + `{"outcome":"not_run"}` }
	responsetable.Run(t, rest, func(t *testing.T, tableCase responsetable.Case, address string) {
		issuer := oleandervane.EntryVM{ID: "vm-2", CallerAddress: netip.MustParseAddrPort(address)}
		body, err := newOutcomeRelay().Outcome(t.Context(), issuer, "ticket")
		assert.Equal(t, err == nil && body.Outcome == oleandervane.NotRun, tableCase.Valid, "%v", err)
	})
}
