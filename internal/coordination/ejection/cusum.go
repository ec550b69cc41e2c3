package ejection

import (
	"math"
	"strconv"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/event"
)

// CUSUMOptions configures the CUSUM detector. Zero values select the defaults.
type CUSUMOptions struct {
	// MaxRoutes bounds the routes with statistics of their own. The route that
	// was observed longest ago makes room for a new one. The default is 16.
	MaxRoutes int
	// SlowFactor is the multiple of the service's median latency above which a
	// successful exchange counts as slow. The default is 4.
	SlowFactor float64
	// MinBaselineSamples is the number of requests behind a baseline below which
	// its median is not used. The default is 20.
	MinBaselineSamples int
	// LowThreshold and HighThreshold are the decision thresholds, in nats, at
	// detection weights 1 and 0.
	LowThreshold, HighThreshold float64
}

// Parameters of the two likelihood ratios.
const (
	// minFailureRate is the lowest failure rate taken as normal. A lower one
	// would let two random failures in a row look like an outage.
	minFailureRate = 0.01
	// failureShift is the part of the remaining success rate that the failing
	// hypothesis takes away.
	failureShift = 0.4
	// normalSlowShare and failingSlowShare are the shares of slow exchanges under
	// the two hypotheses. About 11% of a healthy Pareto-distributed latency with
	// shape 1.1 exceeds four times its median.
	normalSlowShare  = 0.15
	failingSlowShare = 0.60
	// mostlyFailing is the failure rate of the service from which failures are no
	// evidence against one server.
	mostlyFailing = 0.5
	// scoreCap bounds a statistic to a multiple of its threshold, so that the
	// detector can follow a recovery.
	scoreCap = 1.5
)

// allRoutes names the statistics over all routes in the evidence. No route of a
// policy can have this name.
const allRoutes = "*"

var (
	slowStep   = math.Log(failingSlowShare / normalSlowShare)
	normalStep = math.Log((1 - failingSlowShare) / (1 - normalSlowShare))
)

// cell holds the statistics of one route.
type cell struct {
	route              string
	failure, slow      float64
	failures, slows, n int
	last               time.Time
}

// CUSUM accumulates the log-likelihood ratio of "failing" against "as the
// service is normally", per route and over all routes, separately for failures
// and slow successes. It is the largest recent sum that counts, so old
// successes do not delay the detection of a new failure.
type CUSUM struct {
	opts      CUSUMOptions
	threshold float64
	all       cell
	routes    []cell
	baseline  Sample
}

// NewCUSUM returns a detector without samples.
func NewCUSUM(o CUSUMOptions) *CUSUM {
	if o.MaxRoutes <= 0 {
		o.MaxRoutes = 16
	}
	if o.SlowFactor <= 0 {
		o.SlowFactor = 4
	}
	if o.MinBaselineSamples <= 0 {
		o.MinBaselineSamples = 20
	}
	if o.LowThreshold <= 0 {
		o.LowThreshold = 9
	}
	if o.HighThreshold <= 0 {
		o.HighThreshold = 16
	}
	d := &CUSUM{opts: o, all: cell{route: allRoutes}}
	d.SetWeight(DefaultDetectionWeight)
	return d
}

// SetWeight implements Detector.
func (d *CUSUM) SetWeight(w float64) {
	d.threshold = interpolate(w, d.opts.HighThreshold, d.opts.LowThreshold)
}

// Reset implements Detector.
func (d *CUSUM) Reset() {
	d.all = cell{route: allRoutes}
	d.routes = d.routes[:0]
}

// Observe implements Detector.
func (d *CUSUM) Observe(s Sample) {
	d.baseline = s
	var failureStep, slowStepNow float64
	p0 := min(max(s.Baseline.FailureRate, minFailureRate), 0.95)
	p1 := p0 + (1-p0)*failureShift
	slow := false
	if s.Failure {
		if p0 < mostlyFailing {
			failureStep = math.Log(p1 / p0)
		}
	} else {
		failureStep = math.Log((1 - p1) / (1 - p0))
		if s.Baseline.Samples >= d.opts.MinBaselineSamples && s.Baseline.Median > 0 {
			slowStepNow = normalStep
			if slow = float64(s.Latency) > d.opts.SlowFactor*float64(s.Baseline.Median); slow {
				slowStepNow = slowStep
			}
		}
	}
	d.add(&d.all, s, failureStep, slowStepNow, slow)
	d.add(d.cell(s.Route), s, failureStep, slowStepNow, slow)
}

func (d *CUSUM) add(c *cell, s Sample, failureStep, slowStep float64, slow bool) {
	limit := scoreCap * d.threshold
	c.failure = min(max(0, c.failure+failureStep), limit)
	c.slow = min(max(0, c.slow+slowStep), limit)
	// The counts cover the samples since both statistics were last zero.
	if c.failure == 0 && c.slow == 0 {
		c.failures, c.slows, c.n = 0, 0, 0
	} else {
		c.n++
		if s.Failure {
			c.failures++
		}
		if slow {
			c.slows++
		}
	}
	c.last = s.At
}

func (d *CUSUM) cell(route string) *cell {
	oldest := 0
	for i := range d.routes {
		if d.routes[i].route == route {
			return &d.routes[i]
		}
		if d.routes[i].last.Before(d.routes[oldest].last) {
			oldest = i
		}
	}
	if len(d.routes) < d.opts.MaxRoutes {
		d.routes = append(d.routes, cell{route: route})
		return &d.routes[len(d.routes)-1]
	}
	d.routes[oldest] = cell{route: route}
	return &d.routes[oldest]
}

// worst returns the cell with the largest statistic.
func (d *CUSUM) worst() *cell {
	worst := &d.all
	for i := range d.routes {
		if c := &d.routes[i]; max(c.failure, c.slow) > max(worst.failure, worst.slow) {
			worst = c
		}
	}
	return worst
}

// Failing implements Detector.
func (d *CUSUM) Failing(time.Time) bool {
	c := d.worst()
	return max(c.failure, c.slow) >= d.threshold
}

// Verdict implements Detector.
func (d *CUSUM) Verdict(time.Time) Verdict {
	c := d.worst()
	statistic, reason := c.failure, "failures"
	if c.slow > c.failure {
		statistic, reason = c.slow, "slow"
	}
	return Verdict{
		Failing: statistic >= d.threshold,
		Reason:  reason,
		Score:   statistic / d.threshold,
		Evidence: []event.Field{
			{Key: "detector", Value: "cusum"},
			{Key: "route", Value: c.route},
			{Key: "statistic", Value: formatFloat(statistic)},
			{Key: "threshold", Value: formatFloat(d.threshold)},
			{Key: "failures", Value: strconv.Itoa(c.failures)},
			{Key: "slow", Value: strconv.Itoa(c.slows)},
			{Key: "requests", Value: strconv.Itoa(c.n)},
			{Key: "baseline_failure_rate", Value: formatFloat(d.baseline.Baseline.FailureRate)},
			{Key: "baseline_median", Value: d.baseline.Baseline.Median.String()},
		},
	}
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }
