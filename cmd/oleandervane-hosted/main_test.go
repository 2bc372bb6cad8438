package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// build returns the path of the program under test.
func build(t *testing.T) string {
	t.Helper()
	daemon := filepath.Join(t.TempDir(), "oleandervane-hosted")
	output, err := exec.Command("go", "build", "-o", daemon, ".").CombinedOutput()
	assert.NilError(t, err, "build oleandervane-hosted: %s", output)
	return daemon
}

// Guards against a daemon that ends when SIGHUP arrives before it has read its settings. The settings are a pipe, so that the
// daemon is at that point until the test writes them.
func TestHangUpDuringTheStartDoesNotEndTheDaemon(t *testing.T) {
	daemon, settings := build(t), filepath.Join(t.TempDir(), "entry.toml")
	assert.NilError(t, syscall.Mkfifo(settings, 0o600))
	command := exec.Command(daemon, "--settings", settings, "--check")
	assert.NilError(t, command.Start())
	// Opening the pipe waits until the daemon reads it.
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
	assert.NilError(t, err)
	assert.NilError(t, command.Process.Signal(syscall.SIGHUP))
	time.Sleep(50 * time.Millisecond)
	_, _ = pipe.WriteString("these are no settings")
	assert.NilError(t, pipe.Close())
	err = command.Wait()
	assert.Assert(t, command.ProcessState.Exited(), "the daemon ended by a signal: %v", err)
}
