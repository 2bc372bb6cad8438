package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/entry/bodymemory"
	"oleandervane.example/entry/forward"
	"oleandervane.example/entry/ingress"
	"oleandervane.example/entry/placement"
	"oleandervane.example/platform/catalog"
	"oleandervane.example/platform/dialect"
	"oleandervane.example/timer"
)

// servers is the number of backend servers.
const servers = 40

type silentObserver struct{}

func (silentObserver) Finished(ingress.Completion) {}

type onlyVM struct{}

func (onlyVM) EntryVMs() []oleandervane.EntryVM { return []oleandervane.EntryVM{{ID: "vm-1"}} }
func (onlyVM) Self() oleandervane.EntryVM       { return oleandervane.EntryVM{ID: "vm-1"} }

// serveBackend responds to each request on a connection, without the costs of a whole HTTP server.
func serveBackend(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Response-Signature: m\r\nX-Request-Id: %s\r\n\r\nok", request.Header.Get("X-Request-Id"))
		if err != nil {
			return
		}
	}
}

// newRequestPath returns the request path of a VM with backend servers at one address and a configuration with more entries.
func newRequestPath(b *testing.B, entries string, servers int) *ingress.Handler {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveBackend(conn)
		}
	}()
	value := `{"version":"r1","resources":[{"resource_type":"routes","metadata":{"name":"lookup"},"spec":{"host":"a.example","prefix":"/lohu/","route_type":"safe","timeout_s":5,"service":"ledger"}}` + entries + `]}`
	changes := []oleandervane.StoreChange{{Entry: oleandervane.StoreEntry{Key: "op/config", Value: []byte(value)}}}
	for number := range servers {
		changes = append(changes, oleandervane.StoreChange{Entry: oleandervane.StoreEntry{Key: fmt.Sprintf("servers/i-%d", number), Value: []byte(fmt.Sprintf(
			`{"service":"ledger","address":%q,"zone":"kigali-a","concurrency_limit":9,"state":"ready"}`, netip.MustParseAddrPort(listener.Addr().String())))}})
	}
	registry, err := catalog.New(map[oleandervane.FailureDomain]oleandervane.Region{"kigali-a": "kigali"}).Apply(oleandervane.Registry{}, changes)
	assert.NilError(b, err)
	forwarder := forward.New(forward.Settings{Dialect: dialect.Dialect{}, TrustReusedConnections: true}, timer.System{})
	b.Cleanup(forwarder.Close)
	placer := placement.NewPlacer(placement.Settings{TimerService: timer.System{}, Membership: onlyVM{}})
	placer.Update(registry)
	handler := ingress.New(ingress.Dependencies{
		Self: oleandervane.EntryVM{ID: "vm-1", Region: "kigali"}, CallerDialect: dialect.Dialect{}, Placer: placer, Forwarder: forwarder,
		BodyBudget: bodymemory.New(timer.System{}, 64<<20), TimerService: timer.System{}, Observer: silentObserver{},
	})
	handler.Publish(registry.Table)
	return handler
}

func benchmarkRequests(b *testing.B, handler *ingress.Handler, want int, key func(number int) string) {
	b.Helper()
	b.ReportAllocs()
	number, startedAt := 0, processorTime(b)
	for b.Loop() {
		number++
		request := httptest.NewRequest(http.MethodGet, "/lohu/1", nil)
		request.Host = "a.example"
		request.Header.Set("X-Request-Id", "r1")
		request.Header.Set("X-Timeout-Ms", "4000")
		if value := key(number); value != "" {
			request.Header.Set("Authorization", "Bearer "+value)
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if recorder.Code != want {
			text, _ := io.ReadAll(recorder.Body)
			b.Fatalf("status %d %s %v", recorder.Code, text, recorder.Header())
		}
	}
	// Unlike the time of the clock, it does not depend on what else runs on the machine but for its caches.
	b.ReportMetric(float64(processorTime(b)-startedAt)/float64(number), "cpu-ns/op")
}

// processorTime returns the processor time of the process, which includes that of the backend servers.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// The time of a request from the handler to a backend server on a kept connection and back, in an installation without organisations.
func BenchmarkRequestPath(b *testing.B) {
	benchmarkRequests(b, newRequestPath(b, "", servers), http.StatusOK, func(int) string { return "" })
}

// The same with 1,000 organisations of 10 keys.
func BenchmarkRequestPathWithOrganisations(b *testing.B) {
	benchmarkRequests(b, newRequestPath(b, manyOrganisations(), servers), http.StatusOK, spreadKeys)
}

// manyOrganisations returns the entries of 1,000 organisations of 10 keys.
func manyOrganisations() string {
	var entries strings.Builder
	for number := range 1000 {
		var keys []string
		for key := range 10 {
			keys = append(keys, fmt.Sprintf("%q", benchmarkKey(10*number+key)))
		}
		entries.WriteString("," + organisation(fmt.Sprint("o-", number), `"priority": 1, "api_keys": [`+strings.Join(keys, ",")+`]`))
	}
	return entries.String()
}

// spreadKeys returns a key of another organisation for each request.
func spreadKeys(number int) string {
	return benchmarkKey(number * 7919 % 10000)
}

func benchmarkKey(number int) string {
	return fmt.Sprintf("secret-key-%020d", number)
}

// The time of a request that is refused because no server is known: the request path without connections, whose times vary with what
// else runs on the machine.
func BenchmarkRefusedRequest(b *testing.B) {
	handler := newRequestPath(b, "", 0)
	benchmarkRequests(b, handler, http.StatusServiceUnavailable, func(int) string { return "" })
}

// The same with 1,000 organisations of 10 keys.
func BenchmarkRefusedRequestWithOrganisations(b *testing.B) {
	benchmarkRequests(b, newRequestPath(b, manyOrganisations(), 0), http.StatusServiceUnavailable, spreadKeys)
}
