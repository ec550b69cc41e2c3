package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Guards against a node that a SIGHUP ends during its planned stop, which cuts its requests.
func TestSIGHUPDoesNotEndPlannedStop(t *testing.T) {
	f := newFleet(t, 24600, 2)
	f.drain = "notice = \"1500ms\"\nkill_after = \"5s\""
	f.start("booking", bookingPolicy, 5, bookingFloor)
	n1 := f.processes["n1"]
	n1.signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	n1.signal(syscall.SIGHUP)
	select {
	case <-n1.exited:
		t.Errorf("SIGHUP ended the node: %s", n1.cmd.ProcessState)
	case <-time.After(700 * time.Millisecond):
	}
	n1.waitExit(t, 5*time.Second)
	if !n1.cmd.ProcessState.Success() {
		t.Errorf("the stop failed: %s", n1.cmd.ProcessState)
	}
}

// Guards against a node that a SIGHUP ends while it starts, before it has read its settings.
func TestSIGHUPDoesNotEndStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binDir, "wigeonspringd"), "--config", path)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	// Opening the pipe waits until the node opens it.
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	_ = cmd.Process.Signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	_, _ = pipe.WriteString("[unknown]")
	_ = pipe.Close()
	if err := cmd.Wait(); cmd.ProcessState.ExitCode() != 2 {
		t.Errorf("the node did not refuse the settings: %v", err)
	}
}
