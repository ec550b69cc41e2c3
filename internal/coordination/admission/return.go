package admission

import (
	"math/rand/v2"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

const (
	// minReturn is the shortest time after which a refused caller is asked back.
	minReturn = 300 * time.Millisecond
	// maxReturn bounds it: a longer wait is worth less to the caller than another
	// refusal.
	maxReturn = 3 * time.Second
	// returnSpread is the width of the random part, as a share of the wait, so that
	// callers who were refused together do not return together.
	returnSpread = 1.0
)

// RetryAfter returns when a refused caller should come back: when the queue that
// the owner reported has drained at the median service time, later by a random part.
// load is nil if no owner was heard.
func RetryAfter(load *evidence.Load, median time.Duration, rng *rand.Rand) time.Duration {
	wait := minReturn
	if load != nil && load.Slots > 0 && median > 0 {
		rounds := float64(load.Queued) / float64(load.Slots)
		wait = max(wait, time.Duration(rounds*float64(median)))
	}
	wait += time.Duration(rng.Float64() * returnSpread * float64(wait))
	return min(wait, maxReturn)
}
