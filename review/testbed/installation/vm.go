package installation

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the installation, as in the settings of a small site.
const (
	DrainTimeout = 2 * time.Second
	Grace        = 6 * time.Second
)

// VM is an entry VM, whose daemon is a process of its own.
type VM struct {
	ID     string
	Caller netip.AddrPort

	place        Place
	storeAddress string
	folder       string
	settings     string
	readiness    netip.AddrPort

	mutex   sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	log     *os.File
}

// writeSettings writes what deploy/entry.toml.tmpl renders for a machine of a small site.
func (vm *VM) writeSettings() error {
	var addresses [5]netip.AddrPort
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return err
		}
	}
	vm.Caller, vm.readiness = addresses[0], addresses[2]
	text := fmt.Sprintf(`id = %q
region = %q
failure_domain = %q
caller_address = %q
directory_address = %q
readiness_address = %q
peer_address = %q
operations_address = %q
store_url = "http://%s"
processor_share = 0.224
processor_speed = 1
link_megabits = 700.0
memory_megabytes = 206
drain_limit = "%v"
apply_limit = "2s"
stop_limit = "%v"

[retries]
ratio = 0.2
base = 112
window = "10s"

[rate_limits]

[organisations]

[failure_domains]
`, vm.ID, vm.place.Region, vm.place.Zone, addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], vm.storeAddress, DrainTimeout, Grace)
	for _, place := range Places {
		text += fmt.Sprintf("%q = %q\n", place.Zone, place.Region)
	}
	vm.settings = filepath.Join(vm.folder, vm.ID+".toml")
	return os.WriteFile(vm.settings, []byte(text), 0o600)
}

// Start starts the daemon with the run command of the deploy file.
func (vm *VM) Start() error {
	log, err := os.OpenFile(filepath.Join(vm.folder, vm.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(Program)
	command.Env = append(os.Environ(), "OLEANDERVANE_NODE_FILE="+vm.settings)
	command.Stdout, command.Stderr = log, log
	// The daemon ends with this process even if that is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	ended := make(chan struct{})
	vm.mutex.Lock()
	vm.process, vm.ended, vm.log = command, ended, log
	vm.mutex.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the daemon.
func (vm *VM) Signal(signal syscall.Signal) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	// The process may have ended, which is no error.
	_ = vm.process.Process.Signal(signal)
}

// Ended is closed when the daemon has ended.
func (vm *VM) Ended() <-chan struct{} {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return vm.ended
}

// Kill ends the daemon.
func (vm *VM) Kill() {
	vm.Signal(syscall.SIGCONT)
	vm.Signal(syscall.SIGKILL)
	<-vm.Ended()
}

func (vm *VM) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.readiness.String()+"/oleandervane/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
