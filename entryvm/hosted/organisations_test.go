package hosted

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"oleandervane.example"
	"oleandervane.example/standin/storestandin"
)

// secret begins each key of these tests, so that one check finds all keys in logs.
const secret = "secret-"

// configure writes a version of the configuration of the fixture with more entries, and waits until it is in force.
func (fixture *fixture) configure(t *testing.T, revision int, entries ...string) {
	t.Helper()
	text, err := os.ReadFile("testdata/configuration.json")
	assert.NilError(t, err)
	configuration := strings.Replace(string(text), `"r7"`, fmt.Sprintf(`"r%d"`, revision), 1)
	configuration = strings.Replace(configuration, `"priority": 2`, `"priority": 2, "public": false`, 1)
	configuration = strings.Replace(configuration, `"resources": [`, `"resources": [`+strings.Join(append(entries, ""), ",")+
		`{"resource_type": "routes", "metadata": {"name": "open"}, "spec": {"host": "a.example", "prefix": "/open/", "route_type": "safe", "service": "ledger", "public": true}},`, 1)
	fixture.write(t, "op/config", configuration)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if table := fixture.entryVM.replica.registry.Load().Table; table != nil && table.Revision == oleandervane.Revision(revision) {
			return poll.Success()
		}
		return poll.Continue("revision %d is not in force", revision)
	}, poll.WithTimeout(10*time.Second))
}

func organisation(name string, fields string) string {
	return fmt.Sprintf(`{"resource_type": "tenants", "metadata": {"name": %q}, "spec": {%s}}`, name, fields)
}

// call sends a head and body on a new connection and returns the response.
func (fixture *fixture) call(t *testing.T, head string) (status int, body string) {
	t.Helper()
	conn, err := net.Dial("tcp", fixture.settings.CallerAddress.String())
	assert.NilError(t, err)
	defer conn.Close()
	return call(t, conn, bufio.NewReader(conn), head)
}

func call(t *testing.T, conn net.Conn, reader *bufio.Reader, head string) (status int, body string) {
	t.Helper()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err := io.WriteString(conn, head)
	assert.NilError(t, err)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(text)
}

// head returns the head of a request with more header lines.
func head(method, path string, lines ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\nX-Timeout-Ms: 2000\r\n" + strings.Join(append(lines, "\r\n"), "\r\n")
}

// echoOrganisation makes a server respond with the headers that it got.
func echoOrganisation(backend *backend) {
	backend.respondWith(func(writer http.ResponseWriter, request *http.Request) {
		backend.runs.Add(1)
		writer.Header().Set("X-Response-Signature", "m")
		_, _ = fmt.Fprintf(writer, "organisation %q, key %q", request.Header["X-Tenant-Id"], request.Header["Authorization"])
		for name := range request.Header {
			if name != "X-Tenant-Id" && strings.EqualFold(strings.ReplaceAll(name, "_", "-"), "X-Tenant-Id") {
				_, _ = fmt.Fprintf(writer, ", also %s", name)
			}
		}
	})
}

// Guards against a request without a known key that runs or waits for its body, against a key or a forged name that reaches a backend
// server, and against keys in logs, metrics and the status.
func TestRequestsNeedKeys(t *testing.T) {
	backend := newBackend(t)
	echoOrganisation(backend)
	fixture := newFixture(t, backend)
	const forged = "X-Tenant-Id: b\r\nx_tenant_id: b\r\nConnection: X-Tenant-Id, x_tenant_id"
	status, body := fixture.call(t, head("GET", "/lohu/1", "Authorization: Bearer "+secret+"a", "X-Tenant-Id: b"))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, `organisation ["b"], key ["Bearer secret-a"]`, "an installation without organisations changes headers")
	fixture.configure(t, 8, organisation("a", `"api_keys": ["secret-a"]`), organisation("b", `"api_keys": ["secret-b", 7]`))
	const ofA, ofNone = `organisation ["a"], key []`, `organisation [], key []`
	for _, testCase := range []struct {
		name, head string
		status     int
		body       string
	}{
		{"known key", head("GET", "/lohu/1", "Authorization: Bearer secret-a"), 200, ofA},
		{"forged name", head("GET", "/lohu/1", "Authorization: Bearer secret-a", forged), 200, ofA},
		{"no key", head("GET", "/lohu/1"), 401, ""},
		{"unknown key", head("GET", "/lohu/1", "Authorization: Bearer secret-x"), 401, ""},
		{"key of an unreadable organisation", head("GET", "/lohu/1", "Authorization: Bearer secret-b"), 401, ""},
		{"two keys", head("GET", "/lohu/1", "Authorization: Bearer secret-a", "Authorization: Bearer secret-a"), 401, ""},
		{"malformed", head("GET", "/lohu/1", "Authorization: secret-a"), 401, ""},
		{"body that does not arrive", head("POST", "/pufi/1", "Content-Length: 100"), 401, ""},
		{"chunks that do not arrive", head("POST", "/pufi/1", "Transfer-Encoding: chunked"), 401, ""},
		{"body that waits to be asked for", head("POST", "/pufi/1", "Content-Length: 100", "Expect: 100-continue"), 401, ""},
		{"no route", head("GET", "/none/1"), 404, ""},
		{"public without key", head("GET", "/open/1", forged), 200, ofNone},
		{"public with key", head("GET", "/open/1", "Authorization: Bearer secret-a", forged), 200, ofA},
		{"public with unknown key", head("GET", "/open/1", "Authorization: Bearer secret-x", forged), 200, ofNone},
	} {
		before, startedAt := backend.runs.Load(), time.Now()
		status, body := fixture.call(t, testCase.head)
		assert.Check(t, status == testCase.status && body == testCase.body, "%s: %d %q", testCase.name, status, body)
		assert.Check(t, status == http.StatusOK || backend.runs.Load() == before, testCase.name)
		assert.Check(t, time.Since(startedAt) < time.Second, "%s took %v", testCase.name, time.Since(startedAt))
	}
	for _, path := range []string{"metrics", "status"} {
		response, err := http.Get("http://" + fixture.settings.OperationsAddress.String() + "/" + path)
		assert.NilError(t, err)
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Check(t, !strings.Contains(string(text), secret), "%s has a key", path)
		if path == "status" {
			var shown struct {
				RequiresKeys bool     `json:"requires_keys"`
				Faults       []string `json:"faults"`
			}
			assert.NilError(t, json.Unmarshal(text, &shown))
			assert.Check(t, shown.RequiresKeys && len(shown.Faults) == 1 && strings.Contains(shown.Faults[0], `tenants "b"`), "%s", text)
		}
	}
	assert.Check(t, !strings.Contains(fixture.log.text(), secret), "the log has a key")
	poll.WaitOn(t, fixture.logged("r1"))
}

// Guards against a key that still works after its removal: on a kept connection, for a request whose body arrives later, or behind
// another one; and against a VM that keeps a connection of which it has not read all.
func TestRemovedKeyStopsWorking(t *testing.T) {
	backend := newBackend(t)
	echoOrganisation(backend)
	fixture := newFixture(t, backend)
	fixture.configure(t, 8, organisation("a", `"api_keys": ["secret-a", "secret-2"]`))
	kept, late := dial(t, fixture), dial(t, fixture)
	keptReader, lateReader := bufio.NewReader(kept), bufio.NewReader(late)
	const key, other = "Authorization: Bearer secret-a", "Authorization: Bearer secret-2"
	status, _ := call(t, kept, keptReader, head("GET", "/lohu/1", key))
	assert.Equal(t, status, http.StatusOK)
	_, err := io.WriteString(late, head("POST", "/pufi/1", key, "Content-Length: 4"))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if fixture.entryVM.ingress.InFlight() == 0 {
			return poll.Continue("the request has not arrived")
		}
		return poll.Success()
	})
	fixture.configure(t, 9, organisation("a", `"api_keys": ["secret-2"]`))
	before := backend.runs.Load()
	status, _ = call(t, late, lateReader, "body")
	assert.Check(t, status == http.StatusUnauthorized, "%d for a request that waited for its body", status)
	for range 2 {
		status, _ = call(t, kept, keptReader, head("POST", "/pufi/1", key, "Content-Length: 4")+"body")
		assert.Check(t, status == http.StatusUnauthorized, "%d on a kept connection", status)
	}
	assert.Equal(t, backend.runs.Load(), before)
	_, err = io.WriteString(kept, head("GET", "/lohu/1", other)+head("GET", "/lohu/2", key)+head("GET", "/lohu/3", other))
	assert.NilError(t, err)
	for _, want := range []int{http.StatusOK, http.StatusUnauthorized, http.StatusOK} {
		status, _ = call(t, kept, keptReader, "")
		assert.Equal(t, status, want)
	}
	// The last key goes, then the organisation: the first leaves an installation with organisations, the second one without.
	fixture.configure(t, 10, organisation("a", `"api_keys": []`))
	status, _ = call(t, kept, keptReader, head("GET", "/lohu/1", other))
	assert.Equal(t, status, http.StatusUnauthorized)
	fixture.configure(t, 11)
	status, _ = call(t, kept, keptReader, head("GET", "/lohu/1"))
	assert.Equal(t, status, http.StatusOK)
}

func dial(t *testing.T, fixture *fixture) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", fixture.settings.CallerAddress.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// A server refuses the first attempt after the key was removed. Guards against a second attempt with a removed key, and against
// the outcome 401 for a request that may have run.
func TestRemovedKeyEndsFurtherAttempts(t *testing.T) {
	first, second := newBackend(t), newBackend(t)
	fixture := newFixture(t, first, second)
	for revision, testCase := range []struct {
		method, path string
		refuse       func(writer http.ResponseWriter)
		want         int
	}{
		{"POST", "/pufi/1", func(writer http.ResponseWriter) {
			writer.Header().Set("X-Not-Executed", "1")
			writer.WriteHeader(http.StatusServiceUnavailable)
		}, http.StatusUnauthorized},
		{"GET", "/lohu/1", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, http.StatusBadGateway},
	} {
		fixture.configure(t, 10*revision+10, organisation("a", `"api_keys": ["secret-a"]`))
		var arrivals atomic.Int64
		for _, backend := range []*backend{first, second} {
			backend.respondWith(func(writer http.ResponseWriter, _ *http.Request) {
				arrivals.Add(1)
				fixture.configure(t, 10*revision+11, organisation("a", `"api_keys": []`))
				testCase.refuse(writer)
			})
		}
		status, _ := fixture.call(t, head(testCase.method, testCase.path, "Authorization: Bearer secret-a"))
		assert.Check(t, status == testCase.want, "%s: %d", testCase.path, status)
		assert.Equal(t, arrivals.Load(), int64(1))
	}
}

// Guards against a VM that is cut off from the store and serves with keys that may have been removed although that is forbidden, and
// against one that refuses although it is allowed.
func TestStrictRevocation(t *testing.T) {
	fixture := newFixture(t, newBackend(t))
	fixture.configure(t, 8, organisation("a", `"api_keys": ["secret-a"]`))
	serve := func(path string) int {
		status, _ := fixture.call(t, head("GET", path, "Authorization: Bearer secret-a"))
		return status
	}
	strict := fixture.settings
	strict.Organisations.StrictRevocation = true
	fixture.entryVM.settings.Store(&strict)
	time.Sleep(time.Duration(strict.Organisations.RevocationLimit) + time.Second)
	assert.Equal(t, serve("/lohu/1"), http.StatusOK, "a quiet store counts as one that is away")
	fixture.store.SetFaults(storestandin.Faults{Down: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status := serve("/lohu/1"); status != http.StatusServiceUnavailable {
			return poll.Continue("status %d", status)
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second))
	assert.Equal(t, serve("/open/1"), http.StatusOK)
	fixture.entryVM.settings.Store(&fixture.settings)
	assert.Equal(t, serve("/lohu/1"), http.StatusOK)
}

// Guards against a limit that is not joined to the request path or not shared by the VMs, and against a log line for each refusal.
func TestRateLimit(t *testing.T) {
	backend := newBackend(t)
	echoOrganisation(backend)
	fixture := newFixture(t, backend)
	vms := []*entryVMOf{{fixture: fixture}}
	for _, id := range []oleandervane.VMID{"vm-2", "vm-3"} {
		vms = append(vms, &entryVMOf{fixture: startAnother(t, *fixture, id)})
	}
	fixture.configure(t, 8, organisation("a", `"api_keys": ["secret-a"], "rate_per_s": 20, "burst": 10`), organisation("b", `"api_keys": ["secret-b"]`))
	configuredAt := time.Now()
	for _, vm := range vms {
		vm.conn = dial(t, vm.fixture)
		vm.reader = bufio.NewReader(vm.conn)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if status, _ := vm.call(t, "secret-a"); status != http.StatusOK {
				return poll.Continue("the limit admits nothing: %d", status)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
	}
	before, startedAt := backend.runs.Load(), time.Now()
	sent := int64(0)
	for time.Since(startedAt) < 3*time.Second {
		for _, vm := range vms {
			status, _ := vm.call(t, "secret-a")
			assert.Check(t, status == http.StatusOK || status == http.StatusTooManyRequests, "%d", status)
		}
		status, _ := vms[0].call(t, "secret-b")
		assert.Equal(t, status, http.StatusOK)
		sent++
		time.Sleep(5 * time.Millisecond)
	}
	ofA := float64(backend.runs.Load() - before - sent)
	assert.Check(t, ofA >= 20 && ofA <= (20*time.Since(startedAt).Seconds()+10)*1.1+20, "%v requests ran", ofA)
	asking := 0
	for _, vm := range vms {
		if vm.fixture.entryVM.rateLimiter.Sent() > 0 {
			asking++
		}
	}
	assert.Check(t, asking >= 2, "%d VMs sent messages about limits", asking)
	const line = "rate limit of its organisation"
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !strings.Contains(fixture.log.text(), line) {
			return poll.Continue("no line on refusals")
		}
		return poll.Success()
	})
	lines := strings.Count(fixture.log.text(), line)
	assert.Check(t, float64(lines) <= 1+time.Since(configuredAt).Seconds(), "%d lines", lines)
}

// entryVMOf is a VM and a connection to it.
type entryVMOf struct {
	fixture *fixture
	conn    net.Conn
	reader  *bufio.Reader
}

func (entryVMOf *entryVMOf) call(t *testing.T, key string) (status int, body string) {
	t.Helper()
	return call(t, entryVMOf.conn, entryVMOf.reader, head("POST", "/pufi/1", "Authorization: Bearer "+key, "Content-Length: 4")+"body")
}
