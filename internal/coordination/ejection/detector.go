package ejection

import (
	"time"

	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

// Sample is the outcome of one exchange. Shed and canceled requests are not
// sampled: a backend server that sheds requests is overloaded, and a request that
// the caller canceled says nothing about the backend server.
type Sample struct {
	At      time.Time
	Route   string
	Failure bool
	Latency time.Duration
	// Baseline is the failure rate and latency of the service, merged over the
	// reports of the ingress nodes.
	Baseline evidence.Baseline
}

// Verdict is the judgement of a detector about one backend server.
type Verdict struct {
	Failing bool
	// Reason is a short machine-readable cause.
	Reason string
	// Score is the strength of the evidence relative to the threshold; a failing
	// backend server has a score of at least 1.
	Score float64
	// Evidence lists the figures that the judgement is based on.
	Evidence []event.Field
}

// Detector judges one backend server by its samples.
type Detector interface {
	// SetWeight sets the detection weight of the service: 1 favours a short
	// detection time, 0 favours few false ejections.
	SetWeight(weight float64)
	// Observe adds one sample.
	Observe(s Sample)
	// Failing returns the field Failing of the verdict without allocating memory.
	Failing(now time.Time) bool
	// Verdict returns the judgement with its evidence.
	Verdict(now time.Time) Verdict
	// Reset discards all samples.
	Reset()
}

func isFailure(k evidence.Kind) bool {
	switch k {
	case evidence.ServerError, evidence.Timeout, evidence.Reset, evidence.Truncated, evidence.Overdue:
		return true
	}
	return false
}

// interpolate returns low at weight 0 and high at weight 1.
func interpolate(weight, low, high float64) float64 {
	return low + (high-low)*min(max(weight, 0), 1)
}
