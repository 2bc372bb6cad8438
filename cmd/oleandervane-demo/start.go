package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/entryvm"
	"oleandervane.example/platform/vmlist"
	"oleandervane.example/standin/backendstandin"
	"oleandervane.example/standin/storestandin"
)

const (
	startLimit  = 20 * time.Second
	pollPeriod  = 50 * time.Millisecond
	httpTimeout = 2 * time.Second
)

var httpClient = &http.Client{Timeout: httpTimeout}

// startPlatform starts the stand-ins of the store, the VM list and the backend servers.
func (scenario *scenario) startPlatform() error {
	deployment, launcher := scenario.deployment, scenario.launcher
	if err := launcher.start("store", "oleandervane-standin", "store", "--address", hostOf(deployment.storeURL())); err != nil {
		return err
	}
	if err := launcher.start("vm-list", "oleandervane-standin", "vm-list", "--address", hostOf(deployment.vmListURL())); err != nil {
		return err
	}
	for _, backendServer := range deployment.backendServers() {
		if err := scenario.startBackendServer(backendServer); err != nil {
			return err
		}
	}
	return scenario.publishVMList(nil)
}

func (scenario *scenario) startBackendServer(backendServer oleandervane.BackendServer) error {
	service := scenario.deployment.service(backendServer.Service)
	return scenario.launcher.start(string(backendServer.ID), "oleandervane-standin", "backend",
		"--id", string(backendServer.ID),
		"--address", backendServer.Address.String(),
		"--slots", fmt.Sprint(service.slots),
		"--service-time", service.serviceTime.String(),
		"--probe-time", service.probeTime.String(),
		"--max-connections", fmt.Sprint(service.maxConnections),
	)
}

func hostOf(url string) string {
	return strings.TrimPrefix(url, "http://")
}

// publishVMList writes all VMs to the platform's list. VMs whose id is in leaving are marked as leaving.
func (scenario *scenario) publishVMList(leaving map[string]bool) error {
	listing := oleandervane.VMListing{}
	for _, entryVM := range scenario.deployment.entryVMs() {
		if leaving[string(entryVM.ID)] {
			entryVM = entryVM.WithState(oleandervane.VMLeaving)
		}
		listing.EntryVMs = append(listing.EntryVMs, entryVM)
	}
	for _, backendServer := range scenario.deployment.backendServers() {
		listing.BackendServers = append(listing.BackendServers, backendServer.WithLeaving(leaving[string(backendServer.ID)]))
	}
	body, err := vmlist.Encode(listing)
	if err != nil {
		return eris.Wrap(err, "encode the VM list")
	}
	return eventually("set the VM list", func() error {
		return send(http.MethodPut, scenario.deployment.vmListURL()+"/v1/vms", body)
	})
}

func (scenario *scenario) setFaults(backendServer oleandervane.BackendServer, faults backendstandin.Faults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	return send(http.MethodPost, fmt.Sprintf("http://%s/fault", backendServer.Address), body)
}

// startEntryVMs writes a settings file for each entry VM and starts it.
func (scenario *scenario) startEntryVMs() error {
	for _, entryVM := range scenario.deployment.entryVMs() {
		if err := scenario.startEntryVM(entryVM); err != nil {
			return err
		}
	}
	return nil
}

func (scenario *scenario) startEntryVM(entryVM oleandervane.EntryVM) error {
	peerTLS, err := scenario.issueCertificate(entryVM.ID)
	if err != nil {
		return err
	}
	text, err := toml.Marshal(struct {
		ID                string `toml:"id"`
		Region            string `toml:"region"`
		FailureDomain     string `toml:"failure_domain"`
		CallerAddress     string `toml:"caller_address"`
		PeerAddress       string `toml:"peer_address"`
		OperationsAddress string `toml:"operations_address"`
		StoreURL          string `toml:"store_url"`
		VMListURL         string `toml:"vm_list_url"`
		Shutdown          struct {
			LookupGrace string `toml:"lookup_grace"`
		} `toml:"shutdown"`
		PeerTLS entryvm.PeerTLS `toml:"peer_tls"`
	}{
		ID:                string(entryVM.ID),
		Region:            string(entryVM.Region),
		FailureDomain:     string(entryVM.FailureDomain),
		CallerAddress:     entryVM.CallerAddress.String(),
		PeerAddress:       entryVM.PeerAddress.String(),
		OperationsAddress: operationsAddress(entryVM).String(),
		StoreURL:          scenario.deployment.storeURL(),
		VMListURL:         scenario.deployment.vmListURL(),
		Shutdown: struct {
			LookupGrace string `toml:"lookup_grace"`
		}{"1s"},
		PeerTLS: peerTLS,
	})
	if err != nil {
		return err
	}
	path := filepath.Join(scenario.folder, string(entryVM.ID)+".toml")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return err
	}
	return scenario.launcher.start(string(entryVM.ID), "oleandervane-entry", "--settings", path)
}

func readyURL(entryVM oleandervane.EntryVM) string {
	return fmt.Sprintf("http://%s/health/ready", operationsAddress(entryVM))
}

func (scenario *scenario) setStoreFaults(faults storestandin.Faults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	return send(http.MethodPut, scenario.deployment.storeURL()+"/v1/faults", body)
}

// waitUntilReady waits until the readiness check of every entry VM succeeds.
func (scenario *scenario) waitUntilReady() error {
	for _, entryVM := range scenario.deployment.entryVMs() {
		err := eventually("wait for "+string(entryVM.ID), func() error {
			return send(http.MethodGet, readyURL(entryVM), nil)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// eventually retries an action until it succeeds or startLimit has passed.
func eventually(description string, action func() error) error {
	deadline := time.Now().Add(startLimit)
	for {
		err := action()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return eris.Wrap(err, description)
		}
		time.Sleep(pollPeriod)
	}
}

func send(method, url string, body []byte) error {
	request, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return eris.Errorf("%s %s: status %d", method, url, response.StatusCode)
	}
	return nil
}
