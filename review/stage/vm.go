package stage

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"oleandervane.example/standin/loopback"
)

// MemoryMegabytes is the memory of a VM, as in the example settings of the pages.
const MemoryMegabytes = 206

// restartDelay is the time from the end of a process to its next start, if it is not down for longer.
const restartDelay = 300 * time.Millisecond

// VM is an entry VM whose process the stage, in place of the platform, restarts whenever it ends, and kills when it exceeds its
// memory.
type VM struct {
	ID, Zone                      string
	Front, Directory, readiness   string
	stage                         *Stage
	settings                      string
	mutex                         sync.Mutex
	process                       *os.Process
	downUntil                     time.Time
	closing                       bool
	starts, memoryKills, ownExits int
	peakMegabytes                 int
	stopRequested                 bool
	ended                         chan struct{}
}

// AddVM starts an entry VM. memoryLimit has the stage kill the process when it exceeds its memory, as the platform does.
func (stage *Stage) AddVM(id, zone string, memoryLimit bool) (*VM, error) {
	vm := &VM{ID: id, Zone: zone, stage: stage, ended: make(chan struct{}), settings: filepath.Join(stage.Folder, id+".toml")}
	var addresses []string
	for range 5 {
		address, err := loopback.FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address.String())
	}
	vm.Front, vm.Directory, vm.readiness = addresses[0], addresses[1], addresses[2]
	var text bytes.Buffer
	fmt.Fprintf(&text, "id = %q\nregion = %q\nfailure_domain = %q\n", id, stage.Zones[zone], zone)
	for i, name := range []string{"caller_address", "directory_address", "readiness_address", "peer_address", "operations_address"} {
		fmt.Fprintf(&text, "%s = %q\n", name, addresses[i])
	}
	fmt.Fprintf(&text, "store_url = \"http://%s\"\nprocessor_share = 0.224\nprocessor_speed = 1\nlink_megabits = 700.0\nmemory_megabytes = %d\n", stage.storeAddr, MemoryMegabytes)
	text.WriteString("drain_limit = \"2s\"\napply_limit = \"2s\"\nstop_limit = \"6s\"\n[retries]\nratio = 0.2\nbase = 112\nwindow = \"10s\"\n[failure_domains]\n")
	for name, region := range stage.Zones {
		fmt.Fprintf(&text, "%q = %q\n", name, region)
	}
	if err := os.WriteFile(vm.settings, text.Bytes(), 0o600); err != nil {
		return nil, err
	}
	stage.vms = append(stage.vms, vm)
	go vm.supervise(memoryLimit)
	return vm, nil
}

func (vm *VM) supervise(memoryLimit bool) {
	defer close(vm.ended)
	log, err := os.Create(filepath.Join(vm.stage.Folder, vm.ID+".log"))
	if err != nil {
		vm.stage.Log("%s: %v", vm.ID, err)
		return
	}
	defer log.Close()
	for {
		vm.mutex.Lock()
		closing, wait := vm.closing, time.Until(vm.downUntil)
		vm.mutex.Unlock()
		if closing {
			return
		}
		if wait > 0 {
			time.Sleep(min(wait, 20*time.Millisecond))
			continue
		}
		command := exec.Command(vm.stage.Program)
		command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "OLEANDERVANE_NODE_FILE=" + vm.settings}
		command.Stdout, command.Stderr = log, log
		if err := command.Start(); err != nil {
			vm.stage.Log("%s: %v", vm.ID, err)
			return
		}
		vm.mutex.Lock()
		vm.process, vm.stopRequested = command.Process, false
		vm.starts++
		vm.mutex.Unlock()
		vm.stage.Log("%s starts as process %d", vm.ID, command.Process.Pid)
		stop := make(chan struct{})
		if memoryLimit {
			go vm.limitMemory(command.Process, stop)
		}
		err := command.Wait()
		close(stop)
		vm.mutex.Lock()
		vm.process = nil
		if !vm.stopRequested {
			vm.ownExits++
		}
		vm.downUntil = later(vm.downUntil, time.Now().Add(restartDelay))
		vm.mutex.Unlock()
		vm.stage.Log("%s has ended: %v", vm.ID, err)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// limitMemory kills the process when its resident memory exceeds the limit of the settings.
func (vm *VM) limitMemory(process *os.Process, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		megabytes := residentMegabytes(process.Pid)
		vm.mutex.Lock()
		vm.peakMegabytes = max(vm.peakMegabytes, megabytes)
		vm.mutex.Unlock()
		if megabytes > MemoryMegabytes {
			vm.mutex.Lock()
			vm.memoryKills++
			vm.mutex.Unlock()
			vm.stage.Log("%s has %d MiB in use, over its memory of %d MiB, and is killed by the platform", vm.ID, megabytes, MemoryMegabytes)
			_ = process.Kill()
			return
		}
	}
}

func residentMegabytes(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range bytes.Split(status, []byte("\n")) {
		if fields := bytes.Fields(line); len(fields) >= 2 && string(fields[0]) == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(string(fields[1]))
			return kilobytes / 1024
		}
	}
	return 0
}

// PowerOff kills the process and keeps the VM down for the duration.
func (vm *VM) PowerOff(duration time.Duration) {
	vm.mutex.Lock()
	vm.downUntil = time.Now().Add(duration)
	vm.mutex.Unlock()
	vm.stage.Log("%s loses power for %v", vm.ID, duration)
	vm.Signal(syscall.SIGKILL, true)
}

// Signal sends a signal to the process; ends says that the process is expected to end.
func (vm *VM) Signal(signal syscall.Signal, ends bool) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	if vm.process == nil {
		return
	}
	vm.stopRequested = vm.stopRequested || ends
	_ = vm.process.Signal(signal)
}

// OwnExits returns how often the process ended by itself, kills for memory included, and how often it was killed for memory.
func (vm *VM) OwnExits() (all, memory int) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return vm.ownExits, vm.memoryKills
}

// PeakMegabytes returns the largest resident memory so far.
func (vm *VM) PeakMegabytes() int {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return vm.peakMegabytes
}

// Starts returns how often the process was started.
func (vm *VM) Starts() int {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return vm.starts
}

// Ready reports whether the VM says that it is ready.
func (vm *VM) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.readiness+"/oleandervane/readyz", http.NoBody)
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

// Resolve asks the directory of the VM for addresses.
func (vm *VM) Resolve(region, zone string) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Directory+"/oleandervane/resolve?name="+Host+"&region="+region+"&zone="+zone, http.NoBody)
	if err != nil {
		return nil
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var listing struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&listing) != nil {
		return nil
	}
	return listing.Addresses
}

func (vm *VM) close() {
	vm.mutex.Lock()
	vm.closing = true
	vm.mutex.Unlock()
	vm.Signal(syscall.SIGCONT, false)
	vm.Signal(syscall.SIGKILL, true)
	<-vm.ended
}
