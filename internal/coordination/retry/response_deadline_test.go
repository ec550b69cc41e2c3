package retry

import (
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

// Guards against an idempotent request that spends all its time on one slow backend
// server, and against a limit that cuts off attempts although all backend servers of
// the service are slow.
func TestResponseDeadlineLeavesTimeForAnotherAttempt(t *testing.T) {
	now := time.Unix(1000, 0)
	known := func(median time.Duration) evidence.Baseline {
		return evidence.Baseline{Median: median, Samples: 100}
	}
	cases := []struct {
		name       string
		idempotent bool
		attempts   int
		baseline   evidence.Baseline
		want       time.Duration
	}{
		{"fast service", true, 3, known(5 * time.Millisecond), 250 * time.Millisecond},
		{"moderate service", true, 3, known(30 * time.Millisecond), 600 * time.Millisecond},
		{"service slow as a whole", true, 3, known(200 * time.Millisecond), 0},
		{"nothing known", true, 3, evidence.Baseline{}, time.Second},
		{"last attempt", true, 1, known(5 * time.Millisecond), 0},
		{"not repeatable", false, 3, known(5 * time.Millisecond), 0},
	}
	for _, c := range cases {
		plan := NewPlan(Options{Idempotent: c.idempotent, MaxAttempts: c.attempts, Deadline: now.Add(2 * time.Second)})
		got := plan.ResponseDeadline(now, c.baseline)
		if c.want == 0 && !got.IsZero() || c.want > 0 && !got.Equal(now.Add(c.want)) {
			t.Errorf("%s: response deadline %v after now, want %v", c.name, got.Sub(now), c.want)
		}
	}
}
