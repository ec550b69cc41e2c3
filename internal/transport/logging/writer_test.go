package logging

import (
	"bytes"
	"os"
	"testing"
	"time"
)

// Guards against requests that block because the reader of the log stopped reading.
func TestFullPipeDoesNotBlockWrite(t *testing.T) {
	r, pipe, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	w := NewWriter(pipe)
	before := dropped.Value()
	line := bytes.Repeat([]byte("x"), 1000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 4 * ringCapacity {
			if _, err := w.Write(line); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Write blocked while the pipe was full")
	}
	if dropped.Value() == before {
		t.Fatal("dropped lines were not counted")
	}
	start := time.Now()
	w.CloseWithin(50 * time.Millisecond)
	if took := time.Since(start); took > time.Second {
		t.Fatalf("CloseWithin(50ms) took %s", took)
	}
	pipe.Close()
}

// Guards against lines that are lost or reordered although the ring is not full.
func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, _ = w.Write([]byte(line))
	}
	w.Close()
	w.Wait()
	if out.String() != "a\nb\nc\n" {
		t.Fatalf("%q", out.String())
	}
}
