package ejection

import (
	"math"
	"strconv"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/event"
)

// CUSUMOptions configures the CUSUM detector. Zero values select the defaults.
type CUSUMOptions struct {
	// MaxRoutes bounds the routes with separate statistics. A new route replaces
	// the least recently observed one. The default is 16.
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

// Parameters of the two likelihood ratios, for failures and for slow successes.
const (
	// minFailureRate is the lowest failure rate that is assumed to be normal. If it
	// were lower, two random failures in a row would look like an outage.
	minFailureRate = 0.01
	// failureShift is the share of the normal success rate that is lost under the
	// failing hypothesis.
	failureShift = 0.4
	// normalSlowShare and failingSlowShare are the shares of slow exchanges under
	// the two hypotheses. About 11% of a healthy Pareto-distributed latency with
	// shape 1.1 exceeds four times its median.
	normalSlowShare  = 0.15
	failingSlowShare = 0.60
	// serviceOutageRate is the failure rate of the service at which failures are no
	// longer evidence against a single server.
	serviceOutageRate = 0.5
	// statisticCapFactor bounds a statistic to a multiple of its threshold, so that
	// it falls below the threshold soon after a recovery.
	statisticCapFactor = 1.5
)

// allRoutes is the route name in the evidence for the statistics over all routes.
// No route of a policy can have this name.
const allRoutes = "*"

var (
	slowLogRatio    = math.Log(failingSlowShare / normalSlowShare)
	notSlowLogRatio = math.Log((1 - failingSlowShare) / (1 - normalSlowShare))
)

// routeStatistics holds the two test statistics of one route, in nats, and the
// counts of the samples in them.
type routeStatistics struct {
	route                                string
	failure, slow                        float64
	failureCount, slowCount, sampleCount int
	lastSample                           time.Time
}

// CUSUM is a cumulative sum (CUSUM) test. It accumulates the log-likelihood ratio
// of a failing server against a server that behaves like its service, per route
// and over all routes, separately for failures and slow successes. A sum never
// falls below zero, so old successes do not delay the detection of a new failure.
type CUSUM struct {
	opts         CUSUMOptions
	threshold    float64
	all          routeStatistics
	routes       []routeStatistics
	lastObserved Sample
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
	d := &CUSUM{opts: o, all: routeStatistics{route: allRoutes}}
	d.SetWeight(DefaultDetectionWeight)
	return d
}

// SetWeight implements Detector.
func (d *CUSUM) SetWeight(w float64) {
	d.threshold = interpolate(w, d.opts.HighThreshold, d.opts.LowThreshold)
}

// Reset implements Detector.
func (d *CUSUM) Reset() {
	d.all = routeStatistics{route: allRoutes}
	d.routes = d.routes[:0]
	d.lastObserved = Sample{}
}

// Observe implements Detector.
func (d *CUSUM) Observe(s Sample) {
	d.lastObserved = s
	var failureIncrement, slowIncrement float64
	p0 := min(max(s.Baseline.FailureRate, minFailureRate), 0.95)
	p1 := p0 + (1-p0)*failureShift
	slow := false
	if s.Failure {
		if p0 < serviceOutageRate {
			failureIncrement = math.Log(p1 / p0)
		}
	} else {
		failureIncrement = math.Log((1 - p1) / (1 - p0))
		if s.Baseline.Samples >= d.opts.MinBaselineSamples && s.Baseline.Median > 0 {
			slowIncrement = notSlowLogRatio
			if slow = float64(s.Latency) > d.opts.SlowFactor*float64(s.Baseline.Median); slow {
				slowIncrement = slowLogRatio
			}
		}
	}
	d.add(&d.all, s, failureIncrement, slowIncrement, slow)
	d.add(d.statisticsFor(s.Route), s, failureIncrement, slowIncrement, slow)
}

func (d *CUSUM) add(r *routeStatistics, s Sample, failureIncrement, slowIncrement float64, slow bool) {
	limit := statisticCapFactor * d.threshold
	r.failure = min(max(0, r.failure+failureIncrement), limit)
	r.slow = min(max(0, r.slow+slowIncrement), limit)
	// The counts cover the samples since both statistics were last zero.
	if r.failure == 0 && r.slow == 0 {
		r.failureCount, r.slowCount, r.sampleCount = 0, 0, 0
	} else {
		r.sampleCount++
		if s.Failure {
			r.failureCount++
		}
		if slow {
			r.slowCount++
		}
	}
	r.lastSample = s.At
}

func (d *CUSUM) statisticsFor(route string) *routeStatistics {
	oldest := 0
	for i := range d.routes {
		if d.routes[i].route == route {
			return &d.routes[i]
		}
		if d.routes[i].lastSample.Before(d.routes[oldest].lastSample) {
			oldest = i
		}
	}
	if len(d.routes) < d.opts.MaxRoutes {
		d.routes = append(d.routes, routeStatistics{route: route})
		return &d.routes[len(d.routes)-1]
	}
	d.routes[oldest] = routeStatistics{route: route}
	return &d.routes[oldest]
}

// worst returns the route with the largest statistic.
func (d *CUSUM) worst() *routeStatistics {
	worst := &d.all
	for i := range d.routes {
		if r := &d.routes[i]; max(r.failure, r.slow) > max(worst.failure, worst.slow) {
			worst = r
		}
	}
	return worst
}

// Failing implements Detector.
func (d *CUSUM) Failing(time.Time) bool {
	r := d.worst()
	return max(r.failure, r.slow) >= d.threshold
}

// Verdict implements Detector.
func (d *CUSUM) Verdict(time.Time) Verdict {
	r := d.worst()
	statistic, reason := r.failure, "failures"
	if r.slow > r.failure {
		statistic, reason = r.slow, "slow"
	}
	return Verdict{
		Failing: statistic >= d.threshold,
		Reason:  reason,
		Score:   statistic / d.threshold,
		Evidence: []event.Field{
			{Key: "detector", Value: "cusum"},
			{Key: "route", Value: r.route},
			{Key: "statistic", Value: formatFloat(statistic)},
			{Key: "threshold", Value: formatFloat(d.threshold)},
			{Key: "failures", Value: strconv.Itoa(r.failureCount)},
			{Key: "slow", Value: strconv.Itoa(r.slowCount)},
			{Key: "requests", Value: strconv.Itoa(r.sampleCount)},
			{Key: "baseline_failure_rate", Value: formatFloat(d.lastObserved.Baseline.FailureRate)},
			{Key: "baseline_median", Value: d.lastObserved.Baseline.Median.String()},
		},
	}
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }
