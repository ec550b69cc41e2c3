package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

// Guards against refused callers that return together, before the queue has drained,
// or so late that their deadline has passed.
func TestReturnAfter(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	full := &evidence.Load{Slots: 5, InUse: 5, Queued: 10}
	for name, c := range map[string]struct {
		load     *evidence.Load
		median   time.Duration
		from, to time.Duration
	}{
		"no owner heard":    {nil, 0, minReturn, 2 * minReturn},
		"queue of 2 rounds": {full, 500 * time.Millisecond, time.Second, 2 * time.Second},
		"very slow service": {full, time.Minute, maxReturn, maxReturn},
		"suspect, not full": {&evidence.Load{Slots: 5}, time.Second, minReturn, 2 * minReturn},
		"unknown slots":     {&evidence.Load{Queued: 9}, time.Second, minReturn, 2 * minReturn},
		"median not known":  {full, 0, minReturn, 2 * minReturn},
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
				t.Fatalf("only %d different times in 50", len(seen))
			}
		})
	}
}
