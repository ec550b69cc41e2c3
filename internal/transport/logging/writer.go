// Package logging writes log lines without ever blocking the code that logs.
package logging

import (
	"expvar"
	"io"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/ring"
)

// ringLines is the number of lines that may wait for a slow reader. At the usual
// 300 B a line it holds about 300 KB.
const ringLines = 1024

var dropped = expvar.NewInt("log_lines_dropped")

// Writer is a zapcore.WriteSyncer that hands lines to a goroutine. A line that finds
// the ring full is dropped and counted.
type Writer struct {
	lines *ring.Ring[[]byte]
	out   io.Writer
	done  chan struct{}
	once  sync.Once
	wg    sync.WaitGroup
}

// NewWriter returns a writer of lines to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: ring.New[[]byte](ringLines), out: out, done: make(chan struct{})}
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

// Sync implements zapcore.WriteSyncer. Lines are not waited for.
func (w *Writer) Sync() error { return nil }

// Close stops the goroutine after the lines that wait, unless the reader is stuck.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.done) })
}

// CloseWithin closes the writer and waits at most d for the lines in the ring.
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

// Wait returns once the goroutine has ended after Close.
func (w *Writer) Wait() { w.wg.Wait() }

func (w *Writer) run() {
	defer w.wg.Done()
	for {
		select {
		case line := <-w.lines.Items():
			_, _ = w.out.Write(line) // A reader that is gone cannot be told.
		case <-w.done:
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
