package ejection

import (
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

const (
	// baselineSmoothing is the smoothing factor of the merged baseline for a report
	// with many samples.
	baselineSmoothing = 0.4
	// baselinePriorSamples is the number of samples at which a report has half of
	// its full weight.
	baselinePriorSamples = 30
)

// baseline merges the reports of the ingress nodes about one service.
type baseline struct {
	failureRate float64
	median      float64
	samples     int
	known       bool
	// referenceRate and referenceMedian are slow moving averages of the merged
	// values, and referenceAt is the time of their last update.
	referenceRate, referenceMedian float64
	referenceAt                    time.Time
}

const (
	referenceTimeConstant = 10 * time.Second
	// The failure rate of the service has jumped if it exceeds its reference
	// multiplied by failureRateJumpFactor plus failureRateJumpOffset. The median
	// latency has jumped if it exceeds its reference multiplied by
	// medianJumpFactor.
	failureRateJumpFactor = 2
	failureRateJumpOffset = 0.03
	medianJumpFactor      = 1.5
)

// detectJump reports whether the failure rate or the median latency of the whole
// service suddenly increased. If so, it resets the reference to the new values.
func (b *baseline) detectJump(now time.Time) bool {
	if !b.known {
		return false
	}
	if b.referenceAt.IsZero() || b.failureRate > failureRateJumpFactor*b.referenceRate+failureRateJumpOffset ||
		b.median > medianJumpFactor*b.referenceMedian && b.referenceMedian > 0 {
		first := b.referenceAt.IsZero()
		b.referenceRate, b.referenceMedian, b.referenceAt = b.failureRate, b.median, now
		return !first
	}
	step := min(1, float64(now.Sub(b.referenceAt))/float64(referenceTimeConstant))
	b.referenceRate += step * (b.failureRate - b.referenceRate)
	b.referenceMedian += step * (b.median - b.referenceMedian)
	b.referenceAt = now
	return false
}

// merge adds one report and returns the baseline for the exchange that it came
// with. A report that is worse than the merged value replaces it in the result,
// so that a failure of the whole service is not attributed to a single backend
// server.
func (b *baseline) merge(r evidence.Baseline) evidence.Baseline {
	if r.Samples > 0 {
		weight := float64(r.Samples) / float64(r.Samples+baselinePriorSamples)
		if !b.known {
			b.failureRate, b.median, b.known = r.FailureRate*weight, float64(r.Median), true
		} else {
			b.failureRate += baselineSmoothing * weight * (r.FailureRate - b.failureRate)
			b.median += baselineSmoothing * weight * (float64(r.Median) - b.median)
		}
		b.samples = max(b.samples-1, r.Samples)
		return evidence.Baseline{
			FailureRate: max(b.failureRate, r.FailureRate*weight),
			Median:      time.Duration(max(b.median, float64(r.Median)*weight)),
			Samples:     b.samples,
		}
	}
	return evidence.Baseline{FailureRate: b.failureRate, Median: time.Duration(b.median), Samples: b.samples}
}
