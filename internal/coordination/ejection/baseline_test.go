package ejection

import (
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

// Guards against failures of a backend server that count as normal for its
// service, because the reports that come with exchanges of the other backend
// servers include them.
func TestOwnFailuresAreNotInBaseline(t *testing.T) {
	c := New(Options{})
	now := time.Unix(1000, 0)
	clean := evidence.Baseline{Median: 5 * time.Millisecond, Samples: 200}
	withFailing := evidence.Baseline{FailureRate: 0.2, Median: 5 * time.Millisecond, Samples: 200}
	failures := 0
	for ; !c.failing("failing", now) && failures < 50; failures++ {
		for range 5 {
			c.Observe(evidence.Observation{Backend: "healthy", Service: "s", Kind: evidence.Success,
				Latency: 5 * time.Millisecond, At: now, Baseline: withFailing})
		}
		c.Observe(evidence.Observation{Backend: "failing", Service: "s", Kind: evidence.Timeout,
			Latency: time.Second, At: now, Baseline: clean})
		now = now.Add(100 * time.Millisecond)
	}
	// At a normal failure rate of 1% each failure weighs 3.7 nats of 12.5.
	if failures > 4 {
		t.Fatalf("detected as failing after %d consecutive failures, want 4 at most", failures)
	}
}

func (c *Core) failing(id string, now time.Time) bool {
	for _, s := range c.order {
		if string(s.id) == id {
			return s.detector.Failing(now)
		}
	}
	return false
}
