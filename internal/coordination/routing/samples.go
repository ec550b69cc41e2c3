package routing

import (
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

const (
	// baselineWindow is the age up to which an attempt counts in the baseline.
	baselineWindow = 30 * time.Second
	// baselineRefresh is the age up to which a computed baseline is reused. The
	// baseline moves slowly, and computing it costs a pass over the samples.
	baselineRefresh = 500 * time.Millisecond
	// maxSamples bounds the memory per service (24 KB). A busy service fills it in
	// less than the window, which makes its baseline more recent.
	maxSamples = 1024
)

// sample is a completed attempt. Every busy service holds maxSamples of them, so
// it is kept small: the time is relative and a failure has a negative latency.
type sample struct {
	at      time.Duration // since the start of the ring
	latency time.Duration
	stat    *stat
}

// samples is a ring of the latest completed attempts of a service.
type samples struct {
	start time.Time
	ring  []sample
	next  int
}

func (r *samples) add(now time.Time, st *stat, failed bool, latency time.Duration) {
	if r.start.IsZero() {
		r.start = now
	}
	s := sample{at: now.Sub(r.start), latency: max(latency, 0), stat: st}
	if failed {
		s.latency = -1
	}
	if len(r.ring) < maxSamples {
		r.ring = append(r.ring, s)
		return
	}
	r.ring[r.next] = s
	r.next = (r.next + 1) % maxSamples
}

// baseline summarizes the samples in the window that are not of exclude.
func (r *samples) baseline(now time.Time, exclude *stat) evidence.Baseline {
	var base evidence.Baseline
	var failed int
	latencies := make([]time.Duration, 0, len(r.ring))
	for i := range r.ring {
		s := &r.ring[i]
		if now.Sub(r.start)-s.at > baselineWindow || s.stat == exclude {
			continue
		}
		base.Samples++
		if s.latency < 0 {
			failed++
			continue
		}
		latencies = append(latencies, s.latency)
	}
	if base.Samples > 0 {
		base.FailureRate = float64(failed) / float64(base.Samples)
	}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		base.Median = latencies[len(latencies)/2]
	}
	return base
}
