package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	stopLimit = 6 * time.Second
	// restartPause is the time from the end of a process to its next start.
	restartPause = 200 * time.Millisecond
)

// vm is one entry VM, whose process is started again whenever it ends.
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
	// disturbedUntil is the end of the last fault on this VM and a time after it.
	disturbedUntil time.Time
	told           bool
	// knownVersion is the newest version that the run knownBy of the process has served.
	knownVersion, knownBy int
	closing               bool
	ownExits              int
	ended                 chan struct{}
}

const (
	// firstPort and portCount are a range below that of outgoing connections: a VM that starts again must find its ports
	// as it left them.
	firstPort = 16384
	portCount = 16000
	// portTries bounds the search for a free port.
	portTries = 1000
	// portsEach is the distance between the first ports of two processes, enough for a few runs.
	portsEach = 500
)

// nextPort counts the ports that this process has tried. It starts where other soaks on the machine hardly do.
var nextPort atomic.Int64

func init() {
	nextPort.Store(int64(os.Getpid()) * portsEach)
}

// freeAddress returns a loopback address whose port is free for TCP and UDP and was not returned before.
func freeAddress() (string, error) {
	var err error
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		if err = tryPort(address); err == nil {
			return address, nil
		}
	}
	return "", err
}

func tryPort(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	defer listener.Close()
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

func newVM(id, program, folder, storeAddress string) (*vm, error) {
	vm := &vm{id: id, program: program, logPath: filepath.Join(folder, id+".log"), ended: make(chan struct{})}
	store, err := newProxy(storeAddress)
	if err != nil {
		return nil, err
	}
	vm.store = store
	addresses := make([]string, 5)
	for i := range addresses {
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	vm.caller, vm.directory = addresses[0], addresses[1]
	text := fmt.Sprintf("id = %q\nregion = \"kigali\"\nfailure_domain = \"kigali-a\"\ncaller_address = %q\ndirectory_address = %q\n"+
		"readiness_address = %q\npeer_address = %q\noperations_address = %q\nstore_url = \"http://%s\"\nstop_limit = \"%v\"\n"+
		"[retries]\nratio = 0.2\nbase = 100\n[failure_domains]\nkigali-a = \"kigali\"\nkigali-b = \"kigali\"\n",
		id, addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], store.address(), stopLimit)
	vm.settings = filepath.Join(folder, id+".toml")
	if err := os.WriteFile(vm.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	go vm.keep()
	return vm, nil
}

// keep starts the process again until the VM is closed.
func (vm *vm) keep() {
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
		vm.process, vm.told = command.Process, false
		vm.incarnation++
		vm.mutex.Unlock()
		err := command.Wait()
		vm.mutex.Lock()
		if !vm.told && !vm.closing {
			vm.ownExits++
			fmt.Fprintln(log, "soak: the process ended by itself:", err)
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

// signal sends a signal to the process; ends says that the process ends by it.
func (vm *vm) signal(signal syscall.Signal, ends bool) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	if vm.process == nil {
		return
	}
	vm.told = vm.told || ends
	// The process may have ended meanwhile; there is nothing to signal then.
	_ = vm.process.Signal(signal)
}

// disturb notes a fault that lasts for the given time.
func (vm *vm) disturb(duration time.Duration) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	if until := time.Now().Add(duration + settleTime); until.After(vm.disturbedUntil) {
		vm.disturbedUntil = until
	}
}

// calmSince says whether the VM has been without faults since the settle time before a moment, and which run of the
// process this is.
func (vm *vm) calmSince(moment time.Time) (calm bool, incarnation int) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return moment.After(vm.disturbedUntil), vm.incarnation
}

func (vm *vm) noteKnown(version, incarnation int) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	vm.knownVersion, vm.knownBy = version, incarnation
}

// newestKnown returns the newest version that the current run of the process has served, and the number of the run.
func (vm *vm) newestKnown() (version, incarnation int) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	if vm.knownBy != vm.incarnation {
		return 0, vm.incarnation
	}
	return vm.knownVersion, vm.incarnation
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
