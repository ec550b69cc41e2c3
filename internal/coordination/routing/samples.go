package routing

import (
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

const (
	// baselineWindow is the age up to which an attempt counts in the baseline.
	baselineWindow = 30 * time.Second
	// recentWindow is the age up to which an attempt counts in the recent view, and
	// minRecentSamples the number of attempts from which that view is used.
	recentWindow     = 2 * time.Second
	minRecentSamples = 10
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

// baseline returns the behaviour in the window or, if it is worse, in the last
// recentWindow, without the attempts of exclude. The median of the long window
// needs 15 s to follow a service that becomes slow as a whole, in which its
// backend servers would be judged by what is no longer normal.
func (r *samples) baseline(now time.Time, exclude *stat) evidence.Baseline {
	base := r.summarize(now, exclude, baselineWindow)
	recent := r.summarize(now, exclude, recentWindow)
	if recent.Samples >= minRecentSamples {
		base.FailureRate = max(base.FailureRate, recent.FailureRate)
		base.Median = max(base.Median, recent.Median)
	}
	return base
}

// summarize returns the figures of the samples in a window that are not of exclude.
func (r *samples) summarize(now time.Time, exclude *stat, window time.Duration) evidence.Baseline {
	var base evidence.Baseline
	var failed int
	latencies := make([]time.Duration, 0, len(r.ring))
	for i := range r.ring {
		s := &r.ring[i]
		if now.Sub(r.start)-s.at > window || s.stat == exclude {
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
