package main

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"oleandervane.example/standin/responsetable"
)

// Guards against an invalid response of an entry VM that is printed as the result of a look-up.
func TestInvalidHeadsAreNoLookups(t *testing.T) {
	cases, err := responsetable.Cases()
	assert.NilError(t, err)
	for _, tableCase := range cases {
		t.Run(tableCase.Name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			go tableCase.Serve(listener, func(*http.Request) string { return "Content-Length: 2\r\n\r\n{}" })
			_, err = get("http://" + listener.Addr().String() + "/v1/lookup")
			assert.Equal(t, err == nil, tableCase.Valid, "%v", err)
		})
	}
}
