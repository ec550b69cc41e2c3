// Package logging provides a log writer that never blocks the code that logs.
package logging

import (
	"expvar"
	"io"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/ring"
)

// ringCapacity is the number of lines that may wait for a slow reader. At the usual
// 300 B a line it holds about 300 KB.
const ringCapacity = 1024

var dropped = expvar.NewInt("log_lines_dropped")

// Writer is a zapcore.WriteSyncer that writes lines in a goroutine. If its ring is
// full, a line is dropped and counted.
type Writer struct {
	lines     *ring.Ring[[]byte]
	out       io.Writer
	closing   chan struct{}
	closeOnce sync.Once
	wg        sync.WaitGroup
}

// NewWriter returns a Writer to out and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: ring.New[[]byte](ringCapacity), out: out, closing: make(chan struct{})}
	w.wg.Add(1)
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and reports every line as written.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.lines.Offer(append([]byte(nil), line...)) {
		dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does not wait for lines in the ring.
func (w *Writer) Sync() error { return nil }

// Close makes the goroutine write the lines in the ring and end. It does not wait. The
// goroutine does not end while a write blocks.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.closing) })
}

// CloseWithin closes the writer and waits at most d until the lines in the ring are
// written.
func (w *Writer) CloseWithin(d time.Duration) {
	w.Close()
	ended := make(chan struct{})
	go func() {
		w.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(d):
	}
}

// Wait waits until the goroutine has ended. Close must be called first.
func (w *Writer) Wait() { w.wg.Wait() }

func (w *Writer) run() {
	defer w.wg.Done()
	for {
		select {
		case line := <-w.lines.Items():
			_, _ = w.out.Write(line) // A write error of the log cannot be logged.
		case <-w.closing:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines.Items():
			_, _ = w.out.Write(line)
		default:
			return
		}
	}
}
