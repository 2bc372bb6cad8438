package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"oleandervane.example/standin/vmprocess"
)

const (
	stopLimit = 6 * time.Second
	// restartPause is the time from the end of a process to the start of the next.
	restartPause = 200 * time.Millisecond
)

// vm is an entry VM whose process is restarted whenever it ends.
type vm struct {
	id          string
	program     string
	settings    string
	logPath     string
	caller      string
	directory   string
	store       *proxy
	mutex       sync.Mutex
	process     *os.Process
	incarnation int
	// disturbedUntil is the end of the last fault on this VM plus settleTime.
	disturbedUntil time.Time
	// endRequested is set when the process was sent a signal that ends it.
	endRequested bool
	// servedVersion is the newest version that the process with the incarnation servedBy has served.
	servedVersion, servedBy int
	closing                 bool
	unexpectedExits         int
	ended                   chan struct{}
}

func newVM(id, program, folder, storeAddress string) (*vm, error) {
	vm := &vm{id: id, program: program, logPath: filepath.Join(folder, id+".log"), ended: make(chan struct{})}
	store, err := newProxy(storeAddress)
	if err != nil {
		return nil, err
	}
	vm.store = store
	file, err := vmprocess.Settings{ID: id, StoreAddress: store.address(), StopLimit: stopLimit}.Write(folder)
	if err != nil {
		return nil, err
	}
	vm.caller, vm.directory, vm.settings = file.Caller.String(), file.Directory.String(), file.Path
	go vm.superviseProcess()
	return vm, nil
}

// superviseProcess starts the process and restarts it whenever it ends, until the VM is closed.
func (vm *vm) superviseProcess() {
	defer close(vm.ended)
	log, err := os.Create(vm.logPath)
	if err != nil {
		return
	}
	defer log.Close()
	for !vm.isClosing() {
		command := exec.Command(vm.program, "--settings", vm.settings)
		command.Stdout, command.Stderr = log, log
		if err := command.Start(); err != nil {
			fmt.Fprintln(log, "soak: the process did not start:", err)
			return
		}
		vm.mutex.Lock()
		vm.process, vm.endRequested = command.Process, false
		vm.incarnation++
		vm.mutex.Unlock()
		err := command.Wait()
		vm.mutex.Lock()
		if !vm.endRequested && !vm.closing {
			vm.unexpectedExits++
			fmt.Fprintln(log, "soak: the process exited unexpectedly:", err)
		}
		vm.mutex.Unlock()
		time.Sleep(restartPause)
	}
}

func (vm *vm) isClosing() bool {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return vm.closing
}

// signal sends a signal to the process; ends is set if the signal ends the process.
func (vm *vm) signal(signal syscall.Signal, ends bool) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	if vm.process == nil {
		return
	}
	vm.endRequested = vm.endRequested || ends
	// The process may have ended meanwhile, which is no error.
	_ = vm.process.Signal(signal)
}

// recordFault records a fault that lasts for the given time.
func (vm *vm) recordFault(duration time.Duration) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	if until := time.Now().Add(duration + settleTime); until.After(vm.disturbedUntil) {
		vm.disturbedUntil = until
	}
}

// undisturbedSince reports whether the last fault on the VM ended at least settleTime before a moment, and returns the
// incarnation of the process.
func (vm *vm) undisturbedSince(moment time.Time) (undisturbed bool, incarnation int) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return moment.After(vm.disturbedUntil), vm.incarnation
}

func (vm *vm) recordServedVersion(version, incarnation int) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	vm.servedVersion, vm.servedBy = version, incarnation
}

// newestServedVersion returns the newest version that the current process has served, 0 if none, and its incarnation.
func (vm *vm) newestServedVersion() (version, incarnation int) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	if vm.servedBy != vm.incarnation {
		return 0, vm.incarnation
	}
	return vm.servedVersion, vm.incarnation
}

func (vm *vm) close() {
	vm.mutex.Lock()
	vm.closing = true
	vm.mutex.Unlock()
	vm.signal(syscall.SIGCONT, false)
	vm.signal(syscall.SIGKILL, true)
	<-vm.ended
	vm.store.close()
}
