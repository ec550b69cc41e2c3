package e2e

import (
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
