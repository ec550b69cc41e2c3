package ejection

import (
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

const (
	// baselineStep is the share by which one report of an ingress node with many
	// samples moves the merged baseline.
	baselineStep = 0.4
	// baselinePrior is the number of samples at which a report has half of its
	// full influence.
	baselinePrior = 30
)

// baseline merges the reports of the ingress nodes about one service.
type baseline struct {
	failureRate float64
	median      float64
	samples     int
	known       bool
	// referenceRate and referenceMedian follow the merged values slowly, and
	// referenceAt is the time of their last step.
	referenceRate, referenceMedian float64
	referenceAt                    time.Time
}

const (
	// referenceTime is the time constant of the reference.
	referenceTime = 10 * time.Second
	// jumpFactor and jumpRate say when the failure rate of the service has left
	// its reference; slowJump is the factor for the median latency.
	jumpFactor = 2
	jumpRate   = 0.03
	slowJump   = 1.5
)

// jumped reports whether the behaviour of the whole service became worse at
// once. The reference then starts from the new behaviour.
func (b *baseline) jumped(now time.Time) bool {
	if !b.known {
		return false
	}
	if b.referenceAt.IsZero() || b.failureRate > jumpFactor*b.referenceRate+jumpRate ||
		b.median > slowJump*b.referenceMedian && b.referenceMedian > 0 {
		first := b.referenceAt.IsZero()
		b.referenceRate, b.referenceMedian, b.referenceAt = b.failureRate, b.median, now
		return !first
	}
	step := min(1, float64(now.Sub(b.referenceAt))/float64(referenceTime))
	b.referenceRate += step * (b.failureRate - b.referenceRate)
	b.referenceMedian += step * (b.median - b.referenceMedian)
	b.referenceAt = now
	return false
}

// merge takes one report and returns the baseline to judge by. A report that
// is worse than the merged value takes effect at once, so that a failure of the
// whole service is not held against a single backend server.
func (b *baseline) merge(r evidence.Baseline) evidence.Baseline {
	if r.Samples > 0 {
		trust := float64(r.Samples) / float64(r.Samples+baselinePrior)
		if !b.known {
			b.failureRate, b.median, b.known = r.FailureRate*trust, float64(r.Median), true
		} else {
			b.failureRate += baselineStep * trust * (r.FailureRate - b.failureRate)
			b.median += baselineStep * trust * (float64(r.Median) - b.median)
		}
		b.samples = max(b.samples-1, r.Samples)
		return evidence.Baseline{
			FailureRate: max(b.failureRate, r.FailureRate*trust),
			Median:      time.Duration(max(b.median, float64(r.Median)*trust)),
			Samples:     b.samples,
		}
	}
	return evidence.Baseline{FailureRate: b.failureRate, Median: time.Duration(b.median), Samples: b.samples}
}
