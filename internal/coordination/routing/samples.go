package routing

import (
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

const (
	// baselineWindow is the maximum age of an attempt that counts in the baseline.
	baselineWindow = 30 * time.Second
	// recentWindow is the maximum age of an attempt that counts as recent. The recent
	// attempts are evaluated separately if there are at least minRecentSamples.
	recentWindow     = 2 * time.Second
	minRecentSamples = 10
	// baselineRefresh is how long a computed baseline is reused. The baseline changes
	// slowly, and computing it takes a pass over all samples.
	baselineRefresh = 500 * time.Millisecond
	// maxSamples bounds the memory per service to 24 KB. A busy service produces more
	// samples than this within baselineWindow, so its baseline covers a shorter time.
	maxSamples = 1024
)

// sample is a completed attempt. It is kept small because every busy service holds
// maxSamples of them: the time is relative, and a negative latency marks a failure.
type sample struct {
	at      time.Duration // since the start of the ring
	latency time.Duration
	stats   *backendStats
}

// samples is a ring buffer of the latest completed attempts of a service.
type samples struct {
	start time.Time
	ring  []sample
	next  int
}

func (r *samples) add(now time.Time, st *backendStats, failed bool, latency time.Duration) {
	if r.start.IsZero() {
		r.start = now
	}
	s := sample{at: now.Sub(r.start), latency: max(latency, 0), stats: st}
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

// baseline summarizes the samples in baselineWindow without those of exclude. If the
// samples in recentWindow have a higher failure rate or median, it returns the higher
// value. The reason is a service that becomes slow as a whole: the median of the long
// window follows it only after 15 s, and until then its backend servers would be
// compared with latencies that are no longer normal for the service.
func (r *samples) baseline(now time.Time, exclude *backendStats) evidence.Baseline {
	base := r.summarize(now, exclude, baselineWindow)
	recent := r.summarize(now, exclude, recentWindow)
	if recent.Samples >= minRecentSamples {
		base.FailureRate = max(base.FailureRate, recent.FailureRate)
		base.Median = max(base.Median, recent.Median)
	}
	return base
}

// summarize returns the statistics of the samples in a window without those of exclude.
func (r *samples) summarize(now time.Time, exclude *backendStats, window time.Duration) evidence.Baseline {
	var base evidence.Baseline
	var failed int
	latencies := make([]time.Duration, 0, len(r.ring))
	for i := range r.ring {
		s := &r.ring[i]
		if now.Sub(r.start)-s.at > window || s.stats == exclude {
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
