package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

// Guards against refused callers that retry at the same time, before the queue has drained,
// or only after their deadline.
func TestRetryAfter(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	full := &evidence.Load{Slots: 5, InUse: 5, Queued: 10}
	for name, c := range map[string]struct {
		load     *evidence.Load
		median   time.Duration
		from, to time.Duration
	}{
		"no load report":    {nil, 0, minRetryAfter, 2 * minRetryAfter},
		"queue of 2 rounds": {full, 500 * time.Millisecond, time.Second, 2 * time.Second},
		"very slow service": {full, time.Minute, maxRetryAfter, maxRetryAfter},
		"suspect, not full": {&evidence.Load{Slots: 5}, time.Second, minRetryAfter, 2 * minRetryAfter},
		"unknown slots":     {&evidence.Load{Queued: 9}, time.Second, minRetryAfter, 2 * minRetryAfter},
		"median not known":  {full, 0, minRetryAfter, 2 * minRetryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			seen := map[time.Duration]bool{}
			for range 50 {
				got := RetryAfter(c.load, c.median, rng)
				if got < c.from || got > c.to {
					t.Fatalf("%s, want %s to %s", got, c.from, c.to)
				}
				seen[got] = true
			}
			if c.from < c.to && len(seen) < 40 {
				t.Fatalf("only %d different delays in 50", len(seen))
			}
		})
	}
}
