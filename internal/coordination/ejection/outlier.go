package ejection

import (
	"math"
	"strconv"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/event"
)

// OutlierOptions configures the Outlier detector. Zero values select the
// defaults.
type OutlierOptions struct {
	// LowConsecutive and HighConsecutive are the numbers of consecutive failures at
	// which a server is failing, at detection weights 1 and 0. The defaults are 3
	// and 8.
	LowConsecutive, HighConsecutive float64
	// LowDeviations and HighDeviations are the numbers of standard deviations above
	// the failure rate of the service at which a server is failing, at detection
	// weights 1 and 0. The defaults are 4 and 8.
	LowDeviations, HighDeviations float64
	// MinRequests is the number of requests in the window below which the rate is
	// not judged. The default is 10.
	MinRequests int
}

// outlierWindow is the length of the window of the failure rate, in intervals of
// one second.
const outlierWindow = 10

type interval struct {
	second      int64
	n, failures int
}

// Outlier compares the failure rate of a backend server in the last 10 s with
// the rate of the service, and counts consecutive failures. It distinguishes
// neither routes nor slow successes.
type Outlier struct {
	opts            OutlierOptions
	detectionWeight float64
	consecutive     int
	window          [outlierWindow]interval
	baseline        float64
}

// NewOutlier returns a detector without samples.
func NewOutlier(o OutlierOptions) *Outlier {
	setDefault := func(v *float64, d float64) {
		if *v <= 0 {
			*v = d
		}
	}
	setDefault(&o.LowConsecutive, 3)
	setDefault(&o.HighConsecutive, 8)
	setDefault(&o.LowDeviations, 4)
	setDefault(&o.HighDeviations, 8)
	if o.MinRequests <= 0 {
		o.MinRequests = 10
	}
	return &Outlier{opts: o, detectionWeight: DefaultDetectionWeight}
}

// SetWeight implements Detector.
func (d *Outlier) SetWeight(w float64) { d.detectionWeight = w }

// Reset implements Detector.
func (d *Outlier) Reset() {
	d.consecutive = 0
	d.window = [outlierWindow]interval{}
	d.baseline = 0
}

// Observe implements Detector.
func (d *Outlier) Observe(s Sample) {
	d.baseline = s.Baseline.FailureRate
	second := s.At.Unix()
	i := &d.window[second%outlierWindow]
	if i.second != second {
		*i = interval{second: second}
	}
	i.n++
	if !s.Failure {
		d.consecutive = 0
		return
	}
	i.failures++
	d.consecutive++
}

// scores returns the consecutive failures and the excess of the failure rate, each
// relative to its threshold, and the counts of the window.
func (d *Outlier) scores(now time.Time) (consecutive, rate float64, n, failures int) {
	if d.baseline < serviceOutageRate {
		consecutive = float64(d.consecutive) /
			math.Round(interpolate(d.detectionWeight, d.opts.HighConsecutive, d.opts.LowConsecutive))
	}
	oldest := now.Unix() - outlierWindow
	for i := range d.window {
		if d.window[i].second > oldest {
			n += d.window[i].n
			failures += d.window[i].failures
		}
	}
	if n >= d.opts.MinRequests {
		p := min(max(d.baseline, minFailureRate), 0.95)
		deviation := math.Sqrt(p * (1 - p) / float64(n))
		limit := interpolate(d.detectionWeight, d.opts.HighDeviations, d.opts.LowDeviations)
		rate = (float64(failures)/float64(n) - p) / deviation / limit
	}
	return consecutive, rate, n, failures
}

// Failing implements Detector.
func (d *Outlier) Failing(now time.Time) bool {
	consecutive, rate, _, _ := d.scores(now)
	return max(consecutive, rate) >= 1
}

// Verdict implements Detector.
func (d *Outlier) Verdict(now time.Time) Verdict {
	consecutive, rate, n, failures := d.scores(now)
	reason := "consecutive_failures"
	if rate > consecutive {
		reason = "failure_rate"
	}
	return Verdict{
		Failing: max(consecutive, rate) >= 1,
		Reason:  reason,
		Score:   max(consecutive, rate, 0),
		Evidence: []event.Field{
			{Key: "detector", Value: "outlier"},
			{Key: "consecutive_failures", Value: strconv.Itoa(d.consecutive)},
			{Key: "failures", Value: strconv.Itoa(failures)},
			{Key: "requests", Value: strconv.Itoa(n)},
			{Key: "baseline_failure_rate", Value: formatFloat(d.baseline)},
		},
	}
}
