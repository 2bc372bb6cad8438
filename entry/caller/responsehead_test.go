package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/standin/responsetable"
	"oleandervane.example/timer"
)

// newClientOf returns a client whose look-up returns only the entry VM at the address.
func newClientOf(t *testing.T, address string) *Client {
	t.Helper()
	seed := newEntryVM(t, "seed", timer.System{})
	list := fmt.Sprintf(`{"entry_vms":[{"id":"faulty","address":%q}],"lifetime_ms":60000}`, address)
	seed.lookup.Store(&list)
	client := New(Settings{Seeds: []netip.AddrPort{seed.address()}, OutcomeQueryInterval: time.Nanosecond}, timer.System{})
	t.Cleanup(client.Close)
	return client
}

// Guards against an invalid response of an entry VM that the caller gets as an answer, or as proof that its request has not run.
func TestInvalidHeadsAreNoAnswers(t *testing.T) {
	for _, outcome := range []oleandervane.Outcome{oleandervane.Answered, oleandervane.NotRun} {
		rest := func(*http.Request) string {
			return fmt.Sprintf("%s: %s\r\nContent-Length: 2\r\n\r\nok", oleandervane.HeaderOutcome, outcome)
		}
		responsetable.Run(t, rest, func(t *testing.T, tableCase responsetable.Case, address string) {
			response, _ := newClientOf(t, address).Do(context.Background(), Request{
				Service: "ledger", Kind: "filing", Idempotent: true, Path: "/x", Timeout: 5 * time.Second,
			})
			if tableCase.Valid {
				assert.Equal(t, response.Outcome, outcome)
				return
			}
			assert.Equal(t, response.Outcome, oleandervane.Unknown)
		})
	}
}

// An entry VM resets the connection while the request is still written, after a part of a response whose length it has not named.
// Guards against a caller that gets that part as a whole answer.
func TestResetDuringTheRequestIsNoEndOfTheResponse(t *testing.T) {
	const sentBytes, readBytes, sends = 16 << 20, 2 << 20, 20
	faulty := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: answered\r\n\r\npart", oleandervane.HeaderOutcome)
		_, _ = io.CopyN(io.Discard, conn, readBytes)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}))
	defer faulty.Close()
	client := newClientOf(t, faulty.Listener.Addr().String())
	for range sends {
		response, _ := client.Do(context.Background(), Request{
			Service: "ledger", Kind: "filing", Idempotent: true, Path: "/x", Body: make([]byte, sentBytes), Timeout: 10 * time.Second,
		})
		assert.Equal(t, response.Outcome, oleandervane.Unknown, "%s", response.Body)
	}
}
