package status_test

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"oleandervane.example/operator/status"
	"oleandervane.example/standin/responsetable"
	"oleandervane.example/timer"
)

// Guards against an invalid response of an entry VM that operators get as its status.
func TestInvalidHeadsAreNoStatus(t *testing.T) {
	cases, err := responsetable.Cases()
	assert.NilError(t, err)
	for _, tableCase := range cases {
		t.Run(tableCase.Name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			go tableCase.Serve(listener, func(*http.Request) string { return "Content-Length: 2\r\n\r\n{}" })
			var body struct{}
			err = status.Query(t.Context(), timer.System{}, listener.Addr().String(), "/v1/status", &body)
			assert.Equal(t, err == nil, tableCase.Valid, "%v", err)
		})
	}
}
