package flood

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"oleandervane.example"
	"oleandervane.example/standin/storestandin"
	"oleandervane.example/standin/vmprocess"
	"oleandervane.example/timer"
)

const (
	// largeBytes is the size of the responses to requests below /safe/large/.
	largeBytes = 4 << 20
	// hangTimeout ends an exchange that would otherwise hang. It is longer than the time limit of any route.
	hangTimeout = 10 * time.Second
	// recoveryTimeout bounds the wait for the first served request at the start and after a flood.
	recoveryTimeout = 30 * time.Second
	// stopLimit is the shortest one that the settings allow.
	stopLimit = 4 * time.Second
)

const configuration = `{"version":"r1","resources":[
{"resource_type":"routes","metadata":{"name":"safe"},"spec":{"host":"a.example","prefix":"/safe/","route_type":"safe","timeout_s":2,"target_latency_s":0.4,"priority":1,"service":"ledger","max_attempts":2,"sticky":true}},
{"resource_type":"routes","metadata":{"name":"unsafe"},"spec":{"host":"a.example","prefix":"/unsafe/","route_type":"unsafe","timeout_s":60,"target_latency_s":0.4,"priority":1,"service":"ledger","max_attempts":2,"sticky":true}},
{"resource_type":"services","metadata":{"name":"ledger"},"spec":{"health_path":"/healthz","max_connections":600}},
{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}]}`

// defaultServers is the number of backend servers if the options name none.
const defaultServers = 2

// VM is a process of oleandervane-hosted with a store and backend servers of its own.
type VM struct {
	vmprocess.File
	servers []*httptest.Server
	command *exec.Cmd
	// exited is closed when the process has ended, with its error in exitError.
	exited    chan struct{}
	exitError error
}

// Options are those of a process.
type Options struct {
	Program         string
	Folder          string
	MemoryMegabytes int
	Descriptors     int
	// Servers is the number of backend servers; 0 selects defaultServers.
	Servers int
	// Backend is the handler of the backend servers; nil selects one that serves all requests.
	Backend http.Handler
}

// Start starts a process and waits until it serves.
func Start(ctx context.Context, options Options) (*VM, error) {
	vm := &VM{exited: make(chan struct{})}
	store := storestandin.New(timer.System{})
	writes := []oleandervane.StoreWrite{{Key: "op/config", Value: []byte(configuration)}}
	backend := options.Backend
	if backend == nil {
		backend = http.HandlerFunc(Respond)
	}
	for number := range cmp.Or(options.Servers, defaultServers) {
		server := vm.serve(backend)
		writes = append(writes, oleandervane.StoreWrite{Key: fmt.Sprint("servers/i-", number), Value: fmt.Appendf(nil,
			`{"service":"ledger","address":%q,"zone":"kigali-a","concurrency_limit":200,"state":"ready"}`, server.Listener.Addr())})
	}
	if _, err := store.Commit(ctx, oleandervane.StoreTransaction{Writes: writes}); err != nil {
		return nil, err
	}
	var err error
	vm.File, err = vmprocess.Settings{
		ID: "vm-1", StoreAddress: vm.serve(store.Handler()).Listener.Addr().String(), StopLimit: stopLimit, MemoryMegabytes: options.MemoryMegabytes,
	}.Write(options.Folder)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(options.Folder, "vm-1.log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	// The shell sets the limit of descriptors and is replaced by the program.
	vm.command = exec.Command("sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(options.Descriptors), options.Program, "--settings", vm.Path)
	vm.command.Stdout, vm.command.Stderr = log, log
	if err := vm.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		vm.exitError = vm.command.Wait()
		close(vm.exited)
	}()
	return vm, vm.WaitServed(ctx)
}

func (vm *VM) serve(handler http.Handler) *httptest.Server {
	server := httptest.NewServer(handler)
	vm.servers = append(vm.servers, server)
	return server
}

// Respond serves a request as a sound backend server does.
func Respond(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	writer.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	writer.Header().Set("X-Response-Signature", "m")
	writer.Header().Set("X-Server-Load", "0,0,200")
	if strings.HasPrefix(request.URL.Path, "/safe/large/") {
		writer.Header().Set("Content-Length", strconv.Itoa(largeBytes))
		_, _ = writer.Write(make([]byte, largeBytes))
		return
	}
	_, _ = io.WriteString(writer, "served")
}

// WaitServed waits until an ordinary request is served.
func (vm *VM) WaitServed(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for {
		status, err := vm.Request(ctx)
		if status == http.StatusOK {
			return nil
		}
		select {
		case <-vm.exited:
			return fmt.Errorf("the process ended: %w", vm.exitError)
		case <-ctx.Done():
			return fmt.Errorf("no ordinary request is served: status %d, %w", status, err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// Request sends an ordinary request on a connection of its own and returns the status, 0 if the connection was refused or closed.
// The error says that the VM neither responded nor closed the connection.
func (vm *VM) Request(ctx context.Context) (status int, err error) {
	return exchange(ctx, vm.Caller.String(), fmt.Sprintf("GET /safe/ordinary HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: ordinary-%d\r\nConnection: close\r\n\r\n", time.Now().UnixNano()))
}

// Ready requests the readiness of the VM, with results like those of Request.
func (vm *VM) Ready(ctx context.Context) (status int, err error) {
	return exchange(ctx, vm.Readiness.String(), "GET /oleandervane/readyz HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n")
}

func exchange(ctx context.Context, address, request string) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, hangTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return 0, ignoreClosed(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
	_, _ = io.WriteString(conn, request)
	response, err := io.ReadAll(io.LimitReader(conn, 4<<10))
	if _, scanError := fmt.Sscanf(string(response), "HTTP/1.1 %d", &status); scanError == nil {
		return status, nil
	}
	return 0, ignoreClosed(err)
}

// ignoreClosed returns only errors that mean that an exchange hung.
func ignoreClosed(err error) error {
	var netError net.Error
	if errors.As(err, &netError) && netError.Timeout() {
		return err
	}
	return nil
}

// Alive reports whether the process runs.
func (vm *VM) Alive() bool {
	select {
	case <-vm.exited:
		return false
	default:
		return true
	}
}

// PeakKilobytes returns the largest resident memory of the process so far.
func (vm *VM) PeakKilobytes() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", vm.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kilobytes := 0
	_, err = fmt.Sscan(rest, &kilobytes)
	return kilobytes, err
}

// Descriptors returns the number of open descriptors of the process.
func (vm *VM) Descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", vm.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// Close kills the process and ends its store and servers.
func (vm *VM) Close() {
	if vm.command != nil && vm.command.Process != nil {
		_ = vm.command.Process.Kill()
		<-vm.exited
	}
	for _, server := range vm.servers {
		server.CloseClientConnections()
		server.Close()
	}
}
