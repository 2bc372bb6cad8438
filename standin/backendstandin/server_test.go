package backendstandin_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/standin/backendstandin"
	"oleandervane.example/timer"
)

func start(t *testing.T, crash func()) (*backendstandin.Server, *httptest.Server) {
	t.Helper()
	server := backendstandin.New(backendstandin.Settings{ID: "ledger-1", Slots: 3, QueueLength: 3, ServiceTime: time.Microsecond}, timer.System{}, crash)
	httpServer := httptest.NewUnstartedServer(server.Handler())
	httpServer.Config.ConnState = server.ConnState
	httpServer.Config.ConnContext = server.ConnContext
	httpServer.Start()
	t.Cleanup(httpServer.Close)
	return server, httpServer
}

// Guards against a journal with wrong run counts: tests rely on it to prove that no request ran twice.
func TestServerFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults backendstandin.Faults
		status int
		runs   int
	}{
		{"healthy", backendstandin.Faults{}, http.StatusOK, 1},
		{"shed without running", backendstandin.Faults{Shed: true}, http.StatusServiceUnavailable, 0},
		{"failed without running", backendstandin.Faults{FailFast: true}, http.StatusInternalServerError, 0},
		{"crash after the run", backendstandin.Faults{CrashOn: "/filings"}, 0, 1},
		{"response truncated after the run", backendstandin.Faults{TruncateResponses: true}, 0, 1},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			var crashed atomic.Bool
			server, httpServer := start(t, func() { crashed.Store(true) })
			server.SetFaults(testCase.faults)
			status, err := post(httpServer.URL + "/filings/7")
			assert.Equal(t, err != nil, testCase.status == 0, "error: %v", err)
			if testCase.status != 0 {
				assert.Equal(t, status, testCase.status)
			}
			runs, _ := server.Runs()
			assert.Equal(t, runs["f-7"], testCase.runs)
			assert.Equal(t, crashed.Load(), testCase.faults.CrashOn != "")
		})
	}
}

func post(url string) (status int, err error) {
	request, err := http.NewRequest(http.MethodPost, url, nil)
	if err != nil {
		return 0, err
	}
	request.Header.Set(backendstandin.HeaderFiling, "f-7")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

func ExampleServer_SetFaults() {
	server := backendstandin.New(backendstandin.Settings{ID: "ledger-1", Slots: 3}, timer.System{}, func() {})
	server.SetFaults(backendstandin.Faults{Shed: true})
	recorder := httptest.NewRecorder()
	server.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/balance", nil))
	fmt.Println(recorder.Code, recorder.Header().Get(oleandervane.HeaderShed))
	// Output: 503 1
}
