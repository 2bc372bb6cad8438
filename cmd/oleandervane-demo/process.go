package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// process is one process of the demo.
type process struct {
	name    string
	command *exec.Cmd
	log     *os.File
	ended   chan struct{}
	err     error
}

// launcher starts processes and ends only those that it started, each by its process id.
type launcher struct {
	programs string
	folder   string

	mutex     sync.Mutex
	processes map[string]*process
}

func newLauncher(programs, folder string) *launcher {
	return &launcher{programs: programs, folder: folder, processes: map[string]*process{}}
}

// start starts a program as a process and appends its output to the log file NAME.log.
func (launcher *launcher) start(name, program string, arguments ...string) error {
	log, err := os.OpenFile(filepath.Join(launcher.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrapf(err, "open the log of %s", name)
	}
	command := exec.Command(filepath.Join(launcher.programs, program), arguments...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return eris.Wrapf(err, "start %s", name)
	}
	process := &process{name: name, command: command, log: log, ended: make(chan struct{})}
	go process.wait()
	launcher.mutex.Lock()
	defer launcher.mutex.Unlock()
	launcher.processes[name] = process
	return nil
}

func (process *process) wait() {
	process.err = process.command.Wait()
	_ = process.log.Close()
	close(process.ended)
}

func (launcher *launcher) find(name string) *process {
	launcher.mutex.Lock()
	defer launcher.mutex.Unlock()
	return launcher.processes[name]
}

// kill sends SIGKILL to a process and waits until it has ended.
func (launcher *launcher) kill(name string) {
	process := launcher.find(name)
	_ = process.command.Process.Kill()
	<-process.ended
}

// pause stops a process with SIGSTOP for duration and then resumes it.
func (launcher *launcher) pause(name string, duration time.Duration) error {
	process := launcher.find(name).command.Process
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return eris.Wrapf(err, "pause %s", name)
	}
	time.Sleep(duration)
	return eris.Wrapf(process.Signal(syscall.SIGCONT), "resume %s", name)
}

// terminate sends SIGTERM to a process and returns how long it took to end. It fails when the process does not end within
// limit or ends with an error.
func (launcher *launcher) terminate(name string, limit time.Duration) (time.Duration, error) {
	process := launcher.find(name)
	start := time.Now()
	if err := process.command.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, eris.Wrapf(err, "terminate %s", name)
	}
	select {
	case <-process.ended:
		if process.err != nil {
			return time.Since(start), eris.Wrapf(process.err, "%s ended with an error", name)
		}
		return time.Since(start), nil
	case <-time.After(limit):
		return limit, eris.Errorf("%s did not end within %v", name, limit)
	}
}

// endAll kills all processes that still run.
func (launcher *launcher) endAll() {
	launcher.mutex.Lock()
	defer launcher.mutex.Unlock()
	for _, process := range launcher.processes {
		_ = process.command.Process.Kill()
	}
	for _, process := range launcher.processes {
		<-process.ended
	}
}
