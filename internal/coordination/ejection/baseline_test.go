package ejection

import (
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

// Guards against the failures of a backend server counting as normal for its
// service: the reports that come with its neighbours contain them.
func TestOwnFailuresAreNotTheBaseline(t *testing.T) {
	c := New(Options{})
	now := time.Unix(1000, 0)
	clean := evidence.Baseline{Median: 5 * time.Millisecond, Samples: 200}
	withSick := evidence.Baseline{FailureRate: 0.2, Median: 5 * time.Millisecond, Samples: 200}
	failures := 0
	for ; !c.failing("sick", now) && failures < 50; failures++ {
		for range 5 {
			c.Observe(evidence.Observation{Backend: "neighbour", Service: "s", Kind: evidence.Success,
				Latency: 5 * time.Millisecond, At: now, Baseline: withSick})
		}
		c.Observe(evidence.Observation{Backend: "sick", Service: "s", Kind: evidence.Timeout,
			Latency: time.Second, At: now, Baseline: clean})
		now = now.Add(100 * time.Millisecond)
	}
	// At a normal failure rate of 1% each failure weighs 3.7 nats of 12.5.
	if failures > 4 {
		t.Fatalf("failing after %d failures in a row, want 4 at most", failures)
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
