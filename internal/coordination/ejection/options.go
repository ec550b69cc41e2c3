package ejection

import "time"

// DegradedWeight is the share of work that a failing backend server keeps when
// it must not be ejected.
const DegradedWeight = 0.1

// DefaultDetectionWeight applies to a service whose policy is not known yet.
const DefaultDetectionWeight = 0.5

// Options configures a Core. Zero values select the defaults.
type Options struct {
	// NewDetector builds the detector of one backend server. The default is
	// NewCUSUM with its default options.
	NewDetector func() Detector
	// BackoffBase is the first time that a backend server stays ejected; it
	// doubles with every further ejection. The default is 5 s.
	BackoffBase time.Duration
	// BackoffMax caps the time that a backend server stays ejected. The default
	// is 5 min.
	BackoffMax time.Duration
	// BackoffDecay is the time in service after which the backoff starts from
	// BackoffBase again. The default is 10 min.
	BackoffDecay time.Duration
	// ProbationSuccesses is the number of consecutive successes that end
	// probation or degradation. The default is 10.
	ProbationSuccesses int
	// ProbationFailures is the number of failures since the start of probation
	// that eject again. The default is 2: one failure is common at a random
	// failure rate of 1%, and two within a few requests are not.
	ProbationFailures int
	// PermitRetry is the first wait between a refused permit and the next
	// request for one; it doubles up to PermitRetryMax. The defaults are 5 s and
	// 60 s, which bounds the platform calls that one failing backend server
	// causes.
	PermitRetry    time.Duration
	PermitRetryMax time.Duration
	// PermitTimeout is the time after which an unanswered request for a permit
	// counts as refused. The default is 10 s.
	PermitTimeout time.Duration
	// ConfirmShort and ConfirmLong are the times for which a failure must be
	// reported before a permit is asked for, at detection weights 1 and 0, and
	// ConfirmSamples the number of samples within that time. A negative value
	// means none.
	ConfirmShort, ConfirmLong time.Duration
	ConfirmSamples            int
	// IgnorePermitPosition switches the check of the permit's position off; for tests
	// only.
	IgnorePermitPosition bool
}

// pauseLimit is the gap between ticks after which the process counts as paused.
// A permit that was not used before the pause must be confirmed.
const pauseLimit = 3 * time.Second

func (o Options) withDefaults() Options {
	if o.NewDetector == nil {
		o.NewDetector = func() Detector { return NewCUSUM(CUSUMOptions{}) }
	}
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&o.BackoffBase, 5*time.Second)
	def(&o.BackoffMax, 5*time.Minute)
	def(&o.BackoffDecay, 10*time.Minute)
	def(&o.PermitRetry, 5*time.Second)
	def(&o.PermitRetryMax, time.Minute)
	def(&o.PermitTimeout, 10*time.Second)
	def(&o.ConfirmShort, 500*time.Millisecond)
	def(&o.ConfirmLong, 1500*time.Millisecond)
	if o.ConfirmSamples == 0 {
		o.ConfirmSamples = 2
	}
	if o.ProbationSuccesses <= 0 {
		o.ProbationSuccesses = 10
	}
	if o.ProbationFailures <= 0 {
		o.ProbationFailures = 2
	}
	return o
}
