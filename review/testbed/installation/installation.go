// Package installation starts a small installation on loopback addresses: the store stand-in, backend servers and callers in this
// process, and the daemons of entry VMs as processes of their own.
package installation

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"oleandervane.example"
	"oleandervane.example/standin/storestandin"
	"oleandervane.example/timer"
)

// Program is the run command of the deploy file.
const Program = "target/oleandervane-hosted"

// Host is the host of all routes.
const Host = "review.example"

// errNotReady is returned if a VM does not become ready.
var errNotReady = errors.New("an entry VM did not become ready")

// Installation is a running installation.
type Installation struct {
	Record *Record
	Store  *storestandin.Store
	VMs    []*VM
	// storeAddress is the address of the store.
	storeAddress string
	folder       string
	storeServer  *http.Server
	closers      []func()
}

// New starts the store. Close must be called.
func New(record *Record) (*Installation, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	installation := &Installation{Record: record, Store: storestandin.New(timer.System{}), folder: folder}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	installation.storeAddress = listener.Addr().String()
	installation.storeServer = &http.Server{Handler: installation.Store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = installation.storeServer.Serve(listener) }()
	return installation, nil
}

// Write writes a key on behalf of the operator or of a backend server, also while the store is down for the VMs.
func (installation *Installation) Write(key, value string) error {
	_, err := installation.Store.Commit(context.Background(), oleandervane.StoreTransaction{
		Writes: []oleandervane.StoreWrite{{Key: key, Value: []byte(value)}},
	})
	return err
}

// Remove removes a key.
func (installation *Installation) Remove(key string) error {
	_, err := installation.Store.Commit(context.Background(), oleandervane.StoreTransaction{Removals: []string{key}})
	return err
}

// Place is where a VM or a backend server runs.
type Place struct {
	Region, Zone string
}

// Places are those of all installations, as in a small site.
var Places = []Place{{"kigali", "kigali-a"}, {"huye", "huye-a"}, {"musanze", "musanze-a"}}

// StartVM starts the daemon of an entry VM.
func (installation *Installation) StartVM(id string, place Place) (*VM, error) {
	vm := &VM{ID: id, place: place, storeAddress: installation.storeAddress, folder: installation.folder}
	if err := vm.writeSettings(); err != nil {
		return nil, err
	}
	if err := vm.Start(); err != nil {
		return nil, err
	}
	installation.VMs = append(installation.VMs, vm)
	return vm, nil
}

// readyTimeout bounds the wait for VMs.
const readyTimeout = 20 * time.Second

// AwaitReady waits until all VMs are ready.
func (installation *Installation) AwaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, vm := range installation.VMs {
		for !vm.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s", errNotReady, vm.ID)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// OnClose calls a function when the installation is closed.
func (installation *Installation) OnClose(closer func()) {
	installation.closers = append(installation.closers, closer)
}

// Close ends all processes and removes their files.
func (installation *Installation) Close() {
	for _, vm := range installation.VMs {
		vm.Kill()
	}
	for _, closer := range installation.closers {
		closer()
	}
	_ = installation.storeServer.Close()
	_ = os.RemoveAll(installation.folder)
}

// freeAddress returns a loopback address that is free now.
func freeAddress() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer listener.Close()
	return netip.ParseAddrPort(listener.Addr().String())
}
