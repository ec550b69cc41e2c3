package ejection

import "time"

// DegradedWeight is the weight of a failing backend server that must not be
// ejected.
const DegradedWeight = 0.1

// DefaultDetectionWeight is the detection weight of a service whose policy is not
// known yet.
const DefaultDetectionWeight = 0.5

// Options configures a Core. Zero values select the defaults.
type Options struct {
	// NewDetector builds the detector of one backend server. The default is
	// NewCUSUM with its default options.
	NewDetector func() Detector
	// BackoffBase is the duration of the first ejection of a backend server. It
	// doubles with every further ejection. The default is 5 s.
	BackoffBase time.Duration
	// BackoffMax is the maximum duration of an ejection. The default is 5 min.
	BackoffMax time.Duration
	// BackoffDecay is the time in service after which the duration of an ejection
	// is BackoffBase again. The default is 10 min.
	BackoffDecay time.Duration
	// ProbationSuccesses is the number of consecutive successes that end
	// probation or degradation. The default is 10.
	ProbationSuccesses int
	// ProbationFailures is the number of failures since the start of probation at
	// which the backend server is ejected again. The default is 2: one failure is
	// common at a random failure rate of 1%, and two within a few requests are not.
	ProbationFailures int
	// PermitRetry is the first delay between a refused permit and the next request
	// for one. It doubles up to PermitRetryMax. The defaults are 5 s and 60 s, which
	// bounds the platform calls that one failing backend server causes.
	PermitRetry    time.Duration
	PermitRetryMax time.Duration
	// PermitTimeout is the time after which an unanswered permit request counts as
	// refused. The default is 10 s.
	PermitTimeout time.Duration
	// ConfirmShort and ConfirmLong are the times for which the detector must report
	// a failure before a permit is requested, at detection weights 1 and 0. The
	// defaults are 0.5 s and 1.5 s. ConfirmSamples is the number of samples that
	// must begin within that time; the default is 2. A negative value means none.
	ConfirmShort, ConfirmLong time.Duration
	ConfirmSamples            int
	// IgnorePermitPosition disables the check of the permit's position. It is for
	// tests only.
	IgnorePermitPosition bool
}

// pauseThreshold is the gap between ticks above which the process is assumed to
// have been paused. A permit that was granted before the pause must be confirmed
// before it is used for an ejection.
const pauseThreshold = 3 * time.Second

func (o Options) withDefaults() Options {
	if o.NewDetector == nil {
		o.NewDetector = func() Detector { return NewCUSUM(CUSUMOptions{}) }
	}
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&o.BackoffBase, 5*time.Second)
	setDefault(&o.BackoffMax, 5*time.Minute)
	setDefault(&o.BackoffDecay, 10*time.Minute)
	setDefault(&o.PermitRetry, 5*time.Second)
	setDefault(&o.PermitRetryMax, time.Minute)
	setDefault(&o.PermitTimeout, 10*time.Second)
	setDefault(&o.ConfirmShort, 500*time.Millisecond)
	setDefault(&o.ConfirmLong, 1500*time.Millisecond)
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
