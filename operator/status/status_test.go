package status_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"oleandervane.example/operator/status"
	"oleandervane.example/standin/responsetable"
	"oleandervane.example/timer"
)

// Guards against an invalid response of an entry VM that operators get as its status.
func TestInvalidHeadsAreNoStatus(t *testing.T) {
	rest := func(*http.Request) string { return "Content-Length: 2\r\n\r\n{}" }
	responsetable.Run(t, rest, func(t *testing.T, tableCase responsetable.Case, address string) {
		var body struct{}
		err := status.Query(t.Context(), timer.System{}, address, "/v1/status", &body)
		assert.Equal(t, err == nil, tableCase.Valid, "%v", err)
	})
}
