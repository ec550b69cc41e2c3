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

type interval struct {
	counts      [buckets]uint16
	n, failures int
}

// window holds the recent work of a service at one ingress node.
type window struct {
	slices []interval
	at     int
	sum    interval
	last   evidence.Baseline
}

func newWindow(d time.Duration) *window {
	return &window{slices: make([]interval, max(1, int(d/slice)))}
}

// view is what one ingress node reports: the behaviour in a window and, if
// asked for, the worse behaviour of a shorter window with enough samples.
type view struct{ long, recent *window }

// minRecent is the number of samples from which the shorter window counts.
const minRecent = 10

func newView(long, recent time.Duration) *view {
	v := &view{long: newWindow(long)}
	if recent > 0 {
		v.recent = newWindow(recent)
	}
	return v
}

func (v *view) advance() {
	v.long.advance()
	if v.recent != nil {
		v.recent.advance()
	}
}

func (v *view) add(x work) {
	v.long.add(x)
	if v.recent != nil {
		v.recent.add(x)
	}
}

// baseline returns the view as of the last whole slice.
func (v *view) baseline() evidence.Baseline {
	b := v.long.last
	if v.recent != nil && v.recent.last.Samples >= minRecent {
		b.FailureRate = max(b.FailureRate, v.recent.last.FailureRate)
		b.Median = max(b.Median, v.recent.last.Median)
	}
	return b
}

// advance drops the oldest slice.
func (w *window) advance() {
	w.last = evidence.Baseline{}
	if w.sum.n > 0 {
		w.last = w.compute()
	}
	w.at = (w.at + 1) % len(w.slices)
	old := &w.slices[w.at]
	for i, n := range old.counts {
		w.sum.counts[i] -= n
	}
	w.sum.n -= old.n
	w.sum.failures -= old.failures
	*old = interval{}
}

func (w *window) add(x work) {
	s := &w.slices[w.at]
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
