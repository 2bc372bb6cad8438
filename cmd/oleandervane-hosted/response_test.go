package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"oleandervane.example/standin/flood"
)

const (
	// uploadBytes is more than the buffers of both sockets, so that the upload lasts until the server reads it or resets the connection.
	uploadBytes = 16 << 20
	// uploadReadBytes is the part of an upload that a server reads before it resets the connection.
	uploadReadBytes = 2 << 20
	// faultyServers are so many that backing off from those that failed leaves others for the next request.
	faultyServers = 12
	// repetitions are for faults that depend on which of the VM's goroutines notices the end of a connection first.
	repetitions = 20
	// timeout ends an exchange that would otherwise hang.
	timeout = 20 * time.Second
)

// responseCase is a case of testdata/broken-responses.toml.
type responseCase struct {
	Name     string
	Response string
	Upload   bool
	End      string
	Whole    string
}

// faultyServer is the handler of backend servers that send the response of a case to all requests but ordinary ones.
type faultyServer struct {
	responseCase responseCase
	mutex        sync.Mutex
	received     map[string]bool
}

func (faultyServer *faultyServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/safe/ordinary" {
		flood.Respond(writer, request)
		return
	}
	id := request.Header.Get("X-Request-Id")
	faultyServer.mutex.Lock()
	faultyServer.received[id] = true
	faultyServer.mutex.Unlock()
	if faultyServer.responseCase.End == "close" {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, strings.ReplaceAll(faultyServer.responseCase.Response, "ID", id))
	switch tcpConn := conn.(*net.TCPConn); faultyServer.responseCase.End {
	case "close_early":
		_ = tcpConn.CloseWrite()
		_, _ = io.Copy(io.Discard, tcpConn)
	case "reset":
		_, _ = io.CopyN(io.Discard, tcpConn, uploadReadBytes)
		_ = tcpConn.SetLinger(0)
	}
}

// hasReceived reports whether a server has received a request.
func (faultyServer *faultyServer) hasReceived(id string) bool {
	faultyServer.mutex.Lock()
	defer faultyServer.mutex.Unlock()
	return faultyServer.received[id]
}

// exchange sends a request and returns what its caller got. The error says that the connection was broken.
func exchange(t *testing.T, vm *flood.VM, path, id string, upload bool) (status int, body string, err error) {
	t.Helper()
	method, content := http.MethodGet, []byte(nil)
	if strings.HasPrefix(path, "/unsafe/") {
		method = http.MethodPost
	}
	if upload {
		content = make([]byte, uploadBytes)
	}
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+vm.Caller.String()+path, bytes.NewReader(content))
	assert.NilError(t, err)
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", id)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: timeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// Guards against a response that no server has sent whole and in order but a caller gets, and against a request that a server has
// received but that is reported as not run.
func TestBrokenResponsesReachNoCaller(t *testing.T) {
	text, err := os.ReadFile("testdata/broken-responses.toml")
	assert.NilError(t, err)
	var table struct {
		Cases []responseCase `toml:"case"`
	}
	assert.NilError(t, toml.Unmarshal(text, &table))
	program := build(t)
	for _, responseCase := range table.Cases {
		t.Run(responseCase.Name, func(t *testing.T) {
			server := &faultyServer{responseCase: responseCase, received: map[string]bool{}}
			vm, err := flood.Start(t.Context(), flood.Options{
				Program: program, Folder: t.TempDir(), MemoryMegabytes: 206, Descriptors: 2870, Servers: faultyServers, Backend: server,
			})
			if vm != nil {
				t.Cleanup(vm.Close)
			}
			assert.NilError(t, err)
			broken, refused := 0, 0
			for number := range repetitions {
				for _, kind := range []string{"safe", "unsafe"} {
					id := fmt.Sprintf("%s-%d", kind, number)
					status, body, err := exchange(t, vm, "/"+kind+"/"+id, id, responseCase.Upload)
					switch {
					case status == http.StatusServiceUnavailable && !server.hasReceived(id):
						refused++
					case responseCase.Whole != "":
						assert.NilError(t, err, id)
						assert.Equal(t, status, http.StatusOK, id)
						assert.Equal(t, body, responseCase.Whole, id)
					case err != nil:
					case status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
						assert.Check(t, body == "", "%s: body %q", id, body)
					default:
						broken++
						t.Logf("%s was received by a server: status %d, body %q", id, status, body)
					}
				}
			}
			assert.Check(t, broken == 0, "%d of %d callers got a broken response, or a refusal of a request that a server had received", broken, 2*repetitions)
			assert.Check(t, refused < 2*repetitions, "no request reached a server")
		})
	}
}
