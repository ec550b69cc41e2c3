package admission

import (
	"math/rand/v2"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

const (
	// minRetryAfter is the shortest retry delay of a refused caller.
	minRetryAfter = 300 * time.Millisecond
	// maxRetryAfter is the longest retry delay. A longer wait would be worse for the
	// caller than another refusal.
	maxRetryAfter = 3 * time.Second
	// retryJitter is the width of the random part as a share of the delay. It keeps callers
	// that were refused at the same time from retrying at the same time.
	retryJitter = 1.0
)

// RetryAfter returns the delay after which a refused caller should retry. It is the time to
// drain the queue that the owner reported, at the median service time, plus a random part.
// load is nil if no owner reported its load.
func RetryAfter(load *evidence.Load, median time.Duration, rng *rand.Rand) time.Duration {
	wait := minRetryAfter
	if load != nil && load.Slots > 0 && median > 0 {
		batches := float64(load.Queued) / float64(load.Slots)
		wait = max(wait, time.Duration(batches*float64(median)))
	}
	wait += time.Duration(rng.Float64() * retryJitter * float64(wait))
	return min(wait, maxRetryAfter)
}
