package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"
)

// pathServices has the service of each prefix in pathConfiguration.
var pathServices = map[string]string{"/file/": "ledger", "/file/2026/": "reports", "/caf%C3%A9/": "reports", "/": "ledger"}

// newPathFixture starts a VM with a route for each prefix, and servers that respond with their service and the path they got.
func newPathFixture(t *testing.T) *fixture {
	ledger, reports := newBackend(t), newBackend(t)
	for service, backend := range map[string]*backend{"ledger": ledger, "reports": reports} {
		backend.respondWith(func(writer http.ResponseWriter, request *http.Request) {
			writer.Header().Set("X-Response-Signature", "m")
			_, _ = fmt.Fprintf(writer, "%s %s", service, request.RequestURI)
		})
	}
	fixture := newFixture(t, ledger)
	fixture.write(t, "servers/i-reports", fmt.Sprintf(`{"service":"reports","address":%q,"zone":"kigali-a","concurrency_limit":3,"state":"ready"}`, reports.Listener.Addr()))
	resources := []string{
		`{"resource_type": "services", "metadata": {"name": "ledger"}, "spec": {"health_path": "/healthz", "max_connections": 660}}`,
		`{"resource_type": "services", "metadata": {"name": "reports"}, "spec": {"health_path": "/healthz", "max_connections": 660}}`,
	}
	for prefix, service := range pathServices {
		resources = append(resources, fmt.Sprintf(`{"resource_type": "routes", "metadata": {"name": %q}, "spec": {"host": "a.example", "prefix": %q,
			"route_type": "unsafe", "timeout_s": 2, "target_latency_s": 0.6, "priority": 1, "service": %q, "max_attempts": 2}}`, "r"+prefix, prefix, service))
	}
	fixture.write(t, "op/config", `{"version": "r8", "resources": [`+strings.Join(resources, ",")+`]}`)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, text := sendPath(t, fixture, "/file/2026/1"); text != "reports /file/2026/1" {
			return poll.Continue("%s", text)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	return fixture
}

// sendPath sends a GET request with the path as it is.
func sendPath(t assert.TestingT, fixture *fixture, path string) (status int, text string) {
	conn, err := net.Dial("tcp", fixture.settings.CallerAddress.String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: p\r\nX-Timeout-Ms: 2000\r\nConnection: close\r\n\r\n", path)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(content)
}

// serviceOfPath returns the service of the longest prefix that begins the path.
func serviceOfPath(path string) string {
	longest := ""
	for prefix := range pathServices {
		if strings.HasPrefix(path, prefix) && len(prefix) > len(longest) {
			longest = prefix
		}
	}
	return pathServices[longest]
}

// Guards against a route that is selected by another form of the path than the server gets: a filing to an object whose name has an
// encoded slash was taken for a request of another route, and sent twice or to a foreign service.
func TestForwardedPathSelectsTheRoute(t *testing.T) {
	fixture := newPathFixture(t)
	piece := rapid.SampledFrom([]string{"/", "/", "file", "2026", "%2F", "%2f", "%25", "%", "%4", ".", "..", "//", "caf", "%C3%A9", "é", "a", "7", ";", "+", "\"", "|", "%00"})
	start := rapid.SampledFrom([]string{"/file/", "/file/2026", "/caf%C3%A9/", "/", "/file%2F2026/", "/file/%32026/"})
	rapid.Check(t, func(rt *rapid.T) {
		path := start.Draw(rt, "start") + strings.Join(rapid.SliceOfN(piece, 0, 6).Draw(rt, "pieces"), "")
		status, text := sendPath(rt, fixture, path)
		if status == http.StatusBadRequest {
			return
		}
		service, forwarded, _ := strings.Cut(text, " ")
		assert.Equal(rt, status, http.StatusOK, "path %s", path)
		assert.Equal(rt, service, serviceOfPath(forwarded), "path %s was forwarded as %s", path, forwarded)
	})
}
