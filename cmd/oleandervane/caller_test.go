package main

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"oleandervane.example/standin/responsetable"
)

// Guards against an invalid response of an entry VM that is printed as the result of a look-up.
func TestInvalidHeadsAreNoLookups(t *testing.T) {
	rest := func(*http.Request) string { return "Content-Length: 2\r\n\r\n{}" }
	responsetable.Run(t, rest, func(t *testing.T, tableCase responsetable.Case, address string) {
		_, err := get("http://" + address + "/v1/lookup")
		assert.Equal(t, err == nil, tableCase.Valid, "%v", err)
	})
}
