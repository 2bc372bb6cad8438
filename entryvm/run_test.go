package entryvm

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/entry/caller"
	"oleandervane.example/operator/check"
	"oleandervane.example/operator/folder"
	"oleandervane.example/operator/revision"
	"oleandervane.example/standin/backendstandin"
	"oleandervane.example/standin/loopback"
	"oleandervane.example/standin/storestandin"
	"oleandervane.example/standin/vmliststandin"
	"oleandervane.example/timer"
)

// startTimeout ends a test that hangs. No check depends on how long a start takes.
const startTimeout = 2 * time.Minute

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	// A watch of the store stays open for a minute, and Close waits for it.
	t.Cleanup(server.CloseClientConnections)
	return server.URL
}

// publishExample publishes the association's example folder to a store.
func publishExample(t *testing.T, store oleandervane.Store) {
	t.Helper()
	result, err := folder.Read("../examples/association", check.Conditions{Now: time.Now()})
	assert.NilError(t, err)
	assert.Assert(t, !result.HasErrors())
	_, err = revision.NewPublisher(store, timer.System{}).Publish(context.Background(), revision.Proposal{
		Configuration: result.Configuration, Author: "test", Attempt: "1",
	})
	assert.NilError(t, err)
}

// Guards the assembly of the components, with the race detector: a VM starts without any state, becomes ready, serves a
// look-up, runs a filing once, explains its decisions, and stops when asked without aborting anything.
func TestEntryVMServesAndStops(t *testing.T) {
	store := storestandin.New(timer.System{})
	publishExample(t, store)
	backend := backendstandin.New(backendstandin.Settings{ID: "ledger-1", Slots: 3, QueueLength: 3}, timer.System{}, func() {})
	backendAddress := netip.MustParseAddrPort(serve(t, backend.Handler())[len("http://"):])
	settings := DefaultSettings()
	settings.ID, settings.Region, settings.FailureDomain = "kigali-a-1", "kigali", "kigali-a"
	for _, address := range []*netip.AddrPort{&settings.CallerAddress, &settings.PeerAddress, &settings.OperationsAddress} {
		var err error
		*address, err = loopback.FreeAddress()
		assert.NilError(t, err)
	}
	settings.Shutdown.LookupGrace = 0
	list := vmliststandin.New(timer.System{})
	list.Set(oleandervane.VMListing{
		EntryVMs: []oleandervane.EntryVM{settings.Self(0)},
		BackendServers: []oleandervane.BackendServer{{
			ID: "ledger-1", Service: "ledger", Region: "kigali", FailureDomain: "kigali-a", Address: backendAddress, Slots: 3, MaxConnections: 650,
		}},
	})
	settings.StoreURL, settings.VMListURL = serve(t, store.Handler()), serve(t, list.Handler())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	entryVM := New(settings, timer.System{}, logger)
	done := make(chan error, 1)
	go func() { done <- entryVM.Run() }()
	waitReady(t, settings.OperationsAddress, done)

	client := caller.New(caller.Settings{Seeds: []netip.AddrPort{settings.CallerAddress}}, timer.System{})
	defer client.Close()
	header := http.Header{}
	header.Set(backendstandin.HeaderFiling, "filing-7")
	response, err := client.Do(context.Background(), caller.Request{Service: "ledger", Kind: "filing", Path: "/f/7", Header: header, Timeout: startTimeout})
	assert.NilError(t, err)
	assert.Equal(t, response.Outcome, oleandervane.Answered)
	assert.Equal(t, response.Header.Get(oleandervane.HeaderServedIn), "kigali")
	runs, _ := backend.Runs()
	assert.Equal(t, runs["filing-7"], 1)
	for _, path := range []string{"/v1/status", "/v1/explain?service=ledger&home=kigali", "/v1/burn", "/metrics"} {
		assert.Equal(t, get(t, settings.OperationsAddress, path), http.StatusOK)
	}
	entryVM.stop()
	assert.NilError(t, <-done)
}

func get(t *testing.T, address netip.AddrPort, path string) int {
	t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s%s", address, path))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// waitReady waits until the entry VM is ready, and fails the test at once if the VM ends before. ended receives the error of
// Run.
func waitReady(t *testing.T, address netip.AddrPort, ended <-chan error) {
	t.Helper()
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		select {
		case err := <-ended:
			t.Fatalf("the entry VM ended before it was ready: %v", err)
		default:
		}
		response, err := http.Get(fmt.Sprintf("http://%s/health/ready", address))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusNoContent {
			return
		}
	}
	t.Fatal("the entry VM did not become ready")
}
