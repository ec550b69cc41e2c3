package e2e

import (
	"bytes"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"
)

// syncBuffer collects the output of a process.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// process is a started command.
type process struct {
	name   string
	cmd    *exec.Cmd
	stdout syncBuffer
	stderr syncBuffer
	exited chan struct{}
	// started is when the process was started.
	started time.Time
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// killLimit bounds the wait for the end of a killed process.
const killLimit = 20 * time.Second

// awaitKilled waits for the end of a process that was killed.
func (p *process) awaitKilled(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(killLimit):
		t.Fatalf("%s runs %v after it was to be killed", p.name, killLimit)
	}
}

func (p *process) waitExit(t *testing.T, limit time.Duration) {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(limit):
		t.Errorf("%s did not exit within %v", p.name, limit)
	}
}
