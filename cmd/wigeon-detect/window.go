package main

import (
	"math"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

const (
	// resolution is the number of latency buckets per factor of e, and buckets
	// covers 1 ms to more than 1 s.
	resolution = 20
	buckets    = 160
)

type second struct {
	counts      [buckets]uint16
	n, failures int
}

// window is the view that one ingress node has of the service.
type window struct {
	seconds []second
	at      int
	sum     second
	last    evidence.Baseline
}

func newWindow(seconds int) *window { return &window{seconds: make([]second, max(1, seconds))} }

// advance drops the oldest second.
func (w *window) advance() {
	if w.sum.n > 0 {
		w.last = w.compute()
	}
	w.at = (w.at + 1) % len(w.seconds)
	old := &w.seconds[w.at]
	for i, n := range old.counts {
		w.sum.counts[i] -= n
	}
	w.sum.n -= old.n
	w.sum.failures -= old.failures
	*old = second{}
}

func (w *window) add(x work) {
	s := &w.seconds[w.at]
	s.n++
	w.sum.n++
	if x.kind != evidence.Success {
		s.failures++
		w.sum.failures++
		return
	}
	i := int(resolution * math.Log(float64(x.latency)/float64(time.Millisecond)))
	i = min(max(i, 0), buckets-1)
	s.counts[i]++
	w.sum.counts[i]++
}

// baseline returns the view as of the last whole second.
func (w *window) baseline() evidence.Baseline { return w.last }

func (w *window) compute() evidence.Baseline {
	b := evidence.Baseline{Samples: w.sum.n, FailureRate: float64(w.sum.failures) / float64(w.sum.n)}
	left := (w.sum.n - w.sum.failures + 1) / 2
	for i, n := range w.sum.counts {
		if left -= int(n); left <= 0 {
			b.Median = time.Duration(math.Exp((float64(i)+0.5)/resolution) * float64(time.Millisecond))
			break
		}
	}
	return b
}
