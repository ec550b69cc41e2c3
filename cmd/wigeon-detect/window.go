package main

import (
	"math"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

const (
	// The latency histogram has bucketsPerFactorE buckets per factor of e. It covers
	// 1 ms to more than 1 s.
	bucketsPerFactorE = 20
	bucketCount       = 160
)

// windowSlice counts the requests of one time slice. The latency buckets contain only the
// successful ones.
type windowSlice struct {
	counts      [bucketCount]uint16
	n, failures int
}

// window is a sliding window over the requests of a service at one ingress node.
type window struct {
	slices       []windowSlice
	current      int
	sum          windowSlice
	lastBaseline evidence.Baseline
}

func newWindow(d time.Duration) *window {
	return &window{slices: make([]windowSlice, max(1, int(d/sliceLength)))}
}

// view is the baseline that one ingress node reports for a service. It uses a window and,
// if recent is set, a shorter window as well. If the shorter window has enough samples, the
// worse value of the two is reported.
type view struct{ full, recent *window }

// minRecentSamples is the minimum number of samples for the shorter window to be used.
const minRecentSamples = 10

func newView(full, recent time.Duration) *view {
	v := &view{full: newWindow(full)}
	if recent > 0 {
		v.recent = newWindow(recent)
	}
	return v
}

func (v *view) advance() {
	v.full.advance()
	if v.recent != nil {
		v.recent.advance()
	}
}

func (v *view) add(out outcome) {
	v.full.add(out)
	if v.recent != nil {
		v.recent.add(out)
	}
}

// baseline returns the baseline as of the last complete slice.
func (v *view) baseline() evidence.Baseline {
	b := v.full.lastBaseline
	if v.recent != nil && v.recent.lastBaseline.Samples >= minRecentSamples {
		b.FailureRate = max(b.FailureRate, v.recent.lastBaseline.FailureRate)
		b.Median = max(b.Median, v.recent.lastBaseline.Median)
	}
	return b
}

// advance updates the baseline, drops the oldest slice and begins a new one.
func (w *window) advance() {
	w.lastBaseline = evidence.Baseline{}
	if w.sum.n > 0 {
		w.lastBaseline = w.compute()
	}
	w.current = (w.current + 1) % len(w.slices)
	old := &w.slices[w.current]
	for i, n := range old.counts {
		w.sum.counts[i] -= n
	}
	w.sum.n -= old.n
	w.sum.failures -= old.failures
	*old = windowSlice{}
}

func (w *window) add(out outcome) {
	s := &w.slices[w.current]
	s.n++
	w.sum.n++
	if out.kind != evidence.Success {
		s.failures++
		w.sum.failures++
		return
	}
	i := int(bucketsPerFactorE * math.Log(float64(out.latency)/float64(time.Millisecond)))
	i = min(max(i, 0), bucketCount-1)
	s.counts[i]++
	w.sum.counts[i]++
}

func (w *window) compute() evidence.Baseline {
	b := evidence.Baseline{Samples: w.sum.n, FailureRate: float64(w.sum.failures) / float64(w.sum.n)}
	remaining := (w.sum.n - w.sum.failures + 1) / 2
	for i, n := range w.sum.counts {
		if remaining -= int(n); remaining <= 0 {
			b.Median = time.Duration(math.Exp((float64(i)+0.5)/bucketsPerFactorE) * float64(time.Millisecond))
			break
		}
	}
	return b
}
